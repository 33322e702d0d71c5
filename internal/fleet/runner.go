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
	// tickEvery is the period of decisions. A reclaim notice is some tens of
	// seconds long, and a start takes minutes.
	tickEvery   = 2 * time.Second
	callTimeout = 5 * time.Second
	loadTimeout = 800 * time.Millisecond
	// maxCalls bounds the calls at once.
	maxCalls = 16
	// unnamedTime is how long a version must be unnamed before it is unloaded:
	// another entry may have a newer bundle that names it again.
	unnamedTime = 2 * time.Minute
)

// A Config is what a Runner works with.
type Config struct {
	Store   wick.Store
	Cloud   wick.Cloud
	Engine  wick.Engine
	Self    wick.EntryID
	Fence   wick.Fence
	Checker *invar.Checker
	// Bundle returns the active bundle, or nil, and whether the platform has
	// confirmed it lately.
	Bundle func() (*bundle.Bundle, bool)
}

// A Runner does the work of the fleet duty while an entry holds it. Use New.
type Runner struct {
	cfg    Config
	keeper keeper
	meters map[wick.Service]*Meter
	// unnamed is since when endpoints have had versions that nothing names.
	unnamed map[versionKey]time.Time
	// nextLoad is when the weight store is free, over all services.
	nextLoad time.Time

	mu     sync.Mutex
	status map[wick.Service]Status
}

type versionKey struct {
	svc wick.Service
	ver wick.ModelVersion
}

// A Status is a service's part of the state dump.
type Status struct {
	Record Record `json:"record"`
	// Need is the wanted capacity in calls at once.
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
		cfg: cfg, keeper: keeper{store: cfg.Store, self: cfg.Self, checker: cfg.Checker},
		meters: make(map[wick.Service]*Meter), unnamed: make(map[versionKey]time.Time),
		status: make(map[wick.Service]Status),
	}
}

