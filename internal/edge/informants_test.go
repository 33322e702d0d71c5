package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestInformants guards against an entry that goes on with old readings of the registry
// when it no longer hears of them, for instance after it was paused.
func TestInformants(t *testing.T) {
	now := time.Unix(1000, 0)
	var inf informants
	assertCurrent := func(after time.Duration, want bool) {
		t.Helper()
		if got := inf.current(now.Add(after)); got != want {
			t.Errorf("current after %v: %v, want %v", after, got, want)
		}
	}
	assertCurrent(0, false)
	inf.heard(now)
	assertCurrent(informedTimeout-time.Millisecond, true)
	assertCurrent(informedTimeout, false)

	t.Run("endpoints that left", func(t *testing.T) {
		inf.left([]leavingEndpoint{{ID: "i-1", Born: 1}}, now)
		if got := inf.recentlyLeft(now.Add(leftRetention)); len(got) != 1 {
			t.Errorf("%d endpoints repeated, want 1", len(got))
		}
		if got := inf.recentlyLeft(now.Add(leftRetention + time.Millisecond)); len(got) != 0 {
			t.Errorf("%d endpoints repeated, want none", len(got))
		}
	})
	t.Run("endpoint that returns", func(t *testing.T) {
		inf.left([]leavingEndpoint{{ID: "i-2", Born: 1, Gone: true}, {ID: "i-3", Born: 1}}, now)
		inf.returned("i-2")
		inf.returned("i-3")
		if got := inf.recentlyLeft(now); len(got) != 1 || got[0].ID != "i-3" {
			t.Errorf("%v repeated, want i-3, which was listed as leaving", got)
		}
		inf.left(nil, now.Add(time.Minute))
		if len(inf.leftAt) != 0 {
			t.Errorf("%d endpoints are kept for good", len(inf.leftAt))
		}
	})
	t.Run("plan", func(t *testing.T) {
		for _, tst := range []struct {
			ver   wick.PlanVersion
			after time.Duration
			want  bool
		}{{0, 0, false}, {7, 0, true}, {7, relistInterval / 2, false}, {8, relistInterval / 2, true}, {8, 2 * relistInterval, true}} {
			if got := inf.mayRelist(tst.ver, now.Add(tst.after)); got != tst.want {
				t.Errorf("relist for %d after %v: %v, want %v", tst.ver, tst.after, got, tst.want)
			}
		}
	})
}

