// Package scale decides how many endpoints of a service each availability zone
// should hold, and how many of them reclaimable. Reclaimable endpoints cost a
// fraction of the others but are taken away a zone at a time, so a base of
// on-demand endpoints stays. It does no I/O.
package scale

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// targetUse is the part of an endpoint's time that its work may take. The
	// waiting time before a prompt is read grows steeply above it.
	targetUse = 0.28
	// highestUse is the use above which on-demand endpoints replace reclaimable
	// ones that can't be had.
	highestUse = 0.55
	// highestDryUse is the same while a zone has no reclaimable endpoints to
	// give: those of other zones may go next.
	highestDryUse = 0.42
	// baseShare of the endpoints are on-demand.
	baseShare = 0.22
	// spareShare of further endpoints are held, reclaimable only, for the loss
	// of a zone.
	spareShare = 0.25
	// floorShare of the endpoints that were found at the start are always held.
	floorShare = 0.7
	// firstOrder passes before the first order, which only adds endpoints.
	firstOrder = 3 * time.Second
	// settleTime passes before endpoints may be given up: until then some may
	// not have registered, and an order for fewer would end them.
	settleTime = 7 * time.Second
	// coldShare of the endpoints that were found at the start are held until
	// the load is known: no endpoint has read any prompt yet, and all of them
	// have to be read at once.
	coldShare = 1.25
	// shrinkAfter is how long the need must be lower before endpoints are
	// given up, and shrinkEvery and shrinkPart how fast they go then: every
	// endpoint that goes takes the prompts along that it keeps.
	shrinkAfter = 12 * time.Second
	shrinkEvery = 3 * time.Second
	shrinkPart  = 0.08
	// repeatAfter passes before an order that has had no effect is repeated, on
	// top of the time that endpoints take to start.
	repeatAfter = 2 * time.Second
	// refusedPause passes before an order is tried again where nothing was to
	// be had.
	refusedPause = 2500 * time.Millisecond
)

// A Count is the number of endpoints in a zone that take requests.
type Count struct {
	OnDemand int `json:"onDemand"`
	Spot     int `json:"spot"`
}

// A State is what is known of a service.
type State struct {
	Plan wick.ScalingPlan
	// Live counts the endpoints by zone. Every zone of the plan's prices may
	// be missing.
	Live map[wick.Zone]Count
	// Work is the endpoints' time that requests take, in seconds a second; it
	// is negative if unknown.
	Work float64
	// Found is the number of endpoints that the first holder of the duty
	// found, 0 if unknown.
	Found int
	Now   time.Time
}

// A slot names one number that can be ordered.
type slot struct {
	zone wick.Zone
	spot bool
}

// An order is the last order of a slot.
type order struct {
	count int
	at    time.Time
	// refusedAt is when the platform had nothing to give, zero otherwise.
	refusedAt time.Time
}

// A Planner decides for one service. Its zero value is ready to use; one
// goroutine uses it.
type Planner struct {
	orders map[slot]order
	// found is State.Found, or else the most endpoints seen in settleTime.
	found int
	// since is when the planner began; settled is set once found is final.
	since   time.Time
	settled bool
	// need is the number of endpoints aimed at, lowerSince since when the load
	// has asked for fewer, and shrunk when it was last lowered.
	need       int
	lowerSince time.Time
	shrunk     time.Time
}

// Found returns the number of endpoints that were found at the start, 0 if it
// is not settled.
func (plr *Planner) Found() int {
	if !plr.settled {
		return 0
	}
	return plr.found
}

// Need returns the number of endpoints aimed at, spare ones left out.
func (plr *Planner) Need() int { return plr.need }

// Plan returns the orders that are due.
func (plr *Planner) Plan(svc wick.Service, sta State) []wick.ScaleOrder {
	if plr.orders == nil {
		plr.orders = make(map[slot]order)
	}
	zones := byPrice(sta.Plan)
	plr.observe(sta)
	if len(zones) == 0 || !plr.settled && sta.Now.Sub(plr.since) < firstOrder {
		return nil
	}
	plr.setNeed(sta, len(zones))
	want := plr.want(sta, zones)
	_, spots := sta.total()
	surplus := spots > want.spots
	var out []wick.ScaleOrder
	for _, slt := range slots(zones) {
		num := want.count[slt]
		if plr.due(slt, num, surplus, sta) {
			plr.orders[slt] = order{count: num, at: sta.Now}
			out = append(out, wick.ScaleOrder{Service: svc, Zone: slt.zone, Count: num, Reclaimable: slt.spot})
		}
	}
	return out
}

// observe learns how many endpoints there were at the start. Reclaimable ones
// count only until the first order, which is for such.
func (plr *Planner) observe(sta State) {
	if plr.since.IsZero() {
		plr.since = sta.Now
	}
	if sta.Found > 0 {
		plr.found, plr.settled = sta.Found, true
	}
	if plr.settled {
		return
	}
	num, spot := sta.total()
	if plr.need == 0 {
		num += spot
	}
	plr.found = max(plr.found, num)
	plr.settled = sta.Now.Sub(plr.since) >= settleTime
}

// Refused notes that the platform had nothing to give for an order.
func (plr *Planner) Refused(ord wick.ScaleOrder, now time.Time) {
	slt := slot{ord.Zone, ord.Reclaimable}
	plr.orders[slt] = order{count: ord.Count, at: now, refusedAt: now}
}

// Failed notes that an order may not have reached the platform.
func (plr *Planner) Failed(ord wick.ScaleOrder) {
	delete(plr.orders, slot{ord.Zone, ord.Reclaimable})
}

// byPrice returns the zones of a plan, the cheapest first.
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

func slots(zones []wick.Zone) []slot {
	out := make([]slot, 0, 2*len(zones))
	for _, zone := range zones {
		out = append(out, slot{zone, true}, slot{zone, false})
	}
	return out
}

// total returns the live endpoints of both kinds.
func (sta *State) total() (onDemand, spot int) {
	for _, cnt := range sta.Live {
		onDemand += cnt.OnDemand
		spot += cnt.Spot
	}
	return onDemand, spot
}

// setNeed follows the load: up at once, down after a time.
func (plr *Planner) setNeed(sta State, zones int) {
	floor := int(math.Ceil(floorShare * float64(plr.found)))
	lowest := max(sta.Plan.Min*zones, floor, 1)
	highest := max(sta.Plan.Max, 1) * zones
	need := int(math.Ceil(sta.Work / targetUse))
	if sta.Work < 0 {
		need = max(plr.need, int(coldShare*float64(plr.found)))
	}
	need = min(max(need, lowest), highest)
	switch {
	case plr.need == 0 || need >= plr.need:
		plr.need, plr.lowerSince = need, time.Time{}
	case plr.lowerSince.IsZero():
		plr.lowerSince = sta.Now
	case sta.Now.Sub(plr.lowerSince) >= shrinkAfter && sta.Now.Sub(plr.shrunk) >= shrinkEvery:
		step := max(int(shrinkPart*float64(plr.need)), 1)
		plr.need, plr.shrunk = max(plr.need-step, need), sta.Now
	}
}
