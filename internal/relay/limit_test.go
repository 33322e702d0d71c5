package relay

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestLimitedEndpoint guards against an endpoint that gets more requests than the limit
// that its answers name, and against requests that wait for their turn until their
// deadline: what can't be sent soon is refused at once and told when to come back.
func TestLimitedEndpoint(t *testing.T) {
	const perSecond = 5
	rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
		fmt.Fprintf(con, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\nX-Limit: %d\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"), perSecond)
	})
	rly.post("/look/1")
	const duration = 2 * time.Second
	served, refused := 0, 0
	for end := time.Now().Add(duration); time.Now().Before(end); {
		sent := time.Now()
		res := rly.request("/look/1")
		res.Body.Close()
		switch res.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Errorf("refused with Retry-After %q", res.Header.Get("Retry-After"))
			}
			if took := time.Since(sent); took > 100*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
			time.Sleep(20 * time.Millisecond)
		default:
			t.Fatalf("status %d", res.StatusCode)
		}
	}
	if limit := perSecond*int(duration.Seconds()) + 1; served > limit || served < limit/2 {
		t.Errorf("%d requests served in %v, want about %d", served, duration, limit)
	}
}

// TestColdRetryAfter guards against callers that all receive the Retry-After of the moment at
// which an endpoint is warm.
func TestColdRetryAfter(t *testing.T) {
	const callers = 4
	rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) { reply(con, req, http.StatusOK, "ok") })
	rly.pool.SetColdPolicies(map[wick.Service]pool.ColdPolicy{"s": {Start: time.Minute, Rate: 5, Bound: 12.5}}, time.Now())
	rly.pool.MarkZoneCold("a", time.Now())
	latest := 0.0
	for range callers {
		res := rly.request("/look/1")
		res.Body.Close()
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if res.StatusCode != http.StatusServiceUnavailable || err != nil || after < time.Minute.Seconds()-1 {
			t.Errorf("status %d with Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
		}
		latest = max(latest, after)
	}
	if latest <= time.Minute.Seconds() {
		t.Errorf("all of %d callers are told to come within %v s", callers, latest)
	}
}
