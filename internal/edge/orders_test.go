package edge

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An orderReader is an entry that reads version orders of service "s".
type orderReader struct {
	*testing.T
	rls *rollouts
	rev wick.Revision
}

func newOrderReader(t *testing.T) *orderReader {
	t.Helper()
	return &orderReader{T: t, rls: newIdleEdge(&fake.Store{}).rollouts, rev: 1}
}

// read reads an order at the current revision.
func (rdr *orderReader) read(target wick.ModelVersion, number int, state wick.VersionOrderState) {
	rdr.Helper()
	data, err := json.Marshal(wick.VersionOrder{Service: "s", Target: target, Within: time.Minute, Number: number, State: state})
	if err != nil {
		rdr.Fatal(err)
	}
	rdr.rls.handleOrder(wick.Object{Key: wick.ObjectKey{Kind: "order", Name: "s"}, Revision: rdr.rev, Data: data})
}

// change reads an order at the next revision.
func (rdr *orderReader) change(target wick.ModelVersion, number int, state wick.VersionOrderState) {
	rdr.Helper()
	rdr.rev++
	rdr.read(target, number, state)
}

// assertWithheld checks that a version gets no requests like any other, since its order is
// in progress.
func (rdr *orderReader) assertWithheld(target wick.ModelVersion) {
	rdr.Helper()
	cho := rdr.rls.Choose("s", "r", time.Now())
	if cho.Only == target || !slices.Contains(cho.Except, target) || !rdr.rls.inProgress("s") {
		rdr.Errorf("choice %+v, want %s to be proved first", cho, target)
	}
}

// record reads the record of the current order's move.
func (rdr *orderReader) record(state move.State, share wick.Share) {
	rdr.Helper()
	rdr.rls.mu.Lock()
	rol := rdr.rls.orders["s"]
	rec := move.Record{Move: rol.id(), Service: "s", To: rol.ord.Target, State: state, Share: share, WriteID: wick.NewWriteID()}
	rdr.rls.mu.Unlock()
	data, err := json.Marshal(rec)
	if err != nil {
		rdr.Fatal(err)
	}
	rdr.rls.handleRecord(wick.Object{Key: wick.ObjectKey{Kind: wick.KindMove, Name: string(rec.Move)}, Revision: rdr.rev, Data: data})
}

// TestOrderAfterAnEndedOne guards against an order that counts as ended because an earlier
// one has: its version got all requests at once, or none.
func TestOrderAfterAnEndedOne(t *testing.T) {
	for _, ended := range []wick.VersionOrderState{wick.OrderDone, wick.OrderRolledBack} {
		for _, target := range []wick.ModelVersion{"v2", "v3"} {
			t.Run(string(ended)+", then "+string(target), func(t *testing.T) {
				rdr := newOrderReader(t)
				rdr.change("v2", 1, wick.OrderRunning)
				rdr.record(move.StateProving, 0.5)
				if ended == wick.OrderRolledBack {
					rdr.rls.jdg.Stop(canary.Stop{Move: moveID(wick.VersionOrder{Service: "s", Target: "v2", Number: 1}), Service: "s", Version: "v2", Reason: "bad"})
				}
				rdr.change("v2", 1, ended)
				rdr.change(target, 2, "")
				rdr.assertWithheld(target)
				rdr.record(move.StateProving, 1)
				if cho := rdr.rls.Choose("s", "r", time.Now()); cho.Only != target {
					t.Errorf("choice %+v, want the version to be proved", cho)
				}
			})
		}
	}
}

// TestOrderIssuedAgain guards against an order that is never carried out because the operator
// has issued an ended one again without a change, and against an ended order that is carried
// out again because it is read again.
func TestOrderIssuedAgain(t *testing.T) {
	rdr := newOrderReader(t)
	rdr.change("v2", 1, wick.OrderRunning)
	rdr.change("v2", 1, wick.OrderRolledBack)
	rdr.read("v2", 1, wick.OrderRolledBack)
	if rdr.rls.inProgress("s") {
		t.Error("an order that is read again is carried out again")
	}
	rdr.change("v2", 1, wick.OrderRolledBack)
	rdr.assertWithheld("v2")
	rdr.read("v2", 1, wick.OrderRolledBack)
	rdr.assertWithheld("v2")
	rdr.change("v2", 2, wick.OrderRunning)
	rdr.assertWithheld("v2")
	rdr.change("v2", 2, wick.OrderDone)
	rdr.rev = wick.Era(1).Revision(1)
	rdr.read("v2", 2, wick.OrderDone)
	if rdr.rls.inProgress("s") {
		t.Error("an order that is read from a restored store is carried out again")
	}
}

