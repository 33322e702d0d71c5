package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestOwner guards against entries that compute different owners of a key from
// their bounded views, which causes conflicting writes, and against an owner
// that is known not to serve.
func TestOwner(t *testing.T) {
	const size, zones = 300, 13
	now := time.Now()
	vms := make([]wick.VM, size)
	listed := make([]wick.Member, size)
	for num := range vms {
		vms[num] = wick.VM{ID: wick.VMID(fmt.Sprintf("e%03d", num)), Role: wick.RoleEntry, Zone: wick.Zone(rune('a' + num%zones)), State: wick.VMLive}
		listed[num] = wick.Member{ID: wick.EntryID(vms[num].ID), Zone: vms[num].Zone}
	}
	best := place.Rank("key", listed)
	for _, mem := range listed {
		viw := New(wick.Member{ID: mem.ID, Zone: mem.Zone, Incarnation: 1, State: wick.EntryServing}, time.Now())
		viw.SetList(vms, now)
		for _, rec := range viw.known {
			rec.State = wick.EntryServing
		}
		if got, ok := viw.Owner("key", listed, now); !ok || got.ID != best[0].ID {
			t.Fatalf("owner according to %s is %s, want %s", mem.ID, got.ID, best[0].ID)
		}
		if got := viw.EstimateServing(size, now); got != size {
			t.Fatalf("%s estimates %d entries, want %d", mem.ID, got, size)
		}
		rec := viw.known[best[0].ID]
		if rec == nil {
			continue
		}
		rec.State = wick.EntryDraining
		if got, _ := viw.Owner("key", listed, now); got.ID != best[1].ID {
			t.Fatalf("owner according to %s is %s while the first is draining, want %s", mem.ID, got.ID, best[1].ID)
		}
	}
}
