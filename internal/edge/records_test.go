package edge

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func assertTrue(t *testing.T, what string, got bool) {
	t.Helper()
	if !got {
		t.Errorf("%s: false, want true", what)
	}
}

// TestCountsFinal guards against usage windows that are reported while entries that
// can't reach the store have unpublished counts of them. On acep-casca, scale-2, a
// window was off by 131 of 424 requests.
func TestCountsFinal(t *testing.T) {
	edg := New(Config{ID: "edge0", Store: &fake.Store{}, Bounds: Bounds{UsageWindow: window, UsageDeadline: 10 * window, Entries: 3}})
	publish := func(name string, through uint64, rev wick.Revision) {
		data, err := json.Marshal(map[string]any{"id": name, "through": through})
		if err != nil {
			t.Fatal(err)
		}
		edg.roster.Change(wick.Object{Key: wick.ObjectKey{Name: name}, Revision: rev, Data: data})
	}
	assertTrue(t, "without other entries", edg.countsFinal(7))
	publish("edge0", 0, 1)
	publish("edge1", 7, 2)
	publish("edge2", 6, 3)
	assertTrue(t, "a window that all entries have completed", edg.countsFinal(6))
	assertTrue(t, "not final while one entry has not completed the window", !edg.countsFinal(7))
	publish("edge2", 7, 4)
	assertTrue(t, "final once that entry has completed it", edg.countsFinal(7))
}

// TestAllowStale guards against stale reads of evidence during a rollout: a bad
// version must be stopped within seconds.
func TestAllowStale(t *testing.T) {
	edg := New(Config{ID: "edge0", Store: &fake.Store{}, Catalog: testCatalog{}, Bounds: Bounds{Entries: 3}})
	assertTrue(t, "without rollouts", edg.allowStale())
	data, err := json.Marshal(wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, State: wick.OrderRunning})
	if err != nil {
		t.Fatal(err)
	}
	edg.rollouts.handleOrder(wick.Object{Key: wick.ObjectKey{Name: "s"}, Revision: 1, Data: data})
	assertTrue(t, fmt.Sprintf("no stale reads during %d rollouts", len(edg.rollouts.active())), !edg.allowStale())
}
