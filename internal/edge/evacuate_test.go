package edge

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An evacuationReader is an entry that reads evacuations.
type evacuationReader struct {
	*testing.T
	edg *Edge
}

func newEvacuationReader(t *testing.T) *evacuationReader {
	t.Helper()
	edg := newIdleEdge(&fake.Store{})
	edg.evacuations.enabled = true
	edg.ready.needsEvacuations.Store(true)
	return &evacuationReader{t, edg}
}

func evacuation(zone string) wick.Object {
	return wick.Object{Key: wick.ObjectKey{Kind: "evacuation", Name: zone}, Data: []byte(`{"`)}
}

func (rdr *evacuationReader) list(zones ...string) {
	objs := make([]wick.Object, 0, len(zones))
	for _, zone := range zones {
		objs = append(objs, evacuation(zone))
	}
	rdr.edg.evacuations.Replace(objs)
	rdr.edg.evacuations.Settled()
}

func (rdr *evacuationReader) change(obj wick.Object) {
	rdr.edg.evacuations.Change(obj)
	rdr.edg.evacuations.Settled()
}

func (rdr *evacuationReader) assertZones(want ...wick.Zone) {
	rdr.Helper()
	if got := rdr.edg.evacuations.list(); !slices.Equal(got, want) {
		rdr.Errorf("evacuated zones %v, want %v", got, want)
	}
}

// TestEvacuations guards against an evacuation that is not applied, or not taken back,
// also if its content can't be read.
func TestEvacuations(t *testing.T) {
	rdr := newEvacuationReader(t)
	rdr.change(evacuation("b"))
	rdr.change(evacuation("a"))
	rdr.assertZones("a", "b")
	gone := evacuation("b")
	gone.Deleted = true
	rdr.change(gone)
	rdr.assertZones("a")
	rdr.list("c")
	rdr.assertZones("c")
}

// TestReadyNeedsEvacuations guards against an entry that starts during an evacuation and
// sends requests to the zone before it has read it.
func TestReadyNeedsEvacuations(t *testing.T) {
	rdr := newEvacuationReader(t)
	rds := rdr.edg.ready
	rds.setPlanLoaded()
	rds.setBackendsLoaded()
	rds.setMembersLoaded()
	rds.setOrdersLoaded()
	if rds.ready() {
		t.Error("ready without the evacuations")
	}
	rdr.list()
	if !rds.ready() {
		t.Error("not ready although everything is read")
	}
}

// TestEvacuationAfterRestore guards against requests to an evacuated zone while a restored
// store lacks the evacuation, which the operator writes again.
func TestEvacuationAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rdr := newEvacuationReader(t)
		rdr.list("a", "b")
		now := time.Now()
		rdr.edg.evacuations.recoveredAt = func() time.Time { return now }
		rdr.list("b")
		rdr.assertZones("a", "b")
		time.Sleep(rewriteTime + time.Millisecond)
		rdr.list("b")
		rdr.assertZones("b")
	})
}

// TestEvacuationNotice guards against a silent watch that hides an evacuation, and against
// a list for each notice that only arrives before the watch's answer.
func TestEvacuationNotice(t *testing.T) {
	rdr := newEvacuationReader(t)
	now := time.Now()
	evc := &rdr.edg.evacuations
	for _, tst := range []struct {
		after time.Duration
		from  wick.EntryID
		zones []wick.Zone
		want  bool
	}{
		{0, "p1", []wick.Zone{"a"}, false},
		{evacuationLag / 2, "p2", nil, false},
		{evacuationLag, "p1", []wick.Zone{"a"}, true},
		{evacuationLag, "p1", []wick.Zone{"a"}, false},
		{2 * evacuationLag, "p1", nil, false},
		{3 * evacuationLag, "p1", []wick.Zone{"a"}, false},
	} {
		if got := evc.differs(tst.from, tst.zones, now.Add(tst.after)); got != tst.want {
			t.Errorf("notice of %s with %v after %v: list again %v, want %v", tst.from, tst.zones, tst.after, got, tst.want)
		}
	}
}

// TestRequestsNeedEvacuations guards against requests that an entry accepts before its
// readiness check, at the address of its earlier process, and sends to an evacuated zone.
func TestRequestsNeedEvacuations(t *testing.T) {
	edg := New(Config{ID: "edge0", Zone: "z", Store: &fake.Store{}, Bounds: Bounds{Entries: 1, Evacuation: time.Second}})
	edg.ready = &readyServer{}
	edg.pool.Set(wick.Backend{ID: "i-1", Service: "s", Zone: "z", Slots: 8}, time.Now())
	for _, tst := range []struct {
		read, want bool
	}{{false, false}, {true, true}} {
		if tst.read {
			edg.evacuations.Replace(nil)
			edg.evacuations.Settled()
		}
		if _, err := edg.pool.Pick(pool.Query{Service: "s", Now: time.Now()}); (err == nil) != tst.want {
			t.Errorf("evacuations read %v: error %v", tst.read, err)
		}
	}
}

// TestEvacuationHeldAtStart guards against an entry that starts while a restored store lacks
// an evacuation and sends requests to the zone, while the others still send none there.
func TestEvacuationHeldAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, rdr := newEvacuationReader(t), newEvacuationReader(t)
		old.list("a", "b")
		now := time.Now()
		old.edg.evacuations.recoveredAt = func() time.Time { return now }
		old.list("b")
		time.Sleep(rewriteTime / 2)
		body, err := peer.Encode(catchUpRequest{})
		if err != nil {
			t.Fatal(err)
		}
		rep, err := old.edg.handleCatchUp(t.Context(), "edge1", body)
		if err != nil {
			t.Fatal(err)
		}
		reply, ok := rep.(catchUpReply)
		if !ok {
			t.Fatalf("reply %T", rep)
		}
		rdr.edg.adoptCatchUp("edge0", &reply)
		rdr.list("b")
		rdr.assertZones("a", "b")
		time.Sleep(rewriteTime/2 + time.Millisecond)
		rdr.list("b")
		rdr.assertZones("b")
	})
}
