package fleet

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Orders are the orders that a record has under way. Each may be repeated.
type Orders struct {
	Starts []wick.StartOrder
	Stops  []wick.VMID
	// Engine orders carry no fencing number yet.
	Engine []EngineOrder
}

// An EngineOrder is an order to one engine.
type EngineOrder struct {
	VM    wick.VM
	Order wick.Order
}

// Under returns the orders that the record has under way. A drain ends when
// the load report shows it.
func Under(rec *Record, inp *Input) Orders {
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
		if !ok || tsk.Kind == wick.OrderUnload && inp.Named[tsk.Version] {
			continue
		}
		out.Engine = append(out.Engine, EngineOrder{VM: vm, Order: wick.Order{Kind: tsk.Kind, Version: tsk.Version}})
	}
	return out
}

// A Result is the cloud's answer to one start or stop. The zero value of VM
// with a Token means that the start was refused.
type Result struct {
	Token string
	Pool  Pool
	VM    wick.VM
	// Ended is a VM that was stopped or is gone.
	Ended wick.VMID
}

// Settle returns the record after results. A result that the record no longer
// asks for changes nothing.
func Settle(rec Record, ress []Result, now time.Time) (Record, bool) {
	next := rec.clone()
	changed := false
	for idx := range ress {
		res := &ress[idx]
		switch {
		case res.Ended != "":
			changed = next.ended(res.Ended, now) || changed
		case res.VM.ID != "":
			changed = next.started(res, now) || changed
		default:
			changed = next.turnedDown(res, now) || changed
		}
	}
	return next, changed
}

func (rec *Record) ended(vid wick.VMID, now time.Time) bool {
	num := len(rec.Slots)
	rec.Slots = slices.DeleteFunc(rec.Slots, func(slt Slot) bool { return slt.VM == vid && slt.State == StateStopping })
	if len(rec.Slots) == num {
		return false
	}
	rec.Ended = append(rec.Ended, Ended{VM: vid, At: now})
	return true
}

func (rec *Record) started(res *Result, now time.Time) bool {
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.Token != res.Token || slt.State != StateOrdered && slt.State != StateIdle {
			continue
		}
		// The VM may have been started by an earlier order with other terms.
		slt.Pool, slt.VM, slt.State, slt.At = poolOf(&res.VM), res.VM.ID, StateStarted, now
		rec.at(slt.Pool).Streak = 0
		return true
	}
	return false
}

func (rec *Record) turnedDown(res *Result, now time.Time) bool {
	for idx := range rec.Slots {
		slt := &rec.Slots[idx]
		if slt.Token == res.Token && slt.State == StateOrdered && slt.Pool == res.Pool {
			slt.State, slt.At = StateIdle, now
			rec.refused(res.Pool, now)
			return true
		}
	}
	return false
}
