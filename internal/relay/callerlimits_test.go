package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/logs"
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

// TestTrailersOfRequest guards against trailers above the limit of the plan that are read to
// their end, whose request is sent to an endpoint, or whose rest is taken for the next request,
// and against ones within it that are refused.
func TestTrailersOfRequest(t *testing.T) {
	const limit = 4 << 10
	rly := newTestRelay(t, 1, replyLength(0))
	rly.adopt(func(pln *wick.Plan) { pln.MaxHeaderBytes = limit })
	const chunk = "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n"
	line := "A: " + strings.Repeat("b", 95) + "\r\n"
	cal := rly.dial()
	cal.sendHead("/look/1")
	fmt.Fprint(cal, chunk, strings.Repeat(line, limit/len(line)-1), "\r\n")
	cal.assertAnswered(len("order"))
	cal.sendHead("/look/1")
	fmt.Fprint(cal, chunk, strings.Repeat(line, 2*limit/len(line)), "\r\nGET /look/1 HTTP/1.1\r\nHost: h\r\nX-Key: k\r\n\r\n")
	cal.assertRefused(http.StatusRequestHeaderFieldsTooLarge, logs.ReasonTrailerSize)
	if _, err := cal.in.ReadByte(); err == nil {
		t.Error("the connection is used further")
	}
	rly.mu.Lock()
	defer rly.mu.Unlock()
	if len(rly.order) != 1 {
		t.Errorf("%d requests were sent, want 1", len(rly.order))
	}
}

// TestConnectionLimit guards against connections that exceed the memory of the machine.
func TestConnectionLimit(t *testing.T) {
	for _, tst := range []struct{ memory, want int64 }{{0, 2075}, {144 << 20, 2075}, {32 << 20, 512}, {1, 1}} {
		cfg := Config{MaxConnections: 2075, Memory: tst.memory}
		if got := cfg.connectionLimit(); got != tst.want {
			t.Errorf("%d bytes allow %d connections, want %d", tst.memory, got, tst.want)
		}
	}
}
