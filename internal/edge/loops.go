package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/internal/usage"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	shareEvery = 500 * time.Millisecond
	usageEvery = 250 * time.Millisecond
	// storeTimeout bounds one write of the entry's record.
	storeTimeout = 2 * time.Second
	// staleRecord is the age at which the record of an entry that has ended is
	// removed. Windows that it counted are reported by then.
	staleRecord = 40 * time.Second
	sweepEvery  = 10 * time.Second
	// countMemory is how long the counts of an entry whose record no longer
	// changes are waited for: it may be cut off from the store and still serve.
	countMemory = 20 * time.Second
)

// restore takes over what an earlier process of this entry has counted, before
// its record is written over.
func (edg *Edge) restore(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		rctx, cancel := context.WithTimeout(ctx, storeTimeout)
		rec, err := edg.roster.Own(rctx)
		cancel()
		if err == nil {
			edg.tally.Restore(rec.Began)
			log.WithFields(logrus.Fields{"incarnation": rec.Incarnation, "windows": len(rec.Began)}).Info("edge: counts restored")
			return
		}
		if errors.Is(err, wick.ErrNotFound) || errors.Is(err, wick.ErrInvalid) {
			return
		}
		log.WithError(err).Debug("edge: own record not read")
		retry.Sleep(ctx, retry.Backoff(failures, shareEvery, storeTimeout))
	}
}

// publishLoop writes the entry's record.
func (edg *Edge) publishLoop(ctx context.Context) {
	edg.restore(ctx)
	for retry.Sleep(ctx, edg.memberPause()) {
		if err := edg.publish(ctx); err != nil {
			log.WithError(err).Debug("edge: record not written")
		}
	}
}

func (edg *Edge) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Counts are read after it, so that those of the windows through it are in.
	through := usage.Through(time.Now(), edg.cfg.Bounds.UsageWindow)
	peerAddr := ""
	if edg.peers.Load() != nil {
		peerAddr = edg.cfg.PeerAddr
	}
	return edg.roster.Publish(ctx, roster.Record{ //nolint:wrapcheck // our own package
		ID: edg.cfg.ID, Incarnation: edg.cfg.Incarnation, Zone: edg.cfg.Zone, Peer: peerAddr,
		Beat: edg.beat.Add(1), Leaving: edg.ready.draining.Load(),
		Demand: edg.quotas.book.Demand(time.Now()), Began: edg.tally.Counts(), Through: through,
		Work: edg.pool.Work(time.Now()), Requests: edg.pool.Requests(time.Now()), Found: edg.found.get(), Evidence: edg.rollouts.evidence(),
	})
}

// shareLoop shares quotas and the retry budget with the other entries.
func (edg *Edge) shareLoop(ctx context.Context) {
	for {
		edg.quotas.share(time.Now())
		if !retry.Sleep(ctx, shareEvery) {
			return
		}
	}
}

// usageLoop reports usage while this entry holds the control duty.
func (edg *Edge) usageLoop(ctx context.Context) {
	rpt := &usage.Reporter{
		Store: edg.cfg.Store, Duties: edg.cfg.Duties, Window: edg.cfg.Bounds.UsageWindow,
		Late: edg.cfg.Bounds.UsageDeadline, Sum: edg.began, ReadAt: edg.members.Answered, Complete: edg.allCounted,
	}
	for retry.Sleep(ctx, usageEvery) {
		fence, ok := edg.control(time.Now())
		if !ok {
			continue
		}
		if err := rpt.Step(ctx, fence, time.Now()); err != nil {
			log.WithError(err).WithField("fence", fence).Warn("edge: usage not reported")
			retry.Sleep(ctx, usageEvery)
		}
	}
}

// allCounted reports whether all other entries whose records are not older than
// countMemory have published their final counts of a window.
func (edg *Edge) allCounted(num uint64) bool {
	for _, rec := range edg.roster.Alive(time.Now(), countMemory, false) {
		if rec.ID != edg.cfg.ID && rec.Through < num {
			return false
		}
	}
	return true
}

// sweepLoop removes the records of entries that have ended, while this entry
// holds the control duty.
func (edg *Edge) sweepLoop(ctx context.Context) {
	for retry.Sleep(ctx, sweepEvery) {
		if _, ok := edg.control(time.Now()); !ok {
			continue
		}
		for key, rev := range edg.roster.Stale(time.Now(), staleRecord) {
			if err := edg.cfg.Store.Delete(ctx, key, rev); err != nil {
				log.WithError(err).WithField("record", key.Name).Debug("edge: old record not removed")
			}
		}
	}
}

// firstFence is the fencing number of the first holder of a duty.
const firstFence wick.Fence = 1

// control returns the fencing number if this entry may make the calls of the
// control duty: it holds the lease and the holder before has been silent for
// the pause between holders.
func (edg *Edge) control(now time.Time) (wick.Fence, bool) {
	since, ok := edg.leases.Since(DutyControl)
	fence, held := edg.leases.Holds(DutyControl)
	if !ok || !held {
		return 0, false
	}
	// The first holder ever follows nobody.
	return fence, fence == firstFence || now.Sub(since) >= edg.cfg.Bounds.HandoverDelay
}

// began sums the counts of a window over all entries.
func (edg *Edge) began(num uint64) map[wick.Customer]int {
	out := make(map[wick.Customer]int)
	if tbl := edg.plans.Load(); tbl != nil {
		for idx := range tbl.Plan.Customers {
			out[tbl.Plan.Customers[idx].Name] = 0
		}
	}
	for cus, cnt := range edg.tally.Counts()[num] {
		out[cus] += cnt
	}
	for _, rec := range edg.roster.All() {
		if rec.ID == edg.cfg.ID {
			continue
		}
		for cus, cnt := range rec.Began[num] {
			out[cus] += cnt
		}
	}
	return out
}

const (
	// refuseAfter is when new requests are refused: the load balancer has
	// noticed by then that the entry is not ready, and a request that is taken
	// later might not end within the grace period.
	refuseAfter = 2200 * time.Millisecond
	// leaveAfter is the least time until the process ends.
	leaveAfter = 2500 * time.Millisecond
	// stopMargin is left of the grace period for the process to end.
	stopMargin = 500 * time.Millisecond
	drainEvery = 50 * time.Millisecond
)

// drain lets running requests complete and refuses new ones.
func (edg *Edge) drain() {
	began := time.Now()
	edg.ready.noteDraining()
	edg.relay.AskToLeave()
	log.WithField("active", edg.relay.Active()).Info(logs.MsgDraining)
	ctx, cancel := context.WithTimeout(context.Background(), edg.cfg.Bounds.GracePeriod-stopMargin)
	defer cancel()
	if err := edg.publish(ctx); err != nil {
		log.WithError(err).Warn("edge: last record not written")
	}
	for retry.Sleep(ctx, drainEvery) {
		passed := time.Since(began)
		if passed > refuseAfter {
			edg.relay.Drain()
		}
		if passed > leaveAfter && edg.relay.Active() == 0 {
			break
		}
	}
	log.WithFields(logrus.Fields{"active": edg.relay.Active(), "ms": time.Since(began).Milliseconds()}).Info("edge: drained")
}
