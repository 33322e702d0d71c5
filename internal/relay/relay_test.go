package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestCall guards against bookings that run twice and lookups that fail although
// another endpoint answers.
func TestCall(t *testing.T) {
	reset := func(_ *http.Request, con net.Conn, _ int) { con.Close() }
	for _, tst := range []struct {
		name, path string
		run        script
		status     int
		body       string
		attempts   int
	}{
		{"whole answer", "/book/1", func(req *http.Request, con net.Conn, _ int) { reply(con, req, 200, "done") }, 200, "done", 1},
		{"booking without answer", "/book/1", reset, 502, executedUnknown, 1},
		{"lookup without answer", "/look/1", reset, 502, executedUnknown, 2},
		{"lookup answered by the second", "/look/1", func(req *http.Request, con net.Conn, num int) {
			if num > 0 {
				reply(con, req, 200, "found")
			}
		}, 200, "found", 2},
		{"booking refused as not executed", "/book/1", func(req *http.Request, con net.Conn, num int) {
			if num > 0 {
				reply(con, req, 200, "done")
				return
			}
			fmt.Fprint(con, refusedHead+"Content-Length: 0\r\n\r\n")
		}, 200, "done", 2},
		{"booking fails", "/book/1", func(req *http.Request, con net.Conn, _ int) { reply(con, req, 500, "broken") }, 500, "broken", 1},
		{"answer of another request", "/book/1", func(_ *http.Request, con net.Conn, _ int) {
			fmt.Fprint(con, "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno")
		}, 502, executedUnknown, 1},
		{"answer without signature", "/book/1", func(_ *http.Request, con net.Conn, _ int) {
			fmt.Fprint(con, "HTTP/1.1 200 X\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno")
		}, 502, executedUnknown, 1},
		{"short answer", "/book/1", func(_ *http.Request, con net.Conn, _ int) {
			fmt.Fprint(con, "HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 20\r\n\r\nno")
		}, 502, executedUnknown, 1},
		{"answer that ends with its connection", "/book/1", func(_ *http.Request, con net.Conn, _ int) {
			fmt.Fprint(con, "HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Seal: s\r\n\r\nall of it")
		}, 200, "all of it", 1},
		{"no answer in time", "/book/1", func(_ *http.Request, _ net.Conn, _ int) { time.Sleep(2 * time.Second) }, 504, executedUnknown, 1},
	} {
		t.Run(tst.name, func(t *testing.T) {
			rly := newTestRelay(t, 3, tst.run)
			status, body, err := rly.post(tst.path)
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, tst.status, body, tst.body, tst.attempts)
		})
	}
}

// TestForwarding guards against requests that are modified on the way to an
// endpoint, or that leak the caller's key to it.
func TestForwarding(t *testing.T) {
	got := make(chan string, 1)
	rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
		body, _ := io.ReadAll(req.Body)
		got <- fmt.Sprintf("%s %s %s key=%q customer=%q %s", req.Method, req.RequestURI, req.Host,
			req.Header.Get("X-Key"), req.Header.Get("X-Customer"), body)
		reply(con, req, 200, "ok")
	})
	const target = "/book/a%2Fb//c/../d?x=%20y&z"
	if status, body, _ := rly.post(target); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	want := "POST " + target + ` h key="" customer="c" order`
	if text := <-got; text != want {
		t.Errorf("endpoint got %s\nwant %s", text, want)
	}
}

func beginStream(con net.Conn, events ...string) {
	fmt.Fprint(con, "HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	writeEvents(con, events...)
}

func writeEvents(con net.Conn, events ...string) {
	for _, evt := range events {
		fmt.Fprintf(con, "%x\r\n%s\r\n", len(evt), evt)
	}
}

func endStream(con net.Conn) { fmt.Fprint(con, "0\r\n\r\n") }

// TestStream guards against events that are lost, duplicated or truncated after
// the loss of an endpoint, and against truncated streams that look complete.
func TestStream(t *testing.T) {
	t.Run("resumed", func(t *testing.T) {
		rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
			if num == 0 {
				beginStream(con, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda")
				return
			}
			if last := req.Header.Get("X-Last"); last != "2" {
				t.Errorf("resumed after %q, want 2", last)
			}
			beginStream(con, "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n")
			endStream(con)
		})
		status, body, err := rly.post("/gen/1")
		if err != nil {
			t.Error(err)
		}
		rly.assert(status, 200, body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", 2)
		if strings.Count(body, "id: 2") != 1 {
			t.Errorf("event 2 is duplicated: %q", body)
		}
	})
	t.Run("not resumable", func(t *testing.T) {
		rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) { beginStream(con, "id: 1\ndata: a\n\n") })
		status, body, err := rly.post("/say/1")
		if err == nil {
			t.Error("truncated stream looks complete")
		}
		rly.assert(status, 200, body, "id: 1", 1)
	})
	t.Run("lost before the first event", func(t *testing.T) {
		rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) { beginStream(con) })
		status, body, _ := rly.post("/say/1")
		rly.assert(status, 502, body, executedUnknown, 1)
	})
	t.Run("counted once", func(t *testing.T) {
		rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
			beginStream(con, "id: 1\n\n", "id: 2\n\n")
			endStream(con)
		})
		rly.post("/gen/1")
		if rly.meter.num != 1 {
			t.Errorf("counted %d times, want 1", rly.meter.num)
		}
	})
}

