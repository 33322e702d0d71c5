package limit

import (
	"container/list"
	"context"
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A FIFO is the baseline admitter: one queue in order of arrival and a fixed
// concurrency limit, without deadlines and without fairness between customers.
type FIFO struct {
	mu      sync.Mutex
	running int
	queue   list.List
	// Limit bounds running requests, and MaxQueued bounds waiting ones.
	Limit     int
	MaxQueued int
}

var _ wick.Admitter = (*FIFO)(nil)

// Admit waits until the request may run. The caller must call the returned
// function when the request ends.
func (ffo *FIFO) Admit(ctx context.Context, query wick.AdmitQuery) (func(out wick.Outcome), error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	tkt, err := ffo.Enqueue(query)
	if err != nil {
		return nil, err
	}
	select {
	case <-tkt.ready:
		return tkt.Release, nil
	case <-ctx.Done():
		tkt.Abandon()
		return nil, ctx.Err()
	}
}

// A FIFOTicket is a request that a FIFO has queued or started, like a Ticket.
type FIFOTicket struct {
	ffo   *FIFO
	ready chan struct{}
	elem  *list.Element
}

// Enqueue starts, queues or refuses a request without blocking.
func (ffo *FIFO) Enqueue(query wick.AdmitQuery) (*FIFOTicket, error) {
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	tkt := &FIFOTicket{ffo: ffo, ready: make(chan struct{})}
	if ffo.running < ffo.Limit && ffo.queue.Len() == 0 {
		ffo.running++
		close(tkt.ready)
		return tkt, nil
	}
	if ffo.queue.Len() >= ffo.MaxQueued {
		return nil, refuse(wick.ErrBusy, 0, "limit: queue is full for %s", query.Customer)
	}
	tkt.elem = ffo.queue.PushBack(tkt.ready)
	return tkt, nil
}

// Ready returns a channel that is closed when the request may run.
func (tkt *FIFOTicket) Ready() <-chan struct{} { return tkt.ready }

// Err returns nil, since a FIFO never refuses a queued request.
func (tkt *FIFOTicket) Err() error { return nil }

// Release ends a running request.
func (tkt *FIFOTicket) Release(wick.Outcome) {
	tkt.ffo.mu.Lock()
	defer tkt.ffo.mu.Unlock()
	tkt.ffo.running--
	tkt.ffo.dispatch()
}

// Abandon withdraws a request that has not run.
func (tkt *FIFOTicket) Abandon() {
	tkt.ffo.mu.Lock()
	defer tkt.ffo.mu.Unlock()
	select {
	case <-tkt.ready:
		tkt.ffo.running--
		tkt.ffo.dispatch()
	default:
		tkt.ffo.queue.Remove(tkt.elem)
	}
}

// dispatch starts queued requests up to the limit. The caller must hold mu.
func (ffo *FIFO) dispatch() {
	for ffo.running < ffo.Limit {
		elem := ffo.queue.Front()
		if elem == nil {
			return
		}
		ffo.queue.Remove(elem)
		ffo.running++
		if ready, ok := elem.Value.(chan struct{}); ok {
			close(ready)
		}
	}
}
