package feed

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A scriptStore returns scripted results for lists and watches and records the
// calls. Watches beyond the script block.
type scriptStore struct {
	wick.Store
	mu      sync.Mutex
	calls   []string
	lists   []error
	watches []watchStep
}

type watchStep struct {
	objs []wick.Object
	err  error
}

func (sst *scriptStore) List(context.Context, wick.Kind) ([]wick.Object, wick.Revision, error) {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	sst.calls = append(sst.calls, "list")
	var err error
	if len(sst.lists) > 0 {
		err, sst.lists = sst.lists[0], sst.lists[1:]
	}
	return []wick.Object{{Key: wick.ObjectKey{Name: "listed"}}}, 5, err
}

func (sst *scriptStore) Watch(ctx context.Context, _ wick.Kind, _ wick.Revision) ([]wick.Object, wick.Revision, error) {
	sst.mu.Lock()
	sst.calls = append(sst.calls, "watch")
	if len(sst.watches) > 0 {
		step := sst.watches[0]
		sst.watches = sst.watches[1:]
		sst.mu.Unlock()
		return step.objs, 6, step.err
	}
	sst.mu.Unlock()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

type recorder struct{ got []string }

func (rec *recorder) Replace(objs []wick.Object) { rec.got = append(rec.got, "all "+objs[0].Key.Name) }
func (rec *recorder) Change(obj wick.Object)     { rec.got = append(rec.got, obj.Key.Name) }
func (rec *recorder) Settled()                   {}

func follow(t *testing.T, sst *scriptStore, pause time.Duration) (fol *Follower, got, calls string) {
	t.Helper()
	rec := &recorder{}
	fol = &Follower{Store: sst, Kind: "kind", Handler: rec, Pause: func() time.Duration { return pause }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { fol.Run(ctx); close(done) }()
	time.Sleep(20 * time.Second)
	synctest.Wait()
	cancel()
	<-done
	return fol, strings.Join(rec.got, ","), strings.Join(sst.calls, ",")
}

func assertText(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// TestFollower guards against missed changes after an outage or after the store
// has compacted its history, and against calls without backoff or pause.
func TestFollower(t *testing.T) {
	change := watchStep{objs: []wick.Object{{Key: wick.ObjectKey{Name: "one"}}}}
	for _, tst := range []struct {
		name, got, calls string
		sst              *scriptStore
	}{
		{"changes", "all listed,one", "list,watch,watch", &scriptStore{watches: []watchStep{change}}},
		{
			"history gone", "all listed,all listed", "list,watch,list,watch",
			&scriptStore{watches: []watchStep{{err: wick.ErrRevisionExpired}}},
		},
		{
			"outage of a watch", "all listed,one", "list,watch,watch,watch,watch",
			&scriptStore{watches: []watchStep{{err: wick.ErrUnavailable}, {err: wick.ErrBusy}, change}},
		},
		{"outage at the start", "all listed", "list,list,list,watch", &scriptStore{lists: []error{wick.ErrUnavailable, wick.ErrUnavailable}}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fol, got, calls := follow(t, tst.sst, 0)
				assertText(t, "handled", got, tst.got)
				assertText(t, "calls", calls, tst.calls)
				if !fol.FailingSince().IsZero() {
					t.Error("an outage is reported although the store responds")
				}
				if strings.HasPrefix(tst.name, "outage") == fol.RecoveredAt().IsZero() {
					t.Errorf("recovered at %v", fol.RecoveredAt())
				}
			})
		})
	}
	t.Run("pause", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sst := &scriptStore{}
			for range 1000 {
				sst.watches = append(sst.watches, change)
			}
			follow(t, sst, time.Second)
			if num := len(sst.calls); num < 18 || num > 22 {
				t.Errorf("%d calls in 20 s with a pause of 1 s", num)
			}
		})
	})
}

// TestRelist guards against a missed change because the connection of the watch
// is half-open.
func TestRelist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sst, rec := &scriptStore{}, &recorder{}
		fol := &Follower{Store: sst, Kind: "kind", Handler: rec}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		time.Sleep(time.Second)
		fol.Relist()
		time.Sleep(time.Second)
		synctest.Wait()
		assertText(t, "calls", strings.Join(sst.calls, ","), "list,watch,list,watch")
		if !fol.FailingSince().IsZero() {
			t.Error("a relist is reported as an outage")
		}
	})
}

func oneSecond() time.Duration { return time.Second }

// TestWatchTimeout guards against a half-open connection that delays changes for
// the full wait time of the store.
func TestWatchTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sst := &scriptStore{}
		fol := &Follower{Store: sst, Kind: "kind", Handler: &recorder{}, WatchTimeout: oneSecond}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		assertText(t, "calls", strings.Join(sst.calls, ","), "list,watch,watch")
	})
}

// TestInactive guards against reads of a kind that isn't needed.
func TestInactive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sst := &scriptStore{}
		var active atomic.Bool
		fol := &Follower{Store: sst, Kind: "kind", Handler: &recorder{}, Active: active.Load}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		time.Sleep(time.Second)
		assertText(t, "calls while inactive", strings.Join(sst.calls, ","), "")
		active.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		assertText(t, "calls", strings.Join(sst.calls, ","), "list,watch")
	})
}

// TestLagging guards against stale data where current data is required: a
// follower may read from the lagging store only while MayLag returns true.
func TestLagging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fresh, lagging := &scriptStore{}, &scriptStore{watches: []watchStep{{}, {}}}
		var mayLag atomic.Bool
		mayLag.Store(true)
		fol := &Follower{
			Store: fresh, Lagging: lagging, MayLag: mayLag.Load, Kind: "kind", Handler: &recorder{}, WatchTimeout: oneSecond,
			Pause: func() time.Duration { return 100 * time.Millisecond },
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		assertText(t, "current reads", strings.Join(fresh.calls, ","), "")
		assertText(t, "stale reads", strings.Join(lagging.calls, ","), "list,watch,watch")
		mayLag.Store(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(fresh.calls) == 0 || fresh.calls[0] != "watch" {
			t.Errorf("current reads: %v, want watches", fresh.calls)
		}
	})
}

// TestWatchShortened guards against a long watch that continues although the entry has to notice a
// silent connection by itself meanwhile, and against counting its end as a failure.
func TestWatchShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sst := &scriptStore{}
		var short atomic.Bool
		fol := &Follower{Store: sst, Kind: "kind", Handler: &recorder{}, WatchTimeout: func() time.Duration {
			if short.Load() {
				return 3 * time.Second
			}
			return time.Minute
		}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		time.Sleep(5 * time.Second)
		short.Store(true)
		time.Sleep(recheckInterval + time.Millisecond)
		synctest.Wait()
		assertText(t, "calls", strings.Join(sst.calls, ","), "list,watch,watch")
		if !fol.FailingSince().IsZero() || fol.LastSuccess().After(time.Now().Add(-5*time.Second)) {
			t.Errorf("failing since %v, last success %v", fol.FailingSince(), fol.LastSuccess())
		}
	})
}
