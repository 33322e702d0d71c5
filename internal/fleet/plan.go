package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// endedAge is how long an ended VM is remembered, longer than the list lags.
	endedAge = 15 * time.Minute
	// quietAfter is when a drained endpoint's report counts: entries send
	// nothing to it 3 s after it knows that it leaves (P6).
	quietAfter = 5 * time.Second
	// drainLimit bounds a drain whose endpoint never gets idle.
	drainLimit = 10 * time.Minute
	// surplusTime is how long an endpoint must be surplus before it is
	// drained, so that a short lull does not cost a start.
	surplusTime = 2 * time.Minute
	// surplusFactor is the reserve that a scale-down leaves over the need.
	surplusFactor = 1.1
	// swapTime is the least time between two starts for a lower price.
	swapTime = 2 * time.Minute
	// swapFactor is how much cheaper a pool must be: a swap pays for two VMs
	// while it lasts, and prices go back.
	swapFactor = 0.7
	// minAtOnce bounds the starts under way; a share of the maximum does for
	// large fleets.
	minAtOnce = 4
)

// A planner works on one step's copy of a record.
type planner struct {
	rec     *Record
	inp     *Input
	changed bool
	// listed are the VMs on the list, without ended ones.
	listed map[wick.VMID]*wick.VM
	// unknown are listed VMs that no slot names.
	unknown []*wick.VM
	// granted is the capacity per zone that is there or ordered.
	granted map[wick.Zone]int
	total   int
	// count is the number of VMs behind granted.
	count int
}

// Step returns the record after a decision. It returns false when nothing has
// changed. Orders under way follow from the record, see Orders.
func Step(rec Record, inp Input) (Record, bool) {
	next := rec.clone()
	pln := &planner{rec: &next, inp: &inp}
	pln.expire()
	pln.look()
	pln.observe()
	pln.adopt()
	pln.tally()
	if !pln.start() {
		pln.shrink()
	}
	pln.tasks()
	return next, pln.changed
}

// expire forgets VMs that have ended long ago.
func (pln *planner) expire() {
	kept := slices.DeleteFunc(pln.rec.Ended, func(end Ended) bool { return pln.inp.Now.Sub(end.At) > endedAge })
	pln.changed = pln.changed || len(kept) != len(pln.rec.Ended)
	pln.rec.Ended = kept
}

// look sorts the list into known and unknown VMs.
func (pln *planner) look() {
	ended, known := make(map[wick.VMID]bool), make(map[wick.VMID]bool)
	for _, end := range pln.rec.Ended {
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
			pln.unknown = append(pln.unknown, vm)
		}
	}
}

// to moves a slot to a state.
func (pln *planner) to(slt *Slot, state State) {
	slt.State, slt.At, pln.changed = state, pln.inp.Now, true
}

// observe takes what the list and the load reports say about the slots.
func (pln *planner) observe() {
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.VM == "" {
			continue
		}
		vm, listed := pln.listed[slt.VM]
		if listed {
			pln.changed = pln.changed || !slt.Seen
			slt.Seen = true
			pln.notePrice(slt.Pool, vm.Price)
		}
		pln.follow(slt, listed && vm.State == wick.VMLeaving)
	}
}

// follow moves a slot on by what its VM shows.
func (pln *planner) follow(slt *Slot, leaving bool) {
	rep, reported := pln.inp.Reports[slt.VM]
	lost := pln.inp.Lost[slt.VM]
	switch slt.State {
	case StateStarted:
		if leaving || reported && rep.Leaving {
			pln.rec.reclaimed(slt.Pool, pln.inp.Now)
			pln.to(slt, StateLeaving)
		} else if lost {
			pln.rec.reclaimed(slt.Pool, pln.inp.Now)
			pln.to(slt, StateStopping)
		}
	case StateLeaving, StateDraining:
		quiet := reported && rep.Leaving && rep.Running+rep.Waiting == 0 && rep.At.After(slt.At.Add(quietAfter))
		late := slt.State == StateDraining && pln.inp.Now.Sub(slt.At) > drainLimit
		if quiet || late || lost {
			pln.to(slt, StateStopping)
		}
	default:
	}
}

