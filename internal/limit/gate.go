package limit

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// newEvery is how often new work goes before accepted work, so that a
	// long wave of handovers does not starve it.
	newEvery = 16
	// defaultCapacity holds until SetCapacity is called.
	defaultCapacity = 64
	// The limit stays above minLimit and a minShare of capacity: answers that
	// are late for another reason than load must not close the service.
	minLimit = 2
	minShare = 0.125
	// spare lets an entry use slots that others leave free. It matters for
	// small shares: without it 1-slot endpoints answer fewer calls in time.
	spare = 2
	// decrease is the factor by which an overload lowers the limit, at most
	// once in decreaseEvery: a burst of late answers has one cause.
	decrease      = 0.9
	decreaseEvery = 200 * time.Millisecond
	// defaultHold is the time a request runs, until it was measured.
	defaultHold = 500 * time.Millisecond
	holdWeight  = 0.05
)

// A gate admits requests of one service.
type gate struct {
	clock wick.Clock
	mu    sync.Mutex
	// capacity is what endpoints offer. limit adapts up to spare above it:
	// more work would only wait at the endpoints, where neither weights nor
	// deadlines order it.
	capacity float64
	limit    float64
	running  int
	seq      uint64
	taken    uint64
	accepted fairQueue
	fresh    fairQueue
	// hold is the mean time of requests that ended.
	hold        time.Duration
	decreasedAt time.Time
	// first is the target for the first token or the reply; zero is none.
	first time.Duration
}

func newGate(clk wick.Clock) *gate {
	return &gate{clock: clk, capacity: defaultCapacity, limit: defaultCapacity, hold: defaultHold}
}

func (gat *gate) setTargets(tgt bundle.Targets) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.first = max(tgt.FirstTokenMillis, tgt.ReplyMillis).Duration()
}

func (gat *gate) setCapacity(slots int) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	next := float64(max(slots, minLimit))
	// The limit keeps its relation to capacity when machines come and go.
	gat.limit = min(max(gat.limit*next/gat.capacity, minLimit), next+spare)
	gat.capacity = next
	gat.pump()
}

func (gat *gate) queue(itm *item) *fairQueue {
	if itm.query.Accepted {
		return &gat.accepted
	}
	return &gat.fresh
}

// enqueue lets a request wait or refuses it.
func (gat *gate) enqueue(query *wick.AdmitQuery, cst *customer) (*item, error) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	now := gat.clock.Now()
	gat.seq++
	itm := &item{query: *query, cst: cst, seq: gat.seq, index: -1, ready: make(chan struct{})}
	wait := gat.predict(itm)
	faq := gat.queue(itm)
	// A refused request of an unknown customer must leave no flow behind.
	queued := 0
	if flo := faq.flows[query.Customer]; flo != nil {
		queued = len(flo.items)
	}
	if !query.Accepted && queued >= maxQueued || query.Accepted && faq.count >= maxAcceptedQueued {
		return nil, refuse(wick.ErrBusy, wait, "limit: queue of %s is full", query.Customer)
	}
	if gat.hopeless(query.Deadline, now, wait) {
		return nil, refuse(wick.ErrDeadline, wait, "limit: %s waits about %s", query.Customer, wait)
	}
	// The caller's own deadline may allow it, so that a retry can help.
	if !query.Accepted && gat.first > 0 && wait > gat.first {
		return nil, refuse(wick.ErrBusy, wait, "limit: %s waits about %s, over the latency target", query.Customer, wait)
	}
	faq.push(itm)
	gat.pump()
	return itm, nil
}

// hopeless reports whether a request that waits that long misses its deadline.
// Half of the mean time is allowed for a short request. A request that need not
// wait is tried in any case: otherwise a slow phase would refuse short
// deadlines for good, since nothing would measure the time again.
func (gat *gate) hopeless(deadline, now time.Time, wait time.Duration) bool {
	if deadline.IsZero() {
		return false
	}
	if wait == 0 {
		return !now.Before(deadline)
	}
	return now.Add(wait + gat.hold/2).After(deadline)
}

