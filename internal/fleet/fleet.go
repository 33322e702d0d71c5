// Package fleet decides which VMs to hold for the endpoints of a service, and
// which versions they load. Only keeper.go and runner.go do I/O.
package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Pool is one kind of VM in one availability zone.
type Pool struct {
	Zone        wick.Zone  `json:"zone"`
	Class       wick.Class `json:"class"`
	Reclaimable bool       `json:"reclaimable"`
}

// A State is the state of a slot.
type State string

// States of a slot. A draining or stopping slot never goes back, so that the
// orders of an earlier holder stay right.
const (
	// StateIdle means that the cloud refused the slot's order.
	StateIdle State = "idle"
	// StateOrdered means that a start may have been ordered.
	StateOrdered State = "ordered"
	StateStarted State = "started"
	// StateLeaving means that the cloud reclaims the VM.
	StateLeaving  State = "leaving"
	StateDraining State = "draining"
	StateStopping State = "stopping"
)

// A Slot is the right to have one VM.
type Slot struct {
	// Token is the idempotency key of the slot's start order. It stays the
	// same after a refusal, so that an order still in the hands of an earlier
	// holder can't start a second VM. It is "" for a VM found on the list.
	Token string `json:"token,omitempty"`
	State State  `json:"state"`
	Pool
	// Version is loaded by the start.
	Version wick.ModelVersion `json:"version,omitempty"`
	VM      wick.VMID         `json:"vm,omitempty"`
	// Seen is set when the list has shown the VM.
	Seen bool `json:"seen,omitempty"`
	// At is when the state began.
	At time.Time `json:"at"`
}

// overdueAfter is when a VM that the list has not shown is no longer counted as
// capacity. It may have been reclaimed before the list showed it.
const overdueAfter = 5 * time.Minute

// granted tells whether the slot counts as capacity that is there or ordered.
func (slt *Slot) granted(now time.Time) bool {
	switch slt.State {
	case StateOrdered:
		return true
	case StateStarted:
		return slt.Seen || now.Sub(slt.At) < overdueAfter
	default:
		return false
	}
}

// A History is what is known of a pool.
type History struct {
	Pool
	// Refused and Reclaimed count events, decayed up to At.
	Refused   float64   `json:"refused"`
	Reclaimed float64   `json:"reclaimed"`
	At        time.Time `json:"at"`
	// Streak counts refusals since the last start.
	Streak  int       `json:"streak,omitempty"`
	RetryAt time.Time `json:"retryAt,omitzero"`
	// ReclaimAt is the last reclaim that was counted.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	// Price was last seen at PriceAt.
	Price   wick.Price `json:"price,omitempty"`
	PriceAt time.Time  `json:"priceAt,omitzero"`
}

// A Task is an order to an engine that is under way.
type Task struct {
	Kind    wick.OrderKind    `json:"kind"`
	VM      wick.VMID         `json:"vm"`
	Version wick.ModelVersion `json:"version"`
	At      time.Time         `json:"at"`
}

// An Ended is a VM that has ended. A lagging list may still show it.
type Ended struct {
	VM wick.VMID `json:"vm"`
	At time.Time `json:"at"`
}

// A Record is the object of a service's fleet. Every order is in the record
// before it is given.
type Record struct {
	Service wick.Service `json:"service"`
	// Slots that are not idle never exceed the bundle's maximum, unless the
	// maximum was lowered or VMs were found on the list.
	Slots   []Slot    `json:"slots"`
	History []History `json:"history,omitempty"`
	Tasks   []Task    `json:"tasks,omitempty"`
	Ended   []Ended   `json:"ended,omitempty"`
	// Series begins the tokens, so that those of a record that was deleted
	// don't come again. Issued counts them.
	Series string `json:"series"`
	Issued uint64 `json:"issued"`
	// NextLoad is when the weight store is free for the next load.
	NextLoad time.Time `json:"nextLoad,omitzero"`
	// SurplusSince is zero while nothing is surplus.
	SurplusSince time.Time `json:"surplusSince,omitzero"`
	// SwapAt is the last start that was made for its lower price.
	SwapAt  time.Time    `json:"swapAt,omitzero"`
	Holder  wick.EntryID `json:"holder"`
	Fence   wick.Fence   `json:"fence"`
	WriteID wick.WriteID `json:"writeId"`
}

func (rec *Record) clone() Record {
	out := *rec
	out.Slots, out.History = slices.Clone(rec.Slots), slices.Clone(rec.History)
	out.Tasks, out.Ended = slices.Clone(rec.Tasks), slices.Clone(rec.Ended)
	return out
}

// Held returns the number of slots that may have a VM.
func (rec *Record) Held() int {
	num := 0
	for idx := range rec.Slots {
		if rec.Slots[idx].State != StateIdle {
			num++
		}
	}
	return num
}

func (rec *Record) draining() int {
	num := 0
	for idx := range rec.Slots {
		if rec.Slots[idx].State == StateDraining {
			num++
		}
	}
	return num
}

