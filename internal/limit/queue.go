package limit

import (
	"container/heap"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// oldestEvery is how often a customer's oldest request goes first, so that low
// priorities and late deadlines do not starve.
const oldestEvery = 8

// An item is one waiting or running request.
type item struct {
	query wick.AdmitQuery
	cst   *customer
	// seq orders items by arrival.
	seq uint64
	// index is the position in the heap, -1 outside.
	index   int
	started time.Time
	// ready is closed when the request may run or was refused. err is set
	// before.
	ready chan struct{}
	err   error
}

// before orders the items of a customer: priority, then deadline, then arrival.
// A request without deadline comes after those with one.
func (itm *item) before(other *item) bool {
	if itm.query.Priority != other.query.Priority {
		return itm.query.Priority > other.query.Priority
	}
	left, right := itm.query.Deadline, other.query.Deadline
	if !left.Equal(right) {
		return !left.IsZero() && (right.IsZero() || left.Before(right))
	}
	return itm.seq < other.seq
}

// An itemHeap is a heap.Interface of a customer's waiting items.
type itemHeap []*item

// Len returns the number of items.
func (ith *itemHeap) Len() int { return len(*ith) }

// Less reports whether an item goes before another.
func (ith *itemHeap) Less(idx, jdx int) bool { return (*ith)[idx].before((*ith)[jdx]) }

// Swap swaps two items.
func (ith *itemHeap) Swap(idx, jdx int) {
	list := *ith
	list[idx], list[jdx] = list[jdx], list[idx]
	list[idx].index, list[jdx].index = idx, jdx
}

// Push adds an item.
func (ith *itemHeap) Push(val any) {
	itm, ok := val.(*item)
	if !ok {
		return
	}
	itm.index = len(*ith)
	*ith = append(*ith, itm)
}

// Pop removes the last item.
func (ith *itemHeap) Pop() any {
	last := len(*ith) - 1
	itm := (*ith)[last]
	(*ith)[last] = nil
	*ith = (*ith)[:last]
	itm.index = -1
	return itm
}

// A flow is the queue of one customer at one service.
type flow struct {
	items  itemHeap
	weight float64
	// finish is the virtual time up to which the customer was served.
	finish float64
	taken  uint64
}

// A fairQueue shares capacity between customers by weight: start-time fair
// queueing with the cost of requests as their length.
type fairQueue struct {
	flows map[wick.Customer]*flow
	// virtual is the start tag of the last request taken.
	virtual float64
	count   int
	// weights is the sum over flows that have waiting items.
	weights float64
}

func (faq *fairQueue) flow(name wick.Customer) *flow {
	if faq.flows == nil {
		faq.flows = make(map[wick.Customer]*flow)
	}
	flo := faq.flows[name]
	if flo == nil {
		flo = &flow{}
		faq.flows[name] = flo
	}
	return flo
}

// push adds an item.
func (faq *fairQueue) push(itm *item) {
	flo := faq.flow(itm.query.Customer)
	if len(flo.items) == 0 {
		flo.weight = itm.cst.weight
		faq.weights += flo.weight
		// A customer that was idle gets no credit for it.
		flo.finish = max(flo.finish, faq.virtual)
	}
	heap.Push(&flo.items, itm)
	faq.count++
}

// remove takes an item out of its flow.
func (faq *fairQueue) remove(itm *item) {
	flo := faq.flow(itm.query.Customer)
	heap.Remove(&flo.items, itm.index)
	faq.count--
	if len(flo.items) == 0 {
		faq.weights -= flo.weight
		if faq.count == 0 {
			// Sums of fractions must not drift.
			faq.weights = 0
		}
		if flo.finish <= faq.virtual {
			delete(faq.flows, itm.query.Customer)
		}
	}
}

// pop takes the next item: of the customer that was served least, usually its
// first and sometimes its oldest.
func (faq *fairQueue) pop() *item {
	var next *flow
	var name wick.Customer
	for key, flo := range faq.flows {
		if len(flo.items) == 0 {
			if flo.finish <= faq.virtual {
				delete(faq.flows, key)
			}
			continue
		}
		// Names break ties, so that runs repeat.
		if next == nil || flo.finish < next.finish || flo.finish == next.finish && key < name {
			next, name = flo, key
		}
	}
	if next == nil {
		return nil
	}
	itm := next.items[0]
	if next.taken++; next.taken%oldestEvery == 0 {
		for _, other := range next.items {
			if other.seq < itm.seq {
				itm = other
			}
		}
	}
	faq.virtual = next.finish
	next.finish += float64(max(itm.query.Cost, 1)) / next.weight
	faq.remove(itm)
	return itm
}

// refund takes back what a popped item was charged, because it did not run.
func (faq *fairQueue) refund(itm *item) {
	if flo := faq.flows[itm.query.Customer]; flo != nil {
		flo.finish -= float64(max(itm.query.Cost, 1)) / flo.weight
	}
}

// ahead counts the waiting items that go before an item, as the item's customer
// sees it: its own in front, and the others' by their weights.
func (faq *fairQueue) ahead(itm *item) float64 {
	flo := faq.flow(itm.query.Customer)
	own := 0
	for _, other := range flo.items {
		if other.before(itm) {
			own++
		}
	}
	weights := faq.weights
	if len(flo.items) == 0 {
		weights += itm.cst.weight
	}
	share := itm.cst.weight / weights
	return min(float64(own)/share, float64(faq.count))
}
