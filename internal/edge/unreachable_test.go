package edge

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestUnreachable guards against sound endpoints that count as cold because one poll timed
// out, at a busy endpoint or since the poller was suspended, and against endpoints that
// start again and count as warm.
func TestUnreachable(t *testing.T) {
	bke := wick.Backend{ID: "i-1", Service: "s"}
	for name, tst := range map[string]struct {
		err     error
		expired bool
		want    [3]bool
	}{
		"refused":  {wick.ErrUnavailable, false, [3]bool{true, true, true}},
		"timeouts": {wick.ErrUnavailable, true, [3]bool{false, true, true}},
		"status":   {wick.ErrInvalid, false, [3]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			edg := newIdleEdge(nil)
			edg.pool.SetColdPolicies(map[wick.Service]pool.ColdPolicy{"s": {Start: time.Second, Rate: 5, Bound: 12}}, time.Now())
			lpl := &loadPoller{edg: edg, schedule: make(pollSchedule), failures: make(map[wick.VMID]int)}
			for num, want := range tst.want {
				lpl.ntc = loadNotice{}
				lpl.pollFailed(&bke, tst.err, tst.expired, time.Now())
				if got := len(lpl.ntc.Unreachable) == 1; got != want {
					t.Errorf("poll %d: unreachable %v, want %v", num, got, want)
				}
			}
		})
	}
}

// TestReportedCold guards against an endpoint that starts again between two polls and gets
// as many requests as a warm one until the registry shows it, up to 3 s later.
func TestReportedCold(t *testing.T) {
	pol := pool.ColdPolicy{Start: 3 * time.Second, Rate: 5, Bound: 12.5}
	for name, tst := range map[string]struct {
		load wick.BackendLoad
		pol  pool.ColdPolicy
		want time.Duration
	}{
		"warm":       {wick.BackendLoad{}, pol, 0},
		"stated":     {wick.BackendLoad{ColdFor: time.Second}, pol, time.Second},
		"restarted":  {wick.BackendLoad{Restarted: true}, pol, pol.Start},
		"never cold": {wick.BackendLoad{Restarted: true, ColdFor: time.Second}, pool.ColdPolicy{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			edg := newIdleEdge(nil)
			edg.pool.SetColdPolicies(map[wick.Service]pool.ColdPolicy{"s": tst.pol}, time.Now())
			edg.pool.Set(wick.Backend{ID: "i-1", Service: "s", Zone: "z", Slots: 8}, time.Now())
			got := reportedCold(&tst.load, tst.pol)
			edg.applyLoads(loadNotice{Loads: []endpointLoad{{ID: "i-1", Cold: got}}})
			if cold := len(edg.pool.ColdEndpoints(time.Now())) == 1; got != tst.want || cold != (tst.want > 0) {
				t.Errorf("cold for %v, want %v; limited %v", got, tst.want, cold)
			}
		})
	}
}
