package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A testDialect uses short header names.
type testDialect struct{}

func (testDialect) ReadRequest(hdr http.Header) wick.RequestMeta {
	ask := wick.RequestMeta{ID: wick.RequestID(hdr.Get("X-Id")), Key: wick.CallerKey(hdr.Get("X-Key")), LastEventID: hdr.Get("X-Last")}
	if hdr.Get("X-Model") != "" {
		ask.Parts = []wick.PromptPart{{ID: "p", Tokens: 10}}
	}
	if text := hdr.Get("X-Deadline"); text != "" {
		ask.Deadline, _ = time.ParseDuration(text)
	}
	return ask
}

func (testDialect) WriteDispatch(hdr http.Header, dsp wick.Dispatch) {
	hdr.Del("X-Key")
	hdr.Set("X-Customer", string(dsp.Customer))
	if dsp.Snapshot != "" {
		hdr.Set("X-Copy", string(dsp.Snapshot))
	}
	if dsp.LastEventID != "" {
		hdr.Set("X-Last", dsp.LastEventID)
	}
}

func (testDialect) ReadReply(_ int, hdr http.Header) wick.ReplyMeta {
	limit, err := strconv.ParseFloat(hdr.Get("X-Limit"), 64)
	return wick.ReplyMeta{
		Request: wick.RequestID(hdr.Get("X-Id")), NotExecuted: hdr.Get("X-Refused") != "", Authentic: hdr.Get("X-Seal") != "",
		Limit: wick.RateLimit{Set: err == nil, PerSecond: limit},
	}
}

type countingMeter struct {
	mu  sync.Mutex
	num int
}

func (cnt *countingMeter) CountStarted(wick.Customer, time.Time) {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	cnt.num++
}

// A testMover simulates a move by closing the source's connection.
type testMover struct {
	mu sync.Mutex
	// stop closes the connection of the run.
	stop  func()
	moved bool
	err   error
	calls int
}

func (mvr *testMover) Move(context.Context, wick.Backend, wick.Backend, wick.RequestID) (wick.RunSnapshot, bool, error) {
	mvr.mu.Lock()
	defer mvr.mu.Unlock()
	mvr.calls++
	if mvr.err == nil {
		mvr.stop()
	}
	return "copy", mvr.moved, mvr.err
}

type anyVersion struct{}

func (anyVersion) Choose(wick.Service, wick.RouteName, time.Time) Choice { return Choice{} }

type unlimitedQuotas struct{}

func (unlimitedQuotas) Take(context.Context, *wick.CustomerPlan, float64, time.Time) (bool, time.Duration) {
	return true, 0
}
func (unlimitedQuotas) Refund(*wick.CustomerPlan, float64) {}

// A testRelay is a relay in front of endpoints that run a script.
type testRelay struct {
	*testing.T
	addr string
	srv  *Server
	pool *pool.Pool
	// received counts the requests that reached each endpoint, and order lists
	// their endpoints in order of arrival.
	mu       sync.Mutex
	received map[wick.VMID]int
	order    []wick.VMID
	meter    countingMeter
	mover    testMover
}

// A script answers one request on a raw connection. The requests to all
// endpoints are numbered from 0 by num.
type script func(req *http.Request, con net.Conn, num int)

