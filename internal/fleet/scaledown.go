package fleet

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// scaleDownDelay is how long there must be surplus capacity before an
	// endpoint is drained, so that a short dip in load does not cost a start.
	scaleDownDelay = 2 * time.Minute
	// scaleDownHeadroom multiplies the need that must be met after a
	// scale-down. It provides hysteresis.
	scaleDownHeadroom = 1.1
	// swapCooldown is the minimum time between two starts for a lower price.
	swapCooldown = 2 * time.Minute
	// swapMaxCostRatio limits the cost of a pool relative to the endpoint that
	// it replaces: two VMs are paid for during the swap, and low prices may not
	// last.
	swapMaxCostRatio = 0.7
)

// removable reports whether the need plus headroom is met without a slot.
func (pln *planner) removable(slt *Slot) bool {
	if slt.State != StateStarted || !slt.Listed {
		return false
	}
	pln.addCapacity(slt.Pool, -1)
	defer pln.addCapacity(slt.Pool, 1)
	reserve := int(float64(pln.inp.Need)*scaleDownHeadroom + 0.5)
	return pln.vmCount >= pln.inp.Service.Min && pln.shortfall(reserve) == 0
}

// scaleDown drains the most expensive surplus endpoint, or starts a much cheaper
// one that makes an expensive one surplus. It changes the capacity, so it must
// run after all other decisions that use it.
func (pln *planner) scaleDown() {
	// Only VMs of the record count as remaining capacity.
	for _, vm := range pln.untracked {
		if vm.State == wick.VMLive {
			pln.addCapacity(poolOf(vm), -1)
		}
	}
	if pln.rec.OccupiedSlots() > pln.inp.Service.Max {
		if slt := pln.mostExpensive(func(slt *Slot) bool { return slt.State == StateStarted }); slt != nil {
			pln.transition(slt, StateDraining)
		}
		return
	}
	slt := pln.mostExpensive(pln.removable)
	switch since := pln.rec.SurplusSince; {
	case slt == nil:
		pln.changed = pln.changed || !since.IsZero()
		pln.rec.SurplusSince = time.Time{}
		pln.swap()
	case since.IsZero():
		pln.rec.SurplusSince, pln.changed = pln.inp.Now, true
	case pln.inp.Now.Sub(since) >= scaleDownDelay:
		pln.transition(slt, StateDraining)
	}
}

func (pln *planner) mostExpensive(eligible func(slt *Slot) bool) *Slot {
	var costliest *Slot
	var maxCost float64
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if cost := pln.costPerCall(slt.Pool); (costliest == nil || cost > maxCost) && eligible(slt) {
			costliest, maxCost = slt, cost
		}
	}
	return costliest
}

// swap starts a VM in a pool that is much cheaper than the most expensive
// endpoint that would become surplus.
func (pln *planner) swap() {
	if !pln.belowMax() || pln.inp.Now.Sub(pln.rec.SwapAt) < swapCooldown {
		return
	}
	pool, ok := pln.bestPool(func(pool Pool, _ float64) float64 {
		pln.addCapacity(pool, 1)
		slt := pln.mostExpensive(pln.removable)
		pln.addCapacity(pool, -1)
		if slt == nil {
			return 0
		}
		current, cost := pln.costPerCall(slt.Pool), pln.costPerCall(pool)
		if cost > swapMaxCostRatio*current {
			return 0
		}
		return current - cost
	})
	if ok && pln.orderStart(pool) {
		pln.rec.SwapAt = pln.inp.Now
	}
}
