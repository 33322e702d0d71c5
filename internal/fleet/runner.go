package fleet

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "fleet")

const (
	// tickInterval is the time between decisions. A reclaim notice is given some
	// tens of seconds in advance, and a start takes minutes.
	tickInterval      = 2 * time.Second
	callTimeout       = 5 * time.Second
	loadReportTimeout = 800 * time.Millisecond
	// maxConcurrentCalls limits the concurrent calls to the cloud or to engines.
	maxConcurrentCalls = 16
	// unloadDelay is how long a version must be unreferenced before it is
	// unloaded: another entry may have a newer bundle that references it again.
	unloadDelay = 2 * time.Minute
)

// A Config holds the dependencies of a Runner.
type Config struct {
	Store   wick.Store
	Cloud   wick.Cloud
	Engine  wick.Engine
	Self    wick.EntryID
	Fence   wick.Fence
	Checker *invar.Checker
	// Bundle returns the active bundle, or nil, and whether the platform has
	// recently confirmed it.
	Bundle func() (*bundle.Bundle, bool)
}

// A Runner runs the fleet duty while an entry holds its lease. Use New.
type Runner struct {
	cfg     Config
	records recordStore
	meters  map[wick.Service]*Meter
	// unreferencedSince is when a version that the bundle does not reference was
	// first reported by an endpoint.
	unreferencedSince map[versionKey]time.Time
	// nextLoad is the earliest time of the next load, across all services.
	nextLoad time.Time

	mu     sync.Mutex
	status map[wick.Service]Status
}

type versionKey struct {
	svc wick.Service
	ver wick.ModelVersion
}

// A Status is the state of one service in a state dump.
type Status struct {
	Record Record `json:"record"`
	// Need is the required capacity in concurrent calls.
	Need   int               `json:"need"`
	Listed int               `json:"listed"`
	Error  string            `json:"error,omitempty"`
	At     time.Time         `json:"at"`
	Lost   []wick.VMID       `json:"lost,omitempty"`
	Active wick.ModelVersion `json:"active"`
}

// New returns a runner for a holder of the duty.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, records: recordStore{store: cfg.Store, self: cfg.Self, checker: cfg.Checker},
		meters: make(map[wick.Service]*Meter), unreferencedSince: make(map[versionKey]time.Time),
		status: make(map[wick.Service]Status),
	}
}

// Run calls Tick periodically until ctx ends.
func (run *Runner) Run(ctx context.Context) {
	for {
		run.Tick(ctx)
		select {
		case <-time.After(tickInterval + rand.N(tickInterval/10)): //nolint:gosec // jitter needs no secret randomness
		case <-ctx.Done():
			return
		}
	}
}

// Dump returns the state of each service.
func (run *Runner) Dump() map[wick.Service]Status {
	run.mu.Lock()
	defer run.mu.Unlock()
	return maps.Clone(run.status)
}

// Tick makes one decision for each service of the bundle's fleet.
func (run *Runner) Tick(ctx context.Context) {
	bnd, confirmed := run.cfg.Bundle()
	if bnd == nil || bnd.Fleet == nil {
		return
	}
	now := time.Now()
	vms, err := run.listVMs(ctx)
	if err != nil {
		log.WithError(err).Debug("fleet: failed to list VMs")
		return
	}
	for _, fsv := range servicesByDeadline(bnd) {
		if ctx.Err() != nil {
			return
		}
		inp := newInput(bnd, fsv, vms)
		inp.Now, inp.AllowUnload = now, confirmed
		sta, err := run.reconcileService(ctx, &inp, firstTokenTarget(bnd, fsv.Service))
		if err != nil {
			sta.Error = err.Error()
			if !errors.Is(err, context.Canceled) {
				log.WithError(err).WithField("service", fsv.Service).Warn("fleet: failed to reconcile service")
			}
		}
		sta.At, sta.Listed, sta.Active = now, len(inp.VMs), inp.Active
		run.mu.Lock()
		run.status[fsv.Service] = sta
		run.mu.Unlock()
	}
}

func (run *Runner) listVMs(ctx context.Context) ([]wick.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return run.cfg.Cloud.VMs(ctx)
}

// reconcileService updates the record of one service and sends its pending
// orders.
func (run *Runner) reconcileService(ctx context.Context, inp *Input, firstToken time.Duration) (Status, error) {
	svc := inp.Service.Service
	inp.Reports = run.readReports(ctx, inp.VMs)
	mtr := run.meters[svc]
	if mtr == nil {
		mtr = &Meter{}
		run.meters[svc] = mtr
	}
	inp.Need = mtr.Observe(inp.Now, inp.Reports, firstToken)
	run.delayUnload(inp)
	sta := Status{Need: inp.Need}
	stored, err := run.records.load(ctx, svc)
	if err != nil {
		return sta, err
	}
	inp.Lost = mtr.Lost(inp.Now, &stored, inp.VMs, inp.Reports)
	sta.Lost = slices.Sorted(maps.Keys(inp.Lost))
	rec, err := run.records.update(ctx, svc, run.cfg.Fence, inp.Service.Max, func(rec Record) (Record, bool) {
		return run.decide(rec, inp)
	})
	if err != nil {
		return sta, err
	}
	sta.Record = rec
	if rec.NextLoad.After(run.nextLoad) {
		run.nextLoad = rec.NextLoad
	}
	ress := run.sendOrders(ctx, PendingOrders(&rec, inp), inp)
	if len(ress) == 0 {
		return sta, nil
	}
	rec, err = run.records.update(ctx, svc, run.cfg.Fence, inp.Service.Max, func(rec Record) (Record, bool) {
		return ApplyResults(rec, ress, time.Now())
	})
	if err == nil {
		sta.Record = rec
	}
	return sta, err
}

