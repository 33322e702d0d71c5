package limit

import (
	"container/list"
	"context"
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A FIFO is the baseline admitter: one queue in order of arrival, a fixed
// number of running requests, no deadlines and no shares.
type FIFO struct {
	mu      sync.Mutex
	running int
	queue   list.List
	// Limit bounds running requests, MaxQueued waiting ones.
	Limit     int
	MaxQueued int
}

var _ wick.Admitter = (*FIFO)(nil)

// Admit waits for a place.
func (ffo *FIFO) Admit(ctx context.Context, query wick.AdmitQuery) (func(out wick.Outcome), error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	plc, err := ffo.Enqueue(query)
	if err != nil {
		return nil, err
	}
	select {
	case <-plc.ready:
		return plc.Release, nil
	case <-ctx.Done():
		plc.Abandon()
		return nil, ctx.Err()
	}
}

// A FIFOPlace is a request in the queue of a FIFO or running, like a Place.
type FIFOPlace struct {
	ffo   *FIFO
	ready chan struct{}
	elem  *list.Element
}

// Enqueue gives a request a place or refuses it, without waiting.
func (ffo *FIFO) Enqueue(query wick.AdmitQuery) (*FIFOPlace, error) {
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	plc := &FIFOPlace{ffo: ffo, ready: make(chan struct{})}
	if ffo.running < ffo.Limit && ffo.queue.Len() == 0 {
		ffo.running++
		close(plc.ready)
		return plc, nil
	}
	if ffo.queue.Len() >= ffo.MaxQueued {
		return nil, refuse(wick.ErrBusy, 0, "limit: queue is full for %s", query.Customer)
	}
	plc.elem = ffo.queue.PushBack(plc.ready)
	return plc, nil
}

// Ready returns a channel that is closed when the request may run.
func (plc *FIFOPlace) Ready() <-chan struct{} { return plc.ready }

// Err returns nil, since a FIFO refuses nothing that waits.
func (plc *FIFOPlace) Err() error { return nil }

// Release ends a running request.
func (plc *FIFOPlace) Release(wick.Outcome) {
	plc.ffo.mu.Lock()
	defer plc.ffo.mu.Unlock()
	plc.ffo.running--
	plc.ffo.pump()
}

// Abandon gives up a request that has not run.
func (plc *FIFOPlace) Abandon() {
	plc.ffo.mu.Lock()
	defer plc.ffo.mu.Unlock()
	select {
	case <-plc.ready:
		plc.ffo.running--
		plc.ffo.pump()
	default:
		plc.ffo.queue.Remove(plc.elem)
	}
}

// pump starts waiting requests. The caller holds mu.
func (ffo *FIFO) pump() {
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
