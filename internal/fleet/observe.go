package fleet

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// tombstoneTTL must exceed the staleness of the VM list.
	tombstoneTTL = 15 * time.Minute
	// drainSettleTime is the minimum age of a drain before a load report
	// without calls confirms it: entries send no calls to an endpoint from 3 s
	// after it learns that it is leaving (P6).
	drainSettleTime = 5 * time.Second
	// drainTimeout limits the drain of an endpoint that never becomes idle.
	drainTimeout = 10 * time.Minute
)

// expireTombstones removes tombstones that are older than tombstoneTTL.
func (pln *planner) expireTombstones() {
	kept := slices.DeleteFunc(pln.rec.Tombstones, func(end Tombstone) bool { return pln.inp.Now.Sub(end.At) > tombstoneTTL })
	pln.changed = pln.changed || len(kept) != len(pln.rec.Tombstones)
	pln.rec.Tombstones = kept
}

// classifyVMs finds the listed VMs that have no slot. VMs with a tombstone are
// ignored.
func (pln *planner) classifyVMs() {
	ended, known := make(map[wick.VMID]bool), make(map[wick.VMID]bool)
	for _, end := range pln.rec.Tombstones {
		ended[end.VM] = true
	}
	for idx := range pln.rec.Slots {
		known[pln.rec.Slots[idx].VM] = true
	}
	pln.listed = make(map[wick.VMID]*wick.VM)
	for idx := range pln.inp.VMs {
		vm := &pln.inp.VMs[idx]
		if ended[vm.ID] {
			continue
		}
		pln.listed[vm.ID] = vm
		if !known[vm.ID] {
			pln.untracked = append(pln.untracked, vm)
		}
	}
}

func (pln *planner) transition(slt *Slot, state State) {
	slt.State, slt.At, pln.changed = state, pln.inp.Now, true
}

// applyObservations updates the slots from the VM list and the load reports.
func (pln *planner) applyObservations() {
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.VM == "" {
			continue
		}
		vm, listed := pln.listed[slt.VM]
		if listed {
			pln.changed = pln.changed || !slt.Listed
			slt.Listed = true
			pln.recordPrice(slt.Pool, vm.Price)
		}
		pln.advanceSlot(slt, listed && vm.State == wick.VMLeaving)
	}
}

// advanceSlot changes the state of a slot according to its VM's observed state.
func (pln *planner) advanceSlot(slt *Slot, listedLeaving bool) {
	rep, reported := pln.inp.Reports[slt.VM]
	lost := pln.inp.Lost[slt.VM]
	switch slt.State {
	case StateStarted:
		if listedLeaving || reported && rep.Leaving {
			pln.rec.recordReclaim(slt.Pool, pln.inp.Now)
			pln.transition(slt, StateLeaving)
		} else if lost {
			pln.rec.recordReclaim(slt.Pool, pln.inp.Now)
			pln.transition(slt, StateStopping)
		}
	case StateLeaving, StateDraining:
		drained := reported && rep.Leaving && rep.Running+rep.Waiting == 0 && rep.At.After(slt.At.Add(drainSettleTime))
		timedOut := slt.State == StateDraining && pln.inp.Now.Sub(slt.At) > drainTimeout
		if drained || timedOut || lost {
			pln.transition(slt, StateStopping)
		}
	default:
	}
}

func (pln *planner) recordPrice(pool Pool, price wick.Price) {
	if price <= 0 {
		return
	}
	his := pln.rec.ensureHistory(pool)
	if his.Price != price || pln.inp.Now.Sub(his.PriceAt) > priceWriteInterval {
		his.Price, his.PriceAt, pln.changed = price, pln.inp.Now, true
	}
}

// adopt creates slots for untracked VMs. While any slot is idle or ordered, an
// untracked VM may be the result of its start order, so nothing is adopted.
func (pln *planner) adopt() {
	for idx := range pln.rec.Slots {
		if state := pln.rec.Slots[idx].State; state == StateIdle || state == StateOrdered {
			return
		}
	}
	for _, vm := range pln.untracked {
		slt := Slot{State: StateStarted, Pool: poolOf(vm), VM: vm.ID, Listed: true, At: pln.inp.Now}
		if vm.State == wick.VMLeaving {
			slt.State = StateLeaving
		}
		pln.rec.Slots = append(pln.rec.Slots, slt)
		pln.changed = true
	}
	pln.untracked = nil
}

func poolOf(vm *wick.VM) Pool {
	return Pool{Zone: vm.Zone, Class: vm.Class, Reclaimable: vm.Reclaimable}
}
