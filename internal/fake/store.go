// Package fake provides fakes of the external systems: the platform's object
// API, the cloud, model engines and plain services, each with fault injection.
package fake

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// StoreFaults are the faults injected into a Store. The zero value injects
// none.
type StoreFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down,omitempty"`
	// Partition makes the HTTP server drop the connection of every call. In
	// process it is equivalent to Down.
	Partition bool `json:"partition,omitempty"`
	// LatencyMillis delays every call.
	LatencyMillis wick.Millis `json:"latencyMillis,omitempty"`
	// LoseReplies is the share of writes that take effect but return
	// ErrUnavailable, as if the reply was lost.
	LoseReplies wick.Share `json:"loseAnswers,omitempty"`
	// StaleReads is the share of Get and List calls that return the state
	// before the last write.
	StaleReads wick.Share `json:"staleReads,omitempty"`
}

// StoreCalls counts the calls received by a Store. A long-polling watch is one
// call.
type StoreCalls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// A Store is an in-memory wick.Store. Its zero value is empty and ready to use.
type Store struct {
	mu sync.Mutex
	// rev is the revision of the last write, in the era of the last restore.
	rev wick.Revision
	// objects includes tombstones of deleted objects, which watches report.
	objects map[wick.ObjectKey]wick.Object
	// previous is the state before the last write, for stale reads.
	previous map[wick.ObjectKey]wick.Object
	// previousRev is the revision of previous.
	previousRev wick.Revision
	changed     chan struct{}
	faults      StoreFaults
	calls       StoreCalls
	rnd         *rand.Rand
	// WatchWait is the long-poll timeout of a watch; 25 s if zero.
	WatchWait time.Duration
}

const defaultWatchWait = 25 * time.Second

var _ wick.Store = (*Store)(nil)

// SetFaults replaces the faults. The seed makes random faults reproducible.
func (sto *Store) SetFaults(flt StoreFaults, seed uint64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.faults = flt
	sto.rnd = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults need a reproducible generator
}

// Calls returns the call counts so far.
func (sto *Store) Calls() StoreCalls {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.calls
}

// Get returns an object.
func (sto *Store) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if err := sto.begin(ctx, false); err != nil {
		return wick.Object{}, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	objs, _ := sto.view()
	obj, ok := objs[key]
	if !ok || obj.Deleted {
		return wick.Object{}, wick.ErrNotFound
	}
	return obj, nil
}

// List returns the objects of a kind.
func (sto *Store) List(ctx context.Context, kind wick.Kind) ([]wick.Object, wick.Revision, error) {
	if err := sto.begin(ctx, false); err != nil {
		return nil, 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	var out []wick.Object
	objs, rev := sto.view()
	for key, obj := range objs {
		if key.Kind == kind && !obj.Deleted {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Key.Name < out[jdx].Key.Name })
	return out, rev, nil
}

// Put writes an object if its revision is rev.
func (sto *Store) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	if len(data) > wick.MaxObjectBytes {
		return 0, wick.ErrInvalid
	}
	return sto.write(ctx, wick.Object{Key: key, Data: append([]byte(nil), data...)}, rev)
}

// Delete removes an object if its revision is rev.
func (sto *Store) Delete(ctx context.Context, key wick.ObjectKey, rev wick.Revision) error {
	_, err := sto.write(ctx, wick.Object{Key: key, Deleted: true}, rev)
	return err
}

// watchMargin is how long before the deadline of its context a watch ends, so that its answer
// arrives in time.
const watchMargin = 100 * time.Millisecond

// Watch waits for changes of a kind.
func (sto *Store) Watch(ctx context.Context, kind wick.Kind, after wick.Revision) ([]wick.Object, wick.Revision, error) {
	wait := sto.WatchWait
	if wait == 0 {
		wait = defaultWatchWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-watchMargin)
	}
	return sto.WatchFor(ctx, kind, after, wait)
}

// WatchFor is Watch with an explicit timeout.
func (sto *Store) WatchFor(ctx context.Context, kind wick.Kind, after wick.Revision, wait time.Duration) ([]wick.Object, wick.Revision, error) {
	if err := sto.begin(ctx, false); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objs, rev, changed, err := sto.changesAfter(kind, after)
		if err != nil || len(objs) > 0 {
			return objs, rev, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (sto *Store) changesAfter(kind wick.Kind, after wick.Revision) ([]wick.Object, wick.Revision, <-chan struct{}, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.faults.Down || sto.faults.Partition {
		return nil, 0, nil, wick.ErrUnavailable
	}
	if after != 0 && after.Era() < sto.rev.Era() {
		return nil, 0, nil, wick.ErrRevisionExpired
	}
	var out []wick.Object
	for key, obj := range sto.objects {
		if key.Kind == kind && obj.Revision > after {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Revision < out[jdx].Revision })
	if sto.changed == nil {
		sto.changed = make(chan struct{})
	}
	return out, sto.rev, sto.changed, nil
}

// begin counts a call and applies latency and outage faults.
func (sto *Store) begin(ctx context.Context, write bool) error {
	sto.mu.Lock()
	if write {
		sto.calls.Writes++
	} else {
		sto.calls.Reads++
	}
	latency := sto.faults.LatencyMillis.Duration()
	sto.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return wick.ErrUnavailable
		}
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.faults.Down || sto.faults.Partition || ctx.Err() != nil {
		return wick.ErrUnavailable
	}
	return nil
}

// view returns the objects that a read returns and their revision. The caller
// must hold mu.
func (sto *Store) view() (map[wick.ObjectKey]wick.Object, wick.Revision) {
	if sto.previous != nil && sto.sample(sto.faults.StaleReads) {
		return sto.previous, sto.previousRev
	}
	return sto.objects, sto.rev
}

// sample returns true with the given probability. The caller must hold mu.
func (sto *Store) sample(prob wick.Share) bool {
	return prob > 0 && sto.rnd != nil && sto.rnd.Float64() < float64(prob)
}

func (sto *Store) write(ctx context.Context, obj wick.Object, rev wick.Revision) (wick.Revision, error) {
	if err := sto.begin(ctx, true); err != nil {
		return 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	old, ok := sto.objects[obj.Key]
	exists := ok && !old.Deleted
	if obj.Deleted && !exists {
		return 0, wick.ErrNotFound
	}
	if exists && old.Revision != rev || !exists && rev != 0 {
		return 0, wick.ErrConflict
	}
	sto.savePrevious()
	sto.rev++
	obj.Revision = sto.rev
	sto.objects[obj.Key] = obj
	if sto.changed != nil {
		close(sto.changed)
		sto.changed = nil
	}
	if sto.sample(sto.faults.LoseReplies) {
		return 0, wick.ErrUnavailable
	}
	return sto.rev, nil
}

// savePrevious saves a copy of the objects for stale reads. The caller must hold mu.
func (sto *Store) savePrevious() {
	if sto.objects == nil {
		sto.objects = make(map[wick.ObjectKey]wick.Object)
	}
	if sto.faults.StaleReads == 0 {
		return
	}
	sto.previousRev = sto.rev
	sto.previous = make(map[wick.ObjectKey]wick.Object, len(sto.objects))
	for key, obj := range sto.objects {
		sto.previous[key] = obj
	}
}

func (sto *Store) isDown() bool {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.faults.Down
}
