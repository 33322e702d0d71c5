package limit

import (
	"context"
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Ticket is a queued or running request. It is for callers that can't block in
// Admit, such as an event loop on virtual time. Either Release or Abandon must be
// called.
type Ticket struct {
	gat             *gate
	itm             *item
	releaseInFlight func()
	once            sync.Once
}

// Enqueue queues a request or refuses it, without blocking.
func (lim *Limiter) Enqueue(query wick.AdmitQuery) (*Ticket, error) {
	cst := lim.customer(query.Customer)
	releaseInFlight, err := cst.acquire(&query, lim.clock.Now())
	if err != nil {
		return nil, err
	}
	gat := lim.gate(query.Service)
	itm, err := gat.enqueue(&query, cst)
	if err != nil {
		releaseInFlight()
		return nil, err
	}
	return &Ticket{gat: gat, itm: itm, releaseInFlight: releaseInFlight}, nil
}

// Ready returns a channel that is closed when the request may run or was
// refused.
func (tkt *Ticket) Ready() <-chan struct{} { return tkt.itm.ready }

// Err returns why the request was refused after Ready was closed, or nil.
func (tkt *Ticket) Err() error { return tkt.itm.err }

// Release ends a running request.
func (tkt *Ticket) Release(out wick.Outcome) {
	tkt.once.Do(func() {
		tkt.releaseInFlight()
		tkt.gat.release(tkt.itm, out)
	})
}

// Abandon withdraws a request that has not run.
func (tkt *Ticket) Abandon() {
	tkt.once.Do(func() {
		tkt.releaseInFlight()
		_ = tkt.gat.abandon(tkt.itm, context.Canceled)
	})
}
