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
	ffo.mu.Lock()
	if ffo.running < ffo.Limit && ffo.queue.Len() == 0 {
		ffo.running++
		ffo.mu.Unlock()
		return ffo.release, nil
	}
	if ffo.queue.Len() >= ffo.MaxQueued {
		ffo.mu.Unlock()
		return nil, refuse(wick.ErrBusy, 0, "limit: queue is full for %s", query.Customer)
	}
	ready := make(chan struct{})
	elem := ffo.queue.PushBack(ready)
	ffo.mu.Unlock()
	select {
	case <-ready:
		return ffo.release, nil
	case <-ctx.Done():
	}
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	select {
	case <-ready:
		ffo.running--
		ffo.pump()
	default:
		ffo.queue.Remove(elem)
	}
	return nil, ctx.Err()
}

func (ffo *FIFO) release(wick.Outcome) {
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	ffo.running--
	ffo.pump()
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
