package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// paceRetention is how long the pace of an endpoint that is not polled is remembered.
const paceRetention = 10 * time.Second

// loadLoop polls the load of the model endpoints in this entry's availability
// zone and notifies the other entries, if this entry is the poller of the zone.
func (edg *Edge) loadLoop(ctx context.Context) {
	lpl := &loadPoller{edg: edg, schedule: make(pollSchedule), paces: make(map[wick.Service]*pace.Tracker)}
	for edg.cfg.Loads != nil && retry.Sleep(ctx, loadPollInterval) {
		if !edg.isLoadPoller() {
			continue
		}
		ntc := lpl.poll(ctx)
		edg.applyLoads(ntc)
		edg.busy.set(ntc.Zone, ntc.Busy, time.Now())
		now := time.Now()
		ntc.Current = now.Sub(edg.backends.LastSuccess()) < registryMaxAge
		ntc.Left = edg.informants.recentlyLeft(now)
		if tbl := edg.plans.Load(); tbl != nil {
			ntc.Plan = tbl.Plan.Version
		}
		ntc.Orders = edg.rollouts.newestRevision()
		ntc.Evacuated = edg.evacuations.list()
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
	// paces holds the pace of the endpoints of each service.
	paces map[wick.Service]*pace.Tracker
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
		gap := shortestGap(tbl.Plan.Routes, svc.Name)
		for _, bke := range lpl.edg.pool.Backends(svc.Name) {
			if bke.Zone != lpl.edg.cfg.Zone || !lpl.isDue(&bke, now) {
				continue
			}
			grp.Go(func() error {
				lpl.pollOne(ctx, bke, gap, now)
				return nil
			})
		}
	}
	_ = grp.Wait() // the calls return no errors
	lpl.addPaces(now)
	return lpl.ntc
}

func (lpl *loadPoller) isDue(bke *wick.Backend, now time.Time) bool {
	lpl.mu.Lock()
	defer lpl.mu.Unlock()
	return lpl.schedule.due(bke, now)
}

// pollOne polls an endpoint. now is when the round of polls began.
func (lpl *loadPoller) pollOne(ctx context.Context, bke wick.Backend, gap time.Duration, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	load, runs, err := lpl.edg.cfg.Loads.ReadLoad(ctx, bke)
	lpl.mu.Lock()
	defer lpl.mu.Unlock()
	// One that does not answer is polled like an idle one.
	lpl.schedule.polled(&bke, load, now)
	if err != nil {
		log.WithError(err).WithField(logs.FieldEndpoint, bke.ID).Debug("edge: failed to poll load")
		if lpl.edg.pool.ColdPolicy(bke.Service).Rate > 0 {
			lpl.ntc.Unreachable = append(lpl.ntc.Unreachable, bke.ID)
		}
		return
	}
	if load.Leaving && lpl.edg.pool.MarkLeaving(bke.ID, bke.Born, time.Now()) {
		lpl.edg.announceLeaving(bke)
	}
	trk := lpl.paces[bke.Service]
	if trk == nil {
		trk = &pace.Tracker{}
		lpl.paces[bke.Service] = trk
	}
	trk.Observe(&bke, load, runs, gap, time.Now())
	epl := endpointLoad{
		ID: bke.ID, Running: load.Running, Waiting: load.Waiting, Next: load.NextTokens,
		Limit: load.Limit.PerSecond, HasLimit: load.Limit.Set,
	}
	epl.setMemory(&load)
	lpl.ntc.Loads = append(lpl.ntc.Loads, epl)
}

// addPaces adds the pace of the endpoints to their loads.
func (lpl *loadPoller) addPaces(now time.Time) {
	ests := make(map[wick.VMID]pace.Estimate)
	lpl.ntc.Zone, lpl.ntc.Busy = lpl.edg.cfg.Zone, make(map[wick.Service]busyLoad, len(lpl.paces))
	for svc, trk := range lpl.paces {
		trk.Forget(paceRetention, now)
		trk.AddEstimates(ests)
		load := trk.Load()
		lpl.ntc.Busy[svc] = busyLoad{load.Busy, load.Uneven}
	}
	for idx := range lpl.ntc.Loads {
		if est, ok := ests[lpl.ntc.Loads[idx].ID]; ok {
			lpl.ntc.Loads[idx].setEstimate(est)
		}
	}
}

// shortestGap returns the shortest gap between events that the routes to a service
// declare, 0 if none does.
func shortestGap(routes []wick.RoutePlan, svc wick.Service) time.Duration {
	var out time.Duration
	for idx := range routes {
		rpl := &routes[idx]
		for _, spl := range rpl.Splits {
			if spl.Service == svc && rpl.TargetGap > 0 && (out == 0 || rpl.TargetGap < out) {
				out = rpl.TargetGap
			}
		}
	}
	return out
}
