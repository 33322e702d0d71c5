package fleet

// Baseline returns the record after one decision of the reference policy that
// Step is compared with: a fixed number of on-demand VMs, balanced across the
// zones, each replaced when it is lost. The number is the service's maximum.
func Baseline(rec Record, inp Input) (Record, bool) {
	next := rec.clone()
	pln := &planner{rec: &next, inp: &inp}
	pln.expireTombstones()
	pln.classifyVMs()
	pln.applyObservations()
	pln.adopt()
	pln.sumCapacity()
	for pln.belowMax() {
		pool, ok := pln.bestPool(func(pool Pool, _ float64) float64 {
			if pool.Reclaimable {
				return 0
			}
			return 1 / float64(1+pln.provisioned[pool.Zone])
		})
		if !ok || !pln.orderStart(pool) {
			break
		}
	}
	return next, pln.changed
}
