package pool

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxPause bounds a pause, so that a faulty answer doesn't take an endpoint out of
	// service for good.
	maxPause = 5 * time.Minute
	// rampTime is how long after a pause the endpoint's requests grow with its answers, so
	// that those that were kept away don't all come at once.
	rampTime = time.Second
)

// A pause is the time for which an endpoint has asked this entry for no requests. Other
// entries keep pauses of their own.
type pause struct {
	until time.Time
	// begun is closed when the next pause begins.
	begun chan struct{}
	// sent and answered count the requests since the end of the pause.
	sent, answered int
}

func newPause(until time.Time) pause { return pause{until: until, begun: make(chan struct{})} }

func (pse *pause) active(now time.Time) bool { return now.Before(pse.until) }

// extend pauses the endpoint until a time, unless it is paused for longer already.
func (pse *pause) extend(until time.Time) {
	if !until.After(pse.until) {
		return
	}
	close(pse.begun)
	*pse = newPause(until)
}

// ramping reports whether a pause has just ended and the first requests since then have
// not been answered yet.
func (pse *pause) ramping(now time.Time) bool {
	return !pse.until.IsZero() && now.Sub(pse.until) < rampTime && pse.sent > 2*pse.answered
}

// A PausedError reports that all endpoints of a service that a request may use have asked
// for no requests for a time. It wraps wick.ErrBusy.
type PausedError struct {
	Service wick.Service
	// RetryAfter is the time until the first of these pauses ends.
	RetryAfter time.Duration
}

func (err *PausedError) Error() string {
	return fmt.Sprintf("pool: all endpoints of %s want no requests for %v", err.Service, err.RetryAfter)
}

func (err *PausedError) Unwrap() error { return wick.ErrBusy }

// Pause keeps requests of this entry from the assigned endpoint for a time, at most
// maxPause.
func (asg *Assignment) Pause(length time.Duration, now time.Time) {
	bke := &asg.Backend
	until := now.Add(min(length, maxPause))
	asg.pl.history.update(Incarnation{bke.ID, bke.Born}, now, func(rec *record) { rec.pausedUntil = later(rec.pausedUntil, until) })
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	if !asg.end.pause.active(now) {
		log.WithFields(logrus.Fields{logs.FieldEndpoint: bke.ID, "pause": length.String()}).Info(logs.MsgEndpointPaused)
	}
	asg.end.pause.extend(until)
	if end := asg.grp.eps[bke.ID]; end != nil && end != asg.end && end.bke.Born == bke.Born {
		end.pause.extend(until)
	}
}

// Usable reports whether the request may still be sent to the assigned endpoint.
func (asg *Assignment) Usable(now time.Time) bool {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return !asg.end.removed && asg.end.availability(now) != unavailable && asg.hasTurn(now)
}

// Paused returns the time until an endpoint of a service may be sent a request again, and
// false if that is now or doesn't depend on pauses.
func (pl *Pool) Paused(svc wick.Service, now time.Time) (time.Duration, bool) {
	grp := pl.groupOfService(svc)
	if grp == nil {
		return 0, false
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.nextPauseEnd(&Query{Service: svc, Now: now})
}

// nextPauseEnd returns the least time until a pause of an endpoint ends, and false if none
// is paused or another one may be used. Those that the request was already sent to count:
// its caller may come again.
func (grp *group) nextPauseEnd(que *Query) (time.Duration, bool) {
	least, found := maxLimitWait, false
	for _, end := range grp.all {
		switch {
		case !que.allows(end) || end.bke.Leaving || end.evacuated || que.Now.Before(end.goneUntil):
		case end.pause.active(que.Now):
			least, found = min(least, max(end.pause.until.Sub(que.Now), end.retryAfter(que.Now))), true
		case end.availability(que.Now) != unavailable && !end.isLimited(que.Now):
			return 0, false
		}
	}
	return least, found
}

// noneAvailable returns the error for a query that no endpoint matches now.
func (grp *group) noneAvailable(que *Query) error {
	turn, cold, limited := grp.nextTurn(que)
	end, paused := grp.nextPauseEnd(que)
	switch {
	case paused && (!limited || end < turn):
		return &PausedError{Service: que.Service, RetryAfter: end}
	case limited:
		return &LimitedError{Service: que.Service, RetryAfter: turn, Cold: cold}
	default:
		return eris.Wrapf(wick.ErrNotFound, "pool: no endpoint of %s is available", que.Service)
	}
}
