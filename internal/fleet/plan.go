package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
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
	// minConcurrentStarts is the limit of in-flight starts for small fleets. For
	// large ones, it is a share of the maximum.
	minConcurrentStarts = 4
)

// A planner computes one step on a copy of a record.
type planner struct {
	rec     *Record
	inp     *Input
	changed bool
	// listed are the VMs in the cloud's VM list, without terminated ones.
	listed map[wick.VMID]*wick.VM
	// untracked are listed VMs without a slot.
	untracked []*wick.VM
	// provisioned is the running and ordered capacity per zone, in concurrent
	// calls; capacity is its sum.
	provisioned map[wick.Zone]int
	capacity    int
	// vmCount is the number of provisioned VMs.
	vmCount int
}

// Step returns the record after one decision, and whether it changed. The orders
// to send are derived from the record, see PendingOrders.
func Step(rec Record, inp Input) (Record, bool) {
	next := rec.clone()
	pln := &planner{rec: &next, inp: &inp}
	pln.expireTombstones()
	pln.classifyVMs()
	pln.applyObservations()
	pln.adopt()
	pln.sumCapacity()
	if !pln.scaleUp() {
		pln.scaleDown()
	}
	pln.updateTasks()
	return next, pln.changed
}

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

// scaleUp orders VMs until there is no shortfall. It returns false if there is
// neither a shortfall nor a start in flight.
func (pln *planner) scaleUp() bool {
	inFlight := pln.startsInFlight()
	if inFlight == 0 && pln.retryRefused() {
		return true
	}
	for limit := max(minConcurrentStarts, pln.inp.Service.Max/20); inFlight < limit; inFlight++ {
		belowMin := pln.vmCount < pln.inp.Service.Min
		if !belowMin && pln.shortfall(pln.inp.Need) == 0 {
			return inFlight > 0
		}
		if !pln.belowMax() {
			pln.rebalance()
			return true
		}
		free, missing := pln.inp.Service.Max-pln.rec.OccupiedSlots()-len(pln.untracked), pln.shortfall(pln.inp.Need)
		pool, ok := pln.bestPool(func(pool Pool, cost float64) float64 {
			slots := pln.inp.concurrency(pool.Class)
			value := float64(pln.shortfallReduction(pool.Zone, slots, pln.inp.Need))
			// Close to the maximum, small endpoints would use up the remaining
			// VMs, and the last one must be placed where rebalance freed it.
			value *= min(1, float64(slots*free)/float64(max(missing, 1)))
			if free == 1 {
				value = value/1000 + float64(missing-pln.shortfallWith(pool))
			}
			if belowMin {
				// The minimum is balanced across the zones, too.
				value += 1 / float64(1+pln.provisioned[pool.Zone])
			}
			return value / cost
		})
		if !ok || !pln.orderStart(pool) {
			return true
		}
	}
	return true
}

// retryRefused retries a refused order when there is an untracked VM: a previous
// holder may have started it with the order's token after the refusal. If not,
// the order starts another VM within the maximum.
func (pln *planner) retryRefused() bool {
	if len(pln.untracked) == 0 || !pln.belowMax() {
		return false
	}
	pool := poolOf(pln.untracked[0])
	if pln.inp.Now.Before(pln.rec.decayedHistory(pool, pln.inp.Now).RetryAt) {
		return false
	}
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateIdle {
			return pln.orderStart(pool)
		}
	}
	return false
}

// rebalance drains an endpoint of an overloaded zone when the maximum permits no
// additional VM in another zone. Waves of reclaims concentrate endpoints in the
// zones that they don't affect. The drain never increases the shortfall.
func (pln *planner) rebalance() {
	if len(pln.untracked) > 0 {
		return
	}
	for idx := range pln.rec.Slots {
		switch pln.rec.Slots[idx].State {
		case StateOrdered, StateLeaving, StateDraining, StateStopping:
			return
		default:
		}
	}
	missing := pln.shortfall(pln.inp.Need)
	slt := pln.mostExpensive(func(slt *Slot) bool {
		if slt.State != StateStarted || !slt.Listed {
			return false
		}
		pln.addCapacity(slt.Pool, -1)
		defer pln.addCapacity(slt.Pool, 1)
		if pln.capacity < pln.inp.Need || pln.shortfall(pln.inp.Need) > missing {
			return false
		}
		_, ok := pln.bestPool(func(pool Pool, cost float64) float64 {
			return float64(missing-pln.shortfallWith(pool)) / cost
		})
		return ok
	})
	if slt != nil {
		pln.transition(slt, StateDraining)
	}
}

// bestPool returns the pool with the highest positive score among those that
// are within the maximum price and not in backoff.
func (pln *planner) bestPool(score func(pool Pool, cost float64) float64) (Pool, bool) {
	var best Pool
	var bestValue float64
	for _, off := range pln.inp.Offers {
		if pln.inp.Classes[off.Class].Service != pln.inp.Service.Service {
			continue
		}
		for _, zone := range pln.inp.Zones {
			pool := Pool{Zone: zone, Class: off.Class, Reclaimable: off.Reclaimable}
			price := pln.rec.currentPrice(pool, off.Price, pln.inp.Now)
			if limit := pln.inp.Service.MaxPrice; limit > 0 && price > limit {
				continue
			}
			if pln.inp.Now.Before(pln.rec.decayedHistory(pool, pln.inp.Now).RetryAt) {
				continue
			}
			if val := score(pool, pln.rec.riskAdjustedCost(pool, off.Price, pln.inp.Now)); val > bestValue {
				best, bestValue = pool, val
			}
		}
	}
	return best, bestValue > 0
}

// orderStart assigns a slot to a new start order. An idle slot is reused with its
// token. It returns false if the maximum permits no slot.
func (pln *planner) orderStart(pool Pool) bool {
	var slt *Slot
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateIdle {
			slt = &pln.rec.Slots[idx]
			break
		}
	}
	if slt == nil {
		if len(pln.rec.Slots)+len(pln.untracked) >= pln.inp.Service.Max {
			return false
		}
		pln.rec.TokensIssued++
		pln.rec.Slots = append(pln.rec.Slots, Slot{Token: fmt.Sprintf("%s-%d", pln.rec.TokenPrefix, pln.rec.TokensIssued)})
		slt = &pln.rec.Slots[len(pln.rec.Slots)-1]
	}
	slt.Pool, slt.Version = pool, pln.inp.Active
	pln.transition(slt, StateOrdered)
	pln.addCapacity(pool, 1)
	if after := pln.inp.Now.Add(pln.inp.LoadTime); after.After(pln.rec.NextLoad) {
		// A starting VM loads its version from the same weight store and has
		// priority.
		pln.rec.NextLoad = after
	}
	return true
}

// offer returns the offer for a pool, or the zero value if there is none.
func (pln *planner) offer(pool Pool) bundle.Offer {
	for _, off := range pln.inp.Offers {
		if off.Class == pool.Class && off.Reclaimable == pool.Reclaimable {
			return off
		}
	}
	return bundle.Offer{}
}

// costPerCall returns the hourly cost of a pool per concurrent call.
func (pln *planner) costPerCall(pool Pool) float64 {
	return pln.rec.riskAdjustedCost(pool, pln.offer(pool).Price, pln.inp.Now) / float64(pln.inp.concurrency(pool.Class))
}

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
