package edge

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestStopNotice guards against a version that one entry has stopped and that gets requests
// from the others until each has seen enough by itself: stops were not told (acep-casca,
// rollout-slow-small-share, seed 1: stopped at 14.3 s by one entry, at 21.1 s by the last).
func TestStopNotice(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	sit.put("order", "s", 0, wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, State: wick.OrderRunning})
	for num := range 2 {
		sit.await("the order is known", func() bool { return sit.edges[num].rollouts.inProgress("s") })
	}
	// The holder of the duty would record its own stop at once, and the others read that.
	stopper, other := 0, 1
	sit.await("one entry holds the duty", func() bool {
		for num := range 2 {
			if _, held := sit.edges[num].leases.Holds(DutyControl); held {
				stopper, other = 1-num, num
				return true
			}
		}
		return false
	})
	sit.await("the entries know each other", func() bool { return len(sit.edges[stopper].reachablePeers()) > 0 })
	jdg := sit.edges[stopper].rollouts.jdg
	jdg.SetMove(canary.Move{ID: "s-v2-1-0", Service: "s", To: "v2", Share: 0.5})
	for num := 0; num < 100 && len(jdg.Stops()) == 0; num++ {
		cho := jdg.Choose(wick.RouteQuery{Service: "s", Route: "r"})
		smp := wick.VersionSample{VM: "i", Zone: "z", At: time.Now()}
		if cho.Candidate {
			smp.Out.Err = wick.ErrUnavailable
		}
		cho.Done(smp)
	}
	if len(jdg.Stops()) == 0 {
		t.Fatal("the version is not stopped at the entry that saw it fail")
	}
	// Evidence in records takes a second and more.
	const within = 600 * time.Millisecond
	start := time.Now()
	sit.await("the other entry has stopped it too", func() bool { return len(sit.edges[other].rollouts.jdg.Stops()) > 0 })
	if took := time.Since(start); took > within {
		t.Errorf("the other entry has stopped it after %v, want %v", took, within)
	}
}
