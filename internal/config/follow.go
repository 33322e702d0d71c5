package config

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// readTimeout bounds one read of the platform.
	readTimeout = 5 * time.Second
	// watchTimeout is above the platform's 25 s for a watch without changes.
	watchTimeout = 30 * time.Second
	// Pauses after failures are drawn from 1/2 to 1 times a value that
	// doubles. The largest leaves time for the 7 s of P8 after an outage.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// fallbackPoll is the mean time between polls of entries that don't
	// watch; they vary by a quarter.
	fallbackPoll = 60 * time.Second
	// pollWait is how long a poll waits for changes that are there already.
	pollWait = 2 * time.Second
	// roleEvery is how often an entry looks whether it has to watch.
	roleEvery = 500 * time.Millisecond
	// quietFor, plus three times the duration of the last read, is how long a
	// watch without changes must last to show that a list was not stale.
	quietFor = 500 * time.Millisecond
	// A bundle that is not found is read again, because reads can be stale.
	maxMisses = 10
	missPause = 250 * time.Millisecond
	// maxWaiting bounds signatures whose bundle was not read yet.
	maxWaiting = 64
)

// A cursor is the position of an entry in the platform's signatures.
type cursor struct {
	// listed is set after the first list.
	listed bool
	// after is the highest revision of a signature that was seen. The
	// revision that a list reports is not used, because the list may be
	// older than it.
	after wick.Revision
	// answered is when the last list was asked for.
	answered time.Time
	// took is the duration of the last read.
	took time.Duration
	// waiting holds signatures whose bundle was not read yet.
	waiting map[wick.BundleVersion]*waiting
}

type waiting struct {
	signature []byte
	misses    int
}

// follow watches the platform, or polls it if other entries of the zone watch.
func (kee *Keeper) follow(ctx context.Context) {
	cur := &cursor{waiting: make(map[wick.BundleVersion]*waiting)}
	pause := firstPause
	nextPoll := kee.clock.Now()
	rnd := member.Rand("follow", kee.view.Self())
	for ctx.Err() == nil {
		now := kee.clock.Now()
		watch := !kee.isReady() || kee.view.ShouldWatch(now)
		if !watch && now.Before(nextPoll) && len(cur.waiting) == 0 {
			kee.setPlatform(false)
			sleep(ctx, roleEvery)
			continue
		}
		wait := watchTimeout
		if !watch {
			wait = pollWait
		}
		err := kee.round(ctx, cur, wait)
		if err == nil {
			pause = firstPause
			nextPoll = kee.clock.Now().Add(fallbackPoll*3/4 + time.Duration(rnd.Int64N(int64(fallbackPoll/2))))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		kee.setPlatform(false)
		// A list is answered at once, while a watch may wait for 25 s.
		cur.listed = false
		kee.mu.Lock()
		kee.start.failed = true
		kee.mu.Unlock()
		kee.advance()
		logrus.WithError(err).Debug("config: platform not reached")
		sleep(ctx, pause/2+time.Duration(rnd.Int64N(int64(pause/2))))
		pause = min(2*pause, maxPause)
	}
}

// round runs one list or watch and handles what it shows.
func (kee *Keeper) round(ctx context.Context, cur *cursor, wait time.Duration) error {
	if !cur.listed {
		begin := kee.clock.Now()
		lctx, cancel := context.WithTimeout(ctx, readTimeout)
		objs, _, err := kee.store.List(lctx, wick.KindSignature)
		cancel()
		if err != nil {
			return eris.Wrap(err, "list signatures")
		}
		cur.answered = begin
		cur.took = kee.clock.Now().Sub(begin)
		cur.listed = true
		cur.add(objs)
		return kee.fetch(ctx, cur)
	}
	if len(cur.waiting) > 0 {
		wait = missPause
	}
	wctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answered := cur.answered
	quiet := time.AfterFunc(quietFor+3*cur.took, func() {
		if wctx.Err() == nil && wait > missPause {
			kee.setCurrent(answered, wait == watchTimeout)
		}
	})
	objs, rev, err := kee.store.Watch(wctx, wick.KindSignature, cur.after)
	quiet.Stop()
	returned := kee.clock.Now()
	late := wctx.Err() != nil && ctx.Err() == nil
	if err != nil && (!late || wait == watchTimeout) {
		return eris.Wrap(err, "watch signatures")
	}
	if err == nil {
		cur.add(objs)
		cur.after = max(cur.after, rev)
	}
	if err := kee.fetch(ctx, cur); err != nil {
		return err
	}
	if err == nil && len(cur.waiting) == 0 {
		cur.answered = returned
		kee.setCurrent(returned, wait == watchTimeout)
	}
	return nil
}

// setCurrent notes that the platform showed all its versions of a time.
func (kee *Keeper) setCurrent(when time.Time, watching bool) {
	kee.view.RecordCurrent(when)
	kee.mu.Lock()
	kee.start.current = true
	kee.mu.Unlock()
	kee.setPlatform(watching)
	kee.advance()
}

// add takes signatures. The lowest versions are dropped when there are too
// many.
func (cur *cursor) add(objs []wick.Object) {
	for _, obj := range objs {
		cur.after = max(cur.after, obj.Revision)
		if ver, ok := bundle.ParseName(obj.Key.Name); ok && !obj.Deleted {
			cur.waiting[ver] = &waiting{signature: obj.Data}
		}
	}
	if vers := cur.versions(); len(vers) > maxWaiting {
		for _, ver := range vers[maxWaiting:] {
			delete(cur.waiting, ver)
		}
	}
}

// versions returns the waiting versions, the highest first.
func (cur *cursor) versions() []wick.BundleVersion {
	out := make([]wick.BundleVersion, 0, len(cur.waiting))
	for ver := range cur.waiting {
		out = append(out, ver)
	}
	slices.SortFunc(out, func(one, two wick.BundleVersion) int { return cmp.Compare(two, one) })
	return out
}

// fetch reads the bundles of waiting signatures, the highest version first.
// Lower ones are dropped once a higher one is active.
func (kee *Keeper) fetch(ctx context.Context, cur *cursor) error {
	for _, ver := range cur.versions() {
		wtg := cur.waiting[ver]
		if ver <= kee.held().Version && !kee.bare.anyVersion {
			delete(cur.waiting, ver)
			continue
		}
		gctx, cancel := context.WithTimeout(ctx, readTimeout)
		obj, err := kee.store.Get(gctx, bundle.Key(wick.KindBundle, ver))
		cancel()
		switch {
		case errors.Is(err, wick.ErrNotFound):
			wtg.misses++
			if wtg.misses >= maxMisses {
				logrus.WithField("version", ver).Warn("config: signature without a bundle")
				delete(cur.waiting, ver)
			}
		case err != nil:
			return eris.Wrapf(err, "read bundle %d", ver)
		default:
			delete(cur.waiting, ver)
			sgd := bundle.Signed{Version: ver, Submission: obj.Data, Signature: wtg.signature}
			kee.offer(sgd, sourcePlatform) //nolint:errcheck // offer counts and logs refusals
		}
	}
	return nil
}