// delayUnload forbids unloads until all unreferenced versions have been
// unreferenced for unloadDelay.
func (run *Runner) delayUnload(inp *Input) {
	svc := inp.Service.Service
	for ver := range inp.Referenced {
		delete(run.unreferencedSince, versionKey{svc, ver})
	}
	for _, rep := range inp.Reports {
		for _, ver := range rep.Versions {
			if inp.Referenced[ver] {
				continue
			}
			key := versionKey{svc, ver}
			if _, ok := run.unreferencedSince[key]; !ok {
				run.unreferencedSince[key] = inp.Now
			}
			inp.AllowUnload = inp.AllowUnload && inp.Now.Sub(run.unreferencedSince[key]) >= unloadDelay
		}
	}
}

// decide computes a step and checks that a drain leaves enough capacity after
// the loss of any zone, or at least as much as before.
func (run *Runner) decide(rec Record, inp *Input) (Record, bool) {
	if run.nextLoad.After(rec.NextLoad) {
		rec.NextLoad = run.nextLoad
	}
	next, changed := Step(rec, *inp)
	if rec.OccupiedSlots() > inp.Service.Max || next.draining() <= rec.draining() {
		return next, changed
	}
	before, after := rec.Headroom(inp), next.Headroom(inp)
	if !run.cfg.Checker.Check(after >= min(before, 0), invar.FleetZoneLoss, "%s: a drain leaves a headroom of %d, not %d", rec.Service, after, before) {
		return rec, false
	}
	return next, changed
}

// readReports reads the load reports of all endpoints. Those that fail are
// left out.
func (run *Runner) readReports(ctx context.Context, vms []wick.VM) map[wick.VMID]wick.LoadReport {
	out := make(map[wick.VMID]wick.LoadReport, len(vms))
	var mu sync.Mutex
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentCalls)
	for _, vm := range vms {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
			defer cancel()
			if rep, err := run.cfg.Engine.Load(ctx, vm); err == nil {
				mu.Lock()
				out[vm.ID] = rep
				mu.Unlock()
			}
			return nil
		})
	}
	_ = grp.Wait()
	return out
}

// sendOrders sends all orders and returns the responses of the cloud. Orders
// without a response are retried in the next round.
func (run *Runner) sendOrders(ctx context.Context, ords Orders, inp *Input) []Result {
	var mu sync.Mutex
	var out []Result
	add := func(res Result) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, res)
	}
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentCalls)
	call := func(fn func(ctx context.Context)) {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if ctx.Err() == nil {
				fn(ctx)
			}
			return nil
		})
	}
	for _, ord := range ords.Starts {
		call(func(ctx context.Context) {
			vm, err := run.cfg.Cloud.Start(ctx, ord)
			if err == nil || errors.Is(err, wick.ErrBusy) {
				pool := Pool{Zone: ord.Zone, Class: ord.Class, Reclaimable: ord.Reclaimable}
				add(Result{Token: ord.Token, Pool: pool, VM: vm})
			}
		})
	}
	for _, vid := range ords.Stops {
		call(func(ctx context.Context) {
			if err := run.cfg.Cloud.Stop(ctx, vid); err == nil || errors.Is(err, wick.ErrNotFound) {
				add(Result{Terminated: vid})
			}
		})
	}
	for _, eno := range ords.Engine {
		call(func(ctx context.Context) { run.sendEngineOrder(ctx, eno, inp) })
	}
	_ = grp.Wait()
	return out
}

// sendEngineOrder sends an order to an engine. The load report confirms its
// effect.
func (run *Runner) sendEngineOrder(ctx context.Context, eno EngineOrder, inp *Input) {
	ord := eno.Order
	ord.Fence = run.cfg.Fence
	if ord.Kind == wick.OrderUnload && !run.cfg.Checker.Check(!inp.Referenced[ord.Version] && inp.Classes[eno.VM.Class].ChecksFence,
		invar.FleetNeeded, "unload of %s at %s", ord.Version, eno.VM.ID) {
		return
	}
	if err := run.cfg.Engine.Order(ctx, eno.VM, ord); err != nil && ctx.Err() == nil {
		log.WithError(err).WithFields(logrus.Fields{"vm": eno.VM.ID, "kind": ord.Kind}).Debug("fleet: engine order failed")
	}
}
