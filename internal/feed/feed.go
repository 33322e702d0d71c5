// Package feed follows one kind of objects in the platform's store: it lists
// the kind, then watches for changes, and lists again when changes were missed.
package feed

import (
	"context"
	"errors"
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

// A Handler takes what a Follower reads. Its methods are called by one
// goroutine.
type Handler interface {
	// Replace takes all objects of the kind.
	Replace(objs []wick.Object)
	// Change takes one changed or deleted object.
	Change(obj wick.Object)
	// Settled is called after each list and after the changes of each watch.
	Settled()
}

// Each is a Handler for objects that stand for themselves. It is called with
// each object that is not deleted.
type Each func(obj wick.Object)

// Replace takes all objects of the kind.
func (eac Each) Replace(objs []wick.Object) {
	for idx := range objs {
		eac.Change(objs[idx])
	}
}

// Change takes one object.
func (eac Each) Change(obj wick.Object) {
	if !obj.Deleted {
		eac(obj)
	}
}

// Settled does nothing.
func (Each) Settled() {}

// A Follower keeps a Handler up to date. All fields but Pause must be set
// before Run.
type Follower struct {
	Store   wick.Store
	Kind    wick.Kind
	Handler Handler
	// Pause returns the least time between two watches, so that kinds that
	// change all the time are read in batches. There is none if it is nil.
	Pause func() time.Duration

	// Patience bounds one watch, for kinds that change so often that a longer
	// silence means a lost connection. The store's own bound holds if it is 0.
	Patience time.Duration
	// Lagging reads the same objects, seconds old perhaps, at a lower price. It
	// is used while MayLag returns true; both are nil if all reads must be new.
	Lagging wick.Store
	MayLag  func() bool
	// Active reports whether the kind is to be read now; nil is always.
	Active func() bool

	kick chan struct{}
	once sync.Once
	// answered is the time of the last answer in nanoseconds since 1970, and
	// failing since when there has been none (0 if the last call succeeded).
	answered atomic.Int64
	failing  atomic.Int64
	// recovered is when calls last succeeded again after a failure.
	recovered atomic.Int64
}

// Answered returns when the store last answered, the zero time if never.
func (fol *Follower) Answered() time.Time { return nanos(fol.answered.Load()) }

// FailingSince returns since when calls fail, the zero time if they succeed.
func (fol *Follower) FailingSince() time.Time { return nanos(fol.failing.Load()) }

// RecoveredAt returns when the store last answered again after a failure, the
// zero time if it never failed.
func (fol *Follower) RecoveredAt() time.Time { return nanos(fol.recovered.Load()) }

func nanos(val int64) time.Time {
	if val == 0 {
		return time.Time{}
	}
	return time.Unix(0, val)
}

func (fol *Follower) kicks() chan struct{} {
	fol.once.Do(func() { fol.kick = make(chan struct{}, 1) })
	return fol.kick
}

// Kick lists the kind again at once, because a change is known that the watch
// has not shown.
func (fol *Follower) Kick() {
	select {
	case fol.kicks() <- struct{}{}:
	default:
	}
}

// idleCheck is how often an inactive follower looks whether it is to read.
const idleCheck = 200 * time.Millisecond

// Run follows until ctx ends.
func (fol *Follower) Run(ctx context.Context) {
	var rev wick.Revision
	listed, failures := false, 0
	for ctx.Err() == nil {
		if fol.Active != nil && !fol.Active() {
			listed = false
			retry.Sleep(ctx, idleCheck)
			continue
		}
		began := time.Now()
		var err error
		if listed {
			rev, err = fol.watchOrKick(ctx, rev)
			listed = !errors.Is(err, wick.ErrHistoryGone)
		} else {
			rev, err = fol.list(ctx)
			listed = err == nil
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		fol.note(err)
		if err == nil {
			failures = 0
			if fol.Pause != nil && !retry.Sleep(ctx, fol.Pause()-time.Since(began)) {
				return
			}
			continue
		}
		log.WithError(err).WithField("kind", fol.Kind).Debug("feed: read failed")
		retry.Sleep(ctx, retry.Backoff(failures, backoffBase, backoffLimit))
		failures++
	}
}

// note records the result of a call and logs when the store is lost or found.
func (fol *Follower) note(err error) {
	now := time.Now()
	if err == nil || errors.Is(err, wick.ErrHistoryGone) {
		fol.answered.Store(now.UnixNano())
		if since := fol.failing.Swap(0); since != 0 {
			fol.recovered.Store(now.UnixNano())
			log.WithFields(logrus.Fields{"kind": fol.Kind, "after": now.Sub(nanos(since)).String()}).Info(logs.MsgStoreBack)
		}
		return
	}
	metrics.GetOrRegisterCounter("feed.failures", nil).Inc(1)
	if fol.failing.CompareAndSwap(0, now.UnixNano()) {
		log.WithError(err).WithField("kind", fol.Kind).Warn(logs.MsgStoreLost)
	}
}

// store returns the store for the next read.
func (fol *Follower) store() wick.Store {
	if fol.Lagging != nil && fol.MayLag() {
		return fol.Lagging
	}
	return fol.Store
}

func (fol *Follower) list(ctx context.Context) (wick.Revision, error) {
	objs, rev, err := fol.store().List(ctx, fol.Kind)
	if err != nil {
		return 0, err //nolint:wrapcheck // wick.Store's errors are ours
	}
	metrics.GetOrRegisterCounter("feed.lists", nil).Inc(1)
	fol.Handler.Replace(objs)
	fol.Handler.Settled()
	return rev, nil
}

// watchOrKick watches until a kick, which ends the watch as if its history were
// gone.
func (fol *Follower) watchOrKick(ctx context.Context, rev wick.Revision) (wick.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-fol.kicks():
			cancel(wick.ErrHistoryGone)
		case <-stop:
		}
	}()
	next, err := fol.watch(ctx, rev)
	if err != nil && errors.Is(context.Cause(ctx), wick.ErrHistoryGone) {
		return rev, wick.ErrHistoryGone
	}
	return next, err
}

func (fol *Follower) watch(ctx context.Context, rev wick.Revision) (wick.Revision, error) {
	if fol.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fol.Patience)
		defer cancel()
	}
	objs, next, err := fol.store().Watch(ctx, fol.Kind, rev)
	if err != nil {
		return rev, err //nolint:wrapcheck // wick.Store's errors are ours
	}
	for idx := range objs {
		fol.Handler.Change(objs[idx])
	}
	fol.Handler.Settled()
	return max(rev, next), nil
}
