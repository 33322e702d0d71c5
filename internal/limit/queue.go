package limit

import (
	"container/heap"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// oldestInterval is the dequeue interval at which a customer's oldest request goes
// first, so that low priorities and late deadlines do not starve.
const oldestInterval = 8

// An item is a queued or running request.
type item struct {
	query wick.AdmitQuery
	cst   *customer
	// seq orders items by arrival.
	seq uint64
	// index is the position in the heap, -1 if the item is not queued.
	index   int
	started time.Time
	// ready is closed when the request may run or is refused. err must not be
	// read earlier.
	ready chan struct{}
	err   error
}

// before orders the items of a customer by priority, deadline and arrival. A
// request without a deadline comes after those with one.
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

// An itemHeap implements heap.Interface for a customer's queued items.
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
	// finish is the finish tag of the last request dequeued, in virtual time.
	finish   float64
	dequeued uint64
}

// A fairQueue shares capacity between customers by weight. It implements
// start-time fair queueing with the cost of a request as its length.
type fairQueue struct {
	flows map[wick.Customer]*flow
	// virtual is the virtual time: the start tag of the last request dequeued.
	virtual float64
	count   int
	// totalWeight is the sum of the weights of flows with queued items.
	totalWeight float64
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
		faq.totalWeight += flo.weight
		// An idle customer accumulates no credit.
		flo.finish = max(flo.finish, faq.virtual)
	}
	heap.Push(&flo.items, itm)
	faq.count++
}

// remove removes an item from its flow.
func (faq *fairQueue) remove(itm *item) {
	flo := faq.flow(itm.query.Customer)
	heap.Remove(&flo.items, itm.index)
	faq.count--
	if len(flo.items) == 0 {
		faq.totalWeight -= flo.weight
		if faq.count == 0 {
			// Reset, so that rounding errors do not accumulate.
			faq.totalWeight = 0
		}
		if flo.finish <= faq.virtual {
			delete(faq.flows, itm.query.Customer)
		}
	}
}

// pop removes and returns the next item, or nil. It selects the customer with the
// lowest finish tag, and of its items the first or, at every oldestInterval, the
// oldest.
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
		// Ties are broken by name, so that runs are reproducible.
		if next == nil || flo.finish < next.finish || flo.finish == next.finish && key < name {
			next, name = flo, key
		}
	}
	if next == nil {
		return nil
	}
	itm := next.items[0]
	if next.dequeued++; next.dequeued%oldestInterval == 0 {
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

// refund reverts the charge for a popped item that did not run.
func (faq *fairQueue) refund(itm *item) {
	if flo := faq.flows[itm.query.Customer]; flo != nil {
		flo.finish -= float64(max(itm.query.Cost, 1)) / flo.weight
	}
}

// ahead estimates the number of queued items that run before an item: those of its
// own customer exactly, and those of other customers by weight.
func (faq *fairQueue) ahead(itm *item) float64 {
	flo := faq.flow(itm.query.Customer)
	own := 0
	for _, other := range flo.items {
		if other.before(itm) {
			own++
		}
	}
	weights := faq.totalWeight
	if len(flo.items) == 0 {
		weights += itm.cst.weight
	}
	share := itm.cst.weight / weights
	return min(float64(own)/share, float64(faq.count))
}
