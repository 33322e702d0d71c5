package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/feed"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A silentStore is a store whose connections can fall silent: calls that wait then get no
// answer until they are given up. Later calls are answered.
type silentStore struct {
	wick.Store

	mu    sync.Mutex
	calls map[chan struct{}]bool
}

// begin returns a channel that is closed when the call falls silent.
func (sst *silentStore) begin() chan struct{} {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	if sst.calls == nil {
		sst.calls = make(map[chan struct{}]bool)
	}
	silent := make(chan struct{})
	sst.calls[silent] = true
	return silent
}

func (sst *silentStore) end(silent chan struct{}) {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	delete(sst.calls, silent)
}

// silence makes all calls in progress silent for good.
func (sst *silentStore) silence() {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	for silent := range sst.calls {
		close(silent)
	}
	sst.calls = nil
}

func (sst *silentStore) Watch(ctx context.Context, kind wick.Kind, after wick.Revision) ([]wick.Object, wick.Revision, error) {
	silent := sst.begin()
	defer sst.end(silent)
	objs, rev, err := sst.Store.Watch(ctx, kind, after)
	select {
	case <-silent:
		<-ctx.Done()
		return nil, 0, wick.ErrUnavailable
	default:
		return objs, rev, err
	}
}

// TestSilentWatches guards against changes that an entry doesn't see although the platform
// counts it as undisturbed again: its connections to the store, or one of them, have fallen
// silent at some moment of a wait (review/14, an order was seen 5.7 s late).
func TestSilentWatches(t *testing.T) {
	const moments = 12
	for num := range moments {
		t.Run(fmt.Sprint("moment ", num), func(t *testing.T) {
			t.Parallel()
			sit := newSite(t, 0, wick.Quota{})
			edg := newIdleEdge(sit.sto)
			edg.evacuations.enabled = true
			silent := &silentStore{Store: sit.sto}
			edg.cfg.Store = silent
			for _, fol := range edg.followers() {
				fol.Store = silent
				go fol.Run(t.Context())
			}
			sit.await("all kinds were read", func() bool {
				return !slices.ContainsFunc(edg.followers(), func(fol *feed.Follower) bool { return fol.Active == nil && fol.LastSuccess().IsZero() })
			})
			time.Sleep(time.Duration(num) * edg.silenceBound() / moments)
			silent.silence()
			time.Sleep(edg.stableWindow() + 50*time.Millisecond)
			changed := time.Now()
			sit.put("order", "s", 0, wick.VersionOrder{Service: "s", Target: "v2", Within: time.Minute, Number: 1})
			sit.put("backend", "i-2", 0, wick.Backend{ID: "i-2", Service: "s", Zone: "z", Address: "127.0.0.1:1", Slots: 8, Born: 1})
			sit.put(edg.cfg.Kinds.Evacuation, "z2", 0, struct{}{})
			pln := edg.plans.Load().Plan
			pln.Version++
			sit.put("plan", "next", 0, pln)
			sit.await("all changes are seen", func() bool {
				_, known := edg.pool.Incarnation("i-2")
				return edg.rollouts.inProgress("s") && known && edg.plans.Load().Plan.Version == pln.Version && len(edg.evacuations.list()) == 1
			})
			if took := time.Since(changed); took > time.Second {
				t.Errorf("seen after %v", took)
			}
		})
	}
}

// TestWatchesAreBounded guards against a kind of objects whose watch may hide a silent connection
// for longer than the platform excuses, and against watches that cost the store more calls at
// entries that others inform.
func TestWatchesAreBounded(t *testing.T) {
	for _, window := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
		edg := New(Config{ID: "edge0", Zone: "z", Kinds: Kinds{Plan: "plan", VersionOrder: "order"}, Bounds: Bounds{Entries: 1, StableWindow: window}})
		for _, fol := range edg.followers() {
			if got := fol.WatchTimeout(); got > edg.stableWindow()-500*time.Millisecond {
				t.Errorf("window %v: watches of %s may hide a silence for %v", window, fol.Kind, got)
			}
		}
		if got := edg.client.IdleTimeout; got > edg.silenceBound() {
			t.Errorf("window %v: idle connections to endpoints are kept for %v", window, got)
		}
		edg.informants.heardLeader(time.Now())
		for _, fol := range edg.followers() {
			if got := fol.WatchTimeout(); fol.Pause == nil && got != informedWatch {
				t.Errorf("window %v: an informed entry watches %s anew after %v", window, fol.Kind, got)
			}
		}
	}
}

// TestWatchLeaders guards against entries of which none, or each zone's, watches for the others:
// a silence would hide a change, or the store's calls would grow.
func TestWatchLeaders(t *testing.T) {
	const zones, perZone = 6, 4
	now := time.Now()
	recs := make([]roster.Record, 0, zones*perZone)
	for num := range zones * perZone {
		recs = append(recs, roster.Record{
			ID: wick.EntryID(fmt.Sprint("e", num)), Zone: wick.Zone(fmt.Sprint("z", num%zones)), Incarnation: 1, Beat: 1, Peer: "127.0.0.1:1",
		})
	}
	leaders := make(map[wick.Zone]int)
	for idx := range recs {
		edg := New(Config{ID: recs[idx].ID, Incarnation: 1, Zone: recs[idx].Zone})
		for jdx := range recs {
			edg.roster.Change(recordObject(t, &recs[jdx]))
		}
		if edg.isWatchLeader(now) {
			leaders[recs[idx].Zone]++
		}
	}
	if len(leaders) != watchLeaders {
		t.Errorf("watch leaders by zone: %v", leaders)
	}
	for zone, num := range leaders {
		if num != 1 {
			t.Errorf("%d watch leaders in %s", num, zone)
		}
	}
}

// recordObject returns the object of an entry's record.
func recordObject(t *testing.T, rec *roster.Record) wick.Object {
	t.Helper()
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return wick.Object{Key: wick.ObjectKey{Kind: wick.KindMember, Name: string(rec.ID)}, Revision: 1, Data: data}
}

// TestNewVersionAvoided guards against requests to a version that has just appeared and whose
// order was not read yet, and against refusals where only such a version serves.
func TestNewVersionAvoided(t *testing.T) {
	edg := newIdleEdge(nil)
	begin := time.Unix(1000, 0)
	ages := &edg.rollouts.versions
	bke := func(ver wick.ModelVersion) wick.Backend { return wick.Backend{Service: "s", Version: ver} }
	choose := func(after time.Duration) relay.Choice { return edg.rollouts.Choose("s", "r", begin.Add(after)) }
	ages.list([]wick.Backend{bke("v1"), bke("v0")}, begin)
	if got := choose(0).Avoid; len(got) > 0 {
		t.Errorf("the first versions are avoided: %v", got)
	}
	young := bke("v2")
	ages.add(&young, begin.Add(time.Minute))
	ages.add(&young, begin.Add(time.Minute+time.Second))
	window := edg.stableWindow()
	for after, want := range map[time.Duration][]wick.ModelVersion{
		time.Minute: {"v2"}, time.Minute + window - time.Millisecond: {"v2"}, time.Minute + window: nil,
	} {
		if got := choose(after).Avoid; !slices.Equal(got, want) {
			t.Errorf("after %v %v is avoided, want %v", after, got, want)
		}
	}
	edg.rollouts.setOrder(wick.VersionOrder{Service: "s", Target: "v2", State: wick.OrderDone, Number: 1}, 0, begin)
	if got := choose(time.Minute).Avoid; len(got) > 0 {
		t.Errorf("the version in force is avoided: %v", got)
	}
}
