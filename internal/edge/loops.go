package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/usage"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	allocationInterval = 500 * time.Millisecond
	usageInterval      = 250 * time.Millisecond
	// storeTimeout bounds one operation on the store.
	storeTimeout = 2 * time.Second
	// recordTTL is the time without a change after which the record of an entry is
	// deleted. The usage windows in it have been reported by then.
	recordTTL     = 40 * time.Second
	sweepInterval = 10 * time.Second
	// finalCountTimeout is how long reports wait for the final counts of an entry
	// whose record no longer changes: it may be partitioned from the store and
	// still serve.
	finalCountTimeout = 20 * time.Second
)

// allocationLoop periodically recomputes what this entry derives from all entries'
// records: its parts of the quotas and of the retry budget, and the performance of
// the endpoints.
func (edg *Edge) allocationLoop(ctx context.Context) {
	for {
		edg.quotas.allocate(time.Now())
		edg.shareLimits(time.Now())
		edg.adoptRecords(time.Now())
		if !retry.Sleep(ctx, allocationInterval) {
			return
		}
	}
}

// usageLoop reports usage while this entry holds the control duty.
func (edg *Edge) usageLoop(ctx context.Context) {
	rpt := &usage.Reporter{
		Store: edg.cfg.Store, Duties: edg.cfg.Duties, Window: edg.cfg.Bounds.UsageWindow,
		ExpireAfter: edg.cfg.Bounds.UsageDeadline, Sum: edg.windowCounts, ReadAt: edg.members.LastSuccess, Complete: edg.countsFinal,
		EraSince: func() (wick.Era, time.Time) { return edg.leases.EraSince(DutyControl) },
	}
	for retry.Sleep(ctx, usageInterval) {
		fence, held := edg.leases.Holds(DutyControl)
		if !held {
			continue
		}
		step := rpt.Step
		if _, ok := edg.controlFence(time.Now()); !ok {
			step = rpt.Load
		}
		if err := edg.withinLease(ctx, func(ctx context.Context) error { return step(ctx, fence, time.Now()) }); err != nil {
			log.WithError(err).WithField("fence", fence).Warn("edge: usage report failed")
			retry.Sleep(ctx, usageInterval)
		}
	}
}

// countsFinal reports whether all other entries whose records changed within
// finalCountTimeout have published their final counts of a usage window.
func (edg *Edge) countsFinal(num uint64) bool {
	for _, rec := range edg.roster.Alive(time.Now(), finalCountTimeout, false) {
		if rec.ID != edg.cfg.ID && rec.CompleteThrough < num {
			return false
		}
	}
	return true
}

// sweepLoop deletes expired records of entries while this entry holds the control
// duty.
func (edg *Edge) sweepLoop(ctx context.Context) {
	for retry.Sleep(ctx, sweepInterval) {
		if _, ok := edg.controlFence(time.Now()); !ok {
			continue
		}
		for key, rev := range edg.roster.Stale(time.Now(), recordTTL) {
			if err := edg.cfg.Store.Delete(ctx, key, rev); err != nil {
				log.WithError(err).WithField("record", key.Name).Debug("edge: failed to delete expired record")
			}
		}
	}
}

// controlFence returns the fencing token if this entry may act as the holder of
// the control duty: it holds the lease, and HandoverDelay has passed since it
// acquired it.
func (edg *Edge) controlFence(now time.Time) (wick.Fence, bool) {
	since, ok := edg.leases.AcquiredAt(DutyControl)
	fence, held := edg.leases.Holds(DutyControl)
	if !ok || !held {
		return 0, false
	}
	// The first holder has no predecessor to wait for.
	return fence, edg.leases.IsFirst(DutyControl) || now.Sub(since) >= edg.cfg.Bounds.HandoverDelay
}

// withinLease runs a step of the control duty with a context that ends with the lease.
// A call of the step is not sent after that, even if the process was paused in between.
func (edg *Edge) withinLease(ctx context.Context, step func(ctx context.Context) error) error {
	ctx, cancel := context.WithDeadline(ctx, edg.leases.ValidUntil(DutyControl))
	defer cancel()
	return step(ctx)
}

// windowCounts sums the counts of a usage window over all entries.
func (edg *Edge) windowCounts(num uint64) map[wick.Customer]int {
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
		for cus, cnt := range rec.Started[num] {
			out[cus] += cnt
		}
	}
	return out
}

const (
	// refuseAfter is the time into the drain from which new requests are refused.
	// The load balancer has detected by then that the entry is not ready, and a
	// request accepted later might not complete within the grace period.
	refuseAfter = 2200 * time.Millisecond
	// minDrainTime is the least duration of a drain.
	minDrainTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit after the
	// drain.
	exitMargin = 500 * time.Millisecond
	// closeTimeout bounds the wait for connections after the listener was closed.
	// Requests that arrived just before are refused in it, and idle connections
	// are not waited for any longer.
	closeTimeout      = 300 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// drain reports the entry as not ready, lets in-flight requests complete and
// refuses new ones after refuseAfter. It waits until their responses are written, since the
// exit of the process cuts those that callers read slowly. Requests that are still in flight
// at the end of the grace period get an answer too.
func (edg *Edge) drain() {
	start := time.Now()
	edg.ready.setDraining()
	edg.relay.DisableKeepAlives()
	log.WithField("active", edg.relay.Active()).Info(logs.MsgDraining)
	ctx, cancel := context.WithTimeout(context.Background(), edg.cfg.Bounds.GracePeriod-exitMargin)
	defer cancel()
	if err := edg.publish(ctx); err != nil {
		log.WithError(err).Warn("edge: failed to write final record")
	}
	for retry.Sleep(ctx, drainPollInterval) {
		elapsed := time.Since(start)
		if elapsed > refuseAfter {
			edg.relay.Drain()
		}
		// A handler returns before its response is written.
		if elapsed > minDrainTime && edg.relay.Active() == 0 && edg.relay.Unanswered() == 0 {
			break
		}
	}
	edg.relay.EndRequests()
	closeCtx, closed := context.WithTimeout(context.Background(), closeTimeout)
	defer closed()
	if err := edg.relay.Shutdown(closeCtx); err != nil {
		log.WithError(err).Debug("edge: connections are open after the drain")
	}
	unanswered := edg.relay.Unanswered()
	edg.relay.ReportUnanswered()
	log.WithFields(logrus.Fields{"active": edg.relay.Active(), "unanswered": unanswered, "ms": time.Since(start).Milliseconds()}).Info("edge: drained")
}
