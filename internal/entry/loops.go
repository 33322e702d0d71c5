package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/vmlist"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Periods of the loops.
const (
	listEvery   = time.Second
	pullEvery   = time.Second
	reportEvery = 500 * time.Millisecond
	readyPoll   = 50 * time.Millisecond
	surveyWait  = 3 * time.Second
	// pullTimeout is short because the next pull asks another entry.
	pullTimeout = 800 * time.Millisecond
	// maxReports bounds the load reports that are read at once.
	maxReports = 32
	// jitterShare spreads loops that start together.
	jitterShare = 10
)

// loops returns what runs while the entry runs.
func (ent *Entry) loops() []func(ctx context.Context) {
	return []func(ctx context.Context){
		ent.beater.Run,
		ent.config.Run,
		ent.leases.Run,
		ent.streams.Run,
		ent.moveLoop,
		ent.listLoop,
		ent.reportLoop,
		ent.readyLoop,
		ent.statusLoop,
		ent.serveFront,
	}
}

func (ent *Entry) serveFront(context.Context) {
	if err := ent.front.Serve(); err != nil {
		logrus.WithError(err).Error("entry: server for callers ended")
		ent.Drain(0)
	}
}

// every runs fn at once and then at about every period until ctx ends.
func every(ctx context.Context, period time.Duration, fn func(ctx context.Context)) {
	for {
		fn(ctx)
		select {
		case <-time.After(period + rand.N(period/jitterShare)): //nolint:gosec // jitter needs no secret randomness
		case <-ctx.Done():
			return
		}
	}
}

// readyLoop moves the entry from starting to serving when a bundle is active
// and the endpoints have been asked for their load. Without a list of VMs it
// serves after surveyWait, since peers may still resume requests here.
func (ent *Entry) readyLoop(ctx context.Context) {
	began := time.Now()
	for {
		_, ok := ent.config.Active()
		if ok && (ent.surveyed.Load() || time.Since(began) > surveyWait) {
			ent.fire(triggerReady)
			return
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return
		}
	}
}

// listLoop keeps the list of VMs: a watcher reads it from the platform, the
// others pull the changes from a watcher of their zone.
func (ent *Entry) listLoop(ctx context.Context) {
	every(ctx, listEvery, func(ctx context.Context) {
		// An entry without any list reads it itself, so that a start does not
		// depend on peers.
		if ent.view.ShouldWatch(time.Now()) || len(ent.vms.VMs()) == 0 {
			ent.readList(ctx)
		} else {
			ent.pullList(ctx)
		}
		ent.takeList(ctx)
	})
}

func (ent *Entry) readList(ctx context.Context) {
	vms, err := ent.cloud.VMs(ctx)
	if err != nil {
		logrus.WithError(err).Debug("entry: list of VMs not read")
		ent.pullList(ctx)
		return
	}
	ent.vms.Set(vms)
}

// pullList asks the members of the zone in the order in which they watch, then
// other members.
func (ent *Entry) pullList(ctx context.Context) {
	live := ent.view.Live(time.Now())
	near := member.Rank(string(ent.self.Zone), member.Within(ent.self.Zone, live))
	far := member.Rank(string(ent.self.ID), member.Outside(ent.self.Zone, live))
	for _, mem := range append(near, far...) {
		if err := ent.pullFrom(ctx, mem); err == nil || ctx.Err() != nil {
			return
		}
	}
}

func (ent *Entry) pullFrom(ctx context.Context, mem wick.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	for {
		var chg vmlist.Changes
		if err := ent.peers.Call(ctx, mem, wick.MsgVMList, ent.vms.Next(), &chg); err != nil {
			return err
		}
		ent.vms.Apply(chg)
		if !chg.More {
			return nil
		}
	}
}

