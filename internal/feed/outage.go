package feed

import (
	"context"
	"sync"
	"time"
)

// An Outage is what the followers of one store share about its failures. The more of
// them fail, the less often each retries, so that a process probes an unreachable store
// at the rate of one follower. The first success makes the others retry at once. Its
// zero value is ready to use.
type Outage struct {
	mu sync.Mutex
	// failing counts the followers whose last call failed.
	failing int
	// ended is closed by the next success.
	ended chan struct{}
}

// begin counts a follower whose calls begin to fail.
func (out *Outage) begin() {
	if out == nil {
		return
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	out.failing++
	if out.ended == nil {
		out.ended = make(chan struct{})
	}
}

// end counts a follower whose calls succeed again, and wakes the others.
func (out *Outage) end() {
	if out == nil {
		return
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	out.failing--
	close(out.ended)
	out.ended = make(chan struct{})
}

// wait waits for a backoff, extended by the number of failing followers, or until one
// of them succeeds.
func (out *Outage) wait(ctx context.Context, backoff time.Duration) {
	var ended chan struct{}
	if out != nil {
		out.mu.Lock()
		backoff *= time.Duration(max(out.failing, 1))
		ended = out.ended
		out.mu.Unlock()
	}
	tim := time.NewTimer(backoff)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ended:
	case <-ctx.Done():
	}
}
