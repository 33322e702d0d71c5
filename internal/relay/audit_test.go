package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// accounts returns the counters of the callers' requests by their names behind
// "front.requests.", and the sum of those that count an end.
func (rly *testRelay) accounts() (counts map[string]int64, ended int64) {
	counts = make(map[string]int64)
	rly.srv.lis.Audit.Metrics.Each(func(name string, val any) {
		cnt, ok := val.(metrics.Counter)
		if !ok {
			return
		}
		name = strings.TrimPrefix(name, "front.requests.")
		counts[name] = cnt.Count()
		if name != "read" && name != "unasked" {
			ended += cnt.Count()
		}
	})
	return counts, ended
}

// assertAccounts checks that each request that was read is open or has ended in a way that
// is no fault.
func (rly *testRelay) assertAccounts() {
	rly.Helper()
	var counts map[string]int64
	var ended int64
	// The counters are not read at once.
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		counts, ended = rly.accounts()
		if counts["read"] == ended+rly.srv.Unanswered() {
			break
		}
	}
	if counts["read"] != ended+rly.srv.Unanswered() {
		rly.Errorf("%d requests are open, %d ended: %v", rly.srv.Unanswered(), ended, counts)
	}
	if counts["unanswered"] != 0 || counts["unasked"] != 0 {
		rly.Errorf("requests without a response, or the reverse: %v", counts)
	}
}

// awaitAccounts waits until the counters are those of want.
func (rly *testRelay) awaitAccounts(want map[string]int64) {
	rly.Helper()
	var counts map[string]int64
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		counts, _ = rly.accounts()
		if fmt.Sprint(counts) == fmt.Sprint(want) {
			return
		}
	}
	rly.Errorf("counters %v, want %v", counts, want)
}

// auditScript answers by the path of the request.
func auditScript(req *http.Request, con net.Conn, num int) {
	switch req.URL.Path {
	case "/say/cut":
		beginStream(con, eventOne)
	case "/say/whole":
		beginStream(con, eventOne+eventTwo)
		endStream(con)
	case "/gen/panic":
		if num == 0 {
			beginStream(con, eventOne)
			return
		}
		_, _ = con.Write([]byte("HTTP/1.1 200 X\r\nX-Panic: 1\r\nContent-Length: 0\r\n\r\n"))
	case "/late/slow":
		time.Sleep(300 * time.Millisecond)
		reply(con, req, http.StatusOK, "late")
	default:
		reply(con, req, http.StatusOK, "ok")
	}
}

// TestAccounts guards against a kind of request whose end is not accounted for, or is taken
// for another.
func TestAccounts(t *testing.T) {
	const keys = "Host: h\r\nX-Id: r1\r\nX-Key: k\r\n"
	post := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\n" + keys + "Content-Length: 5\r\n\r\norder"
	}
	for name, tst := range map[string]struct {
		send string
		want map[string]int64
	}{
		"answer":          {post("/book/1"), map[string]int64{"read": 1, "answered": 1}},
		"unknown route":   {post("/none/1"), map[string]int64{"read": 1, "answered": 1}},
		"stream":          {post("/say/whole"), map[string]int64{"read": 1, "answered": 1}},
		"broken stream":   {post("/say/cut"), map[string]int64{"read": 1, "brokenOff.endpoint.outcomeUnknown": 1}},
		"panic in stream": {post("/gen/panic"), map[string]int64{"read": 1, "brokenOff.entry.panic": 1}},
		"HEAD":            {"HEAD /look/1 HTTP/1.1\r\n" + keys + "\r\n", map[string]int64{"read": 1, "answered": 1}},
		"chunked":         {"POST /look/1 HTTP/1.1\r\n" + keys + "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n", map[string]int64{"read": 1, "answered": 1}},
		"continue":        {"POST /look/1 HTTP/1.1\r\n" + keys + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\norder", map[string]int64{"read": 1, "answered": 1}},
		"pipelined":       {strings.Repeat(post("/look/1"), 3), map[string]int64{"read": 3, "answered": 3}},
		"broken stream, then pipelined": {post("/say/cut") + post("/look/1"), map[string]int64{
			"read": 2, "brokenOff.endpoint.outcomeUnknown": 1, "brokenOff.entry.closeAnnounced": 1,
		}},
		"body too large": {
			fmt.Sprintf("POST /look/1 HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", keys, defaultBodyBytes+1, strings.Repeat("x", defaultBodyBytes+1)),
			map[string]int64{"read": 1, "answered": 1},
		},
		"malformed": {"GET\r\n\r\n", map[string]int64{"read": 1, "untracked": 1}},
		"half":      {post("/look/1")[:40], map[string]int64{}},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 2, auditScript)
			rly.srv.cfg.Dialect = midPanicDialect{}
			cal := rly.dial()
			if _, err := io.WriteString(cal, tst.send); err != nil {
				t.Error(err)
			}
			rly.awaitAccounts(tst.want)
		})
	}
	t.Run("draining", func(t *testing.T) {
		rly := newTestRelay(t, 1, auditScript)
		rly.srv.Drain()
		io.WriteString(rly.dial(), post("/look/1"))
		rly.awaitAccounts(map[string]int64{"read": 1, "refused": 1})
	})
	t.Run("caller leaves", func(t *testing.T) {
		rly := newTestRelay(t, 1, auditScript)
		cal := rly.dial()
		io.WriteString(cal, post("/late/slow"))
		time.Sleep(50 * time.Millisecond)
		if rly.srv.Unanswered() != 1 {
			t.Errorf("%d requests open, want 1", rly.srv.Unanswered())
		}
		if tcp, ok := cal.Conn.(*net.TCPConn); !ok || tcp.SetLinger(0) != nil {
			t.Fatal("the connection can't be reset")
		}
		cal.Close()
		time.Sleep(50 * time.Millisecond)
		counts, _ := rly.accounts()
		if counts["read"] != 1 || rly.srv.Unanswered() != 0 {
			t.Errorf("%d open: %v", rly.srv.Unanswered(), counts)
		}
	})
}

// TestUnansweredAtStop guards against requests that the end of the process cuts without a
// trace.
func TestUnansweredAtStop(t *testing.T) {
	rly := newTestRelay(t, 1, auditScript)
	cal := rly.dial()
	io.WriteString(cal, "GET /late/slow HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	rly.srv.ReportUnanswered()
	rly.awaitAccounts(map[string]int64{"read": 1, "unanswered": 1})
	// The check at the end of the test expects no fault.
	rly.srv.lis.Audit.Metrics.UnregisterAll()
}