// Spare returns by how much the capacity that is there or ordered exceeds the
// need after the loss of the worst zone. With one zone, nothing is lost.
func (rec *Record) Spare(inp *Input) int {
	total, worst := 0, 0
	zones := make(map[wick.Zone]int)
	for idx := range rec.Slots {
		if slt := &rec.Slots[idx]; slt.granted(inp.Now) {
			total += inp.slots(slt.Class)
			zones[slt.Zone] += inp.slots(slt.Class)
			worst = max(worst, zones[slt.Zone])
		}
	}
	for _, zone := range inp.Zones {
		zones[zone] += 0
	}
	if len(zones) == 1 {
		worst = 0
	}
	return total - worst - inp.Need
}

// An Input is what a step decides by.
type Input struct {
	Now     time.Time
	Zones   []wick.Zone
	Offers  []bundle.Offer
	Service bundle.FleetService
	Classes map[wick.Class]bundle.Class
	// Active is the version that new VMs load.
	Active wick.ModelVersion
	// Wanted are the versions that every endpoint must have, the most urgent
	// first.
	Wanted []wick.ModelVersion
	// Named are the versions that must not be unloaded.
	Named map[wick.ModelVersion]bool
	// Unload permits to unload versions that are not named.
	Unload bool
	// Need is the wanted capacity in calls at once.
	Need int
	// VMs are the service's endpoints on the list.
	VMs []wick.VM
	// Reports are load reports read in this round.
	Reports map[wick.VMID]wick.LoadReport
	// Lost are VMs that neither the list nor a load report has shown for
	// lostAfter.
	Lost map[wick.VMID]bool
	// LoadTime is how long the weight store needs for one version.
	LoadTime time.Duration
}

// slots returns the calls that an endpoint of a class runs at once.
func (inp *Input) slots(cls wick.Class) int { return max(inp.Classes[cls].Slots, 1) }

const (
	// halfLife is for reclaims and refusals: conditions in a zone last for
	// hours, and an old wave should not decide the next day.
	halfLife = time.Hour
	// priceAge is how long a seen price is used. A pool that nothing is held
	// in shows no price, so a high one would otherwise keep it out for good.
	priceAge = 30 * time.Minute
	// priceWrite bounds the writes of unchanged prices.
	priceWrite = 10 * time.Minute
	// waveTime joins the reclaims of one wave to one event.
	waveTime = time.Minute
	// reclaimHours is the cost of a reclaim in hours of the VM's price: the
	// replacement's start and the work that is computed again.
	reclaimHours = 0.25
	// refusedShare is added to the price per refusal in the last hour, since
	// a start that is refused costs time.
	refusedShare = 0.1
	firstBackoff = 5 * time.Second
	maxBackoff   = 5 * time.Minute
)

// at returns the history of a pool and adds it if it is missing.
func (rec *Record) at(pool Pool) *History {
	for idx := range rec.History {
		if rec.History[idx].Pool == pool {
			return &rec.History[idx]
		}
	}
	rec.History = append(rec.History, History{Pool: pool})
	return &rec.History[len(rec.History)-1]
}

// get returns the history of a pool decayed to now.
func (rec *Record) get(pool Pool, now time.Time) History {
	for idx := range rec.History {
		if rec.History[idx].Pool == pool {
			return rec.History[idx].decayed(now)
		}
	}
	return History{Pool: pool}
}

func (his History) decayed(now time.Time) History {
	if past := now.Sub(his.At); past > 0 && !his.At.IsZero() {
		part := math.Exp2(-past.Hours() / halfLife.Hours())
		his.Refused *= part
		his.Reclaimed *= part
	}
	his.At = now
	return his
}

// refused counts a refusal and sets the time of the next try.
func (rec *Record) refused(pool Pool, now time.Time) {
	his := rec.at(pool)
	*his = his.decayed(now)
	his.Refused++
	his.RetryAt = now.Add(min(firstBackoff<<min(his.Streak, 8), maxBackoff))
	his.Streak++
}

// reclaimed counts a reclaim, once per wave.
func (rec *Record) reclaimed(pool Pool, now time.Time) {
	his := rec.at(pool)
	if !his.ReclaimAt.IsZero() && now.Sub(his.ReclaimAt) < waveTime {
		return
	}
	*his = his.decayed(now)
	his.Reclaimed++
	his.ReclaimAt = now
}

// price returns the price of a pool: the last one seen, or the offer's.
func (rec *Record) price(pool Pool, offer wick.Price, now time.Time) wick.Price {
	his := rec.get(pool, now)
	if his.Price > 0 && now.Sub(his.PriceAt) < priceAge {
		return his.Price
	}
	return offer
}

// cost returns what a VM of a pool costs an hour with its risks counted in.
func (rec *Record) cost(pool Pool, offer wick.Price, now time.Time) float64 {
	his := rec.get(pool, now)
	// An event of weight 1 stays in the count for halfLife/ln 2 on average.
	perHour := his.Reclaimed * math.Ln2 / halfLife.Hours()
	return float64(rec.price(pool, offer, now)) * (1 + perHour*reclaimHours + his.Refused*refusedShare)
}

// zones returns the zones of the input and of the slots, sorted.
func (pln *planner) zones() []wick.Zone {
	set := make(map[wick.Zone]bool)
	for _, zone := range pln.inp.Zones {
		set[zone] = true
	}
	for zone := range pln.granted {
		set[zone] = true
	}
	return slices.Sorted(maps.Keys(set))
}