// TestRegistryNotice guards against requests to an endpoint that only the poller of
// its zone has found removed, and against a plan that an entry misses because its own
// watch is dead.
func TestRegistryNotice(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	edg := sit.edges[0]
	send := func(ntc loadNotice) {
		t.Helper()
		data, err := peer.Encode(ntc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := edg.handleLoadNotice(t.Context(), "other", data); err != nil {
			t.Fatal(err)
		}
	}
	send(loadNotice{})
	if edg.informants.current(time.Now()) {
		t.Error("a poller without a current registry counts")
	}
	send(loadNotice{Current: true, Plan: 5, Left: []leavingEndpoint{{ID: "i-1", Born: 1}}})
	if !edg.informants.current(time.Now()) {
		t.Error("a poller with a current registry does not count")
	}
	if _, live := edg.pool.Incarnation("i-1"); live {
		t.Error("the removed endpoint still gets requests")
	}
	if edg.informants.mayRelist(5, time.Now()) {
		t.Error("the newer plan was not reread")
	}
}

// A deadWatch is a store whose connection has gone silent: its watches never end.
type deadWatch struct{ wick.Store }

func (dwt deadWatch) Watch(ctx context.Context, _ wick.Kind, _ wick.Revision) ([]wick.Object, wick.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestOrderNotice guards against a version that gets requests like any other, and is not
// proved, at an entry whose watch of the orders is dead.
func TestOrderNotice(t *testing.T) {
	sit := newSite(t, 0, wick.Quota{})
	edg := newIdleEdge(sit.sto)
	edg.orders.Store = deadWatch{sit.sto}
	go edg.orders.Run(t.Context())
	sit.await("the orders were read once", func() bool { return !edg.orders.LastSuccess().IsZero() })
	rev := sit.put("order", "s", 0, wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, Number: 1})
	notify := func(rev wick.Revision) {
		data, err := peer.Encode(loadNotice{Orders: rev})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := edg.handleLoadNotice(t.Context(), "other", data); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(watchLag / 2)
	if edg.rollouts.inProgress("s") {
		t.Fatal("the watch is not dead")
	}
	start := time.Now()
	sit.await("the order is known", func() bool {
		notify(rev)
		return edg.rollouts.inProgress("s")
	})
	if took := time.Since(start); took < watchLag || took > 4*watchLag {
		t.Errorf("read again after %v, want it soon after %v", took, watchLag)
	}
	reads := sit.sto.Calls().Reads
	for range 3 {
		notify(rev)
		time.Sleep(watchLag / 2)
	}
	if more := sit.sto.Calls().Reads - reads; more > 0 {
		t.Errorf("%d more reads although no entry is ahead", more)
	}
}

// TestWithinLease guards against a call of the control duty that is sent after the lease
// has run out, for instance because the process was paused after it had checked it.
func TestWithinLease(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{})
	edg := sit.edges[0]
	sit.await("the duty is held", func() bool { _, ok := edg.controlFence(time.Now()); return ok })
	_ = edg.withinLease(t.Context(), func(ctx context.Context) error {
		until, ok := ctx.Deadline()
		if left := time.Until(until); !ok || left <= 0 || left > leaseTiming.Expiry {
			t.Errorf("deadline %v from now (%v), want at most %v", left, ok, leaseTiming.Expiry)
		}
		return nil
	})
	sit.stops[0]()
	<-sit.exited[0]
	_ = edg.withinLease(t.Context(), func(ctx context.Context) error {
		if ctx.Err() == nil {
			t.Error("a step may send without the lease")
		}
		return nil
	})
}

// TestPollSchedule guards against polls of idle endpoints as often as of busy ones:
// each costs the endpoint a call (tsagaan-dulaan-grown, quiet-1: 29,000 for 11,700
// requests).
func TestPollSchedule(t *testing.T) {
	const length = 12 * time.Second
	bke := &wick.Backend{ID: "i-1", Slots: 12}
	for name, tst := range map[string]struct {
		load      wick.BackendLoad
		low, high int
	}{
		"idle":    {wick.BackendLoad{Running: 1}, 8, 13},
		"busy":    {wick.BackendLoad{Running: 6}, 25, 31},
		"waiting": {wick.BackendLoad{Waiting: 1}, 25, 31},
	} {
		t.Run(name, func(t *testing.T) {
			schedule, polls := make(pollSchedule), 0
			start := time.Unix(1000, 0)
			for at := time.Duration(0); at < length; at += loadPollInterval {
				if schedule.due(bke, start.Add(at)) {
					polls++
					schedule.polled(bke, tst.load, start.Add(at))
				}
			}
			if polls < tst.low || polls > tst.high {
				t.Errorf("%d polls in %v, want %d to %d", polls, length, tst.low, tst.high)
			}
		})
	}
}

// TestLeavingAnswer guards against requests of any entry to an endpoint whose answer to one
// of them has shown that it leaves, before the registry says so.
func TestLeavingAnswer(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	sit.await("the edges know each other", func() bool {
		return len(sit.edges[0].reachablePeers()) == 1 && len(sit.edges[1].reachablePeers()) == 1
	})
	sit.leaving.Store(true)
	if status, body := sit.send(0, "/", "last"); status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	if status, _ := sit.send(0, "/", "late"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal", status)
	}
	if _, reached := sit.received.Load("late"); reached {
		t.Error("a request reached an endpoint that leaves")
	}
	sit.await("the other edge is told", func() bool {
		_, ok := sit.edges[1].pool.Incarnation("i-1")
		return !ok
	})
	if got := sit.edges[0].informants.recentlyLeft(time.Now()); len(got) != 1 {
		t.Errorf("%v repeated in notices, want the endpoint", got)
	}
}
