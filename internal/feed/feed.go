// Package feed keeps a handler in sync with one kind of objects in the platform's
// store: it lists the kind, watches it for changes, and relists when the store no
// longer has the history since the last read or on request.
package feed

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	backoffBase  = 50 * time.Millisecond
	backoffLimit = 800 * time.Millisecond
)

var log = logrus.WithField("component", "feed")

// A Handler receives the objects that a Follower reads. Its methods are called
// from a single goroutine.
type Handler interface {
	// Replace replaces the state by all objects of the kind.
	Replace(objs []wick.Object)
	// Change applies one changed or deleted object.
	Change(obj wick.Object)
	// Settled is called after each list and after the changes of each watch
	// have been applied.
	Settled()
}

// Each is a Handler for objects that are independent of each other. It is called
// with each object that is not deleted.
type Each func(obj wick.Object)

// Replace passes each object to Change.
func (eac Each) Replace(objs []wick.Object) {
	for idx := range objs {
		eac.Change(objs[idx])
	}
}

// Change calls eac unless the object is deleted.
func (eac Each) Change(obj wick.Object) {
	if !obj.Deleted {
		eac(obj)
	}
}

// Settled does nothing.
func (Each) Settled() {}

// A Follower keeps a Handler in sync with the store. Store, Kind and Handler are
// required; no field may change after Run is called.
type Follower struct {
	Store   wick.Store
	Kind    wick.Kind
	Handler Handler
	// Pause returns the minimum time between the starts of two reads, which
	// batches the changes of a frequently changing kind. Nil is no minimum.
	Pause func() time.Duration

	// WatchTimeout returns the timeout of a watch, within which a connection that has fallen
	// silent is noticed. A watch that has lasted for longer, since the timeout has become
	// shorter, is begun anew. Nil leaves it to the store.
	WatchTimeout func() time.Duration
	// Lagging reads the same objects at a lower cost but may return data that is
	// seconds old. It is used while MayLag returns true. Both are nil if stale
	// reads are never allowed.
	Lagging wick.Store
	MayLag  func() bool
	// CurrentLists excludes lists from stale reads, for kinds whose removed objects
	// must not come back.
	CurrentLists bool
	// Outage is shared by the followers of one store; nil if this is the only one.
	Outage *Outage
	// Active reports whether the kind is needed at present; nil is always.
	Active func() bool

	relist chan struct{}
	once   sync.Once
	// answered is the time of the last successful call in Unix nanoseconds;
	// wick.ErrRevisionExpired counts as success. failing is the time of the first
	// failure since then, 0 if the last call succeeded.
	answered atomic.Int64
	failing  atomic.Int64
	// recovered is the time of the last success after a failure.
	recovered atomic.Int64
}

// LastSuccess returns the time of the last successful call, the zero time if there
// was none.
func (fol *Follower) LastSuccess() time.Time { return unixTime(fol.answered.Load()) }

// FailingSince returns the start of the current outage, the zero time if the last
// call succeeded.
func (fol *Follower) FailingSince() time.Time { return unixTime(fol.failing.Load()) }

// RecoveredAt returns the end of the last outage or when the store was first read after
// its last restore, the zero time if there was neither.
func (fol *Follower) RecoveredAt() time.Time { return unixTime(fol.recovered.Load()) }

func unixTime(val int64) time.Time {
	if val == 0 {
		return time.Time{}
	}
	return time.Unix(0, val)
}

func (fol *Follower) relistChan() chan struct{} {
	fol.once.Do(func() { fol.relist = make(chan struct{}, 1) })
	return fol.relist
}

// Relist cancels the current watch and relists, for a change that is known from
// another source but has not been delivered by the watch.
func (fol *Follower) Relist() {
	select {
	case fol.relistChan() <- struct{}{}:
	default:
	}
}

// activePoll is the interval at which an inactive follower polls Active.
const activePoll = 200 * time.Millisecond

// Run lists and watches the kind until ctx is done.
func (fol *Follower) Run(ctx context.Context) {
	var rev wick.Revision
	listed, failures := false, 0
	for ctx.Err() == nil {
		if fol.Active != nil && !fol.Active() {
			listed = false
			retry.Sleep(ctx, activePoll)
			continue
		}
		began := time.Now()
		var err error
		if listed {
			rev, err = fol.watchUntilRelist(ctx, rev)
			listed = !errors.Is(err, wick.ErrRevisionExpired)
		} else {
			rev, err = fol.list(ctx, rev)
			listed = err == nil
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchShortened) {
			continue
		}
		fol.recordResult(err)
		if err == nil {
			failures = 0
			if fol.Pause != nil && !retry.Sleep(ctx, fol.Pause()-time.Since(began)) {
				return
			}
			continue
		}
		log.WithError(err).WithField("kind", fol.Kind).Debug("feed: read failed")
		fol.Outage.wait(ctx, retry.Backoff(failures, backoffBase, backoffLimit))
		failures++
	}
}