// TestCallerDisconnect guards against endpoints that keep running requests whose
// callers have disconnected.
func TestCallerDisconnect(t *testing.T) {
	closed := make(chan struct{})
	rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		beginStream(con, "id: 1\n\n")
		if _, err := con.Read(make([]byte, 1)); err != nil {
			close(closed)
		}
	})
	con, err := net.Dial("tcp", rly.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(con, "GET /gen/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n\r\n")
	if _, err := con.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	con.Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("endpoint connection still open 500 ms after the caller disconnected")
	}
}

// TestAdmission guards against requests that are admitted without a route or
// key, or while the entry drains.
func TestAdmission(t *testing.T) {
	ok := func(req *http.Request, con net.Conn, _ int) { reply(con, req, 200, "ok") }
	for _, tst := range []struct {
		name, path, key string
		drain           bool
		status          int
		after           bool
	}{
		{"no route", "/other/", "k", false, 404, false},
		{"no key", "/book/1", "", false, 401, false},
		{"draining", "/book/1", "k", true, 503, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			rly := newTestRelay(t, 1, ok)
			if tst.drain {
				rly.srv.Drain()
			}
			status, body, _ := rly.post(tst.path, "X-Key", tst.key)
			rly.assert(status, tst.status, body, executedNo, 0)
		})
	}
}

// leaveAfterFirstEvent sends the first event of a stream and marks the first
// endpoint as leaving. The channel is closed when the run is stopped there.
func (rly *testRelay) leaveAfterFirstEvent(con net.Conn) <-chan struct{} {
	beginStream(con, "id: 1\ndata: a\n\n")
	return rly.leave()
}

// leave makes the first endpoint leave. The returned channel is closed when its run is
// stopped for a move.
func (rly *testRelay) leave() <-chan struct{} {
	stopped := make(chan struct{})
	rly.mover.mu.Lock()
	rly.mover.stop = func() { close(stopped) }
	rly.mover.mu.Unlock()
	rly.mu.Lock()
	rly.pool.MarkLeaving(rly.order[0], 0, time.Now())
	rly.mu.Unlock()
	return stopped
}

// TestHandoff guards against the loss of streams that can't be retried when the
// endpoints of a zone are reclaimed: each must continue elsewhere, exactly once.
func TestHandoff(t *testing.T) {
	for _, tst := range []struct {
		name     string
		moved    bool
		err      error
		attempts int
		whole    bool
	}{
		{"moved", true, nil, 2, true},
		{"stopped, not moved", false, nil, 2, true},
		{"not possible", false, wick.ErrNotFound, 1, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			var rly *testRelay
			rly = newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
				if num > 0 {
					if req.Header.Get("X-Copy") != "copy" || req.Header.Get("X-Last") != "1" {
						t.Errorf("continued with copy %q after event %q", req.Header.Get("X-Copy"), req.Header.Get("X-Last"))
					}
					beginStream(con, "id: 2\ndata: b\n\n")
					endStream(con)
					return
				}
				select {
				case <-rly.leaveAfterFirstEvent(con):
				case <-time.After(400 * time.Millisecond):
					last := "id: 2\ndata: b\n\n"
					fmt.Fprintf(con, "%x\r\n%s\r\n", len(last), last)
					endStream(con)
				}
			})
			rly.mover.moved, rly.mover.err = tst.moved, tst.err
			status, body, err := rly.post("/say/1", "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, 200, body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", tst.attempts)
			if rly.mover.calls != 1 {
				t.Errorf("%d moves, want 1", rly.mover.calls)
			}
		})
	}
}

// TestHandoffRefused guards against a run that restarts from the beginning when
// the endpoint that it was moved to refuses it, although part of it has already
// been executed. Found by a random search on lachance-bordures (rollout-good,
// seed 1020930725629).
func TestHandoffRefused(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			fmt.Fprint(con, refusedHead+"Content-Length: 0\r\n\r\n")
			return
		}
		<-rly.leaveAfterFirstEvent(con)
	})
	rly.mover.moved = true
	status, body, err := rly.post("/say/1", "X-Model", "m")
	if err == nil {
		t.Error("truncated stream looks complete")
	}
	rly.assert(status, 200, body, "id: 1", 2)
}
