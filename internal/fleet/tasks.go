package fleet

import (
	"slices"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// updateTasks removes the tasks that the load reports confirm and adds new ones.
// Loads are serialised, so that they don't compete with each other and with
// starting VMs for the bandwidth of the weight store.
func (pln *planner) updateTasks() {
	kept := slices.DeleteFunc(pln.rec.Tasks, pln.taskDone)
	pln.changed = pln.changed || len(kept) != len(pln.rec.Tasks)
	pln.rec.Tasks = kept
	pln.beginLoad()
	pln.beginUnloads()
}

// startedSlot returns the slot of a VM if it is in StateStarted, or nil.
func (pln *planner) startedSlot(vid wick.VMID) *Slot {
	for idx := range pln.rec.Slots {
		if slt := &pln.rec.Slots[idx]; slt.VM == vid && slt.State == StateStarted {
			return slt
		}
	}
	return nil
}

// taskDone reports whether a task is confirmed or no longer required.
func (pln *planner) taskDone(tsk Task) bool {
	if pln.startedSlot(tsk.VM) == nil {
		return true
	}
	rep, ok := pln.inp.Reports[tsk.VM]
	confirmed := ok && rep.At.After(tsk.At)
	has := slices.Contains(rep.Versions, tsk.Version)
	if tsk.Kind == wick.OrderUnload {
		return pln.inp.Referenced[tsk.Version] || confirmed && !has
	}
	return confirmed && has || !slices.Contains(pln.inp.Required, tsk.Version)
}

func (pln *planner) hasTask(vid wick.VMID, ver wick.ModelVersion) bool {
	return slices.ContainsFunc(pln.rec.Tasks, func(tsk Task) bool { return tsk.VM == vid && tsk.Version == ver })
}

// beginLoad adds a task for the most urgent load: versions in the order of
// Required, and for each version the zone with the fewest endpoints that have it
// first, so that a move can begin early in every zone.
func (pln *planner) beginLoad() {
	if pln.inp.Now.Before(pln.rec.NextLoad) {
		return
	}
	for _, ver := range pln.inp.Required {
		if vid := pln.nextLoadTarget(ver); vid != "" {
			pln.rec.Tasks = append(pln.rec.Tasks, Task{Kind: wick.OrderLoad, VM: vid, Version: ver, At: pln.inp.Now})
			pln.rec.NextLoad = pln.inp.Now.Add(pln.inp.LoadTime)
			pln.changed = true
			return
		}
	}
}

// nextLoadTarget returns the endpoint that should load the version next, or "".
func (pln *planner) nextLoadTarget(ver wick.ModelVersion) wick.VMID {
	loaded := make(map[wick.Zone]int)
	var candidates []*Slot
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.State != StateStarted {
			continue
		}
		rep, ok := pln.inp.Reports[slt.VM]
		switch {
		case ok && slices.Contains(rep.Versions, ver) || pln.hasTask(slt.VM, ver):
			loaded[slt.Zone]++
		case ok && !rep.Leaving:
			candidates = append(candidates, slt)
		}
	}
	var target *Slot
	for _, slt := range candidates {
		if target == nil || loaded[slt.Zone] < loaded[target.Zone] {
			target = slt
		}
	}
	if target == nil {
		return ""
	}
	return target.VM
}

// beginUnloads adds tasks that unload unreferenced versions. Only engines that
// check fencing tokens receive such orders: at others, an order in flight from a
// previous holder could take effect after a later bundle references the version
// again.
func (pln *planner) beginUnloads() {
	if !pln.inp.AllowUnload {
		return
	}
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		rep, ok := pln.inp.Reports[slt.VM]
		if slt.State != StateStarted || !ok || !pln.inp.Classes[slt.Class].ChecksFence {
			continue
		}
		for _, ver := range rep.Versions {
			if !pln.inp.Referenced[ver] && !pln.hasTask(slt.VM, ver) {
				pln.rec.Tasks = append(pln.rec.Tasks, Task{Kind: wick.OrderUnload, VM: slt.VM, Version: ver, At: pln.inp.Now})
				pln.changed = true
			}
		}
	}
}
