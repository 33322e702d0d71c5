// Package scale computes how many endpoints of a service each availability zone
// should run, and how many of them on reclaimable VMs. Reclaimable endpoints cost
// a fraction of on-demand ones but can be reclaimed a whole zone at a time, so a
// base of on-demand endpoints is always kept. The package does no I/O.
package scale

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// urgentFactor times the target utilization is the utilization above which
	// on-demand endpoints replace unavailable reclaimable ones. While a zone has no
	// reclaimable capacity it is exhaustedFactor, since other zones may lose
	// theirs next.
	urgentFactor    = 2.0
	exhaustedFactor = 1.5
	// onDemandShare is the fraction of the desired endpoints that is on-demand.
	onDemandShare = 0.22
	// spareShare is the fraction of additional reclaimable endpoints that is
	// provisioned for the loss of a zone.
	spareShare = 0.25
	// floorShare is the fraction of the initial endpoints below which the
	// service is never scaled down.
	floorShare = 0.7
	// firstOrderDelay is the delay before the first order, which only adds endpoints.
	firstOrderDelay = 3 * time.Second
	// registrationTime is the delay before the first scale-down: until then some
	// endpoints may not have registered, and an order for fewer would stop them.
	registrationTime = 7 * time.Second
	// coldStartShare is the desired count as a fraction of the initial endpoints
	// until the load is known: prompt caches are cold, so all prompts must be
	// processed from scratch at the same time.
	coldStartShare = 1.25
	// warmupTime is how long after the first load no more endpoints are ordered than
	// for a cold start: until prompts are cached, the load is higher than it will
	// be, and an endpoint ordered for it is itself cold when it serves.
	warmupTime = 10 * time.Second
	// scaleDownDelay is how long the required count must be lower before a
	// scale-down begins. It removes at most the fraction scaleDownFraction each
	// scaleDownInterval, since the prompt cache of every removed endpoint is lost.
	scaleDownDelay    = 12 * time.Second
	scaleDownInterval = 3 * time.Second
	scaleDownFraction = 0.08
	// repeatDelay is the delay, on top of the boot time, before an order that
	// has had no effect is repeated.
	repeatDelay = 2 * time.Second
	// refusedRetryDelay is the delay before an order that was refused for lack of
	// capacity is retried.
	refusedRetryDelay = 2500 * time.Millisecond
)

// A Count is the number of endpoints in a zone that accept requests.
type Count struct {
	OnDemand int `json:"onDemand"`
	Spot     int `json:"spot"`
}

// A State is the observed state of a service.
type State struct {
	Plan wick.ScalingPlan
	// Live counts the endpoints by zone. Zones without endpoints may be
	// missing.
	Live map[wick.Zone]Count
	// Evacuated holds the zones whose endpoints get no requests. Nothing is ordered there,
	// and the other zones run the service.
	Evacuated map[wick.Zone]bool
	// Load is the load in busy endpoints, that is endpoint-seconds per second.
	// It is negative if unknown.
	Load float64
	// MeanWork is the mean endpoint time of a request, Target the shortest latency
	// objective to its first token. Both are 0 if unknown.
	MeanWork, Target time.Duration
	// Occupied is the share of their slots that requests occupy, summed over all
	// endpoints.
	Occupied float64
	// InitialCount is the number of endpoints that the first holder of the duty
	// observed, 0 if unknown.
	InitialCount int
	Now          time.Time
}

// A group is the set of endpoints of one kind in a zone, the unit of an order.
type group struct {
	zone wick.Zone
	spot bool
}

// An order is the last order for a group.
type order struct {
	count int
	at    time.Time
	// refusedAt is when the platform refused the order for lack of capacity,
	// zero if it did not.
	refusedAt time.Time
}

// A Planner computes the orders for one service. Its zero value is ready to use.
// It is not safe for concurrent use.
type Planner struct {
	orders map[group]order
	// initial is the count given in State, or else the most endpoints observed
	// within registrationTime.
	initial int
	// startedAt is the time of the first call; initialFinal is set once initial
	// no longer changes.
	startedAt    time.Time
	initialFinal bool
	// coldStart is set if the service was found without an earlier holder of the
	// duty. loadedAt is when its load was first known.
	coldStart bool
	loadedAt  time.Time
	// desired is the number of endpoints to run, spare ones excluded. lowerSince
	// is since when the load has required fewer, and scaledDownAt is when desired
	// was last lowered.
	desired      int
	lowerSince   time.Time
	scaledDownAt time.Time
}

// InitialCount returns the initial number of endpoints, 0 while it is not final.
func (plr *Planner) InitialCount() int {
	if !plr.initialFinal {
		return 0
	}
	return plr.initial
}

// Desired returns the desired number of endpoints, spare ones excluded.
func (plr *Planner) Desired() int { return plr.desired }