// recordResult records the result of a call and logs the start and the end of an
// outage.
func (fol *Follower) recordResult(err error) {
	now := time.Now()
	if err == nil || errors.Is(err, wick.ErrRevisionExpired) {
		fol.answered.Store(now.UnixNano())
		if since := fol.failing.Swap(0); since != 0 {
			fol.recovered.Store(now.UnixNano())
			fol.Outage.end()
			log.WithFields(logrus.Fields{"kind": fol.Kind, "after": now.Sub(unixTime(since)).String()}).Info(logs.MsgStoreRecovered)
		}
		return
	}
	metrics.GetOrRegisterCounter("feed.failures", nil).Inc(1)
	if fol.failing.CompareAndSwap(0, now.UnixNano()) {
		fol.Outage.begin()
		log.WithError(err).WithField("kind", fol.Kind).Warn(logs.MsgStoreLost)
	}
}

// store returns the store to use for the next read.
func (fol *Follower) store() wick.Store {
	if fol.Lagging != nil && fol.MayLag() {
		return fol.Lagging
	}
	return fol.Store
}

// list reads all objects. It returns known, the revision of the last read, on an error.
func (fol *Follower) list(ctx context.Context, known wick.Revision) (wick.Revision, error) {
	sto := fol.store()
	if fol.CurrentLists {
		sto = fol.Store
	}
	objs, rev, err := sto.List(ctx, fol.Kind)
	if err != nil {
		return known, err //nolint:wrapcheck // wick.Store returns errors of this module
	}
	metrics.GetOrRegisterCounter("feed.lists", nil).Inc(1)
	if known != 0 && rev.Era() > known.Era() {
		// The list lacks what was written since the copy, as after an outage.
		fol.recovered.Store(time.Now().UnixNano())
	}
	if err := fol.apply("list", func() { fol.Handler.Replace(objs); fol.Handler.Settled() }); err != nil {
		return known, err
	}
	return rev, nil
}

// watchUntilRelist runs one watch. A relist request cancels it with
// wick.ErrRevisionExpired, which makes the caller list again.
func (fol *Follower) watchUntilRelist(ctx context.Context, rev wick.Revision) (wick.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-fol.relistChan():
			cancel(wick.ErrRevisionExpired)
		case <-stop:
		}
	}()
	next, err := fol.watch(ctx, rev)
	if err != nil && errors.Is(context.Cause(ctx), wick.ErrRevisionExpired) {
		return rev, wick.ErrRevisionExpired
	}
	return next, err
}

func (fol *Follower) watch(ctx context.Context, rev wick.Revision) (wick.Revision, error) {
	if fol.WatchTimeout != nil {
		var cancel context.CancelFunc
		ctx, cancel = fol.boundWatch(ctx)
		defer cancel()
	}
	objs, next, err := fol.store().Watch(ctx, fol.Kind, rev)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errWatchShortened):
		return rev, errWatchShortened
	case err != nil:
		return rev, err //nolint:wrapcheck // wick.Store returns errors of this module
	}
	for idx := range objs {
		// An object that can't be applied is skipped, so that those after it are.
		_ = fol.apply(objs[idx].Key.Name, func() { fol.Handler.Change(objs[idx]) })
	}
	_ = fol.apply("changes", fol.Handler.Settled)
	return max(rev, next), nil
}

// errWatchShortened ends a watch that has lasted for longer than its timeout is by now.
var errWatchShortened = errors.New("feed: the timeout of the watch has become shorter")

// recheckInterval is the time between two checks of a watch's timeout.
const recheckInterval = 500 * time.Millisecond

// boundWatch returns the context of a watch that begins now.
func (fol *Follower) boundWatch(ctx context.Context) (context.Context, context.CancelFunc) {
	began, timeout := time.Now(), fol.WatchTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	ctx, shorten := context.WithCancelCause(ctx)
	var recheck func()
	recheck = func() {
		switch {
		case ctx.Err() != nil:
		case time.Since(began) > fol.WatchTimeout():
			shorten(errWatchShortened)
		default:
			time.AfterFunc(recheckInterval, recheck)
		}
	}
	time.AfterFunc(recheckInterval, recheck)
	return ctx, func() { shorten(nil); cancel() }
}

// errPanic is the error of a handler that panicked.
var errPanic = errors.New("feed: panic in a handler")

// apply calls a handler. It contains and logs a panic, so that one object doesn't end
// the process.
func (fol *Follower) apply(name string, handle func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			metrics.GetOrRegisterCounter("feed.panics", nil).Inc(1)
			log.WithFields(logrus.Fields{"kind": fol.Kind, "object": name, "stack": string(debug.Stack())}).
				Errorf("feed: panic in a handler: %v", cause)
			err = errPanic
		}
	}()
	handle()
	return nil
}
