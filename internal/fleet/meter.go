package fleet

import (
	"math"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// lostAfter is when a VM that neither the list nor its load report shows
	// is taken as ended. The stop that follows settles it.
	lostAfter = 10 * time.Second
	// unseenAfter is the same for a VM that the list has never shown.
	unseenAfter = 15 * time.Minute
	// utilisation is the planned share of busy slots. Above it, queues grow
	// quickly with small changes of the load.
	utilisation = 0.7
	// riseTime and fallTime smooth the demand: quick up, slow down, since a
	// start takes minutes and a VM too many costs little.
	riseTime = 20 * time.Second
	fallTime = 10 * time.Minute
	// prefillRate is assumed for queued prefill, in tokens a second.
	prefillRate = 8000
)

// A Meter measures the demand of a service and which VMs still show a sign of
// life. Its zero value is ready to use.
type Meter struct {
	demand float64
	at     time.Time
	seen   map[wick.VMID]time.Time
	// looked is when seen was last updated.
	looked time.Time
}

// Observe takes the load reports of one round and returns the wanted capacity
// in calls at once. target is the service's target for the first token.
func (mtr *Meter) Observe(now time.Time, reps map[wick.VMID]wick.LoadReport, target time.Duration) int {
	var sample float64
	for _, rep := range reps {
		sample += float64(rep.Running + rep.Waiting)
		wait := time.Duration(float64(rep.PrefillTokens) / prefillRate * float64(time.Second))
		if target > 0 && wait > target/2 {
			// A prefill queue that uses up the target needs other endpoints,
			// though slots may be free.
			sample += float64(rep.Slots) * min(1, wait.Seconds()/target.Seconds())
		}
	}
	switch past := now.Sub(mtr.at); {
	case mtr.at.IsZero():
		mtr.demand = sample
	case sample > mtr.demand:
		mtr.demand += (sample - mtr.demand) * (1 - math.Exp(-past.Seconds()/riseTime.Seconds()))
	default:
		mtr.demand += (sample - mtr.demand) * (1 - math.Exp(-past.Seconds()/fallTime.Seconds()))
	}
	mtr.at = now
	return mtr.Need()
}

// Need returns the wanted capacity in calls at once.
func (mtr *Meter) Need() int { return int(math.Ceil(mtr.demand/utilisation - 1e-9)) }

// Lost returns the record's VMs that have shown no sign of life for too long.
// The time must be from before the list was read.
func (mtr *Meter) Lost(now time.Time, rec *Record, vms []wick.VM, reps map[wick.VMID]wick.LoadReport) map[wick.VMID]bool {
	next := make(map[wick.VMID]time.Time)
	// After a pause of this process the silence counts from now.
	paused := now.Sub(mtr.looked) > lostAfter/2
	shown := make(map[wick.VMID]bool, len(vms))
	for idx := range vms {
		shown[vms[idx].ID] = true
	}
	out := make(map[wick.VMID]bool)
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.VM == "" {
			continue
		}
		last, known := mtr.seen[slt.VM]
		if _, ok := reps[slt.VM]; ok || shown[slt.VM] || !known || paused {
			last = now
		}
		next[slt.VM] = last
		if slt.Seen && now.Sub(last) >= lostAfter || !slt.Seen && now.Sub(slt.At) >= unseenAfter {
			out[slt.VM] = true
		}
	}
	mtr.seen, mtr.looked = next, now
	return out
}
