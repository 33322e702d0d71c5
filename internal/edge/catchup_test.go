package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// writePlan writes a version of the plan.
func (sit *site) writePlan(ver wick.PlanVersion) {
	sit.Helper()
	obj, err := sit.sto.Get(sit.Context(), wick.ObjectKey{Kind: "plan", Name: "main"})
	if err != nil {
		sit.Fatal(err)
	}
	sit.put("plan", "main", obj.Revision, sit.planVersion(ver))
}

// planVersion returns the site's plan with another version.
func (sit *site) planVersion(ver wick.PlanVersion) wick.Plan {
	pln := sit.edges[0].plans.Load().Plan
	pln.Version = ver
	return pln
}

func (sit *site) awaitPlan(num int, ver wick.PlanVersion) {
	sit.Helper()
	sit.await("the plan is in force", func() bool {
		tbl := sit.edges[num].plans.Load()
		return tbl != nil && tbl.Plan.Version == ver
	})
}

// awaitPeer waits until an edge knows another that it can reach.
func (sit *site) awaitPeer(num int) {
	sit.Helper()
	sit.await("a peer is known", func() bool {
		return sit.edges[num].peers.Load() != nil && len(sit.edges[num].reachablePeers()) > 0
	})
}

// TestRestoredPlan guards against requests that are handled by an older plan because the
// store was restored from a copy without the newest one.
func TestRestoredPlan(t *testing.T) {
	t.Run("an entry that starts", func(t *testing.T) {
		sit := newSite(t, 2, wick.Quota{})
		sit.awaitPeer(0)
		sit.awaitPeer(1)
		cpy := sit.sto.Backup()
		sit.writePlan(2)
		sit.awaitPlan(0, 2)
		sit.awaitPlan(1, 2)
		sit.sto.Restore(cpy)
		sit.start(2, 3)
		first := wick.PlanVersion(0)
		for end := time.Now().Add(10 * time.Second); first == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			if tbl := sit.edges[2].plans.Load(); tbl != nil {
				first = tbl.Plan.Version
			}
		}
		if first != 2 {
			t.Errorf("the first version in force is %d, want 2, which the others have", first)
		}
	})
	t.Run("an entry that missed the lost version", func(t *testing.T) {
		sit := newSite(t, 2, wick.Quota{})
		sit.awaitPeer(0)
		sit.awaitPeer(1)
		sit.sto.Restore(sit.sto.Backup())
		data, err := json.Marshal(sit.planVersion(2))
		if err != nil {
			t.Fatal(err)
		}
		sit.edges[0].adoptPlan(wick.Object{Key: wick.ObjectKey{Kind: "plan", Name: "main"}, Data: data})
		sit.awaitPlan(1, 2)
	})
	t.Run("a running entry", func(t *testing.T) {
		sit := newSite(t, 1, wick.Quota{})
		cpy := sit.sto.Backup()
		sit.writePlan(2)
		sit.awaitPlan(0, 2)
		for range 2 {
			sit.sto.Restore(cpy)
			restoredAt := time.Now()
			sit.await("the store was read", func() bool { return sit.edges[0].config.RecoveredAt().After(restoredAt) })
			sit.awaitPlan(0, 2)
		}
		sit.writePlan(2)
		sit.writePlan(3)
		sit.awaitPlan(0, 3)
	})
}

// TestRestoredCounts guards against usage counts that a restarted entry loses because its
// record in the store is an older copy.
func TestRestoredCounts(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	sit.awaitPeer(0)
	sit.awaitPeer(1)
	cpy := sit.sto.Backup()
	const requests = 10
	for num := range requests {
		if status, body := sit.send(0, "/", fmt.Sprint("r", num)); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	sum := func(started map[uint64]map[wick.Customer]int) (out int) {
		for _, counts := range started {
			out += counts["c"]
		}
		return out
	}
	sit.await("the other entry has the counts", func() bool {
		rec, _ := sit.edges[1].roster.Find("edge0")
		return sum(rec.Started) > requests
	})
	sit.stops[0]()
	<-sit.exited[0]
	sit.sto.Restore(cpy)
	sit.start(0, 2)
	sit.await("the new process has the counts", func() bool { return sum(sit.edges[2].tally.Counts()) > requests })
}
