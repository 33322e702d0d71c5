package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// dialProber reports an endpoint that accepts connections as alive.
type dialProber struct{}

func (dialProber) ProbeRun(context.Context, wick.Backend, wick.RequestID) (bool, error) {
	return true, nil
}

func (dialProber) ProbeIncarnation(ctx context.Context, bke wick.Backend) (bool, error) {
	con, err := new(net.Dialer).DialContext(ctx, "tcp", bke.Address)
	if err != nil {
		return false, eris.Wrap(wick.ErrUnavailable, err.Error())
	}
	return true, con.Close()
}

// deadly is the part of a prompt that ends the endpoints of a crashSite.
const deadly = "deadly"

// A crashSite is a site whose endpoints end as soon as they begin to answer a prompt
// with the part deadly, while that is set.
type crashSite struct {
	*site
	active atomic.Bool
	// ended counts the endpoints that have ended.
	ended atomic.Int32
	mu    sync.Mutex
	// deadlyAt lists when requests with the deadly part reached endpoints.
	deadlyAt []time.Time
}

func newCrashSite(t *testing.T, edges, endpoints int) *crashSite {
	t.Helper()
	sit := &crashSite{site: newSite(t, 0, wick.Quota{})}
	sit.active.Store(true)
	sit.prober = dialProber{}
	sit.put("plan", "next", 0, wick.Plan{
		Version: 2,
		Routes: []wick.RoutePlan{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: wick.RouteStream, MaxAttempts: 2, Resumable: true,
			Splits: []wick.Split{{Service: "m", Weight: 1}},
		}},
		Services:  []wick.ServicePlan{{Name: "m", Model: true}},
		Customers: []wick.CustomerPlan{{Name: "c", Keys: []wick.CallerKey{"k"}}},
	})
	for num := range endpoints {
		sit.addEndpoint(num)
	}
	for num := range edges {
		sit.start(num, edges)
	}
	sit.awaitReady()
	return sit
}

func (sit *crashSite) addEndpoint(num int) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if sit.active.Load() && strings.Contains(req.Header.Get("X-Parts"), deadly) {
			sit.mu.Lock()
			sit.deadlyAt = append(sit.deadlyAt, time.Now())
			sit.mu.Unlock()
			sit.ended.Add(1)
			srv.Listener.Close()
			go srv.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		wri.Header().Set("X-Id", req.Header.Get("X-Id"))
		fmt.Fprint(wri, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	}))
	sit.Cleanup(srv.Close)
	sit.put("backend", fmt.Sprint("m-", num), 0, wick.Backend{
		ID: wick.VMID(fmt.Sprint("m-", num)), Service: "m", Zone: "z", Address: srv.Listener.Addr().String(), Slots: 8, Born: 1,
	})
}

// sendPrompt sends a prompt with its parts to an edge and returns the status.
func (sit *crashSite) sendPrompt(num int, id, parts string) int {
	sit.Helper()
	status, _ := sit.send(num, "/", id, "X-Parts", parts)
	return status
}

// deadlySince counts the requests with the deadly part that reached endpoints.
func (sit *crashSite) deadlySince(at time.Time) int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	num := 0
	for _, one := range sit.deadlyAt {
		if one.After(at) {
			num++
		}
	}
	return num
}

// Bounds agreed with the users: how many requests with a deadly part may reach endpoints
// later than lateAfter after the fifth crash.
const (
	freeCrashes = 5
	lateAfter   = 3 * time.Second
	lateAllowed = 3
)

