package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/ports"
	"github.com/wagtailwick/wagtailwick/internal/revise"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A testCatalog decodes the types of pkg/wick from plain JSON.
type testCatalog struct{}

func decode(obj wick.Object, out any) error {
	if err := json.Unmarshal(obj.Data, out); err != nil {
		return eris.Wrap(wick.ErrInvalid, err.Error())
	}
	return nil
}

func (testCatalog) Plan(obj wick.Object) (pln wick.Plan, err error) {
	return pln, decode(obj, &pln)
}

func (testCatalog) Backend(obj wick.Object) (bke wick.Backend, err error) {
	return bke, decode(obj, &bke)
}

func (testCatalog) VersionOrder(obj wick.Object) (ord wick.VersionOrder, err error) {
	err = decode(obj, &ord)
	ord.Revision = obj.Revision
	return ord, err
}

// A testDialect uses short header names.
type testDialect struct{}

func (testDialect) ReadRequest(hdr http.Header) wick.RequestMeta {
	met := wick.RequestMeta{ID: wick.RequestID(hdr.Get("X-Id")), Key: wick.CallerKey(hdr.Get("X-Key")), Deadline: 3 * time.Second}
	for _, text := range strings.Split(hdr.Get("X-Parts"), ",") {
		if id, num, ok := strings.Cut(text, ":"); ok {
			tokens, _ := strconv.Atoi(num)
			met.Parts = append(met.Parts, wick.PromptPart{ID: wick.PartID(id), Tokens: wick.Tokens(tokens)})
		}
	}
	return met
}

func (testDialect) WriteDispatch(hdr http.Header, dsp wick.Dispatch) {
	hdr.Set("X-Endpoint", string(dsp.Endpoint))
}

func (testDialect) ReadReply(_ int, hdr http.Header) wick.ReplyMeta {
	return wick.ReplyMeta{Request: wick.RequestID(hdr.Get("X-Id")), Authentic: true, Leaving: hdr.Get("X-Leaving") != ""}
}

// testDuties records usage reports.
type testDuties struct {
	mu      sync.Mutex
	counts  map[uint64]int
	reports int
}

func (dut *testDuties) ReportUsage(_ context.Context, _ wick.Fence, rep wick.UsageReport) error {
	dut.mu.Lock()
	defer dut.mu.Unlock()
	dut.reports++
	dut.counts[rep.Window] = rep.Counts["c"]
	return nil
}

func (dut *testDuties) Scale(context.Context, wick.Fence, wick.ScaleOrder) error { return nil }

func (dut *testDuties) total() int {
	dut.mu.Lock()
	defer dut.mu.Unlock()
	sum := 0
	for _, num := range dut.counts {
		sum += num
	}
	return sum
}

// storeOrders writes the states of version orders to the objects of a store.
type storeOrders struct{ wick.Store }

func (sor storeOrders) SetState(ctx context.Context, ord wick.VersionOrder, state wick.VersionOrderState) error {
	key := wick.ObjectKey{Kind: "order", Name: string(ord.Service)}
	return revise.Object(ctx, sor.Store, key, 8, func(obj wick.Object) ([]byte, error) {
		cur, err := testCatalog{}.VersionOrder(obj)
		if err != nil {
			return nil, err
		}
		if cur.Target != ord.Target || cur.Number > ord.Number {
			return nil, wick.ErrConflict
		}
		if cur.Number == ord.Number && cur.State == state {
			return nil, nil
		}
		cur.State, cur.Number = state, ord.Number
		return json.Marshal(cur)
	})
}

// A site runs edges with a fake store and one endpoint.
type site struct {
	*testing.T
	sto    *fake.Store
	duties *testDuties
	addrs  []string
	// readyAddrs are the addresses of the readiness checks.
	readyAddrs []string
	stops      []context.CancelFunc
	exited     []chan error
	edges      []*Edge
	// prober is that of all edges, nil for none.
	prober wick.RunProber
	// slowDelay is the endpoint's delay for paths with "slow".
	slowDelay time.Duration
	// leaving makes the endpoint signal in its answers that it leaves.
	leaving atomic.Bool
	// received holds the ids of the requests that reached the endpoint.
	received sync.Map
}

const window = time.Second