// Plan returns the orders that are due.
func (plr *Planner) Plan(svc wick.Service, sta State) []wick.ScaleOrder {
	if plr.orders == nil {
		plr.orders = make(map[group]order)
	}
	plr.observe(sta)
	sta.Live = sta.servingZones()
	zones := slices.DeleteFunc(byPrice(sta.Plan), func(zone wick.Zone) bool { return sta.Evacuated[zone] })
	if len(zones) == 0 || !plr.initialFinal && sta.Now.Sub(plr.startedAt) < firstOrderDelay {
		return nil
	}
	sta.Load = plr.sustainedLoad(sta)
	plr.updateDesired(sta, len(zones))
	tgt := plr.target(sta, zones)
	_, spots := sta.total()
	surplus := spots > tgt.spots
	var out []wick.ScaleOrder
	for _, grp := range groups(zones) {
		num := tgt.count[grp]
		if plr.due(grp, num, surplus, sta) {
			plr.orders[grp] = order{count: num, at: sta.Now}
			out = append(out, wick.ScaleOrder{Service: svc, Zone: grp.zone, Count: num, Reclaimable: grp.spot})
		}
	}
	return out
}

// observe updates the initial number of endpoints. Reclaimable ones count only
// until the first order, which adds reclaimable endpoints.
func (plr *Planner) observe(sta State) {
	if plr.startedAt.IsZero() {
		plr.startedAt, plr.coldStart = sta.Now, sta.InitialCount == 0
	}
	if plr.loadedAt.IsZero() && sta.Load >= 0 {
		plr.loadedAt = sta.Now
	}
	if sta.InitialCount > 0 {
		plr.initial, plr.initialFinal = sta.InitialCount, true
	}
	if plr.initialFinal {
		return
	}
	num, spot := sta.total()
	if plr.desired == 0 {
		num += spot
	}
	plr.initial = max(plr.initial, num)
	plr.initialFinal = sta.Now.Sub(plr.startedAt) >= registrationTime
}

// Refused records that the platform refused an order for lack of capacity.
func (plr *Planner) Refused(ord wick.ScaleOrder, now time.Time) {
	grp := group{ord.Zone, ord.Reclaimable}
	plr.orders[grp] = order{count: ord.Count, at: now, refusedAt: now}
}

// Failed records that an order may not have reached the platform, so that it is
// sent again.
func (plr *Planner) Failed(ord wick.ScaleOrder) {
	delete(plr.orders, group{ord.Zone, ord.Reclaimable})
}

// byPrice returns the zones of a plan in ascending order of price.
func byPrice(pln wick.ScalingPlan) []wick.Zone {
	zones := make([]wick.Zone, 0, len(pln.ZonePrices))
	for zone := range pln.ZonePrices {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(idx, jdx int) bool {
		one, two := pln.ZonePrices[zones[idx]], pln.ZonePrices[zones[jdx]]
		return one < two || one == two && zones[idx] < zones[jdx]
	})
	return zones
}

func groups(zones []wick.Zone) []group {
	out := make([]group, 0, 2*len(zones))
	for _, zone := range zones {
		out = append(out, group{zone, true}, group{zone, false})
	}
	return out
}

// servingZones returns the counts without those of evacuated zones.
func (sta *State) servingZones() map[wick.Zone]Count {
	if len(sta.Evacuated) == 0 {
		return sta.Live
	}
	out := maps.Clone(sta.Live)
	maps.DeleteFunc(out, func(zone wick.Zone, _ Count) bool { return sta.Evacuated[zone] })
	return out
}

// total returns the number of live endpoints of each kind over all zones.
func (sta *State) total() (onDemand, spot int) {
	for _, cnt := range sta.Live {
		onDemand += cnt.OnDemand
		spot += cnt.Spot
	}
	return onDemand, spot
}

// sustainedLoad returns the load without the part of a cold start that ends once
// prompts are cached.
func (plr *Planner) sustainedLoad(sta State) float64 {
	if !plr.coldStart || sta.Load < 0 || sta.Now.Sub(plr.loadedAt) >= warmupTime {
		return sta.Load
	}
	return min(sta.Load, coldStartShare*float64(plr.initial)*sta.targetUtilization())
}

// updateDesired follows the load: it scales up at once, and down after a delay.
func (plr *Planner) updateDesired(sta State, zones int) {
	floor := int(math.Ceil(floorShare * float64(plr.initial)))
	lowest := max(sta.Plan.Min*zones, floor, 1)
	highest := max(sta.Plan.Max, 1) * zones
	required := int(math.Ceil(max(sta.Load/sta.targetUtilization(), sta.Occupied/slotUtilization)))
	if sta.Load < 0 {
		required = max(plr.desired, int(coldStartShare*float64(plr.initial)))
	}
	required = min(max(required, lowest), highest)
	switch {
	case plr.desired == 0 || required >= plr.desired:
		plr.desired, plr.lowerSince = required, time.Time{}
	case plr.lowerSince.IsZero():
		plr.lowerSince = sta.Now
	case sta.Now.Sub(plr.lowerSince) >= scaleDownDelay && sta.Now.Sub(plr.scaledDownAt) >= scaleDownInterval:
		step := max(int(scaleDownFraction*float64(plr.desired)), 1)
		plr.desired, plr.scaledDownAt = max(plr.desired-step, required), sta.Now
	}
}
