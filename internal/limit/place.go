package limit

import (
	"context"
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Place is a request in the queue or running. It is for callers that can't
// block in Admit, such as an event loop on virtual time. Either Release or
// Abandon must be called.
type Place struct {
	gat   *gate
	itm   *item
	leave func()
	once  sync.Once
}

// Enqueue gives a request a place or refuses it, without waiting.
func (lim *Limiter) Enqueue(query wick.AdmitQuery) (*Place, error) {
	cst := lim.customer(query.Customer)
	leave, err := cst.enter(&query, lim.clock.Now())
	if err != nil {
		return nil, err
	}
	gat := lim.gate(query.Service)
	itm, err := gat.enqueue(&query, cst)
	if err != nil {
		leave()
		return nil, err
	}
	return &Place{gat: gat, itm: itm, leave: leave}, nil
}

// Ready returns a channel that is closed when the request may run or was
// refused.
func (plc *Place) Ready() <-chan struct{} { return plc.itm.ready }

// Err returns why the request was refused after Ready was closed, or nil.
func (plc *Place) Err() error { return plc.itm.err }

// Release ends a running request.
func (plc *Place) Release(out wick.Outcome) {
	plc.once.Do(func() {
		plc.leave()
		plc.gat.release(plc.itm, out)
	})
}

// Abandon gives up a request that has not run.
func (plc *Place) Abandon() {
	plc.once.Do(func() {
		plc.leave()
		_ = plc.gat.abandon(plc.itm, context.Canceled)
	})
}