func newSite(t *testing.T, edges int, quo wick.Quota) *site {
	t.Helper()
	sit := &site{T: t, sto: &fake.Store{}, duties: &testDuties{counts: make(map[uint64]int)}, slowDelay: time.Second}
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		sit.received.Store(req.Header.Get("X-Id"), req.Header.Get("X-Endpoint"))
		if strings.Contains(req.URL.Path, "slow") {
			time.Sleep(sit.slowDelay)
		}
		wri.Header().Set("X-Id", req.Header.Get("X-Id"))
		if sit.leaving.Load() {
			wri.Header().Set("X-Leaving", "1")
		}
		fmt.Fprint(wri, "answer")
	}))
	t.Cleanup(srv.Close)
	sit.put("plan", "main", 0, wick.Plan{
		Version: 1,
		Routes: []wick.RoutePlan{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: wick.RouteIdempotent, MaxAttempts: 1,
			Splits: []wick.Split{{Service: "s", Weight: 1}},
		}},
		Services:  []wick.ServicePlan{{Name: "s"}},
		Customers: []wick.CustomerPlan{{Name: "c", Keys: []wick.CallerKey{"k"}, Quota: quo}},
	})
	sit.put("backend", "i-1", 0, wick.Backend{ID: "i-1", Service: "s", Zone: "z", Address: srv.Listener.Addr().String(), Slots: 8, Born: 1})
	for num := range edges {
		sit.start(num, edges)
	}
	sit.awaitReady()
	return sit
}

// awaitReady waits until every edge has served a request.
func (sit *site) awaitReady() {
	sit.Helper()
	for num := range sit.addrs {
		sit.await(fmt.Sprint("edge ", num, " answers"), func() bool {
			status, _ := sit.send(num, "/", fmt.Sprint("await", num))
			return status == http.StatusOK
		})
	}
}

func (sit *site) put(kind wick.Kind, name string, rev wick.Revision, val any) wick.Revision {
	sit.Helper()
	data, err := json.Marshal(val)
	if err != nil {
		sit.Fatal(err)
	}
	next, err := sit.sto.Put(sit.Context(), wick.ObjectKey{Kind: kind, Name: name}, data, rev)
	if err != nil {
		sit.Fatal(err)
	}
	return next
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := ports.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (sit *site) start(num, edges int) {
	cfg := Config{
		ID: wick.EntryID(fmt.Sprint("edge", num)), Incarnation: wick.Incarnation(1 + len(sit.edges)), Zone: "z", Store: sit.sto, Dialect: testDialect{},
		Catalog: testCatalog{}, Prober: sit.prober, Duties: sit.duties, Orders: storeOrders{sit.sto}, Kinds: Kinds{Plan: "plan", Backend: "backend", VersionOrder: "order"},
		CallerAddr: freeAddr(sit.T), ReadyAddr: freeAddr(sit.T), AdminAddr: freeAddr(sit.T), PeerAddr: freeAddr(sit.T),
		MaxConnections: 100,
		Bounds: Bounds{
			UsageWindow: window, UsageDeadline: 10 * window, HandoverDelay: 100 * time.Millisecond, GracePeriod: 4 * time.Second,
			Entries: edges, QuotaWindow: 8 * time.Second,
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	edg := New(cfg)
	sit.edges = append(sit.edges, edg)
	go func() { exited <- edg.Run(ctx) }()
	sit.addrs, sit.stops, sit.exited = append(sit.addrs, cfg.CallerAddr), append(sit.stops, stop), append(sit.exited, exited)
	sit.readyAddrs = append(sit.readyAddrs, cfg.ReadyAddr)
	sit.Cleanup(stop)
}

// isReady reports whether an edge tells the load balancer that it is ready.
func (sit *site) isReady(num int) bool {
	res, err := http.Get("http://" + sit.readyAddrs[num])
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// send sends a request with further headers, names and values in turn.
func (sit *site) send(num int, path, id string, hdr ...string) (int, string) {
	sit.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+sit.addrs[num]+path, nil)
	if err != nil {
		sit.Fatal(err)
	}
	req.Host = "h"
	req.Header = http.Header{"X-Id": {id}, "X-Key": {"k"}}
	for idx := 0; idx+1 < len(hdr); idx += 2 {
		req.Header.Set(hdr[idx], hdr[idx+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(body)
}

func (sit *site) await(what string, done func() bool) {
	sit.Helper()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	sit.Errorf("not within 12 s: %s", what)
}
