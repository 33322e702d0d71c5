package relay

import (
	"context"
	"time"
)

const (
	// turnShare is the part of the latency objective, and turnDeadlineShare that of the
	// time left, for which a request may wait for its turn at an endpoint that limits
	// its requests. Beyond that a refusal serves the caller better.
	turnShare         = 0.5
	turnDeadlineShare = 0.25
)

// maxTurnWait returns how long the request may wait for its turn at an endpoint.
func (req *request) maxTurnWait(now time.Time) time.Duration {
	wait := time.Duration(turnDeadlineShare * float64(req.deadline.Sub(now)))
	if target := req.match.Route.Target; target > 0 {
		wait = min(wait, time.Duration(turnShare*float64(target)))
	}
	return max(wait, 0)
}

// awaitTurn waits until the request may be sent to its target, and reports whether it may:
// not if the endpoint has begun to leave or to pause, or the caller has left.
func (tgt *target) awaitTurn(ctx context.Context) bool {
	if tgt.Wait <= 0 {
		return true
	}
	tim := time.NewTimer(tgt.Wait)
	defer tim.Stop()
	select {
	case <-tim.C:
		// The timer's own value is the time at which it was due, also if the process was
		// suspended then.
		return tgt.Usable(time.Now())
	case <-tgt.Leaving:
	case <-tgt.PauseBegun:
	case <-ctx.Done():
	}
	return false
}
