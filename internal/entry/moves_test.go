package entry

import (
	"context"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestMoveTable guards against stale records: an undone move that becomes
// active again, and a record with an older fencing token that replaces a newer
// one.
func TestMoveTable(t *testing.T) {
	rec := func(state move.State, fence wick.Fence) move.Record {
		return move.Record{Move: "2-m", State: state, Fence: fence}
	}
	for name, tst := range map[string]struct {
		puts []move.Record
		want move.State
	}{
		"newer holder":        {[]move.Record{rec(move.StateProving, 1), rec(move.StateRamping, 2)}, move.StateRamping},
		"older holder":        {[]move.Record{rec(move.StateRamping, 2), rec(move.StateProving, 1)}, move.StateRamping},
		"undone is final":     {[]move.Record{rec(move.StateUndone, 1), rec(move.StateRamping, 2)}, move.StateUndone},
		"undone by old fence": {[]move.Record{rec(move.StateRamping, 2), rec(move.StateUndone, 0)}, move.StateUndone},
	} {
		t.Run(name, func(t *testing.T) {
			var mtb moveTable
			for _, one := range tst.puts {
				mtb.put(one)
			}
			if got, _ := mtb.get("2-m"); got.State != tst.want {
				t.Errorf("state %s, want %s", got.State, tst.want)
			}
			mtb.retain(map[wick.MoveID]bool{})
			if left := mtb.all(); len(left) != 0 {
				t.Errorf("%d records of no active move left", len(left))
			}
		})
	}
}

// TestEvidenceOfOthers guards against an entry that submits evidence under
// another entry's id and could so get a good version stopped.
func TestEvidenceOfOthers(t *testing.T) {
	ent := &Entry{judge: canary.New("a1", 1, &invar.Checker{}), moves: &moveTable{}}
	mov := canary.Move{ID: "2-m", Service: "quotes", From: "q1", To: "q2", Share: 0.1}
	ent.judge.SetMove(mov)
	// Evidence is counted in windows of 10 s; expired windows are ignored.
	now := time.Unix(1_900_000_000, 0)
	counts := []canary.CellCount{{Cell: canary.Cell{Zone: "a", Window: now.Unix() / 10}, Count: canary.Count{Candidate: 40, CandidateBad: 40, Old: 400}}}
	for _, tst := range []struct {
		from wick.EntryID
		want uint64
	}{{"c1", 0}, {"b1", 40}} {
		body, err := peer.Encode(evidenceReport{Evidence: []canary.Evidence{{Move: mov.ID, Entry: "b1", Incarnation: 1, Counts: counts}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ent.handleEvidence(context.Background(), tst.from, body); err != nil {
			t.Fatal(err)
		}
		if got := ent.judge.Verdict("quotes", now).Totals.Candidate; got != tst.want {
			t.Errorf("from %s: %d candidate answers counted, want %d", tst.from, got, tst.want)
		}
	}
}

// TestInheritedUndo guards against a bad version that receives requests again
// because a later bundle still contains its move.
func TestInheritedUndo(t *testing.T) {
	ctx := context.Background()
	sto := &fake.Store{}
	ent := &Entry{store: sto, invar: &invar.Checker{}, notices: &notice.Set{}}
	mov := wick.Move{Name: "m", Service: "quotes", From: "q1", To: "q2"}
	start := move.New("2-m", mov, time.Now())
	if _, err := ent.keeper().Update(ctx, start, 1, func(rec move.Record) (move.Record, bool) {
		return move.Step(rec, move.Input{Now: time.Now(), Stop: "fails"})
	}); err != nil {
		t.Fatal(err)
	}
	renamed, other := mov, mov
	renamed.Name, other.To = "again", "q3"
	for name, tst := range map[string]struct {
		mov  wick.Move
		want bool
	}{"same": {mov, true}, "renamed": {renamed, false}, "other version": {other, false}} {
		t.Run(name, func(t *testing.T) {
			reason, err := ent.inheritedUndo(ctx, 2, &tst.mov)
			if err != nil || (reason != "") != tst.want {
				t.Errorf("reason %q, %v, want undone %v", reason, err, tst.want)
			}
		})
	}
	t.Run("outage", func(t *testing.T) {
		sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		if _, err := ent.inheritedUndo(ctx, 2, &mov); err == nil {
			t.Error("a record that could not be read counts as not undone")
		}
		sto.SetFaults(fake.StoreFaults{}, 1)
	})
	t.Run("by notice", func(t *testing.T) {
		ent.notices.AddStops(notice.Stop{Move: "2-m", Service: "quotes", Version: "q2", Reason: "fails"})
		if _, ok := ent.inheritedStop("3-m", &mov); !ok {
			t.Error("the stop of the earlier bundle version is not inherited")
		}
		if _, ok := ent.inheritedStop("3-again", &renamed); ok {
			t.Error("a renamed move is stopped")
		}
	})
}
