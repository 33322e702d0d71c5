package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// orderState returns the state of the version order of service "s" in the store.
func (sit *site) orderState() wick.VersionOrderState {
	obj, err := sit.sto.Get(sit.Context(), wick.ObjectKey{Kind: "order", Name: "s"})
	if err != nil {
		return ""
	}
	var ord wick.VersionOrder
	if err := json.Unmarshal(obj.Data, &ord); err != nil {
		sit.Fatal(err)
	}
	return ord.State
}

// TestRestoredOrder guards against a version that was rolled back and comes into use again
// because the store was restored from a copy in which its order is running, and against an
// order whose state is not written again.
func TestRestoredOrder(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	ord := wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, State: wick.OrderRunning}
	sit.put("order", "s", 0, ord)
	for _, edg := range sit.edges {
		sit.await("the order is known", func() bool { return edg.rollouts.inProgress("s") })
	}
	sit.await("the move is recorded", func() bool {
		_, err := sit.sto.Get(sit.Context(), wick.ObjectKey{Kind: wick.KindMove, Name: string(moveID(ord))})
		return err == nil
	})
	cpy := sit.sto.Backup()
	for _, edg := range sit.edges {
		edg.rollouts.jdg.Stop(canary.Stop{Move: moveID(ord), Service: "s", Version: "v2", Reason: "bad"})
	}
	for _, edg := range sit.edges {
		sit.await("the order has ended", func() bool { return !edg.rollouts.inProgress("s") })
	}
	sit.sto.Restore(cpy)
	if state := sit.orderState(); state != wick.OrderRunning {
		t.Fatalf("order is %q in the copy", state)
	}
	sit.await("the state is written again", func() bool {
		for num, edg := range sit.edges {
			if edg.rollouts.inProgress("s") {
				t.Fatalf("edge %d rolls the version out again", num)
			}
		}
		return sit.orderState() == wick.OrderRolledBack
	})
}

// TestOrderGoesForward guards against an entry that adopts the state or record of a
// restored store although it knows a later one.
func TestOrderGoesForward(t *testing.T) {
	now := time.Now()
	t.Run("order", func(t *testing.T) {
		for _, state := range []wick.VersionOrderState{wick.OrderDone, wick.OrderRolledBack} {
			rol := rollout{reported: state}
			ended, older := wick.VersionOrder{Service: "s", Target: "v2", State: state}, wick.VersionOrder{Service: "s", Target: "v2", State: wick.OrderRunning}
			rol.setOrder(ended, 0, now)
			rol.setOrder(older, 1, now)
			if rol.ord.State != state || rol.goneBack.IsZero() || rol.reported != "" {
				t.Errorf("state %q, gone back at %v, reported %q, want %q to be written again", rol.ord.State, rol.goneBack, rol.reported, state)
			}
			rol.setOrder(ended, 1, now)
			if !rol.goneBack.IsZero() {
				t.Error("the state is in the store and is written again")
			}
			rol.setOrder(older, 1, now)
			if rol.ord.State != wick.OrderRunning {
				t.Error("a new order in the same era is ignored")
			}
		}
	})
	t.Run("order with an unconfirmed state", func(t *testing.T) {
		rol := rollout{reported: wick.OrderRolledBack, ord: wick.VersionOrder{State: wick.OrderRunning}}
		rol.setOrder(rol.ord, 1, now)
		if rol.reported != "" {
			t.Errorf("state %q counts as written, but may be lost", rol.reported)
		}
	})
	t.Run("record", func(t *testing.T) {
		states := []move.State{move.StatePending, move.StateProving, move.StateRamping, move.StateWatching, move.StateDone, move.StateUndone}
		for idx, state := range states {
			for jdx, older := range states[:idx] {
				var rol rollout
				rol.setRecord(move.Record{State: state, WriteID: "b", StepAt: now}, 0)
				rol.setRecord(move.Record{State: older, WriteID: "a", StepAt: now.Add(time.Second)}, 1)
				if rol.rec.State != state {
					t.Errorf("record went back from %s to %s", state, states[jdx])
				}
				rol.setRecord(move.Record{State: state, WriteID: "c", StepAt: now}, 1)
				if rol.recordEra != 1 {
					t.Errorf("record %s is not adopted in the new era", state)
				}
			}
		}
	})
}
