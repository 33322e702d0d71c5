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

	"github.com/rcrowley/go-metrics"

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
		if shared := hdr.Get("X-Shared"); shared != "" {
			ask.Parts = []wick.PromptPart{{ID: wick.PartID(shared), Tokens: 10}, {ID: "p", Tokens: 10}}
		}
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
	pause, _ := time.ParseDuration(hdr.Get("X-Pause"))
	return wick.ReplyMeta{
		Request: wick.RequestID(hdr.Get("X-Id")), NotExecuted: hdr.Get("X-Refused") != "", Authentic: hdr.Get("X-Seal") != "",
		Limit: wick.RateLimit{Set: err == nil, PerSecond: limit}, Leaving: hdr.Get("X-Leaving") != "", RetryAfter: pause,
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
	// reserveErr is the result of Reserve after the time reserveTook. reserved and
	// released count the calls.
	reserveErr         error
	reserveTook        time.Duration
	reserved, released int
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

func (mvr *testMover) Reserve(context.Context, wick.Backend, wick.Backend, wick.RequestID) (wick.RunSnapshot, error) {
	mvr.mu.Lock()
	defer mvr.mu.Unlock()
	mvr.reserved++
	if mvr.reserveTook > 0 {
		mvr.mu.Unlock()
		time.Sleep(mvr.reserveTook)
		mvr.mu.Lock()
	}
	return "copy", mvr.reserveErr
}

func (mvr *testMover) Release(context.Context, wick.RunSnapshot) error {
	mvr.mu.Lock()
	defer mvr.mu.Unlock()
	mvr.released++
	return nil
}

type anyVersion struct{}

func (anyVersion) Choose(wick.Service, wick.RouteName, time.Time) Choice { return Choice{} }

func (anyVersion) IsRetired(wick.Service, wick.ModelVersion) bool { return false }

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
	// addrs are the addresses of the endpoints.
	addrs map[wick.VMID]string
	// announced lists the endpoints whose answers have shown that they leave.
	announced []wick.VMID
	meter     countingMeter
	mover     testMover
}

// A script answers one request on a raw connection. The requests to all
// endpoints are numbered from 0 by num.
type script func(req *http.Request, con net.Conn, num int)

func newTestRelay(t *testing.T, endpoints int, run script) *testRelay {
	t.Helper()
	rly := &testRelay{T: t, pool: pool.New("a"), received: make(map[wick.VMID]int), addrs: make(map[wick.VMID]string)}
	for idx := range endpoints {
		rly.addEndpoint(wick.VMID(fmt.Sprintf("e%d", idx)), run)
	}
	var plans plan.Current
	plans.Adopt(wick.Plan{Version: 1, Routes: []wick.RoutePlan{
		{Name: "book", Host: "h", PathPrefix: "/book/", Kind: wick.RouteOnce, MaxAttempts: 1, Timeout: time.Second},
		{Name: "late", Host: "h", PathPrefix: "/late/", Kind: wick.RouteOnce, MaxAttempts: 1, Timeout: 4 * time.Second},
		{Name: "look", Host: "h", PathPrefix: "/look/", Kind: wick.RouteIdempotent, MaxAttempts: 2, Timeout: time.Second},
		{Name: "gen", Host: "h", PathPrefix: "/gen/", Kind: wick.RouteStream, MaxAttempts: 2, Timeout: time.Second, Resumable: true},
		{Name: "long", Host: "h", PathPrefix: "/long/", Kind: wick.RouteStream, MaxAttempts: 2, Timeout: 4 * time.Second, Resumable: true},
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
		EndpointLeaves: func(bke wick.Backend) {
			rly.mu.Lock()
			defer rly.mu.Unlock()
			rly.announced = append(rly.announced, bke.ID)
		},
		PlanConfirmed: func() bool { return true }, RegistryAge: func() time.Duration { return 0 },
	})
	rly.srv.lis.Audit.Metrics = metrics.NewRegistry()
	go func() { _ = rly.srv.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = rly.srv.Shutdown(ctx)
		rly.assertAccounts()
	})
	return rly
}

// addEndpoint starts an endpoint of the service s and adds it to the pool.
func (rly *testRelay) addEndpoint(vid wick.VMID, run script) { rly.addEndpointOf("s", vid, run) }

// addEndpointOf starts an endpoint of a service and adds it to the pool.
func (rly *testRelay) addEndpointOf(svc wick.Service, vid wick.VMID, run script) {
	rly.Helper()
	rly.addListener(svc, vid, func(con net.Conn) { rly.serveConn(vid, con, run) })
}

// addListener starts an endpoint that serves its connections in any way and adds it to the
// pool.
func (rly *testRelay) addListener(svc wick.Service, vid wick.VMID, serve func(con net.Conn)) {
	rly.Helper()
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
			go serve(con)
		}
	}()
	rly.mu.Lock()
	rly.addrs[vid] = lis.Addr().String()
	rly.mu.Unlock()
	rly.pool.Set(wick.Backend{
		ID: vid, Service: svc, Zone: "a", Address: lis.Addr().String(), Slots: 4, Reclaimable: true,
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
	return rly.send(http.MethodPost, path, strings.NewReader("order"), hdr...)
}

// send sends a request of a method with a body and further headers.
func (rly *testRelay) send(method, path string, body io.Reader, hdr ...string) *http.Response {
	rly.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	rly.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+rly.addr+path, body)
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
