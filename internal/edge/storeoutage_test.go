package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// longOutage exceeds the age of a confirmed plan and of the other entries' records.
	longOutage = max(planMaxAge, memberTimeout) + 2*time.Second
	// afterOutage is how long requests continue when the store is back.
	afterOutage = 3 * time.Second
)

// storeOutages begin a disruption of the store and return a function that ends it.
var storeOutages = map[string]func(sto *fake.Store) func(){
	"down":                              withFaults(fake.StoreFaults{Down: true}),
	"silent":                            withFaults(fake.StoreFaults{LatencyMillis: 60_000}),
	"slow":                              withFaults(fake.StoreFaults{LatencyMillis: wick.Millis(storeTimeout.Milliseconds()) - 500}),
	"answers to writes lost, old reads": withFaults(fake.StoreFaults{LoseReplies: 1, StaleReads: 0.5}),
	"down, restored from an old copy": func(sto *fake.Store) func() {
		cpy := sto.Backup()
		sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		return func() {
			sto.Restore(cpy)
			sto.SetFaults(fake.StoreFaults{}, 1)
		}
	},
}

// withFaults returns the outage that consists of some faults.
func withFaults(flt fake.StoreFaults) func(sto *fake.Store) func() {
	return func(sto *fake.Store) func() {
		sto.SetFaults(flt, 1)
		return func() { sto.SetFaults(fake.StoreFaults{}, 1) }
	}
}

// TestServiceInOutage guards against requests that are refused, end without an answer or
// are not sent because the store alone is in disruption: entries go on with what they know,
// however long it lasts, and when it is back.
func TestServiceInOutage(t *testing.T) {
	for name, begin := range storeOutages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sit := newOutageSite(t)
			end := begin(sit.sto)
			ctx, cancel := context.WithTimeout(t.Context(), longOutage+afterOutage)
			defer cancel()
			time.AfterFunc(longOutage, end)
			var callers sync.WaitGroup
			for num := range sit.addrs {
				for _, path := range []string{"/safe", "/unsafe", "/slow"} {
					callers.Go(func() { sit.assertServed(ctx, num, path) })
				}
			}
			callers.Wait()
		})
	}
}

// newOutageSite returns a site with a route that may be repeated and one that may not.
func newOutageSite(t *testing.T) *site {
	t.Helper()
	sit := newSite(t, 2, wick.Quota{})
	splits := []wick.Split{{Service: "s", Weight: 1}}
	obj, err := sit.sto.Get(t.Context(), wick.ObjectKey{Kind: "plan", Name: "main"})
	if err != nil {
		t.Fatal(err)
	}
	pln, err := testCatalog{}.Plan(obj)
	if err != nil {
		t.Fatal(err)
	}
	pln.Version++
	pln.Routes = []wick.RoutePlan{
		{Name: "safe", Host: "h", PathPrefix: "/", Kind: wick.RouteIdempotent, MaxAttempts: 2, Splits: splits},
		{Name: "unsafe", Host: "h", PathPrefix: "/unsafe", Kind: wick.RouteOnce, MaxAttempts: 1, Splits: splits},
	}
	sit.put("plan", "main", obj.Revision, pln)
	for num, edg := range sit.edges {
		sit.await(fmt.Sprint("plan at edge ", num), func() bool { return edg.plans.Load().Plan.Version == pln.Version })
	}
	return sit
}

// assertServed sends requests to an entry until ctx ends and checks that each is answered
// by the endpoint.
func (sit *site) assertServed(ctx context.Context, num int, path string) {
	began := time.Now()
	for step := 0; ctx.Err() == nil; step++ {
		id := fmt.Sprint(path, num, "-", step)
		if status, body := sit.send(num, path, id); status != http.StatusOK || body != "answer" {
			sit.Errorf("%s: %d %s after %v of the outage", id, status, body, time.Since(began))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestStartInOutage guards against an entry that starts while the store is away and leaves
// requests without an answer: it knows no plan and refuses them.
func TestStartInOutage(t *testing.T) {
	sit := newSite(t, 0, wick.Quota{})
	sit.sto.SetFaults(fake.StoreFaults{Down: true}, 1)
	sit.start(0, 1)
	sit.await("refusal", func() bool {
		status, _ := sit.send(0, "/", "early")
		return status == http.StatusServiceUnavailable
	})
	sit.sto.SetFaults(fake.StoreFaults{}, 1)
	sit.awaitReady()
}