// takeList passes the list on to the parts, also when it has not changed,
// because they measure its age.
func (ent *Entry) takeList(ctx context.Context) {
	vms, now := ent.vms.VMs(), time.Now()
	if len(vms) == 0 {
		return
	}
	ent.view.SetList(vms, now)
	ent.route.SetVMs(vms, now)
	ent.spread.List(ctx, vms)
	ent.setCapacity(vms)
	for idx := range vms {
		vm := &vms[idx]
		if vm.Role == wick.RoleEntry && vm.ID == wick.VMID(ent.self.ID) && vm.State == wick.VMLeaving {
			notice := ent.set.Limits.DrainMillis.Duration()
			if !vm.ReclaimAt.IsZero() {
				notice = max(time.Until(vm.ReclaimAt), time.Millisecond)
			}
			ent.Drain(notice)
		}
	}
}

// setCapacity tells admission this entry's share of each service's slots.
func (ent *Entry) setCapacity(vms []wick.VM) {
	act, ok := ent.config.Active()
	if !ok {
		return
	}
	slots := make(map[wick.Service]int)
	for idx := range vms {
		if vms[idx].Role == wick.RoleEndpoint && vms[idx].State == wick.VMLive {
			slots[vms[idx].Service] += classSlots(&act.Bundle, vms[idx].Class)
		}
	}
	entries := max(len(ent.view.Serving(time.Now())), 1)
	for svc, num := range slots {
		ent.limit.SetCapacity(svc, (num+entries-1)/entries)
	}
}

// classSlots returns the slots of an endpoint of a class, 1 if it is unknown.
func classSlots(bnd *bundle.Bundle, cls wick.Class) int {
	for idx := range bnd.Classes {
		if bnd.Classes[idx].Name == cls {
			return bnd.Classes[idx].Slots
		}
	}
	return 1
}

// reportLoop reads load reports and cache events and passes notices on.
func (ent *Entry) reportLoop(ctx context.Context) {
	events := &eventCursors{after: make(map[wick.VMID]uint64)}
	every(ctx, reportEvery, func(ctx context.Context) {
		grp, gctx := errgroup.WithContext(ctx)
		grp.SetLimit(maxReports)
		watched := ent.route.Watched()
		for _, vm := range watched {
			grp.Go(func() error {
				ent.readReport(gctx, vm, events)
				return nil
			})
		}
		_ = grp.Wait()
		if len(watched) > 0 {
			ent.surveyed.Store(true)
		}
		ent.route.Tick(time.Now())
		for _, ntc := range ent.route.TakeNotices() {
			ent.spread.Leaving(ctx, notice.Leaving{VM: ntc.VM, Since: ntc.Since, Source: ntc.Source})
		}
	})
}

// An eventCursors remembers where to go on reading cache events.
type eventCursors struct {
	mu    sync.Mutex
	after map[wick.VMID]uint64
}

func (ecs *eventCursors) get(vid wick.VMID) uint64 {
	ecs.mu.Lock()
	defer ecs.mu.Unlock()
	return ecs.after[vid]
}

func (ecs *eventCursors) set(vid wick.VMID, after uint64) {
	ecs.mu.Lock()
	defer ecs.mu.Unlock()
	ecs.after[vid] = after
}

func (ent *Entry) readReport(ctx context.Context, vm wick.VM, events *eventCursors) {
	sent := time.Now()
	if ent.isPlain(vm.Service) {
		if rep, err := ent.plain.Load(ctx, vm); err == nil {
			ent.route.Report(vm.ID, rep, sent, time.Now())
		}
		return
	}
	rep, err := ent.engine.Load(ctx, vm)
	if err != nil {
		return
	}
	ent.route.Report(vm.ID, rep, sent, time.Now())
	evs, err := ent.engine.CacheEvents(ctx, vm, events.get(vm.ID))
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			logrus.WithError(err).WithField("vm", vm.ID).Debug("entry: cache events not read")
		}
		return
	}
	if len(evs) > 0 {
		events.set(vm.ID, ent.route.CacheEvents(vm.ID, evs))
	}
}

func (ent *Entry) isPlain(svc wick.Service) bool {
	act, ok := ent.config.Active()
	if !ok {
		return false
	}
	for idx := range act.Bundle.Services {
		if act.Bundle.Services[idx].Name == svc {
			return act.Bundle.Services[idx].Kind == bundle.KindPlain
		}
	}
	return false
}
