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

// TestAllCounted guards against usage windows that are reported while entries
// that can't reach the store still hold counts of them. Found on acep-casca,
// scale-2: a window was off by 131 of 424 requests.
func TestAllCounted(t *testing.T) {
	edg := New(Config{ID: "edge0", Store: &fake.Store{}, Bounds: Bounds{UsageWindow: window, UsageDeadline: 10 * window, Entries: 3}})
	publish := func(name string, through uint64, rev wick.Revision) {
		data, err := json.Marshal(map[string]any{"id": name, "through": through})
		if err != nil {
			t.Fatal(err)
		}
		edg.roster.Change(wick.Object{Key: wick.ObjectKey{Name: name}, Revision: rev, Data: data})
	}
	assertTrue(t, "without other entries", edg.allCounted(7))
	publish("edge0", 0, 1)
	publish("edge1", 7, 2)
	publish("edge2", 6, 3)
	assertTrue(t, "a window that all have counted", edg.allCounted(6))
	assertTrue(t, "a window that one has not counted waits", !edg.allCounted(7))
	publish("edge2", 7, 4)
	assertTrue(t, "once it has", edg.allCounted(7))
}

// TestMayLag guards against versions that are judged by evidence which is
// seconds old: a bad one must be stopped within seconds.
func TestMayLag(t *testing.T) {
	edg := New(Config{ID: "edge0", Store: &fake.Store{}, Catalog: testCatalog{}, Bounds: Bounds{Entries: 3}})
	assertTrue(t, "in quiet", edg.mayLag())
	data, err := json.Marshal(wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, State: wick.OrderRunning})
	if err != nil {
		t.Fatal(err)
	}
	edg.rollouts.takeOrder(wick.Object{Key: wick.ObjectKey{Name: "s"}, Revision: 1, Data: data})
	assertTrue(t, fmt.Sprintf("while %d versions are moved", len(edg.rollouts.active())), !edg.mayLag())
}