func (pln *planner) notePrice(pool Pool, price wick.Price) {
	if price <= 0 {
		return
	}
	his := pln.rec.at(pool)
	if his.Price != price || pln.inp.Now.Sub(his.PriceAt) > priceWrite {
		his.Price, his.PriceAt, pln.changed = price, pln.inp.Now, true
	}
}

// adopt gives slots to VMs that were found on the list. While an order is not
// settled, a VM on the list may be its result.
func (pln *planner) adopt() {
	for idx := range pln.rec.Slots {
		if state := pln.rec.Slots[idx].State; state == StateIdle || state == StateOrdered {
			return
		}
	}
	for _, vm := range pln.unknown {
		slt := Slot{State: StateStarted, Pool: poolOf(vm), VM: vm.ID, Seen: true, At: pln.inp.Now}
		if vm.State == wick.VMLeaving {
			slt.State = StateLeaving
		}
		pln.rec.Slots = append(pln.rec.Slots, slt)
		pln.changed = true
	}
	pln.unknown = nil
}

func poolOf(vm *wick.VM) Pool {
	return Pool{Zone: vm.Zone, Class: vm.Class, Reclaimable: vm.Reclaimable}
}

// tally adds up the granted capacity.
func (pln *planner) tally() {
	pln.granted = make(map[wick.Zone]int)
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.granted(pln.inp.Now) {
			pln.grant(slt.Pool, 1)
		}
	}
	for _, vm := range pln.unknown {
		if vm.State == wick.VMLive {
			pln.grant(poolOf(vm), 1)
		}
	}
}

// grant adds num VMs of a pool to the capacity.
func (pln *planner) grant(pool Pool, num int) {
	slots := num * pln.inp.slots(pool.Class)
	pln.granted[pool.Zone] += slots
	pln.total += slots
	pln.count += num
}

// gain returns by how much slots in a zone reduce what is missing after the
// loss of each zone. With one zone there is nothing left after its loss, so
// that only the need itself counts.
func (pln *planner) gain(zone wick.Zone, slots, need int) int {
	all := pln.zones()
	if len(all) == 1 {
		return min(slots, max(need-pln.total, 0))
	}
	sum := 0
	for _, lost := range all {
		if lost != zone {
			sum += min(slots, max(need-(pln.total-pln.granted[lost]), 0))
		}
	}
	return sum
}

// lack returns what is missing after the worst loss of a zone.
func (pln *planner) lack(need int) int {
	all := pln.zones()
	worst := 0
	for _, lost := range all {
		left := pln.total
		if len(all) > 1 {
			left -= pln.granted[lost]
		}
		worst = max(worst, need-left)
	}
	return worst
}

// lackWith returns what would be missing with another VM of a pool.
func (pln *planner) lackWith(pool Pool) int {
	pln.grant(pool, 1)
	defer pln.grant(pool, -1)
	return pln.lack(pln.inp.Need)
}

// room tells whether another VM may be ordered.
func (pln *planner) room() bool {
	return pln.rec.Held()+len(pln.unknown) < pln.inp.Service.Max
}

func (pln *planner) underWay() int {
	num := 0
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateOrdered {
			num++
		}
	}
	return num
}

