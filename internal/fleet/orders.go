package fleet

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Orders are the pending orders of a record. Each is idempotent.
type Orders struct {
	Starts []wick.StartOrder
	Stops  []wick.VMID
	// Engine orders have no fencing token yet; the Runner adds it.
	Engine []EngineOrder
}

// An EngineOrder is an order to one engine.
type EngineOrder struct {
	VM    wick.VM
	Order wick.Order
}

// PendingOrders returns the orders of the record that are not confirmed yet. A
// drain is confirmed when the load report shows that the endpoint is leaving.
func PendingOrders(rec *Record, inp *Input) Orders {
	var out Orders
	listed := make(map[wick.VMID]wick.VM, len(inp.VMs))
	for _, vm := range inp.VMs {
		listed[vm.ID] = vm
	}
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		switch slt.State {
		case StateOrdered:
			out.Starts = append(out.Starts, wick.StartOrder{
				Token: slt.Token, Zone: slt.Zone, Class: slt.Class, Service: rec.Service,
				Version: slt.Version, Reclaimable: slt.Reclaimable,
			})
		case StateStopping:
			out.Stops = append(out.Stops, slt.VM)
		case StateDraining:
			if vm, ok := listed[slt.VM]; ok && !inp.Reports[slt.VM].Leaving {
				out.Engine = append(out.Engine, EngineOrder{VM: vm, Order: wick.Order{Kind: wick.OrderDrain}})
			}
		default:
		}
	}
	for _, tsk := range rec.Tasks {
		vm, ok := listed[tsk.VM]
		if !ok || tsk.Kind == wick.OrderUnload && inp.Referenced[tsk.Version] {
			continue
		}
		out.Engine = append(out.Engine, EngineOrder{VM: vm, Order: wick.Order{Kind: tsk.Kind, Version: tsk.Version}})
	}
	return out
}

// A Result is the cloud's response to one start or stop order. A Token with a
// zero VM means that the start was refused.
type Result struct {
	Token string
	Pool  Pool
	VM    wick.VM
	// Terminated is a VM that was stopped or no longer exists.
	Terminated wick.VMID
}

// ApplyResults returns the record updated with the results, and whether it
// changed. Results of orders that are no longer pending are ignored, except a
// start after a refusal: that VM exists.
func ApplyResults(rec Record, ress []Result, now time.Time) (Record, bool) {
	next := rec.clone()
	changed := false
	for idx := range ress {
		res := &ress[idx]
		switch {
		case res.Terminated != "":
			changed = next.applyStop(res.Terminated, now) || changed
		case res.VM.ID != "":
			changed = next.applyStart(res, now) || changed
		default:
			changed = next.applyRefusal(res, now) || changed
		}
	}
	return next, changed
}

func (rec *Record) applyStop(vid wick.VMID, now time.Time) bool {
	num := len(rec.Slots)
	rec.Slots = slices.DeleteFunc(rec.Slots, func(slt Slot) bool { return slt.VM == vid && slt.State == StateStopping })
	if len(rec.Slots) == num {
		return false
	}
	rec.Tombstones = append(rec.Tombstones, Tombstone{VM: vid, At: now})
	return true
}

func (rec *Record) applyStart(res *Result, now time.Time) bool {
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.Token != res.Token || slt.State != StateOrdered && slt.State != StateIdle {
			continue
		}
		// The VM may have been started by an earlier order for another pool.
		slt.Pool, slt.VM, slt.State, slt.At = poolOf(&res.VM), res.VM.ID, StateStarted, now
		rec.ensureHistory(slt.Pool).Streak = 0
		return true
	}
	return false
}

func (rec *Record) applyRefusal(res *Result, now time.Time) bool {
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.Token == res.Token && slt.State == StateOrdered && slt.Pool == res.Pool {
			slt.State, slt.At = StateIdle, now
			rec.recordRefusal(res.Pool, now)
			return true
		}
	}
	return false
}
