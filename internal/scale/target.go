package scale

import (
	"math"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A target is the number of endpoints aimed at in every slot.
type target struct {
	count map[slot]int
	// spots is the number of reclaimable endpoints aimed at in all zones.
	spots int
}

// want returns the number for every slot. Zones that have no reclaimable
// endpoints to give keep what they have, and the others take the rest.
func (plr *Planner) want(sta State, zones []wick.Zone) target {
	onDemand, spot := sta.total()
	base := max(int(math.Ceil(baseShare*float64(plr.need))), 1)
	spots := plr.need - base + int(math.Ceil(spareShare*float64(plr.need)))
	if sta.Plan.SpotPrice <= 0 || sta.Plan.SpotPrice >= 1 {
		base, spots = plr.need, 0
	}
	// On-demand endpoints go only once others serve in their place.
	kept := max(base, min(onDemand, plr.need-spot))
	if work := sta.Work; work > 0 {
		kept = max(kept, int(math.Ceil(work/plr.highestUse(zones)))-spot)
	}
	tgt := target{count: make(map[slot]int), spots: spots}
	most := func(wick.Zone) int { return sta.Plan.Max }
	tgt.spread(zones, kept, false, sta, most)
	even := target{count: make(map[slot]int)}
	even.spread(zones, kept, false, sta, most)
	even.spread(zones, spots, true, sta, most)
	tgt.spread(zones, spots, true, sta, func(zone wick.Zone) int {
		if plr.dry(zone) {
			return sta.Live[zone].Spot
		}
		return sta.Plan.Max
	})
	for _, zone := range zones {
		// The order for an even share is repeated until the zone has some.
		slt := slot{zone, true}
		tgt.count[slt] = max(tgt.count[slt], even.count[slt])
	}
	return tgt
}

// dry reports whether a zone had no reclaimable endpoints to give when it was
// last asked.
func (plr *Planner) dry(zone wick.Zone) bool { return !plr.orders[slot{zone, true}].refusedAt.IsZero() }

// highestUse returns the use above which on-demand endpoints are ordered.
func (plr *Planner) highestUse(zones []wick.Zone) float64 {
	for _, zone := range zones {
		if plr.dry(zone) {
			return highestDryUse
		}
	}
	return highestUse
}

// spread distributes a number of endpoints over zones, the cheapest first, as
// evenly as the bounds allow.
func (tgt *target) spread(zones []wick.Zone, num int, spot bool, sta State, bound func(wick.Zone) int) {
	for num > 0 {
		placed := false
		for _, zone := range zones {
			slt := slot{zone, spot}
			both := tgt.count[slot{zone, false}] + tgt.count[slot{zone, true}]
			if num > 0 && both < sta.Plan.Max && tgt.count[slt] < bound(zone) {
				tgt.count[slt]++
				num--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}

// due reports whether an order is to be sent. Reclaimable endpoints are given
// up only while there is a surplus of them over all zones.
func (plr *Planner) due(slt slot, want int, surplus bool, sta State) bool {
	cnt := sta.Live[slt.zone]
	live := cnt.OnDemand
	if slt.spot {
		live = cnt.Spot
	}
	old, ok := plr.orders[slt]
	switch {
	case !plr.settled && (!slt.spot || want <= live):
		return false
	case slt.spot && want < live && !surplus:
		return false
	case ok && sta.Now.Sub(old.refusedAt) < refusedPause:
		return false
	case !ok || old.count != want:
		return live != want
	default:
		return live < want && sta.Now.Sub(old.at) > sta.Plan.BootTime+repeatAfter
	}
}