// start orders VMs until no capacity is missing. It returns false when none is
// missing and none is on its way.
func (pln *planner) start() bool {
	busy := pln.underWay()
	if busy == 0 && pln.probe() {
		return true
	}
	for limit := max(minAtOnce, pln.inp.Service.Max/20); busy < limit; busy++ {
		few := pln.count < pln.inp.Service.Min
		if !few && pln.lack(pln.inp.Need) == 0 {
			return busy > 0
		}
		if !pln.room() {
			pln.spread()
			return true
		}
		room, lack := pln.inp.Service.Max-pln.rec.Held()-len(pln.unknown), pln.lack(pln.inp.Need)
		pool, ok := pln.best(func(pool Pool, cost float64) float64 {
			slots := pln.inp.slots(pool.Class)
			gain := float64(pln.gain(pool.Zone, slots, pln.inp.Need))
			// With little room left, small endpoints would use it up, and the
			// last one must go where spread made room for it.
			gain *= min(1, float64(slots*room)/float64(max(lack, 1)))
			if room == 1 {
				gain = gain/1000 + float64(lack-pln.lackWith(pool))
			}
			if few {
				// The minimum is spread over the zones, too.
				gain += 1 / float64(1+pln.granted[pool.Zone])
			}
			return gain / cost
		})
		if !ok || !pln.order(pool) {
			return true
		}
	}
	return true
}

// probe repeats a refused order when the list shows an unknown VM: an earlier
// holder may have started it with the order's token after the refusal. If not,
// the order starts another VM within the maximum.
func (pln *planner) probe() bool {
	if len(pln.unknown) == 0 || !pln.room() {
		return false
	}
	pool := poolOf(pln.unknown[0])
	if pln.inp.Now.Before(pln.rec.get(pool, pln.inp.Now).RetryAt) {
		return false
	}
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateIdle {
			return pln.order(pool)
		}
	}
	return false
}

// spread drains an endpoint of a zone that holds too much, when the maximum
// leaves no room for one in another zone. Waves of reclaims crowd endpoints
// into the zones that they spare. What is left after the worst loss does not
// shrink by it.
func (pln *planner) spread() {
	if len(pln.unknown) > 0 {
		return
	}
	for idx := range pln.rec.Slots {
		switch pln.rec.Slots[idx].State {
		case StateOrdered, StateLeaving, StateDraining, StateStopping:
			return
		default:
		}
	}
	lack := pln.lack(pln.inp.Need)
	slt := pln.dearest(func(slt *Slot) bool {
		if slt.State != StateStarted || !slt.Seen {
			return false
		}
		pln.grant(slt.Pool, -1)
		defer pln.grant(slt.Pool, 1)
		if pln.total < pln.inp.Need || pln.lack(pln.inp.Need) > lack {
			return false
		}
		_, ok := pln.best(func(pool Pool, cost float64) float64 {
			return float64(lack-pln.lackWith(pool)) / cost
		})
		return ok
	})
	if slt != nil {
		pln.to(slt, StateDraining)
	}
}

// best returns the pool with the highest value above 0 that may be tried now.
func (pln *planner) best(value func(pool Pool, cost float64) float64) (Pool, bool) {
	var top Pool
	var most float64
	for _, off := range pln.inp.Offers {
		if pln.inp.Classes[off.Class].Service != pln.inp.Service.Service {
			continue
		}
		for _, zone := range pln.inp.Zones {
			pool := Pool{Zone: zone, Class: off.Class, Reclaimable: off.Reclaimable}
			price := pln.rec.price(pool, off.Price, pln.inp.Now)
			if limit := pln.inp.Service.MaxPrice; limit > 0 && price > limit {
				continue
			}
			if pln.inp.Now.Before(pln.rec.get(pool, pln.inp.Now).RetryAt) {
				continue
			}
			if val := value(pool, pln.rec.cost(pool, off.Price, pln.inp.Now)); val > most {
				top, most = pool, val
			}
		}
	}
	return top, most > 0
}

