package edge

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/scale"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	scaleInterval = 500 * time.Millisecond
	// loadTimeout is the time without a change of its record after which the load
	// that an entry has published is ignored.
	loadTimeout = 5 * time.Second
)

// initialCounts holds the number of endpoints of each service that the first
// holder of the control duty observed. Every entry keeps and publishes them, so
// that they outlast the holder.
type initialCounts struct {
	mu  sync.Mutex
	num map[wick.Service]int
}

// copy returns a copy of the counts for the entry's record.
func (inc *initialCounts) copy() map[wick.Service]int {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return maps.Clone(inc.num)
}

// restore adds counts that were published earlier. Counts that are set already stay.
func (inc *initialCounts) restore(num map[wick.Service]int) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	for svc, val := range num {
		if inc.num == nil {
			inc.num = make(map[wick.Service]int)
		}
		if _, ok := inc.num[svc]; !ok {
			inc.num[svc] = val
		}
	}
}

func (inc *initialCounts) set(svc wick.Service, num int) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.num == nil {
		inc.num = make(map[wick.Service]int)
	}
	inc.num[svc] = num
}

// A scaler sends scale orders while its entry holds the control duty. Its planners
// belong to one fencing token.
type scaler struct {
	edg      *Edge
	fence    wick.Fence
	planners map[wick.Service]*scale.Planner
}

// scaleLoop sends scale orders for the scalable services while this entry holds
// the control duty.
func (edg *Edge) scaleLoop(ctx context.Context) {
	sca := &scaler{edg: edg}
	for retry.Sleep(ctx, scaleInterval) {
		fence, ok := edg.controlFence(time.Now())
		if !ok || !edg.ready.ready() || !edg.backends.FailingSince().IsZero() {
			continue
		}
		if fence != sca.fence {
			sca.fence, sca.planners = fence, make(map[wick.Service]*scale.Planner)
		}
		sca.step(ctx)
	}
}

// step plans each service and sends the orders that are due.
func (sca *scaler) step(ctx context.Context) {
	tbl := sca.edg.plans.Load()
	for idx := range tbl.Plan.Services {
		svc := &tbl.Plan.Services[idx]
		// A rollout runs endpoints of both versions on purpose.
		if svc.Scaling == nil || sca.edg.rollouts.inProgress(svc.Name) {
			continue
		}
		plr := sca.planners[svc.Name]
		if plr == nil {
			plr = &scale.Planner{}
			sca.planners[svc.Name] = plr
		}
		sta := sca.observe(svc)
		for _, ord := range plr.Plan(svc.Name, sta) {
			sca.sendOrder(ctx, plr, sta, ord)
		}
		if num := plr.InitialCount(); num > 0 {
			sca.edg.initialCounts.set(svc.Name, num)
		}
	}
}

// sendOrder sends one order, unless the entry has lost the duty.
func (sca *scaler) sendOrder(ctx context.Context, plr *scale.Planner, sta scale.State, ord wick.ScaleOrder) {
	fence, ok := sca.edg.controlFence(time.Now())
	if !ok || fence != sca.fence {
		plr.Failed(ord)
		return
	}
	eng := sca.edg.pool.Engine(ord.Service)
	err := sca.edg.withinLease(ctx, func(ctx context.Context) error { return sca.edg.cfg.Duties.Scale(ctx, fence, ord) })
	ent := log.WithFields(logrus.Fields{
		logs.FieldService: ord.Service, "zone": ord.Zone, "count": ord.Count, "reclaimable": ord.Reclaimable, "fence": fence,
		"live": sta.Live[ord.Zone], "need": plr.Desired(), "found": sta.InitialCount, "work": sta.Load,
		"meanWork": sta.MeanWork.String(), "target": sta.Target.String(), "occupied": sta.Occupied,
		"prefillRate": eng.PrefillRate, "stepMillis": eng.StepMillis,
	})
	switch {
	case err == nil:
		ent.Info("edge: scale order accepted")
	case errors.Is(err, wick.ErrConflict):
		plr.Refused(ord, time.Now())
		ent.Info("edge: scale order refused: no capacity")
	default:
		plr.Failed(ord)
		ent.WithError(err).Warn("edge: scale order failed")
	}
}

// observe returns the state of a service aggregated over all entries.
func (sca *scaler) observe(svc *wick.ServicePlan) scale.State {
	now := time.Now()
	sta := scale.State{Plan: *svc.Scaling, Live: make(map[wick.Zone]scale.Count), Load: -1, Now: now}
	for _, zone := range sca.edg.evacuations.list() {
		if sta.Evacuated == nil {
			sta.Evacuated = make(map[wick.Zone]bool)
		}
		sta.Evacuated[zone] = true
	}
	for zone, sum := range sca.edg.pool.Summaries()[svc.Name] {
		sta.Live[zone] = scale.Count{OnDemand: sum.Live - sum.Spot, Spot: sum.Spot}
	}
	work, known := sca.edg.pool.WorkRate(now)[svc.Name]
	for _, rec := range sca.edg.roster.Alive(now, loadTimeout, false) {
		if val, ok := rec.Work[svc.Name]; ok && rec.ID != sca.edg.cfg.ID {
			work, known = work+val, true
		}
	}
	// Until the engines' performance has been observed, the work of their requests
	// is not known well enough to order endpoints for it.
	if known && (!svc.Model || sca.edg.pool.Engine(svc.Name).Known()) {
		sta.Load = work
	}
	sca.observeLatency(svc.Name, &sta)
	sta.InitialCount = sca.edg.initialCounts.copy()[svc.Name]
	for _, rec := range sca.edg.roster.All() {
		sta.InitialCount = max(sta.InitialCount, rec.InitialEndpoints[svc.Name])
	}
	return sta
}
