package fleet

import "github.com/wagtailwick/wagtailwick/pkg/wick"

// A planner computes one step on a copy of a record.
type planner struct {
	rec     *Record
	inp     *Input
	changed bool
	// listed are the VMs in the cloud's VM list, without terminated ones.
	listed map[wick.VMID]*wick.VM
	// untracked are listed VMs without a slot.
	untracked []*wick.VM
	// provisioned is the running and ordered capacity per zone, in concurrent
	// calls; capacity is its sum.
	provisioned map[wick.Zone]int
	capacity    int
	// vmCount is the number of provisioned VMs.
	vmCount int
}

// Step returns the record after one decision, and whether it changed. The orders
// to send are derived from the record, see PendingOrders.
func Step(rec Record, inp Input) (Record, bool) {
	next := rec.clone()
	pln := &planner{rec: &next, inp: &inp}
	pln.expireTombstones()
	pln.classifyVMs()
	pln.applyObservations()
	pln.adopt()
	pln.sumCapacity()
	if !pln.scaleUp() {
		pln.scaleDown()
	}
	pln.updateTasks()
	return next, pln.changed
}