// sendDeadly sends requests with the deadly part to the edges in turn, and beside each a
// sound one that shares its first part, and asserts that these are answered.
func (sit *crashSite) sendDeadly(edges, requests int) {
	sit.Helper()
	for num := range requests {
		sit.sendPrompt(num%edges, fmt.Sprint("deadly", num), fmt.Sprintf("shared:100,%s:10,own%d:5", deadly, num))
		if status := sit.sendPrompt(num%edges, fmt.Sprint("sound", num), fmt.Sprintf("shared:100,other:10,own%d:5", num)); status != http.StatusOK {
			sit.Errorf("request %d that shares only the first part: status %d, want 200", num, status)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// assertContained asserts that hardly any request with the deadly part reached an
// endpoint once the entries could know it.
func (sit *crashSite) assertContained() {
	sit.Helper()
	if len(sit.deadlyAt) < freeCrashes {
		return
	}
	if num := sit.deadlySince(sit.deadlyAt[freeCrashes-1].Add(lateAfter)); num > lateAllowed {
		sit.Errorf("%d requests with the deadly part reached endpoints %v after the fifth crash, want at most %d", num, lateAfter, lateAllowed)
	}
}

// TestPromptPartEndsEndpoints guards against requests of one kind that end one endpoint
// after the other: each was sent to a second endpoint like any lost request, and nothing
// linked the crashes to the part of the prompt that they share. Requests that share only
// the part before it must be served.
func TestPromptPartEndsEndpoints(t *testing.T) {
	const requests = 26
	sit := newCrashSite(t, 2, 2*requests+2)
	sit.sendDeadly(2, requests)
	sit.assertContained()
}

// TestLateEntryKnowsBlockedPrompts guards against an entry that starts after the crashes
// and sends the prompts that end endpoints once more.
func TestLateEntryKnowsBlockedPrompts(t *testing.T) {
	const late = 2
	sit := newCrashSite(t, late, 30)
	sit.sendDeadly(late, 8)
	ended := sit.ended.Load()
	sit.start(late, late+1)
	sit.await("the new entry serves", func() bool {
		return sit.isReady(late) && sit.sendPrompt(late, "sound", "shared:100,other:10,own:5") == http.StatusOK
	})
	if status := sit.sendPrompt(late, "again", "shared:100,"+deadly+":10,own:5"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of a blocked prompt at the new entry, want 503", status)
	}
	if num := sit.ended.Load(); num != ended {
		t.Errorf("%d more endpoints ended by the new entry", num-ended)
	}
}

// TestLostAnswerOfRunningEndpoint guards against prompts that are blocked since their
// answers were lost, although the endpoints went on: only their ends count.
func TestLostAnswerOfRunningEndpoint(t *testing.T) {
	edg := New(Config{ID: "edge0", Prober: dialProber{}, Bounds: Bounds{Entries: 1}})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	pro := crash.Prompt{Shared: crash.Parts{"part"}, Own: "own"}
	for num := range 6 {
		bke := wick.Backend{ID: wick.VMID(fmt.Sprint("i-", num)), Address: lis.Addr().String()}
		edg.crashes.Lost(bke, pro, time.Now())
		time.Sleep(200 * time.Millisecond)
	}
	if nws := edg.crashes.tracker.Record(time.Now()); !nws.IsEmpty() {
		t.Errorf("evidence %+v, although all endpoints run", nws)
	}
}

// A silentProber is the prober of an endpoint that is silent until a time and then
// answers, as the same incarnation or as a new one, or rejects connections.
type silentProber struct {
	dialProber
	until          time.Time
	reborn, refuse bool
}

func (prb *silentProber) ProbeIncarnation(ctx context.Context, _ wick.Backend) (bool, error) {
	select {
	case <-ctx.Done():
		return false, eris.Wrap(wick.ErrUnavailable, ctx.Err().Error())
	case <-time.After(time.Until(prb.until)):
	}
	if prb.refuse {
		return false, eris.Wrap(wick.ErrUnavailable, "connection refused")
	}
	return !prb.reborn, nil
}

// TestSilenceIsNoEnd guards against prompts that count as the cause of an end that did not
// happen: a sound endpoint that was silent for a second was taken for one that has ended.
// One that stays dark, rejects connections or has restarted has ended, and this is known
// as soon as it is certain.
func TestSilenceIsNoEnd(t *testing.T) {
	const forever = time.Hour
	tests := map[string]struct {
		silent, heardAgo time.Duration
		reborn, refuse   bool
		// ended is whether the endpoint has ended, which must be known within.
		ended  bool
		within time.Duration
	}{
		"silent for a second":        {silent: 1200 * time.Millisecond, within: 3 * time.Second},
		"dark":                       {silent: forever, ended: true, within: 3 * time.Second},
		"dark since before the loss": {silent: forever, heardAgo: 1700 * time.Millisecond, ended: true, within: time.Second},
		"rejects connections":        {refuse: true, ended: true, within: 500 * time.Millisecond},
		"restarted":                  {reborn: true, ended: true, within: 500 * time.Millisecond},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Now()
			prb := &silentProber{until: now.Add(tst.silent), reborn: tst.reborn, refuse: tst.refuse}
			edg := New(Config{ID: "edge0", Prober: prb, Bounds: Bounds{Entries: 1}})
			bke := wick.Backend{ID: "e-0"}
			edg.crashes.Lost(bke, crash.Prompt{Shared: crash.Parts{"part"}, Own: "own"}, now.Add(-tst.heardAgo))
			known := func() bool { return edg.crashes.record(time.Now()) != nil }
			for !known() && time.Since(now) < tst.within {
				time.Sleep(10 * time.Millisecond)
			}
			if known() != tst.ended {
				t.Errorf("end recorded %v after %v, want %v", known(), time.Since(now), tst.ended)
			}
		})
	}
}
