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
	// readTimeout bounds one list or get call to the platform.
	readTimeout = 5 * time.Second
	// watchTimeout exceeds the 25 s after which the platform ends a watch without
	// changes.
	watchTimeout = 30 * time.Second
	// Exponential backoff after failures, with jitter between 1/2 and 1 times
	// the value. The maximum leaves time for the 7 s of P8 after an outage.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// pollInterval is the mean time between polls of entries that don't watch;
	// the jitter is a quarter of it.
	pollInterval = 60 * time.Second
	// pollTimeout bounds a poll, which is a watch for changes that exist already.
	pollTimeout = 2 * time.Second
	// roleCheckInterval is the time between checks whether an entry has to watch.
	roleCheckInterval = 500 * time.Millisecond
	// quietPeriod, plus three times the duration of the last list, is how long a
	// watch without changes must last to prove that a list was not stale.
	quietPeriod = 500 * time.Millisecond
	// A read of a bundle that is not found is retried, because reads can be stale.
	maxNotFound           = 10
	notFoundRetryInterval = 250 * time.Millisecond
	// maxPending bounds the signatures whose bundle has not been read yet.
	maxPending = 64
)

// A cursor is the read position of an entry in the platform's signatures.
type cursor struct {
	// listed is set after a list, until the next failure.
	listed bool
	// after is the highest signature revision received. The revision that a
	// list returns is not used, because the list may be older than it.
	after wick.Revision
	// currentAt is the start of the last list or the end of the last watch.
	currentAt time.Time
	// readDuration is the duration of the last list.
	readDuration time.Duration
	// pending contains the signatures whose bundle has not been read yet.
	pending map[wick.BundleVersion]*pendingSignature
}

type pendingSignature struct {
	signature []byte
	misses    int
}

// follow watches the platform, or polls it while other entries of the zone watch.
func (kee *Keeper) follow(ctx context.Context) {
	cur := &cursor{pending: make(map[wick.BundleVersion]*pendingSignature)}
	backoff := initialBackoff
	nextPoll := kee.clock.Now()
	rnd := member.Rand("follow", kee.view.Self())
	for ctx.Err() == nil {
		now := kee.clock.Now()
		watch := !kee.isReady() || kee.view.ShouldWatch(now)
		if !watch && now.Before(nextPoll) && len(cur.pending) == 0 {
			kee.setPlatform(false)
			sleep(ctx, roleCheckInterval)
			continue
		}
		wait := watchTimeout
		if !watch {
			wait = pollTimeout
		}
		err := kee.readPlatform(ctx, cur, wait)
		if err == nil {
			backoff = initialBackoff
			nextPoll = kee.clock.Now().Add(pollInterval*3/4 + time.Duration(rnd.Int64N(int64(pollInterval/2))))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		kee.setPlatform(false)
		// A list returns at once, while a watch may block for 25 s.
		cur.listed = false
		kee.mu.Lock()
		kee.start.platformFailed = true
		kee.mu.Unlock()
		kee.checkReady()
		logrus.WithError(err).Debug("config: platform unreachable")
		sleep(ctx, backoff/2+time.Duration(rnd.Int64N(int64(backoff/2))))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readPlatform runs one list or watch and processes the result.
func (kee *Keeper) readPlatform(ctx context.Context, cur *cursor, wait time.Duration) error {
	if !cur.listed {
		begin := kee.clock.Now()
		lctx, cancel := context.WithTimeout(ctx, readTimeout)
		objs, _, err := kee.store.List(lctx, wick.KindSignature)
		cancel()
		if err != nil {
			return eris.Wrap(err, "list signatures")
		}
		cur.currentAt = begin
		cur.readDuration = kee.clock.Now().Sub(begin)
		cur.listed = true
		cur.add(objs)
		return kee.fetch(ctx, cur)
	}
	if len(cur.pending) > 0 {
		wait = notFoundRetryInterval
	}
	wctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	readAt := cur.currentAt
	quiet := time.AfterFunc(quietPeriod+3*cur.readDuration, func() {
		if wctx.Err() == nil && wait > notFoundRetryInterval {
			kee.recordCurrent(readAt, wait == watchTimeout)
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
	if err == nil && len(cur.pending) == 0 {
		cur.currentAt = returned
		kee.recordCurrent(returned, wait == watchTimeout)
	}
	return nil
}

// recordCurrent records that all versions the platform had at the given time
// were read.
func (kee *Keeper) recordCurrent(when time.Time, watching bool) {
	kee.view.RecordCurrent(when)
	kee.mu.Lock()
	kee.start.platformCurrent = true
	kee.mu.Unlock()
	kee.setPlatform(watching)
	kee.checkReady()
}

// add adds signatures. Above maxPending, the lowest versions are dropped.
func (cur *cursor) add(objs []wick.Object) {
	for _, obj := range objs {
		cur.after = max(cur.after, obj.Revision)
		if ver, ok := bundle.ParseName(obj.Key.Name); ok && !obj.Deleted {
			cur.pending[ver] = &pendingSignature{signature: obj.Data}
		}
	}
	if vers := cur.versions(); len(vers) > maxPending {
		for _, ver := range vers[maxPending:] {
			delete(cur.pending, ver)
		}
	}
}

// versions returns the pending versions in descending order.
func (cur *cursor) versions() []wick.BundleVersion {
	out := make([]wick.BundleVersion, 0, len(cur.pending))
	for ver := range cur.pending {
		out = append(out, ver)
	}
	slices.SortFunc(out, func(one, two wick.BundleVersion) int { return cmp.Compare(two, one) })
	return out
}

// fetch reads the bundles of pending signatures in descending order of version.
// Lower versions are dropped once a higher one is active.
func (kee *Keeper) fetch(ctx context.Context, cur *cursor) error {
	for _, ver := range cur.versions() {
		pns := cur.pending[ver]
		if ver <= kee.latest().Version && !kee.ablation.allowDowngrade {
			delete(cur.pending, ver)
			continue
		}
		gctx, cancel := context.WithTimeout(ctx, readTimeout)
		obj, err := kee.store.Get(gctx, bundle.Key(wick.KindBundle, ver))
		cancel()
		switch {
		case errors.Is(err, wick.ErrNotFound):
			pns.misses++
			if pns.misses >= maxNotFound {
				logrus.WithField("version", ver).Warn("config: no bundle found for signature")
				delete(cur.pending, ver)
			}
		case err != nil:
			return eris.Wrapf(err, "read bundle %d", ver)
		default:
			delete(cur.pending, ver)
			sgd := bundle.Signed{Version: ver, Submission: obj.Data, Signature: pns.signature}
			kee.tryAdopt(sgd, sourcePlatform) //nolint:errcheck // tryAdopt counts and logs rejections
		}
	}
	return nil
}
