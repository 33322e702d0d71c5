package route

import (
	"encoding/binary"
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// subsetSize bounds the endpoints that an entry uses per service and
	// version. The entry polls load reports from exactly these.
	subsetSize = 64
	// localReserve is the number of endpoints of a subset that are reserved
	// for the entry's zone, if the zone has that many.
	localReserve = 40
)

// A poolKey identifies a pool. A version of "" stands for all versions.
type poolKey struct {
	service wick.Service
	version wick.ModelVersion
}

// A pool is the subset of endpoints that the entry uses for a service and
// version. All fields but next are immutable.
type pool struct {
	// eps lists the endpoints of the entry's zone first.
	eps []*endpoint
	// localCount is the number of endpoints in the entry's zone.
	localCount int
	// next is the round-robin position.
	next atomic.Uint64
}

// A ranked is an endpoint with its position in the entry's pseudorandom order.
type ranked struct {
	ep    *endpoint
	local bool
	hash  uint64
}

// rank ranks an endpoint by a hash of the entry's and the endpoint's ids, so
// that each entry has its own stable pseudorandom subset.
func (tab *Table) rank(ep *endpoint, vm wick.VM) ranked {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], tab.seed)
	dig := xxhash.New()
	_, _ = dig.Write(seed[:])
	_, _ = dig.WriteString(string(vm.ID))
	return ranked{ep: ep, local: vm.Zone == tab.zone, hash: dig.Sum64()}
}

// subset selects the endpoints of a pool in the order of their hashes: those of
// the entry's zone first, then the others.
func subset(list []ranked) *pool {
	sort.Slice(list, func(idx, jdx int) bool {
		if list[idx].local != list[jdx].local {
			return list[idx].local
		}
		return list[idx].hash < list[jdx].hash
	})
	locals := sort.Search(len(list), func(idx int) bool { return !list[idx].local })
	localCount := min(locals, max(localReserve, subsetSize-(len(list)-locals)))
	pl := &pool{localCount: localCount}
	for _, rnk := range list[:localCount] {
		pl.eps = append(pl.eps, rnk.ep)
	}
	for _, rnk := range list[locals:] {
		if len(pl.eps) >= subsetSize {
			break
		}
		pl.eps = append(pl.eps, rnk.ep)
	}
	return pl
}

// rebuild derives the pools from the endpoints. The caller holds updateMu.
func (tab *Table) rebuild() {
	lists := make(map[poolKey][]ranked)
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			if ep.state == StateLeaving || ep.state == StateGone {
				continue
			}
			rnk := tab.rank(ep, ep.vm)
			key := poolKey{service: ep.vm.Service}
			lists[key] = append(lists[key], rnk)
			for _, ver := range ep.vm.Versions {
				if !tab.isStopped(ep.vm.Service, ver) {
					key.version = ver
					lists[key] = append(lists[key], rnk)
				}
			}
		}
		shd.mu.Unlock()
	}
	pools := make(map[poolKey]*pool, len(lists))
	for key, list := range lists {
		pools[key] = subset(list)
	}
	tab.pools.Store(&pools)
	tab.dirty.Store(false)
}

// PollTargets returns the endpoints whose load reports and cache events the entry
// must poll: those of all its pools.
func (tab *Table) PollTargets() []wick.VM {
	seen := make(map[*endpoint]bool)
	var out []wick.VM
	for _, pl := range *tab.pools.Load() {
		for _, ep := range pl.eps {
			if seen[ep] {
				continue
			}
			seen[ep] = true
			ep.shd.mu.Lock()
			if ep.state != StateGone {
				out = append(out, ep.vm)
			}
			ep.shd.mu.Unlock()
		}
	}
	return out
}
