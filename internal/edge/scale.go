package edge

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/scale"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	scaleEvery = 500 * time.Millisecond
	// workMemory is how long the work that an entry has published counts.
	workMemory = 5 * time.Second
)

// A foundBook holds the number of endpoints that the first holder found.
type foundBook struct {
	mu  sync.Mutex
	num map[wick.Service]int
}

// get returns a copy for the entry's record.
func (fbk *foundBook) get() map[wick.Service]int {
	fbk.mu.Lock()
	defer fbk.mu.Unlock()
	return maps.Clone(fbk.num)
}

func (fbk *foundBook) set(svc wick.Service, num int) {
	fbk.mu.Lock()
	defer fbk.mu.Unlock()
	if fbk.num == nil {
		fbk.num = make(map[wick.Service]int)
	}
	fbk.num[svc] = num
}

// A scaler orders endpoints while its entry holds the control duty.
type scaler struct {
	edg      *Edge
	fence    wick.Fence
	planners map[wick.Service]*scale.Planner
}

// scaleLoop orders endpoints for the services that may be scaled.
func (edg *Edge) scaleLoop(ctx context.Context) {
	sca := &scaler{edg: edg}
	for retry.Sleep(ctx, scaleEvery) {
		fence, ok := edg.control(time.Now())
		if !ok || !edg.ready.ready() || !edg.backends.FailingSince().IsZero() {
			continue
		}
		if fence != sca.fence {
			sca.fence, sca.planners = fence, make(map[wick.Service]*scale.Planner)
		}
		sca.step(ctx)
	}
}

// step sends the orders that are due.
func (sca *scaler) step(ctx context.Context) {
	tbl := sca.edg.plans.Load()
	for idx := range tbl.Plan.Services {
		svc := &tbl.Plan.Services[idx]
		// During a move, endpoints of both versions are there by design.
		if svc.Scaling == nil || sca.edg.rollouts.moving(svc.Name) {
			continue
		}
		plr := sca.planners[svc.Name]
		if plr == nil {
			plr = &scale.Planner{}
			sca.planners[svc.Name] = plr
		}
		sta := sca.state(svc)
		for _, ord := range plr.Plan(svc.Name, sta) {
			sca.order(ctx, plr, sta, ord)
		}
		if num := plr.Found(); num > 0 {
			sca.edg.found.set(svc.Name, num)
		}
	}
}

// order sends one order.
func (sca *scaler) order(ctx context.Context, plr *scale.Planner, sta scale.State, ord wick.ScaleOrder) {
	fence, ok := sca.edg.control(time.Now())
	if !ok || fence != sca.fence {
		plr.Failed(ord)
		return
	}
	err := sca.edg.cfg.Duties.Scale(ctx, fence, ord)
	ent := log.WithFields(logrus.Fields{
		"service": ord.Service, "zone": ord.Zone, "count": ord.Count, "reclaimable": ord.Reclaimable, "fence": fence,
		"live": sta.Live[ord.Zone], "need": plr.Need(), "found": sta.Found, "work": sta.Work,
	})
	switch {
	case err == nil:
		ent.Info("edge: endpoints ordered")
	case errors.Is(err, wick.ErrConflict):
		plr.Refused(ord, time.Now())
		ent.Info("edge: no endpoints to be had")
	default:
		plr.Failed(ord)
		ent.WithError(err).Warn("edge: order failed")
	}
}

// state returns what is known of a service over all entries.
func (sca *scaler) state(svc *wick.ServicePlan) scale.State {
	now := time.Now()
	sta := scale.State{Plan: *svc.Scaling, Live: make(map[wick.Zone]scale.Count), Work: -1, Now: now}
	for zone, sum := range sca.edg.pool.Summaries()[svc.Name] {
		sta.Live[zone] = scale.Count{OnDemand: sum.Live - sum.Spot, Spot: sum.Spot}
	}
	work, known := sca.edg.pool.Work(now)[svc.Name]
	for _, rec := range sca.edg.roster.Alive(now, workMemory, false) {
		if val, ok := rec.Work[svc.Name]; ok && rec.ID != sca.edg.cfg.ID {
			work, known = work+val, true
		}
	}
	if known {
		sta.Work = work
	}
	for _, rec := range sca.edg.roster.All() {
		sta.Found = max(sta.Found, rec.Found[svc.Name])
	}
	return sta
}
