// Package fleet scales the VMs that run a service's endpoints and decides which
// model versions they load. Only store.go and runner.go do I/O.
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

// States of a slot. A draining or stopping slot never returns to an earlier
// state, so that orders sent by a previous holder of the duty remain valid.
const (
	// StateIdle means that the cloud refused the slot's start order.
	StateIdle State = "idle"
	// StateOrdered means that a start order may have been sent.
	StateOrdered State = "ordered"
	StateStarted State = "started"
	// StateLeaving means that the cloud is reclaiming the VM.
	StateLeaving  State = "leaving"
	StateDraining State = "draining"
	StateStopping State = "stopping"
)

// A Slot is a reservation for one VM.
type Slot struct {
	// Token is the idempotency key of the slot's start order. It is reused
	// after a refusal, so that an order still in flight from a previous holder
	// can't start a second VM. It is "" for an adopted VM.
	Token string `json:"token,omitempty"`
	State State  `json:"state"`
	Pool
	// Version is the model version that the VM loads at startup.
	Version wick.ModelVersion `json:"version,omitempty"`
	VM      wick.VMID         `json:"vm,omitempty"`
	// Listed is set once the cloud's VM list has included the VM.
	Listed bool `json:"seen,omitempty"`
	// At is when the slot entered its state.
	At time.Time `json:"at"`
}

// unlistedCapacityTimeout is how long a started VM counts as capacity before the
// cloud's VM list includes it. It may have been reclaimed before it was listed.
const unlistedCapacityTimeout = 5 * time.Minute

// provisioned reports whether the slot counts as running or ordered capacity.
func (slt *Slot) provisioned(now time.Time) bool {
	switch slt.State {
	case StateOrdered:
		return true
	case StateStarted:
		return slt.Listed || now.Sub(slt.At) < unlistedCapacityTimeout
	default:
		return false
	}
}

// A History records the refusals, reclaims and prices observed for a pool.
type History struct {
	Pool
	// Refused and Reclaimed are event counts with exponential decay up to At.
	Refused   float64   `json:"refused"`
	Reclaimed float64   `json:"reclaimed"`
	At        time.Time `json:"at"`
	// Streak is the number of consecutive refusals since the last successful
	// start.
	Streak  int       `json:"streak,omitempty"`
	RetryAt time.Time `json:"retryAt,omitzero"`
	// ReclaimAt is the time of the last counted reclaim.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	// Price is the last observed price, PriceAt the time of that observation.
	Price   wick.Price `json:"price,omitempty"`
	PriceAt time.Time  `json:"priceAt,omitzero"`
}

// A Task is a load or unload order that an engine has not confirmed yet.
type Task struct {
	Kind    wick.OrderKind    `json:"kind"`
	VM      wick.VMID         `json:"vm"`
	Version wick.ModelVersion `json:"version"`
	At      time.Time         `json:"at"`
}

// A Tombstone marks a terminated VM, which a stale VM list may still include.
type Tombstone struct {
	VM wick.VMID `json:"vm"`
	At time.Time `json:"at"`
}

// A Record is the stored state of a service's fleet. Every order is written to
// the record before it is sent.
type Record struct {
	Service wick.Service `json:"service"`
	// Slots that are not idle never exceed the bundle's maximum, unless the
	// maximum was lowered or VMs were adopted.
	Slots      []Slot      `json:"slots"`
	History    []History   `json:"history,omitempty"`
	Tasks      []Task      `json:"tasks,omitempty"`
	Tombstones []Tombstone `json:"ended,omitempty"`
	// TokenPrefix is unique to this record, so that the tokens of a deleted
	// record are never reused. TokensIssued counts the tokens.
	TokenPrefix  string `json:"series"`
	TokensIssued uint64 `json:"issued"`
	// NextLoad is the earliest time of the next load from the weight store.
	NextLoad time.Time `json:"nextLoad,omitzero"`
	// SurplusSince is when capacity became surplus, or zero if there is none.
	SurplusSince time.Time `json:"surplusSince,omitzero"`
	// SwapAt is the time of the last start that was made for a lower price.
	SwapAt  time.Time    `json:"swapAt,omitzero"`
	Holder  wick.EntryID `json:"holder"`
	Fence   wick.Fence   `json:"fence"`
	WriteID wick.WriteID `json:"writeId"`
}

func (rec *Record) clone() Record {
	out := *rec
	out.Slots, out.History = slices.Clone(rec.Slots), slices.Clone(rec.History)
	out.Tasks, out.Tombstones = slices.Clone(rec.Tasks), slices.Clone(rec.Tombstones)
	return out
}

