package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// loadLoop polls the load of the model endpoints in this entry's availability
// zone and notifies the other entries, if this entry is the poller of the zone.
func (edg *Edge) loadLoop(ctx context.Context) {
	lpl := &loadPoller{edg: edg, schedule: make(pollSchedule), failures: make(map[wick.VMID]int)}
	for edg.cfg.Loads != nil && retry.Sleep(ctx, loadPollInterval) {
		if !edg.isLoadPoller() {
			continue
		}
		ntc := lpl.poll(ctx)
		edg.applyLoads(ntc)
		ntc.Paces = edg.paces.takeAll(edg.pool)
		edg.pool.AddPaces(ntc.Paces, time.Now())
		now := time.Now()
		ntc.Current = now.Sub(edg.backends.LastSuccess()) < registryMaxAge
		ntc.Left = edg.informants.recentlyLeft(now)
		if tbl := edg.plans.Load(); tbl != nil {
			ntc.Plan = tbl.Plan.Version
		}
		ntc.Orders, ntc.Moves = edg.rollouts.newestRevision(), edg.rollouts.newestMoveRevision()
		ntc.Evacuated, ntc.Leader = edg.evacuations.list(), edg.watchesForOthers(now)
		edg.notify(ctx, wick.MsgLoad, ntc, edg.reachablePeers())
	}
}

// A pollSchedule holds when each endpoint is polled next.
type pollSchedule map[wick.VMID]time.Time

// due reports whether an endpoint is to be polled.
func (sch pollSchedule) due(bke *wick.Backend, now time.Time) bool {
	return !now.Before(sch[bke.ID])
}

// polled schedules the next poll of an endpoint. A busy one is polled more often,
// since its queue changes faster.
func (sch pollSchedule) polled(bke *wick.Backend, load wick.BackendLoad, now time.Time) {
	interval := idlePollInterval
	if load.Waiting > 0 || float64(load.Running) >= busyShare*float64(bke.Slots) {
		interval = loadPollInterval
	}
	// Polls are made at multiples of loadPollInterval, with some jitter.
	sch[bke.ID] = now.Add(interval - loadPollInterval/2)
}

// A loadPoller polls the endpoints of an entry's availability zone.
type loadPoller struct {
	edg      *Edge
	schedule pollSchedule

	mu  sync.Mutex
	ntc loadNotice
	// failures counts the consecutive polls without an answer of each endpoint.
	failures map[wick.VMID]int
}

// poll polls the model endpoints of the zone that are due.
func (lpl *loadPoller) poll(ctx context.Context) loadNotice {
	lpl.ntc = loadNotice{}
	tbl := lpl.edg.plans.Load()
	if tbl == nil {
		return lpl.ntc
	}
	now := time.Now()
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentPolls)
	for idx := range tbl.Plan.Services {
		svc := &tbl.Plan.Services[idx]
		if !svc.Model {
			continue
		}
		for _, bke := range lpl.edg.pool.Backends(svc.Name) {
			if bke.Zone != lpl.edg.cfg.Zone || !lpl.isDue(&bke, now) {
				continue
			}
			grp.Go(func() error {
				lpl.pollOne(ctx, bke, now)
				return nil
			})
		}
	}
	_ = grp.Wait() // the calls return no errors
	return lpl.ntc
}

func (lpl *loadPoller) isDue(bke *wick.Backend, now time.Time) bool {
	lpl.mu.Lock()
	defer lpl.mu.Unlock()
	return lpl.schedule.due(bke, now)
}

// pollOne polls an endpoint. now is when the round of polls began.
func (lpl *loadPoller) pollOne(ctx context.Context, bke wick.Backend, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	load, err := lpl.edg.cfg.Loads.ReadLoad(ctx, bke)
	lpl.mu.Lock()
	defer lpl.mu.Unlock()
	// One that does not answer is polled like an idle one.
	lpl.schedule.polled(&bke, load, now)
	if err != nil {
		log.WithError(err).WithField(logs.FieldEndpoint, bke.ID).Debug("edge: failed to poll load")
		lpl.pollFailed(&bke, err, ctx.Err() != nil, now)
		return
	}
	delete(lpl.failures, bke.ID)
	if load.Leaving && lpl.edg.pool.MarkLeaving(bke.ID, bke.Born, time.Now()) {
		lpl.edg.announceLeaving(bke)
	}
	epl := endpointLoad{
		ID: bke.ID, Running: load.Running, Waiting: load.Waiting, Next: load.NextTokens,
		Limit: load.Limit.PerSecond, HasLimit: load.Limit.Set, Cold: reportedCold(&load, lpl.edg.pool.ColdPolicy(bke.Service)),
	}
	epl.setMemory(&load)
	lpl.ntc.Loads = append(lpl.ntc.Loads, epl)
}

// reportedCold returns how much longer an endpoint is cold by its load report. An endpoint whose
// restart the registry doesn't list yet is cold for at least the policy's Start.
func reportedCold(load *wick.BackendLoad, pol pool.ColdPolicy) time.Duration {
	switch {
	case pol.Rate <= 0:
		return 0
	case load.Restarted:
		return max(load.ColdFor, pol.Start)
	default:
		return load.ColdFor
	}
}

// minExpiredPolls is the number of consecutive polls without an answer in time from which
// an endpoint counts as unreachable. One may have been busy, or the poller suspended.
const minExpiredPolls = 2

// pollFailed records a failed poll of an endpoint; expired is set if the poll timed out. An
// endpoint of a service with a cold policy is polled again soon, so that it is marked as
// unreachable before it returns from a restart. An error status counts as an answer.
func (lpl *loadPoller) pollFailed(bke *wick.Backend, err error, expired bool, now time.Time) {
	if errors.Is(err, wick.ErrInvalid) || lpl.edg.pool.ColdPolicy(bke.Service).Rate <= 0 {
		delete(lpl.failures, bke.ID)
		return
	}
	lpl.failures[bke.ID]++
	lpl.schedule[bke.ID] = now.Add(loadPollInterval / 2)
	if !expired || lpl.failures[bke.ID] >= minExpiredPolls {
		lpl.ntc.Unreachable = append(lpl.ntc.Unreachable, bke.ID)
	}
}
