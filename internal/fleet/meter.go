package fleet

import (
	"math"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// lostTimeout is the failure-detection timeout of a VM that is missing from
	// the VM list and returns no load report. The stop order that follows makes
	// sure that it has terminated.
	lostTimeout = 10 * time.Second
	// unlistedTimeout is the time since the start after which a VM that was
	// never listed is considered lost.
	unlistedTimeout = 15 * time.Minute
	// targetUtilisation is the planned share of busy slots. Above it, small
	// increases in load make queues grow quickly.
	targetUtilisation = 0.7
	// riseTimeConstant and fallTimeConstant smooth the demand. It rises faster
	// than it falls, since a start takes minutes and a surplus VM costs little.
	riseTimeConstant = 20 * time.Second
	fallTimeConstant = 10 * time.Minute
	// prefillTokensPerSecond is the assumed processing rate of queued prefill.
	prefillTokensPerSecond = 8000
)

// A Meter estimates the demand of a service and detects lost VMs. Its zero value
// is ready to use.
type Meter struct {
	demand     float64
	observedAt time.Time
	lastSeen   map[wick.VMID]time.Time
	// lastCheck is when lastSeen was last updated.
	lastCheck time.Time
}

// Observe updates the demand from the load reports of one round and returns the
// required capacity in concurrent calls. target is the service's target for the
// time to first token.
func (mtr *Meter) Observe(now time.Time, reps map[wick.VMID]wick.LoadReport, target time.Duration) int {
	var sample float64
	for _, rep := range reps {
		sample += float64(rep.Running + rep.Waiting)
		wait := time.Duration(float64(rep.PrefillTokens) / prefillTokensPerSecond * float64(time.Second))
		if target > 0 && wait > target/2 {
			// A prefill queue that consumes half of the latency target requires
			// more endpoints, even if slots are free.
			sample += float64(rep.Slots) * min(1, wait.Seconds()/target.Seconds())
		}
	}
	switch elapsed := now.Sub(mtr.observedAt); {
	case mtr.observedAt.IsZero():
		mtr.demand = sample
	case sample > mtr.demand:
		mtr.demand += (sample - mtr.demand) * (1 - math.Exp(-elapsed.Seconds()/riseTimeConstant.Seconds()))
	default:
		mtr.demand += (sample - mtr.demand) * (1 - math.Exp(-elapsed.Seconds()/fallTimeConstant.Seconds()))
	}
	mtr.observedAt = now
	return mtr.Need()
}

// Need returns the required capacity in concurrent calls.
func (mtr *Meter) Need() int { return int(math.Ceil(mtr.demand/targetUtilisation - 1e-9)) }

// Lost returns the record's VMs that exceeded their failure-detection timeout.
// now must be a time before the VM list was read.
func (mtr *Meter) Lost(now time.Time, rec *Record, vms []wick.VM, reps map[wick.VMID]wick.LoadReport) map[wick.VMID]bool {
	next := make(map[wick.VMID]time.Time)
	// After a pause of this process, the timeouts start again.
	paused := now.Sub(mtr.lastCheck) > lostTimeout/2
	listed := make(map[wick.VMID]bool, len(vms))
	for idx := range vms {
		listed[vms[idx].ID] = true
	}
	out := make(map[wick.VMID]bool)
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.VM == "" {
			continue
		}
		last, known := mtr.lastSeen[slt.VM]
		if _, ok := reps[slt.VM]; ok || listed[slt.VM] || !known || paused {
			last = now
		}
		next[slt.VM] = last
		if slt.Listed && now.Sub(last) >= lostTimeout || !slt.Listed && now.Sub(slt.At) >= unlistedTimeout {
			out[slt.VM] = true
		}
	}
	mtr.lastSeen, mtr.lastCheck = next, now
	return out
}