// predict estimates the time until a new item runs.
func (gat *gate) predict(itm *item) time.Duration {
	ahead := gat.accepted.ahead(itm)
	if !itm.query.Accepted {
		ahead = float64(gat.accepted.count) + gat.fresh.ahead(itm)
	}
	if free := gat.limit - float64(gat.running); ahead < free {
		return 0
	}
	// One request ends every hold/limit.
	return time.Duration((ahead + 1) * float64(gat.hold) / gat.limit)
}

// next takes the next waiting item or returns nil.
func (gat *gate) next() (*item, *fairQueue) {
	first, second := &gat.accepted, &gat.fresh
	if gat.accepted.count > 0 && gat.fresh.count > 0 {
		if gat.taken++; gat.taken%newEvery == 0 {
			first, second = second, first
		}
	}
	if first.count > 0 {
		return first.pop(), first
	}
	return second.pop(), second
}

// pump starts waiting items while there is room. The caller holds mu.
func (gat *gate) pump() {
	now := gat.clock.Now()
	for float64(gat.running) < gat.limit {
		itm, faq := gat.next()
		if itm == nil {
			return
		}
		if deadline := itm.query.Deadline; !deadline.IsZero() && now.After(deadline) {
			faq.refund(itm)
			itm.err = refuse(wick.ErrDeadline, gat.hold, "limit: deadline passed in the queue")
			close(itm.ready)
			continue
		}
		itm.started = now
		gat.running++
		close(itm.ready)
	}
}

// wait blocks until the item may run, was refused, or its context or deadline
// ends.
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
		return gat.abandon(itm, refuse(wick.ErrDeadline, gat.holdTime(), "limit: deadline passed in the queue"))
	case <-ctx.Done():
		return gat.abandon(itm, ctx.Err())
	}
}

func (gat *gate) holdTime() time.Duration {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.hold
}

// abandon takes an item out of the queue. When it was started in the same
// moment it gives its place back.
func (gat *gate) abandon(itm *item, err error) error {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	switch {
	case itm.index >= 0:
		gat.queue(itm).remove(itm)
	case itm.err == nil:
		gat.running--
		gat.queue(itm).refund(itm)
		gat.pump()
	}
	return err
}

// release ends a running item and adapts the limit.
func (gat *gate) release(itm *item, out wick.Outcome) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	now := gat.clock.Now()
	full := float64(gat.running) >= gat.limit*0.8
	gat.running--
	switch {
	case out.Cancelled:
	case overloaded(out):
		if now.Sub(gat.decreasedAt) >= decreaseEvery {
			gat.limit = max(gat.limit*decrease, minLimit, gat.capacity*minShare)
			gat.decreasedAt = now
		}
	case out.Err == nil:
		gat.hold += time.Duration(holdWeight * float64(now.Sub(itm.started)-gat.hold))
		if full {
			// About one more for each full round of good answers.
			gat.limit = min(gat.limit+1/gat.limit, gat.capacity+spare)
		}
	}
	gat.pump()
}

// A Status is one service in the state dump.
type Status struct {
	Service  wick.Service  `json:"service"`
	Limit    float64       `json:"limit"`
	Running  int           `json:"running"`
	Queued   int           `json:"queued"`
	Accepted int           `json:"accepted"`
	Hold     time.Duration `json:"hold"`
}

// Status lists the services for the state dump.
func (lim *Limiter) Status() []Status {
	lim.mu.RLock()
	defer lim.mu.RUnlock()
	out := make([]Status, 0, len(lim.gates))
	for svc, gat := range lim.gates {
		gat.mu.Lock()
		out = append(out, Status{
			Service: svc, Limit: gat.limit, Running: gat.running, Queued: gat.fresh.count,
			Accepted: gat.accepted.count, Hold: gat.hold,
		})
		gat.mu.Unlock()
	}
	return out
}
