package relay

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// assertServed sends a request on the caller's connection and asserts its answer.
func (cal *rawCaller) assertServed() {
	cal.Helper()
	cal.sendHead("/look/1")
	if err := bodyFramings[0].write(cal, "order"); err != nil {
		cal.Error(err)
	}
	cal.assertAnswered(len("order"))
}

// TestReuseWithinIdleLimit guards against a connection that is closed although its caller
// stays within four fifths of the plan's idle limit.
func TestReuseWithinIdleLimit(t *testing.T) {
	t.Parallel()
	rly := newTestRelay(t, 1, replyLength(0))
	rly.adopt(func(pln *wick.Plan) { pln.IdleTimeout = 1500 * time.Millisecond })
	cal := rly.dial()
	for range 4 {
		cal.assertServed()
		time.Sleep(1200 * time.Millisecond)
	}
	cal.assertServed()
}

// TestIdleLimitOfPlan guards against an entry that closes connections earlier than the plan
// in force allows, or holds them for a time out of bounds.
func TestIdleLimitOfPlan(t *testing.T) {
	rly := newTestRelay(t, 1, replyLength(0))
	for _, tst := range []struct{ plan, want time.Duration }{
		{0, 0}, {15 * time.Second, 15 * time.Second}, {10 * time.Minute, 10 * time.Minute}, {365 * 24 * time.Hour, maxIdleTimeout},
	} {
		rly.adopt(func(pln *wick.Plan) { pln.IdleTimeout = tst.plan })
		if got := rly.srv.idleTimeout(); got != tst.want {
			t.Errorf("limit %v of the plan gives %v, want %v", tst.plan, got, tst.want)
		}
	}
}
