package member

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestUpstream guards against pull cycles without a watcher, whose entries
// would never receive a new list of VMs, and against a single entry that serves
// the pulls of its whole zone.
func TestUpstream(t *testing.T) {
	for _, tc := range []struct{ entries, depth, pulls int }{{2, 1, 1}, {3, 2, 2}, {5, 4, 4}, {20, 8, 10}, {146, 12, 24}} {
		t.Run(strconv.Itoa(tc.entries), func(t *testing.T) {
			now := time.Now()
			vms := make([]wick.VM, 0, tc.entries+4)
			for num := range tc.entries + 4 {
				zone := wick.Zone("a")
				if num >= tc.entries {
					zone = "b"
				}
				vms = append(vms, wick.VM{ID: wick.VMID(fmt.Sprintf("e%03d", num)), Role: wick.RoleEntry, Zone: zone, State: wick.VMLive})
			}
			views := make(map[wick.EntryID]*View)
			for _, vm := range vms[:tc.entries] {
				viw := New(wick.Member{ID: wick.EntryID(vm.ID), Zone: vm.Zone, Incarnation: 1, State: wick.EntryServing}, time.Now())
				viw.SetList(vms, now)
				views[viw.Self().ID] = viw
			}
			pulls := make(map[wick.EntryID]int)
			for eid, viw := range views {
				if !viw.ShouldWatch(now) {
					pulls[viw.Upstream(now)[0].ID]++
				}
				depth := 0
				for ; depth <= tc.depth && !views[eid].ShouldWatch(now); depth++ {
					eid = views[eid].Upstream(now)[0].ID
				}
				if depth > tc.depth {
					t.Fatalf("%s is more than %d hops from a watcher", viw.Self().ID, tc.depth)
				}
			}
			for eid, num := range pulls {
				if num > tc.pulls {
					t.Errorf("%d entries pull from %s, want at most %d", num, eid, tc.pulls)
				}
			}
		})
	}
}