// Run works until ctx ends.
func (run *Runner) Run(ctx context.Context) {
	for {
		run.Tick(ctx)
		select {
		case <-time.After(tickEvery + rand.N(tickEvery/10)): //nolint:gosec // jitter needs no secret randomness
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
	vms, err := run.list(ctx)
	if err != nil {
		log.WithError(err).Debug("fleet: list of VMs not read")
		return
	}
	for _, fsv := range byDeadline(bnd) {
		if ctx.Err() != nil {
			return
		}
		inp := input(bnd, fsv, vms)
		inp.Now, inp.Unload = now, confirmed
		sta, err := run.service(ctx, &inp, target(bnd, fsv.Service))
		if err != nil {
			sta.Error = err.Error()
			if !errors.Is(err, context.Canceled) {
				log.WithError(err).WithField("service", fsv.Service).Warn("fleet: not decided")
			}
		}
		sta.At, sta.Listed, sta.Active = now, len(inp.VMs), inp.Active
		run.mu.Lock()
		run.status[fsv.Service] = sta
		run.mu.Unlock()
	}
}

func (run *Runner) list(ctx context.Context) ([]wick.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return run.cfg.Cloud.VMs(ctx)
}

// service decides for one service and gives the orders that its record holds.
func (run *Runner) service(ctx context.Context, inp *Input, target time.Duration) (Status, error) {
	svc := inp.Service.Service
	inp.Reports = run.reports(ctx, inp.VMs)
	mtr := run.meters[svc]
	if mtr == nil {
		mtr = &Meter{}
		run.meters[svc] = mtr
	}
	inp.Need = mtr.Observe(inp.Now, inp.Reports, target)
	run.delayUnload(inp)
	sta := Status{Need: inp.Need}
	known, err := run.keeper.load(ctx, svc)
	if err != nil {
		return sta, err
	}
	inp.Lost = mtr.Lost(inp.Now, &known, inp.VMs, inp.Reports)
	sta.Lost = slices.Sorted(maps.Keys(inp.Lost))
	rec, err := run.keeper.update(ctx, svc, run.cfg.Fence, inp.Service.Max, func(rec Record) (Record, bool) {
		return run.decide(rec, inp)
	})
	if err != nil {
		return sta, err
	}
	sta.Record = rec
	if rec.NextLoad.After(run.nextLoad) {
		run.nextLoad = rec.NextLoad
	}
	ress := run.give(ctx, Under(&rec, inp), inp)
	if len(ress) == 0 {
		return sta, nil
	}
	rec, err = run.keeper.update(ctx, svc, run.cfg.Fence, inp.Service.Max, func(rec Record) (Record, bool) {
		return Settle(rec, ress, time.Now())
	})
	if err == nil {
		sta.Record = rec
	}
	return sta, err
}

// delayUnload permits no unload until all unnamed versions have been unnamed
// for unnamedTime.
func (run *Runner) delayUnload(inp *Input) {
	svc := inp.Service.Service
	for ver := range inp.Named {
		delete(run.unnamed, versionKey{svc, ver})
	}
	for _, rep := range inp.Reports {
		for _, ver := range rep.Versions {
			if inp.Named[ver] {
				continue
			}
			key := versionKey{svc, ver}
			if _, ok := run.unnamed[key]; !ok {
				run.unnamed[key] = inp.Now
			}
			inp.Unload = inp.Unload && inp.Now.Sub(run.unnamed[key]) >= unnamedTime
		}
	}
}

// decide takes a step and checks that a drain leaves enough after the loss of
// any zone, or no less than before.
func (run *Runner) decide(rec Record, inp *Input) (Record, bool) {
	if run.nextLoad.After(rec.NextLoad) {
		rec.NextLoad = run.nextLoad
	}
	next, changed := Step(rec, *inp)
	if rec.Held() > inp.Service.Max || next.draining() <= rec.draining() {
		return next, changed
	}
	before, after := rec.Spare(inp), next.Spare(inp)
	if !run.cfg.Checker.Check(after >= min(before, 0), invar.FleetZoneLoss, "%s: a drain leaves %d over the need, not %d", rec.Service, after, before) {
		return rec, false
	}
	return next, changed
}

// reports reads the load reports of all endpoints.
func (run *Runner) reports(ctx context.Context, vms []wick.VM) map[wick.VMID]wick.LoadReport {
	out := make(map[wick.VMID]wick.LoadReport, len(vms))
	var mu sync.Mutex
	var grp errgroup.Group
	grp.SetLimit(maxCalls)
	for _, vm := range vms {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
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

// give gives all orders and returns the answers of the cloud. What has no
// answer is repeated in the next round.
func (run *Runner) give(ctx context.Context, ords Orders, inp *Input) []Result {
	var mu sync.Mutex
	var out []Result
	add := func(res Result) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, res)
	}
	var grp errgroup.Group
	grp.SetLimit(maxCalls)
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
				add(Result{Ended: vid})
			}
		})
	}
	for _, eno := range ords.Engine {
		call(func(ctx context.Context) { run.order(ctx, eno, inp) })
	}
	_ = grp.Wait()
	return out
}

// order gives an order to an engine. Its effect is read from the load report.
func (run *Runner) order(ctx context.Context, eno EngineOrder, inp *Input) {
	ord := eno.Order
	ord.Fence = run.cfg.Fence
	if ord.Kind == wick.OrderUnload && !run.cfg.Checker.Check(!inp.Named[ord.Version] && inp.Classes[eno.VM.Class].ChecksFence,
		invar.FleetNeeded, "unload of %s at %s", ord.Version, eno.VM.ID) {
		return
	}
	if err := run.cfg.Engine.Order(ctx, eno.VM, ord); err != nil && ctx.Err() == nil {
		log.WithError(err).WithFields(logrus.Fields{"vm": eno.VM.ID, "kind": ord.Kind}).Debug("fleet: order not confirmed")
	}
}
