package edge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestUsage guards against usage windows that are not reported, or whose reports
// lack the counts of an entry.
func TestUsage(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	const requests = 20
	for num := range requests {
		if status, body := sit.send(num%2, "/", fmt.Sprint("r", num)); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	sit.await("all requests of both entries are reported", func() bool { return sit.duties.total() >= requests+2 })
}

// TestRestart guards against usage counts that are lost because a restarted entry
// overwrites its record (recorded day inc-778b).
func TestRestart(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	const requests = 10
	for num := range requests {
		if status, body := sit.send(0, "/", fmt.Sprint("r", num)); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	sit.await("the counts are published", func() bool {
		rec, _, err := sit.edges[0].roster.ReadOwn(t.Context())
		sum := 0
		for _, counts := range rec.Started {
			sum += counts["c"]
		}
		return err == nil && sum > requests
	})
	sit.stops[0]()
	<-sit.exited[0]
	sit.start(0, 1)
	sit.await("the new process has the counts", func() bool {
		sum := 0
		for _, counts := range sit.edges[1].tally.Counts() {
			sum += counts["c"]
		}
		return sum > requests
	})
}

// TestInitialCounts guards against a new holder of the control duty that takes the
// fleet it finds for the initial one, after the first holder has restarted
// (tsagaan-dulaan, scale-1: 24 endpoints in place of 9, and with them a floor of
// 17, for the rest of the day).
func TestInitialCounts(t *testing.T) {
	const initial = 9
	sit := newSite(t, 2, wick.Quota{})
	sit.edges[0].initialCounts.set("s", initial)
	assertKnown := func(num int) {
		t.Helper()
		sit.await(fmt.Sprintf("process %d knows the initial count", num), func() bool {
			return sit.edges[num].initialCounts.copy()["s"] == initial
		})
	}
	assertKnown(1)
	for num := range 2 {
		sit.stops[num]()
		<-sit.exited[num]
	}
	sit.start(0, 2)
	assertKnown(2)
}

// TestRetryCapacity guards against a retry budget that grows with the number of
// entries: each used the part for the number of entries that is assumed before
// any record is read (acep-casca-grown, deploy/days/grey.toml, seed
// 944762756930).
func TestRetryCapacity(t *testing.T) {
	const agreed, entries = 160, 24
	edg := New(Config{ID: "edge0", Store: &fake.Store{}, Bounds: Bounds{RetryRatio: 0.2, RetryCapacity: agreed, Entries: 6}})
	for num := range entries {
		data, err := json.Marshal(map[string]any{"id": fmt.Sprint("edge", num)})
		if err != nil {
			t.Fatal(err)
		}
		edg.roster.Change(wick.Object{Key: wick.ObjectKey{Name: fmt.Sprint("edge", num)}, Revision: 1, Data: data})
	}
	edg.quotas.allocate(time.Now())
	taken := 0
	for edg.budget.Take() {
		taken++
	}
	if sum := taken * entries; sum > agreed {
		t.Errorf("%d entries may make %d retries at once, want at most %d", entries, sum, agreed)
	}
}

// TestReserve guards against requests that are refused below the quota because they
// cost more than one entry's allocation.
func TestReserve(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{Rate: 40, Burst: 40, ByTokens: true, PlainTokens: 16})
	// One entry owns the reserve; the other requests units from it.
	sit.awaitReady()
	refused := 0
	for num := range 40 {
		if status, _ := sit.send(num%2, "/", fmt.Sprint("q", num)); status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no request refused, although 40 requests of 16 units exceed a quota of 40 units per second")
	}
}

// TestLoadNotice guards against loads that only the polling entry receives.
func TestLoadNotice(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	edg := sit.edges[0]
	sit.await("the other entry is reachable", func() bool { return len(edg.reachablePeers()) == 1 && edg.peers.Load() != nil })
	ntc := loadNotice{Loads: []endpointLoad{{ID: "i-1", Running: 5, Waiting: 7, Next: 90}}}
	edg.notify(t.Context(), wick.MsgLoad, ntc, edg.reachablePeers())
	want := wick.BackendLoad{Running: 5, Waiting: 7, NextTokens: 90}
	sit.await("the other entry has the load", func() bool {
		load, ok := sit.edges[1].pool.Load("i-1")
		return ok && load == want
	})
}

// TestLeavingNotice guards against requests to an endpoint that another entry has
// observed leaving.
func TestLeavingNotice(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	obj, err := sit.sto.Get(t.Context(), wick.ObjectKey{Kind: "backend", Name: "i-1"})
	if err != nil {
		t.Fatal(err)
	}
	var bke wick.Backend
	if err := json.Unmarshal(obj.Data, &bke); err != nil {
		t.Fatal(err)
	}
	bke.Leaving = true
	sit.put("backend", "i-1", obj.Revision, bke)
	start := time.Now()
	sit.await("both entries refuse requests for the leaving endpoint", func() bool {
		first, _ := sit.send(0, "/", "x")
		second, _ := sit.send(1, "/", "y")
		return first == http.StatusServiceUnavailable && second == http.StatusServiceUnavailable
	})
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("took %v, want 2 s at most", took)
	}
}

