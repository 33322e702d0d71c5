package scale

import (
	"math"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A target is the desired number of endpoints of every group.
type target struct {
	count map[group]int
	// spots is the desired number of reclaimable endpoints over all zones.
	spots int
}

// target distributes the desired endpoints over the groups. Zones without
// reclaimable capacity keep their current endpoints, and the others run the rest.
func (plr *Planner) target(sta State, zones []wick.Zone) target {
	onDemand, spot := sta.total()
	base := max(int(math.Ceil(onDemandShare*float64(plr.desired))), 1)
	spots := plr.desired - base
	if len(sta.Evacuated) == 0 {
		// An evacuation is the loss of a zone for which the spare endpoints run.
		spots += int(math.Ceil(spareShare * float64(plr.desired)))
	}
	if sta.Plan.SpotPrice <= 0 || sta.Plan.SpotPrice >= 1 {
		base, spots = plr.desired, 0
	}
	// On-demand endpoints are removed only once their replacements are live.
	onDemandCount := max(base, min(onDemand, plr.desired-spot))
	if work := sta.Load; work > 0 {
		onDemandCount = max(onDemandCount, int(math.Ceil(work/(plr.onDemandFactor(zones)*sta.targetUtilization())))-spot)
	}
	tgt := target{count: make(map[group]int), spots: spots}
	zoneMax := func(wick.Zone) int { return sta.Plan.Max }
	tgt.distribute(zones, onDemandCount, false, sta, zoneMax)
	even := target{count: make(map[group]int)}
	even.distribute(zones, onDemandCount, false, sta, zoneMax)
	even.distribute(zones, spots, true, sta, zoneMax)
	tgt.distribute(zones, spots, true, sta, func(zone wick.Zone) int {
		if plr.exhausted(zone) {
			return sta.Live[zone].Spot
		}
		return sta.Plan.Max
	})
	for _, zone := range zones {
		// The order for an even share is repeated until the zone has capacity
		// again.
		grp := group{zone, true}
		tgt.count[grp] = max(tgt.count[grp], even.count[grp])
	}
	return tgt
}

// exhausted reports whether the last order for reclaimable endpoints in a zone was
// refused for lack of capacity.
func (plr *Planner) exhausted(zone wick.Zone) bool {
	return !plr.orders[group{zone, true}].refusedAt.IsZero()
}

// onDemandFactor returns the utilization above which on-demand endpoints are
// ordered, as a multiple of the target utilization.
func (plr *Planner) onDemandFactor(zones []wick.Zone) float64 {
	for _, zone := range zones {
		if plr.exhausted(zone) {
			return exhaustedFactor
		}
	}
	return urgentFactor
}

// distribute spreads a number of endpoints over zones as evenly as the bounds
// allow, the cheapest zone first.
func (tgt *target) distribute(zones []wick.Zone, num int, spot bool, sta State, bound func(wick.Zone) int) {
	for num > 0 {
		placed := false
		for _, zone := range zones {
			grp := group{zone, spot}
			both := tgt.count[group{zone, false}] + tgt.count[group{zone, true}]
			if num > 0 && both < sta.Plan.Max && tgt.count[grp] < bound(zone) {
				tgt.count[grp]++
				num--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}

// due reports whether an order should be sent. Reclaimable endpoints are removed
// only while there is a surplus of them over all zones.
func (plr *Planner) due(grp group, want int, surplus bool, sta State) bool {
	cnt := sta.Live[grp.zone]
	live := cnt.OnDemand
	if grp.spot {
		live = cnt.Spot
	}
	old, ok := plr.orders[grp]
	switch {
	case !plr.initialFinal && (!grp.spot || want <= live):
		return false
	case grp.spot && want < live && !surplus:
		return false
	case ok && sta.Now.Sub(old.refusedAt) < refusedRetryDelay:
		return false
	case !ok || old.count != want:
		return live != want
	default:
		return live < want && sta.Now.Sub(old.at) > sta.Plan.BootTime+repeatDelay
	}
}
