package limit

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// newWorkInterval is the dequeue interval at which new work precedes accepted work,
	// so that a long burst of handovers does not starve it.
	newWorkInterval = 16
	// defaultCapacity is the number of slots before SetCapacity is called.
	defaultCapacity = 64
	// minLimit, and minLimitShare as a fraction of the capacity, are lower
	// bounds of the limit: responses that are late for a reason other than load
	// must not shut down the service.
	minLimit      = 2
	minLimitShare = 0.125
	// maxExcess is by how many slots the limit may exceed the capacity, so that
	// an entry can use slots that other entries leave idle. It matters for small
	// capacities: without it, endpoints with one slot answer fewer calls in time.
	maxExcess = 2
	// decreaseFactor is the multiplicative decrease of the limit on overload,
	// applied at most once per decreaseInterval: a burst of late responses has
	// one cause.
	decreaseFactor   = 0.9
	decreaseInterval = 200 * time.Millisecond
	// defaultRunTime is the initial estimate of the mean run time of a request, and
	// runTimeWeight the weight of a sample in its moving average.
	defaultRunTime = 500 * time.Millisecond
	runTimeWeight  = 0.05
)

// A gate controls the admission of requests to one service.
type gate struct {
	clock wick.Clock
	mu    sync.Mutex
	// capacity is the number of slots that endpoints offer. The adaptive limit
	// exceeds it by at most maxExcess: more requests would only queue at the
	// endpoints, which respect neither weights nor deadlines.
	capacity float64
	limit    float64
	running  int
	seq      uint64
	// dequeued counts the items taken while both queues had some.
	dequeued uint64
	accepted fairQueue
	fresh    fairQueue
	// runTime is the moving average of the run time of successful requests.
	runTime     time.Duration
	decreasedAt time.Time
	// latencyTarget applies to the first token or the reply; zero means none.
	latencyTarget time.Duration
}

func newGate(clk wick.Clock) *gate {
	return &gate{clock: clk, capacity: defaultCapacity, limit: defaultCapacity, runTime: defaultRunTime}
}

func (gat *gate) setTargets(tgt bundle.Targets) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.latencyTarget = max(tgt.FirstTokenMillis, tgt.ReplyMillis).Duration()
}

func (gat *gate) setCapacity(slots int) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	next := float64(max(slots, minLimit))
	// The limit scales with the capacity as VMs are added and removed.
	gat.limit = min(max(gat.limit*next/gat.capacity, minLimit), next+maxExcess)
	gat.capacity = next
	gat.dispatch()
}

func (gat *gate) queue(itm *item) *fairQueue {
	if itm.query.Accepted {
		return &gat.accepted
	}
	return &gat.fresh
}

// enqueue queues a request or refuses it.
func (gat *gate) enqueue(query *wick.AdmitQuery, cst *customer) (*item, error) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	now := gat.clock.Now()
	gat.seq++
	itm := &item{query: *query, cst: cst, seq: gat.seq, index: -1, ready: make(chan struct{})}
	wait := gat.predictWait(itm)
	faq := gat.queue(itm)
	// Read the flow without creating it: a refused request of an unknown
	// customer must not leave one behind.
	queued := 0
	if flo := faq.flows[query.Customer]; flo != nil {
		queued = len(flo.items)
	}
	if !query.Accepted && queued >= maxQueued || query.Accepted && faq.count >= maxAcceptedQueued {
		return nil, refuse(wick.ErrBusy, wait, "limit: queue of %s is full", query.Customer)
	}
	if gat.missesDeadline(query.Deadline, now, wait) {
		return nil, refuse(wick.ErrDeadline, wait, "limit: predicted wait of %s is %s, past the deadline", query.Customer, wait)
	}
	// The refusal is ErrBusy, not ErrDeadline: the caller's own deadline may be
	// later, so a retry can succeed.
	if !query.Accepted && gat.latencyTarget > 0 && wait > gat.latencyTarget {
		return nil, refuse(wick.ErrBusy, wait, "limit: predicted wait of %s is %s, over the latency target", query.Customer, wait)
	}
	faq.push(itm)
	gat.dispatch()
	return itm, nil
}

// missesDeadline reports whether a request with the given wait would miss its
// deadline, assuming that it runs for half the mean run time. A request that need
// not wait is always admitted before its deadline: otherwise short deadlines would
// be refused permanently after a slow phase, since no request would run to update
// the mean.
func (gat *gate) missesDeadline(deadline, now time.Time, wait time.Duration) bool {
	if deadline.IsZero() {
		return false
	}
	if wait == 0 {
		return !now.Before(deadline)
	}
	return now.Add(wait + gat.runTime/2).After(deadline)
}