// TestDrain guards against requests that are aborted when an entry stops: in-flight
// requests complete, and none is accepted too late to complete within the grace
// period. The late request was found on acep-casca-grown, trouble-2, seed
// 921565232221.
func TestDrain(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	con, err := net.Dial("tcp", sit.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	running := make(chan string, 1)
	go func() {
		status, body := sit.send(0, "/slow", "running")
		running <- fmt.Sprint(status, body)
	}()
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	sit.stops[0]()
	if got := <-running; got != "200answer" {
		t.Errorf("the in-flight request got %s", got)
	}
	time.Sleep(time.Until(start.Add(2600 * time.Millisecond)))
	fmt.Fprint(con, "GET /slow HTTP/1.1\r\nHost: h\r\nX-Id: late\r\nX-Key: k\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(con), nil); err == nil {
		res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a request 2.6 s after the stop signal got %d", res.StatusCode)
		}
	}
	if _, ran := sit.received.Load("late"); ran {
		t.Error("a request was accepted 2.6 s after the stop signal")
	}
	select {
	case err := <-sit.exited[0]:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the entry does not exit within its grace period")
	}
	// A later record without the flag would make the entry an owner of reserves.
	if rec, _, err := sit.edges[0].roster.ReadOwn(t.Context()); err != nil || !rec.Leaving {
		t.Errorf("leaving flag in the entry's last record: %v (%v)", rec.Leaving, err)
	}
}

// TestDrainEnd guards against requests that are taken during a planned stop and cut without
// an answer at the end of the grace period, since their endpoint has not answered by then.
func TestDrainEnd(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	sit.slowDelay = 6 * time.Second
	con, err := net.Dial("tcp", sit.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	sit.stops[0]()
	time.Sleep(1500 * time.Millisecond)
	fmt.Fprint(con, "POST /slow HTTP/1.1\r\nHost: h\r\nX-Id: last\r\nX-Key: k\r\nContent-Length: 0\r\n\r\n")
	answered := make(chan int, 1)
	go func() {
		res, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil {
			answered <- 0
			return
		}
		defer res.Body.Close()
		answered <- res.StatusCode
	}()
	select {
	case status := <-answered:
		if status != http.StatusGatewayTimeout {
			t.Errorf("a request in flight at the end of the drain got %d", status)
		}
	case <-sit.exited[0]:
		t.Error("the process exits without an answer to a request that it took")
	}
	if _, ran := sit.received.Load("last"); !ran {
		t.Error("the request was not passed on")
	}
}

// TestStopUnderLoad guards against requests that are accepted at the end of a drain and
// cut by the exit of the process, which follows Run.
func TestStopUnderLoad(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	sit.awaitReady()
	var cut, answered atomic.Int64
	exited := make(chan struct{})
	var callers sync.WaitGroup
	for num := range 20 {
		callers.Go(func() {
			for sit.call(num, exited, &cut) {
				answered.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	sit.stops[0]()
	if err := <-sit.exited[0]; err != nil {
		t.Error(err)
	}
	close(exited)
	callers.Wait()
	if num := cut.Load(); num > 0 {
		t.Errorf("%d requests were in progress when the entry exited", num)
	}
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}

// call sends a request on a new connection and reports whether it was answered. A
// request that was written before the entry exited and answered after it counts as
// cut, since the exit would have ended it.
func (sit *site) call(num int, exited <-chan struct{}, cut *atomic.Int64) bool {
	con, err := net.Dial("tcp", sit.addrs[0])
	if err != nil {
		return false
	}
	defer con.Close()
	if _, err := fmt.Fprintf(con, "GET / HTTP/1.1\r\nHost: h\r\nX-Id: load%d\r\nX-Key: k\r\n\r\n", num); err != nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
	}
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return false
	}
	res.Body.Close()
	select {
	case <-exited:
		cut.Add(1)
	default:
	}
	return true
}

// TestGauges guards against missing or implausible gauges of the entry's state.
func TestGauges(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	sit.awaitReady()
	edg := sit.edges[0]
	sit.await("the entry's own record", func() bool { return len(edg.roster.Alive(time.Now(), memberTimeout, false)) > 0 })
	edg.updateGauges()
	for name, least := range map[string]int64{
		"edge.planAgeMs": 0, "edge.registryAgeMs": 0, "edge.planVersion": 1, "edge.entries": 1,
		"edge.memoryBytes": 1 << 20, "retry.left": 1, "pool.s.live": 1, "pool.s.inFlight": 0,
	} {
		gau, ok := metrics.DefaultRegistry.Get(name).(metrics.Gauge)
		if !ok {
			t.Errorf("no gauge %s", name)
		} else if gau.Value() < least {
			t.Errorf("gauge %s is %d, want %d at least", name, gau.Value(), least)
		}
	}
}