// TestMoveID guards against the record, evidence or stop of one order that counts for
// another one.
func TestMoveID(t *testing.T) {
	orders := []wick.VersionOrder{
		{Service: "a", Target: "b-c", Number: 1},
		{Service: "a-b", Target: "c", Number: 1},
		{Service: "a", Target: "b-c", Number: 2},
		{Service: "a", Target: "b", Number: 1},
		{Service: "a-1", Target: "b", Number: 1},
		{Service: "a", Target: "1-b", Number: 1},
		{Service: "a", Target: "b-1", Number: 1},
		{Service: "a", Target: "b-1", Number: 1, Within: time.Second},
	}
	seen := make(map[wick.MoveID]wick.VersionOrder)
	for _, ord := range orders {
		if oth, ok := seen[moveID(ord)]; ok {
			t.Errorf("orders %+v and %+v have the id %s", ord, oth, moveID(ord))
		}
		seen[moveID(ord)] = ord
	}
}

// TestRecordOfEarlierOrder guards against a version that is rolled back, or gets all
// requests, by the record of an earlier order of it.
func TestRecordOfEarlierOrder(t *testing.T) {
	for _, state := range []move.State{move.StateDone, move.StateUndone} {
		rdr := newOrderReader(t)
		rdr.change("v2", 1, wick.OrderRunning)
		rdr.rls.mu.Lock()
		rec := move.Record{Move: rdr.rls.orders["s"].id(), Service: "s", To: "v2", State: state, Share: 1, WriteID: wick.NewWriteID()}
		rdr.rls.mu.Unlock()
		rdr.change("v3", 2, "")
		rdr.change("v2", 3, "")
		data, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		rdr.rls.handleRecord(wick.Object{Revision: rdr.rev, Data: data})
		rdr.assertWithheld("v2")
		if stops := rdr.rls.jdg.Stops(); len(stops) > 0 {
			t.Errorf("stopped by the record of an earlier order: %+v", stops)
		}
	}
}

// TestReadyNeedsOrders guards against an entry that starts between two orders and sends
// requests to a version that is not proved, before it has read the orders.
func TestReadyNeedsOrders(t *testing.T) {
	edg := newIdleEdge(&fake.Store{})
	edg.ready.setPlanLoaded()
	edg.ready.setBackendsLoaded()
	edg.ready.setMembersLoaded()
	if edg.ready.ready() {
		t.Error("ready without the orders")
	}
	edg.orders.Handler.Replace(nil)
	edg.orders.Handler.Settled()
	if !edg.ready.ready() {
		t.Error("not ready although everything is read")
	}
}

// TestVersionOfEarlierOrder guards against a version that was rolled back, or was being
// proved when another one was ordered, and gets requests like any other from then on.
func TestVersionOfEarlierOrder(t *testing.T) {
	for _, tst := range []struct {
		name string
		// state is that of the order of v2 when v3 is ordered.
		state wick.VersionOrderState
		// withheld is set if v2 gets no requests.
		withheld bool
	}{
		{"not begun", "", true},
		{"replaced while it ran", wick.OrderRunning, true},
		{"rolled back", wick.OrderRolledBack, true},
		{"proved", wick.OrderDone, false},
	} {
		t.Run(tst.name, func(t *testing.T) {
			rdr := newOrderReader(t)
			rdr.change("v2", 1, "")
			if tst.state != "" {
				rdr.change("v2", 1, tst.state)
			}
			for _, state := range []wick.VersionOrderState{"", wick.OrderRunning, wick.OrderRolledBack, wick.OrderDone} {
				rdr.change("v3", 2, state)
				rdr.assertExcept("v2", tst.withheld)
			}
			rdr.change("v4", 3, wick.OrderRunning)
			rdr.record(move.StateProving, 1)
			rdr.assertExcept("v2", tst.withheld)
			rdr.change("v2", 4, wick.OrderDone)
			rdr.assertExcept("v2", false)
			rdr.change("v5", 5, "")
			rdr.assertExcept("v2", false)
			rdr.assertExcept("v4", true)
		})
	}
}

