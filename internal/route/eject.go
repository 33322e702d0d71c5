package route

import "time"

// maxEjectedShare bounds the share of a pool that is ejected at the same time.
// More failures than that point to a common cause outside the endpoints.
const maxEjectedShare = 0.3

// eject ejects a failing endpoint for a period that doubles with each ejection,
// up to maxEjection. It does nothing if one of the endpoint's pools may not lose
// another one.
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
	ep.ejectedUntil = now.Add(min(minEjection<<min(ep.ejections, 4), maxEjection))
	ep.ejections++
}

// mayEject reports whether one more endpoint of the pool may be ejected. Pools
// of at least three endpoints may always eject one, although maxEjectedShare
// alone would allow none in a pool of three.
func (pl *pool) mayEject() bool {
	if len(pl.eps) < 3 {
		return false
	}
	ejected := 0
	for _, ep := range pl.eps {
		ep.shd.mu.Lock()
		if ep.state == StateEjected {
			ejected++
		}
		ep.shd.mu.Unlock()
	}
	return ejected+1 <= max(1, int(maxEjectedShare*float64(len(pl.eps))))
}