func newTestRelay(t *testing.T, endpoints int, run script) *testRelay {
	t.Helper()
	rly := &testRelay{T: t, pool: pool.New("a"), received: make(map[wick.VMID]int)}
	for idx := range endpoints {
		rly.addEndpoint(wick.VMID(fmt.Sprintf("e%d", idx)), run)
	}
	var plans plan.Current
	plans.Adopt(wick.Plan{Version: 1, Routes: []wick.RoutePlan{
		{Name: "book", Host: "h", PathPrefix: "/book/", Kind: wick.RouteOnce, MaxAttempts: 1, Timeout: time.Second},
		{Name: "look", Host: "h", PathPrefix: "/look/", Kind: wick.RouteIdempotent, MaxAttempts: 2, Timeout: time.Second},
		{Name: "gen", Host: "h", PathPrefix: "/gen/", Kind: wick.RouteStream, MaxAttempts: 2, Timeout: time.Second, Resumable: true},
		{Name: "say", Host: "h", PathPrefix: "/say/", Kind: wick.RouteStream, MaxAttempts: 1, Timeout: time.Second},
	}, Customers: []wick.CustomerPlan{{Name: "c", Keys: []wick.CallerKey{"k"}}}})
	for idx := range plans.Load().Plan.Routes {
		plans.Load().Plan.Routes[idx].Splits = []wick.Split{{Service: "s", Weight: 1}}
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rly.addr = lis.Addr().String()
	rly.srv = New(Config{
		Listener: lis, MaxConnections: 100, Dialect: testDialect{}, Plans: &plans, Pool: rly.pool,
		Quotas: unlimitedQuotas{}, Versions: anyVersion{}, Mover: &rly.mover, Budget: &retry.Budget{}, Client: &wire.Client{}, Meter: &rly.meter,
		PlanConfirmed: func() bool { return true }, RegistryAge: func() time.Duration { return 0 },
	})
	go func() { _ = rly.srv.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = rly.srv.Shutdown(ctx)
	})
	return rly
}

// addEndpoint starts an endpoint and adds it to the pool.
func (rly *testRelay) addEndpoint(vid wick.VMID, run script) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rly.Fatal(err)
	}
	rly.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go rly.serveConn(vid, con, run)
		}
	}()
	rly.pool.Set(wick.Backend{
		ID: vid, Service: "s", Zone: "a", Address: lis.Addr().String(), Slots: 4, Reclaimable: true,
	}, time.Now())
}

func (rly *testRelay) serveConn(vid wick.VMID, con net.Conn, run script) {
	defer con.Close()
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	rly.mu.Lock()
	num := len(rly.order)
	rly.received[vid]++
	rly.order = append(rly.order, vid)
	rly.mu.Unlock()
	run(req, con, num)
}

// post sends a request and returns the status and body, and the error of
// reading the body.
func (rly *testRelay) post(path string, hdr ...string) (int, string, error) {
	rly.Helper()
	res := rly.request(path, hdr...)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// request sends a request with further headers, names and values in turn.
func (rly *testRelay) request(path string, hdr ...string) *http.Response {
	rly.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	rly.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rly.addr+path, strings.NewReader("order"))
	if err != nil {
		rly.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Id", "r1")
	req.Header.Set("X-Key", "k")
	for idx := 0; idx+1 < len(hdr); idx += 2 {
		req.Header.Set(hdr[idx], hdr[idx+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		rly.Fatal(err)
	}
	rly.Cleanup(func() { res.Body.Close() })
	return res
}

func reply(con net.Conn, req *http.Request, status int, body string) {
	fmt.Fprintf(con, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("X-Id"), len(body), body)
}

func (rly *testRelay) assert(gotStatus, wantStatus int, gotBody, wantBody string, wantAttempts int) {
	rly.Helper()
	if gotStatus != wantStatus {
		rly.Errorf("status %d, want %d", gotStatus, wantStatus)
	}
	if !strings.Contains(gotBody, wantBody) {
		rly.Errorf("body %q, want %q in it", gotBody, wantBody)
	}
	rly.mu.Lock()
	defer rly.mu.Unlock()
	if len(rly.order) != wantAttempts {
		rly.Errorf("%d attempts %v, want %d", len(rly.order), rly.order, wantAttempts)
	}
}

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
			fmt.Fprint(con, "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
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
	stopped := make(chan struct{})
	rly.mover.mu.Lock()
	rly.mover.stop = func() { close(stopped) }
	rly.mover.mu.Unlock()
	rly.mu.Lock()
	rly.pool.MarkLeaving(rly.order[0], 0)
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
			fmt.Fprint(con, "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
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
