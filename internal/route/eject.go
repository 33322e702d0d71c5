package route

import "time"

// maxEjected bounds the share of a pool that is ejected. More failures than
// that point to a cause outside of the endpoints.
const maxEjected = 0.3

// eject takes a failing endpoint out for a while unless too many are out.
func (tab *Table) eject(ep *endpoint, now time.Time) {
	tab.ejectMu.Lock()
	defer tab.ejectMu.Unlock()
	ep.shd.mu.Lock()
	vm := ep.vm
	ep.shd.mu.Unlock()
	pools := *tab.pools.Load()
	keys := make([]poolKey, 0, 1+len(vm.Versions))
	keys = append(keys, poolKey{service: vm.Service})
	for _, ver := range vm.Versions {
		keys = append(keys, poolKey{service: vm.Service, version: ver})
	}
	for _, key := range keys {
		if pl := pools[key]; pl != nil && !pl.mayEject() {
			return
		}
	}
	ep.shd.mu.Lock()
	defer ep.shd.mu.Unlock()
	if ep.state != StateSuspect {
		return
	}
	tab.fire(ep, trigEject)
	ep.ejectedUntil = now.Add(min(firstEject<<min(ep.ejections, 4), longestEject))
	ep.ejections++
}

// mayEject reports whether one more endpoint of the pool may be ejected. One of
// three may be, so that small pools can still lose a broken one.
func (pl *pool) mayEject() bool {
	if len(pl.all) < 3 {
		return false
	}
	ejected := 0
	for _, ep := range pl.all {
		ep.shd.mu.Lock()
		if ep.state == StateEjected {
			ejected++
		}
		ep.shd.mu.Unlock()
	}
	return ejected+1 <= max(1, int(maxEjected*float64(len(pl.all))))
}