// assertExcept checks whether a version is excluded from the choice for a request.
func (rdr *orderReader) assertExcept(target wick.ModelVersion, want bool) {
	rdr.Helper()
	if cho := rdr.rls.Choose("s", "r", time.Now()); slices.Contains(cho.Except, target) != want {
		rdr.Errorf("choice %+v, want %s excluded: %t", cho, target, want)
	}
}

// TestMissedEnd guards against an entry that withholds the version in force because it has
// missed the end of its order: the next one came before it had read the state.
func TestMissedEnd(t *testing.T) {
	for _, missed := range []wick.VersionOrderState{"", wick.OrderRunning} {
		rdr := newOrderReader(t)
		rdr.change("v2", 1, missed)
		rdr.rev++
		data := []byte(`{"Service":"s","Target":"v3","Within":60000000000,"Number":2,"Proved":["v2"]}`)
		rdr.rls.handleOrder(wick.Object{Key: wick.ObjectKey{Kind: "order", Name: "s"}, Revision: rdr.rev, Data: data})
		rdr.assertWithheld("v3")
		rdr.assertExcept("v2", false)
	}
}

// TestOrderRewritten guards against a completed order that is carried out anew because the
// operator writes it again after a restore of the store: the endpoints of the version
// before have stopped.
func TestOrderRewritten(t *testing.T) {
	rdr := newOrderReader(t)
	rdr.change("v2", 1, wick.OrderRunning)
	rdr.change("v2", 1, wick.OrderDone)
	rdr.rev = wick.Era(1).Revision(1)
	rdr.read("v2", 1, wick.OrderDone)
	rdr.change("v2", 1, wick.OrderDone)
	if cho := rdr.rls.Choose("s", "r", time.Now()); cho.Only != "v2" || rdr.rls.inProgress("s") {
		t.Errorf("choice %+v, want the version in force", cho)
	}
}

// TestOrderWithoutState guards against a version that is served like any other although its
// order was replaced before any state was recorded, which leaves the order's number to the
// next one.
func TestOrderWithoutState(t *testing.T) {
	rdr := newOrderReader(t)
	rdr.change("v2", 1, "")
	rdr.change("v3", 1, "")
	rdr.assertExcept("v2", true)
	rdr.change("v3", 1, wick.OrderDone)
	rdr.change("v4", 2, "")
	rdr.assertExcept("v2", true)
}

// TestRetiredVersions guards against endpoints that a completed rollout stops and that count
// as running: an answer that their stop cuts off looked complete.
func TestRetiredVersions(t *testing.T) {
	rdr := newOrderReader(t)
	assertRetired := func(step string, want ...wick.ModelVersion) {
		t.Helper()
		for _, ver := range []wick.ModelVersion{"v1", "v2", "v3"} {
			if got := rdr.rls.IsRetired("s", ver); got != slices.Contains(want, ver) {
				t.Errorf("%s: %s is retired: %t", step, ver, got)
			}
		}
		if rdr.rls.IsRetired("other", "v1") {
			t.Errorf("%s: a version of another service is retired", step)
		}
	}
	assertRetired("no order")
	rdr.change("v2", 1, wick.OrderRunning)
	rdr.record(move.StateWatching, 1)
	assertRetired("all traffic moved")
	rdr.record(move.StateDone, 1)
	assertRetired("the move's record is done", "v1", "v3")
	rdr.change("v2", 1, wick.OrderDone)
	assertRetired("completed", "v1", "v3")
	rdr.change("v3", 2, wick.OrderRunning)
	assertRetired("the next order", "v1")
	rdr.change("v3", 2, wick.OrderRolledBack)
	assertRetired("rolled back", "v1")
	rdr.change("v1", 3, wick.OrderRunning)
	assertRetired("back to the first version", "v3")
	rdr.rls.mu.Lock()
	for _, rol := range rdr.rls.known {
		rol.completedAt = rol.completedAt.Add(-retirementTime)
	}
	rdr.rls.mu.Unlock()
	assertRetired("long after the completion")
}
