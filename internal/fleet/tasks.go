package fleet

import (
	"slices"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// tasks ends the engine orders that the load reports confirm and begins new
// ones. Loads begin when the weight store is free, so that they don't slow
// down each other and the starts of VMs.
func (pln *planner) tasks() {
	kept := slices.DeleteFunc(pln.rec.Tasks, pln.over)
	pln.changed = pln.changed || len(kept) != len(pln.rec.Tasks)
	pln.rec.Tasks = kept
	pln.load()
	pln.unload()
}

// slot returns the started slot of a VM.
func (pln *planner) slot(vid wick.VMID) *Slot {
	for idx := range pln.rec.Slots {
		if slt := &pln.rec.Slots[idx]; slt.VM == vid && slt.State == StateStarted {
			return slt
		}
	}
	return nil
}

// over tells whether a task is done or no longer wanted.
func (pln *planner) over(tsk Task) bool {
	if pln.slot(tsk.VM) == nil {
		return true
	}
	rep, ok := pln.inp.Reports[tsk.VM]
	confirmed := ok && rep.At.After(tsk.At)
	has := slices.Contains(rep.Versions, tsk.Version)
	if tsk.Kind == wick.OrderUnload {
		return pln.inp.Named[tsk.Version] || confirmed && !has
	}
	return confirmed && has || !slices.Contains(pln.inp.Wanted, tsk.Version)
}

func (pln *planner) hasTask(vid wick.VMID, ver wick.ModelVersion) bool {
	return slices.ContainsFunc(pln.rec.Tasks, func(tsk Task) bool { return tsk.VM == vid && tsk.Version == ver })
}

// load begins the most urgent load: versions in the order of Wanted, and for
// each the zone with the fewest endpoints that have it first, so that a move
// can begin in every zone early.
func (pln *planner) load() {
	if pln.inp.Now.Before(pln.rec.NextLoad) {
		return
	}
	for _, ver := range pln.inp.Wanted {
		if vid := pln.next(ver); vid != "" {
			pln.rec.Tasks = append(pln.rec.Tasks, Task{Kind: wick.OrderLoad, VM: vid, Version: ver, At: pln.inp.Now})
			pln.rec.NextLoad = pln.inp.Now.Add(pln.inp.LoadTime)
			pln.changed = true
			return
		}
	}
}

// next returns the endpoint that should load the version next, or "".
func (pln *planner) next(ver wick.ModelVersion) wick.VMID {
	have := make(map[wick.Zone]int)
	var lack []*Slot
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		if slt.State != StateStarted {
			continue
		}
		rep, ok := pln.inp.Reports[slt.VM]
		switch {
		case ok && slices.Contains(rep.Versions, ver) || pln.hasTask(slt.VM, ver):
			have[slt.Zone]++
		case ok && !rep.Leaving:
			lack = append(lack, slt)
		}
	}
	var top *Slot
	for _, slt := range lack {
		if top == nil || have[slt.Zone] < have[top.Zone] {
			top = slt
		}
	}
	if top == nil {
		return ""
	}
	return top.VM
}

// unload begins to unload what nothing names. Only engines that check fencing
// numbers get such orders: at others, an order in the hands of an earlier
// holder could take effect after a later bundle names the version again.
func (pln *planner) unload() {
	if !pln.inp.Unload {
		return
	}
	for idx := range pln.rec.Slots {
		slt := &pln.rec.Slots[idx]
		rep, ok := pln.inp.Reports[slt.VM]
		if slt.State != StateStarted || !ok || !pln.inp.Classes[slt.Class].ChecksFence {
			continue
		}
		for _, ver := range rep.Versions {
			if !pln.inp.Named[ver] && !pln.hasTask(slt.VM, ver) {
				pln.rec.Tasks = append(pln.rec.Tasks, Task{Kind: wick.OrderUnload, VM: slt.VM, Version: ver, At: pln.inp.Now})
				pln.changed = true
			}
		}
	}
}