// order gives a slot to a start order. A slot whose order was refused keeps
// its token. It returns false when the maximum leaves no slot.
func (pln *planner) order(pool Pool) bool {
	var slt *Slot
	for idx := range pln.rec.Slots {
		if pln.rec.Slots[idx].State == StateIdle {
			slt = &pln.rec.Slots[idx]
			break
		}
	}
	if slt == nil {
		if len(pln.rec.Slots)+len(pln.unknown) >= pln.inp.Service.Max {
			return false
		}
		pln.rec.Issued++
		pln.rec.Slots = append(pln.rec.Slots, Slot{Token: fmt.Sprintf("%s-%d", pln.rec.Series, pln.rec.Issued)})
		slt = &pln.rec.Slots[len(pln.rec.Slots)-1]
	}
	slt.Pool, slt.Version = pool, pln.inp.Active
	pln.to(slt, StateOrdered)
	pln.grant(pool, 1)
	if after := pln.inp.Now.Add(pln.inp.LoadTime); after.After(pln.rec.NextLoad) {
		// A start loads its version from the same store and goes first.
		pln.rec.NextLoad = after
	}
	return true
}

// offer returns the expected price of a pool, 0 if it is not on offer.
func (pln *planner) offer(pool Pool) bundle.Offer {
	for _, off := range pln.inp.Offers {
		if off.Class == pool.Class && off.Reclaimable == pool.Reclaimable {
			return off
		}
	}
	return bundle.Offer{}
}

// perSlot returns the cost of a pool for a call at once.
func (pln *planner) perSlot(pool Pool) float64 {
	return pln.rec.cost(pool, pln.offer(pool).Price, pln.inp.Now) / float64(pln.inp.slots(pool.Class))
}

// removable tells whether the need with its reserve is met without a slot.
func (pln *planner) removable(slt *Slot) bool {
	if slt.State != StateStarted || !slt.Seen {
		return false
	}
	pln.grant(slt.Pool, -1)
	defer pln.grant(slt.Pool, 1)
	reserve := int(float64(pln.inp.Need)*surplusFactor + 0.5)
	return pln.count >= pln.inp.Service.Min && pln.lack(reserve) == 0
}

// shrink is the last step. It drains the most expensive surplus endpoint, or
// starts a much cheaper one whose start makes an expensive one surplus.
func (pln *planner) shrink() {
	// Only VMs of the record count as what stays.
	for _, vm := range pln.unknown {
		if vm.State == wick.VMLive {
			pln.grant(poolOf(vm), -1)
		}
	}
	if pln.rec.Held() > pln.inp.Service.Max {
		if slt := pln.dearest(func(slt *Slot) bool { return slt.State == StateStarted }); slt != nil {
			pln.to(slt, StateDraining)
		}
		return
	}
	slt := pln.dearest(pln.removable)
	switch since := pln.rec.SurplusSince; {
	case slt == nil:
		pln.changed = pln.changed || !since.IsZero()
		pln.rec.SurplusSince = time.Time{}
		pln.swap()
	case since.IsZero():
		pln.rec.SurplusSince, pln.changed = pln.inp.Now, true
	case pln.inp.Now.Sub(since) >= surplusTime:
		pln.to(slt, StateDraining)
	}
}

func (pln *planner) dearest(may func(slt *Slot) bool) *Slot {
	var top *Slot
	var most float64
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if cost := pln.perSlot(slt.Pool); (top == nil || cost > most) && may(slt) {
			top, most = slt, cost
		}
	}
	return top
}

// swap starts a VM of a pool that is much cheaper than the most expensive
// endpoint that it would make surplus.
func (pln *planner) swap() {
	if !pln.room() || pln.inp.Now.Sub(pln.rec.SwapAt) < swapTime {
		return
	}
	pool, ok := pln.best(func(pool Pool, _ float64) float64 {
		pln.grant(pool, 1)
		slt := pln.dearest(pln.removable)
		pln.grant(pool, -1)
		if slt == nil {
			return 0
		}
		old, cost := pln.perSlot(slt.Pool), pln.perSlot(pool)
		if cost > swapFactor*old {
			return 0
		}
		return old - cost
	})
	if ok && pln.order(pool) {
		pln.rec.SwapAt = pln.inp.Now
	}
}
