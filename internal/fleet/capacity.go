package fleet

import (
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// sumCapacity computes the provisioned capacity.
func (pln *planner) sumCapacity() {
	pln.provisioned = make(map[wick.Zone]int)
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.provisioned(pln.inp.Now) {
			pln.addCapacity(slt.Pool, 1)
		}
	}
	for _, vm := range pln.untracked {
		if vm.State == wick.VMLive {
			pln.addCapacity(poolOf(vm), 1)
		}
	}
}

// addCapacity adds num VMs of a pool to the capacity; num may be negative.
func (pln *planner) addCapacity(pool Pool, num int) {
	slots := num * pln.inp.concurrency(pool.Class)
	pln.provisioned[pool.Zone] += slots
	pln.capacity += slots
	pln.vmCount += num
}

// shortfallReduction returns by how much additional slots in a zone reduce the
// shortfall, summed over the losses of each zone. A single zone is not assumed
// to fail, since no capacity would remain.
func (pln *planner) shortfallReduction(zone wick.Zone, slots, need int) int {
	zones := pln.zones()
	if len(zones) == 1 {
		return min(slots, max(need-pln.capacity, 0))
	}
	sum := 0
	for _, failed := range zones {
		if failed != zone {
			sum += min(slots, max(need-(pln.capacity-pln.provisioned[failed]), 0))
		}
	}
	return sum
}

// shortfall returns the missing capacity after the worst loss of one zone.
func (pln *planner) shortfall(need int) int {
	zones := pln.zones()
	worst := 0
	for _, failed := range zones {
		remaining := pln.capacity
		if len(zones) > 1 {
			remaining -= pln.provisioned[failed]
		}
		worst = max(worst, need-remaining)
	}
	return worst
}

// shortfallWith returns the shortfall with an additional VM of a pool.
func (pln *planner) shortfallWith(pool Pool) int {
	pln.addCapacity(pool, 1)
	defer pln.addCapacity(pool, -1)
	return pln.shortfall(pln.inp.Need)
}

// belowMax reports whether the maximum permits another VM.
func (pln *planner) belowMax() bool {
	return pln.rec.OccupiedSlots()+len(pln.untracked) < pln.inp.Service.Max
}

func (pln *planner) startsInFlight() int {
	num := 0
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateOrdered {
			num++
		}
	}
	return num
}