// OccupiedSlots returns the number of slots that may have a VM.
func (rec *Record) OccupiedSlots() int {
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

// Headroom returns by how much the running and ordered capacity exceeds the
// need after the loss of the zone with the most capacity. A single zone is not
// assumed to fail.
func (rec *Record) Headroom(inp *Input) int {
	total, worst := 0, 0
	zones := make(map[wick.Zone]int)
	for idx := range rec.Slots {
		if slt := &rec.Slots[idx]; slt.provisioned(inp.Now) {
			total += inp.concurrency(slt.Class)
			zones[slt.Zone] += inp.concurrency(slt.Class)
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

// An Input is the observed state that a step decides on.
type Input struct {
	Now     time.Time
	Zones   []wick.Zone
	Offers  []bundle.Offer
	Service bundle.FleetService
	Classes map[wick.Class]bundle.Class
	// Active is the version that new VMs load at startup.
	Active wick.ModelVersion
	// Required are the versions that every endpoint must have, the most urgent
	// first.
	Required []wick.ModelVersion
	// Referenced are the versions in the bundle, which must not be unloaded.
	Referenced map[wick.ModelVersion]bool
	// AllowUnload permits unloading versions that are not in Referenced.
	AllowUnload bool
	// Need is the required capacity in concurrent calls.
	Need int
	// VMs are the service's endpoints in the cloud's VM list.
	VMs []wick.VM
	// Reports are the load reports read in this round.
	Reports map[wick.VMID]wick.LoadReport
	// Lost are the VMs that failure detection considers lost, see Meter.Lost.
	Lost map[wick.VMID]bool
	// LoadTime is how long loading one version from the weight store takes.
	LoadTime time.Duration
}

// concurrency returns how many concurrent calls an endpoint of a class runs.
func (inp *Input) concurrency(cls wick.Class) int { return max(inp.Classes[cls].Slots, 1) }

const (
	// decayHalfLife applies to the counts of reclaims and refusals: conditions
	// in a zone last for hours, and an old wave of reclaims should not affect
	// decisions on the next day.
	decayHalfLife = time.Hour
	// priceTTL is how long an observed price is used. A pool without VMs yields
	// no new prices, so a high one would otherwise exclude it forever.
	priceTTL = 30 * time.Minute
	// priceWriteInterval limits how often an unchanged price is written.
	priceWriteInterval = 10 * time.Minute
	// reclaimWaveWindow is the time within which reclaims count as one event.
	reclaimWaveWindow = time.Minute
	// reclaimCostHours is the cost of a reclaim in hours of the VM's price: the
	// startup of the replacement and the work that is recomputed.
	reclaimCostHours = 0.25
	// refusalPenalty is the share of the price added per recent refusal, since a
	// refused start delays the scale-up.
	refusalPenalty = 0.1
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
)

// ensureHistory returns the history of a pool and adds it if it is missing.
func (rec *Record) ensureHistory(pool Pool) *History {
	for idx := range rec.History {
		if rec.History[idx].Pool == pool {
			return &rec.History[idx]
		}
	}
	rec.History = append(rec.History, History{Pool: pool})
	return &rec.History[len(rec.History)-1]
}

// decayedHistory returns a copy of a pool's history, decayed to now.
func (rec *Record) decayedHistory(pool Pool, now time.Time) History {
	for idx := range rec.History {
		if rec.History[idx].Pool == pool {
			return rec.History[idx].decayed(now)
		}
	}
	return History{Pool: pool}
}

func (his History) decayed(now time.Time) History {
	if elapsed := now.Sub(his.At); elapsed > 0 && !his.At.IsZero() {
		factor := math.Exp2(-elapsed.Hours() / decayHalfLife.Hours())
		his.Refused *= factor
		his.Reclaimed *= factor
	}
	his.At = now
	return his
}

// recordRefusal counts a refusal and sets the exponential backoff of the pool.
func (rec *Record) recordRefusal(pool Pool, now time.Time) {
	his := rec.ensureHistory(pool)
	*his = his.decayed(now)
	his.Refused++
	his.RetryAt = now.Add(min(initialBackoff<<min(his.Streak, 8), maxBackoff))
	his.Streak++
}

// recordReclaim counts a reclaim, once per wave of reclaims.
func (rec *Record) recordReclaim(pool Pool, now time.Time) {
	his := rec.ensureHistory(pool)
	if !his.ReclaimAt.IsZero() && now.Sub(his.ReclaimAt) < reclaimWaveWindow {
		return
	}
	*his = his.decayed(now)
	his.Reclaimed++
	his.ReclaimAt = now
}

// currentPrice returns the last observed price of a pool, or the offer's price
// if there is no recent one.
func (rec *Record) currentPrice(pool Pool, offer wick.Price, now time.Time) wick.Price {
	his := rec.decayedHistory(pool, now)
	if his.Price > 0 && now.Sub(his.PriceAt) < priceTTL {
		return his.Price
	}
	return offer
}

// riskAdjustedCost returns the hourly cost of a VM of a pool, including the
// expected cost of reclaims and refusals.
func (rec *Record) riskAdjustedCost(pool Pool, offer wick.Price, now time.Time) float64 {
	his := rec.decayedHistory(pool, now)
	// The decaying weight of an event integrates to decayHalfLife/ln 2, so this
	// is the average rate of reclaims.
	perHour := his.Reclaimed * math.Ln2 / decayHalfLife.Hours()
	return float64(rec.currentPrice(pool, offer, now)) * (1 + perHour*reclaimCostHours + his.Refused*refusalPenalty)
}

// zones returns the zones of the input and of the provisioned VMs, sorted.
func (pln *planner) zones() []wick.Zone {
	set := make(map[wick.Zone]bool)
	for _, zone := range pln.inp.Zones {
		set[zone] = true
	}
	for zone := range pln.provisioned {
		set[zone] = true
	}
	return slices.Sorted(maps.Keys(set))
}
