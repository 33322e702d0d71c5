package fleet

// Baseline returns the record after a decision of the policy that Step is
// measured against: a fixed count of on-demand VMs, spread over the zones, each
// replaced when it is lost. The count is the service's maximum.
func Baseline(rec Record, inp Input) (Record, bool) {
	next := rec.clone()
	pln := &planner{rec: &next, inp: &inp}
	pln.expire()
	pln.look()
	pln.observe()
	pln.adopt()
	pln.tally()
	for pln.room() {
		pool, ok := pln.best(func(pool Pool, _ float64) float64 {
			if pool.Reclaimable {
				return 0
			}
			return 1 / float64(1+pln.granted[pool.Zone])
		})
		if !ok || !pln.order(pool) {
			break
		}
	}
	return next, pln.changed
}