// predictWait estimates the queueing delay of a new item.
func (gat *gate) predictWait(itm *item) time.Duration {
	ahead := gat.accepted.ahead(itm)
	if !itm.query.Accepted {
		ahead = float64(gat.accepted.count) + gat.fresh.ahead(itm)
	}
	if free := gat.limit - float64(gat.running); ahead < free {
		return 0
	}
	// On average, one request ends every runTime/limit.
	return time.Duration((ahead + 1) * float64(gat.runTime) / gat.limit)
}

// next removes and returns the next queued item and its queue. The item is nil if
// both queues are empty.
func (gat *gate) next() (*item, *fairQueue) {
	first, second := &gat.accepted, &gat.fresh
	if gat.accepted.count > 0 && gat.fresh.count > 0 {
		if gat.dequeued++; gat.dequeued%newWorkInterval == 0 {
			first, second = second, first
		}
	}
	if first.count > 0 {
		return first.pop(), first
	}
	return second.pop(), second
}

// dispatch starts queued items up to the limit. The caller must hold mu.
func (gat *gate) dispatch() {
	now := gat.clock.Now()
	for float64(gat.running) < gat.limit {
		itm, faq := gat.next()
		if itm == nil {
			return
		}
		if deadline := itm.query.Deadline; !deadline.IsZero() && now.After(deadline) {
			faq.refund(itm)
			itm.err = refuse(wick.ErrDeadline, gat.runTime, "limit: deadline expired in the queue")
			close(itm.ready)
			continue
		}
		itm.started = now
		gat.running++
		close(itm.ready)
	}
}

// wait blocks until the item may run or is refused, its deadline expires, or ctx is
// done.
func (gat *gate) wait(ctx context.Context, itm *item) error {
	select {
	case <-itm.ready:
		return itm.err
	default:
	}
	var expired <-chan time.Time
	if deadline := itm.query.Deadline; !deadline.IsZero() {
		timer := time.NewTimer(deadline.Sub(gat.clock.Now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-itm.ready:
		return itm.err
	case <-expired:
		return gat.abandon(itm, refuse(wick.ErrDeadline, gat.meanRunTime(), "limit: deadline expired in the queue"))
	case <-ctx.Done():
		return gat.abandon(itm, ctx.Err())
	}
}

func (gat *gate) meanRunTime() time.Duration {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.runTime
}

// abandon removes an item from the queue, or releases its slot if it was started
// concurrently.
func (gat *gate) abandon(itm *item, err error) error {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	switch {
	case itm.index >= 0:
		gat.queue(itm).remove(itm)
	case itm.err == nil:
		gat.running--
		gat.queue(itm).refund(itm)
		gat.dispatch()
	}
	return err
}

// release ends a running item and adapts the limit: additive increase on success,
// multiplicative decrease on overload.
func (gat *gate) release(itm *item, out wick.Outcome) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	now := gat.clock.Now()
	full := float64(gat.running) >= gat.limit*0.8
	gat.running--
	switch {
	case out.Cancelled:
	case overloaded(out):
		if now.Sub(gat.decreasedAt) >= decreaseInterval {
			gat.limit = max(gat.limit*decreaseFactor, minLimit, gat.capacity*minLimitShare)
			gat.decreasedAt = now
		}
	case out.Err == nil:
		gat.runTime += time.Duration(runTimeWeight * float64(now.Sub(itm.started)-gat.runTime))
		if full {
			// This adds about 1 per round of successful requests at the limit.
			gat.limit = min(gat.limit+1/gat.limit, gat.capacity+maxExcess)
		}
	}
	gat.dispatch()
}

// A Status describes the admission state of a service in the state dump.
type Status struct {
	Service     wick.Service  `json:"service"`
	Limit       float64       `json:"limit"`
	Running     int           `json:"running"`
	Queued      int           `json:"queued"`
	Accepted    int           `json:"accepted"`
	MeanRunTime time.Duration `json:"hold"`
}

// Status returns the status of all services for the state dump.
func (lim *Limiter) Status() []Status {
	lim.mu.RLock()
	defer lim.mu.RUnlock()
	out := make([]Status, 0, len(lim.gates))
	for svc, gat := range lim.gates {
		gat.mu.Lock()
		out = append(out, Status{
			Service: svc, Limit: gat.limit, Running: gat.running, Queued: gat.fresh.count,
			Accepted: gat.accepted.count, MeanRunTime: gat.runTime,
		})
		gat.mu.Unlock()
	}
	return out
}
