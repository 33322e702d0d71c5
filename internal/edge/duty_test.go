package edge

import (
	"fmt"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestHolderInOutage guards against a holder that releases its lease when a renewal fails,
// because it is not among the preferred candidates (acep-casca, restored, seed 3: the duty
// had no holder from 16 s to 26 s, and a usage window was missed).
func TestHolderInOutage(t *testing.T) {
	mems := make([]wick.Member, 0, 2*dutyCandidates)
	for num := range cap(mems) {
		mems = append(mems, wick.Member{ID: wick.EntryID(fmt.Sprint("edge", num)), State: wick.EntryServing})
	}
	last := place.Rank(string(DutyControl), mems)[len(mems)-1]
	sto := &fake.Store{}
	edg := New(Config{ID: last.ID, Incarnation: 1, Store: sto})
	if duties := edg.eligibleDuties(mems); len(duties) != 0 {
		t.Fatalf("%s competes for %v", last.ID, duties)
	}
	// Without members, every entry competes.
	edg.leases.Step(t.Context())
	sto.SetFaults(fake.StoreFaults{Down: true}, 1)
	edg.leases.Step(t.Context())
	if _, held := edg.leases.Holds(DutyControl); held {
		t.Fatal("the lease is held although its renewal failed")
	}
	if duties := edg.eligibleDuties(mems); len(duties) != 1 {
		t.Errorf("the holder wants %v in an outage, want %s", duties, DutyControl)
	}
}
