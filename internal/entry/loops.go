package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/vmlist"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Periods of the loops.
const (
	listInterval       = time.Second
	pullInterval       = time.Second
	reportInterval     = 500 * time.Millisecond
	readyPollInterval  = 50 * time.Millisecond
	initialLoadTimeout = 3 * time.Second
	// pullTimeout is short because the next pull goes to another entry.
	pullTimeout = 800 * time.Millisecond
	// listRefreshInterval is the time between updates of the components with an
	// unchanged list. Updating 10,000 endpoints each second took 3% of a core.
	listRefreshInterval = 10 * time.Second
	// jitterDivisor sets the maximum jitter, a tenth of the period, which
	// desynchronizes loops that start together.
	jitterDivisor = 10
)

// loops returns the background loops of the entry.
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
		logrus.WithError(err).Error("entry: caller listener failed")
		ent.Drain(0)
	}
}

// every runs fn at once and then after each period plus jitter until ctx ends.
func every(ctx context.Context, period time.Duration, fn func(ctx context.Context)) {
	for {
		fn(ctx)
		select {
		case <-time.After(period + rand.N(period/jitterDivisor)): //nolint:gosec // jitter needs no secret randomness
		case <-ctx.Done():
			return
		}
	}
}

// readyLoop moves the entry from starting to serving when a bundle is active
// and the load of the endpoints has been read once. Without a list of VMs it
// serves after initialLoadTimeout, since peers may still resume requests here.
func (ent *Entry) readyLoop(ctx context.Context) {
	began := time.Now()
	for {
		_, ok := ent.config.Active()
		if ok && (ent.loadsRead.Load() || time.Since(began) > initialLoadTimeout) {
			ent.fire(triggerReady)
			return
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// listLoop keeps the list of VMs up to date: a watcher reads it from the
// platform, other entries pull the changes from a watcher of their zone.
func (ent *Entry) listLoop(ctx context.Context) {
	pub := &publishedList{}
	every(ctx, listInterval, func(ctx context.Context) {
		// An entry without a list reads it itself, so that startup does not depend
		// on peers.
		if ent.view.ShouldWatch(time.Now()) || len(ent.vms.VMs()) == 0 {
			ent.readList(ctx)
		} else {
			ent.pullList(ctx)
		}
		ent.applyList(ctx, pub)
	})
}

// A publishedList is the version of the list that the components received last.
type publishedList struct {
	seq uint64
	at  time.Time
}

func (ent *Entry) readList(ctx context.Context) {
	vms, err := ent.cloud.VMs(ctx)
	if err != nil {
		logrus.WithError(err).Debug("entry: reading the list of VMs failed")
		ent.pullList(ctx)
		return
	}
	ent.vms.Set(vms)
}

// pullList pulls changes from the members nearer to the zone's watcher, then
// from others, until one succeeds.
func (ent *Entry) pullList(ctx context.Context) {
	for _, mem := range ent.view.Upstream(time.Now()) {
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
		if err := ent.peers.Call(ctx, mem, wick.MsgVMList, ent.vms.NextPull(), &chg); err != nil {
			return err
		}
		ent.vms.Apply(chg)
		if !chg.More {
			return nil
		}
	}
}

// applyList updates the components with the list: at once when it has changed,
// and every listRefreshInterval because they measure how long a VM is missing.
func (ent *Entry) applyList(ctx context.Context, pub *publishedList) {
	seq, vms, now := ent.vms.Seq(), ent.vms.VMs(), time.Now()
	if len(vms) == 0 {
		return
	}
	if seq != pub.seq {
		listed := listedEntries(vms)
		ent.listed.Store(&listed)
	}
	// The share depends on the members as well.
	ent.setCapacity(vms)
	if seq == pub.seq && now.Sub(pub.at) < listRefreshInterval {
		return
	}
	pub.seq, pub.at = seq, now
	ent.view.SetList(vms, now)
	ent.route.SetVMs(vms, now)
	ent.spread.ApplyList(ctx, vms)
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

func listedEntries(vms []wick.VM) []wick.Member {
	var out []wick.Member
	for idx := range vms {
		if vm := &vms[idx]; vm.Role == wick.RoleEntry && vm.State == wick.VMLive {
			out = append(out, wick.Member{ID: wick.EntryID(vm.ID), Zone: vm.Zone, Address: vm.Address, State: wick.EntryServing})
		}
	}
	return out
}

// setCapacity sets this entry's share of each service's slots in the limiter.
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
	entries := ent.view.EstimateServing(len(*ent.listed.Load()), time.Now())
	for svc, num := range slots {
		ent.limit.SetCapacity(svc, (num+entries-1)/entries)
	}
}

// classSlots returns the slots per endpoint of a class, 1 for an unknown class.
func classSlots(bnd *bundle.Bundle, cls wick.Class) int {
	for idx := range bnd.Classes {
		if bnd.Classes[idx].Name == cls {
			return bnd.Classes[idx].Slots
		}
	}
	return 1
}
