package fleet

import (
	"fmt"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
)

// minConcurrentStarts is the limit of in-flight starts for small fleets. For
// large ones, it is a share of the maximum.
const minConcurrentStarts = 4

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
