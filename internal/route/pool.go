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
	// version. The entry polls the load reports of exactly these.
	subsetSize = 64
	// localShare of the subset is in the entry's zone if there are enough.
	localShare = 40
)

// A poolKey names a pool. A version of "" stands for all versions.
type poolKey struct {
	service wick.Service
	version wick.ModelVersion
}

// A pool is the subset of endpoints that the entry uses for a service and
// version. It is immutable but for next.
type pool struct {
	// all holds the endpoints of the entry's zone first.
	all []*endpoint
	// local is the number of endpoints in the entry's zone.
	local int
	// next is the position of the round robin.
	next atomic.Uint64
}

// A ranked endpoint has its place in the entry's random order.
type ranked struct {
	ep    *endpoint
	local bool
	hash  uint64
}

// rank orders endpoints by a hash of entry and endpoint, so that each entry has
// its own stable random subset.
func (tab *Table) rank(ep *endpoint, vm wick.VM) ranked {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], tab.seed)
	dig := xxhash.New()
	_, _ = dig.Write(seed[:])
	_, _ = dig.WriteString(string(vm.ID))
	return ranked{ep: ep, local: vm.Zone == tab.zone, hash: dig.Sum64()}
}

// subset picks the endpoints of a pool: the first of the entry's zone in the
// random order, then the first of all others.
func subset(list []ranked) *pool {
	sort.Slice(list, func(idx, jdx int) bool {
		if list[idx].local != list[jdx].local {
			return list[idx].local
		}
		return list[idx].hash < list[jdx].hash
	})
	locals := sort.Search(len(list), func(idx int) bool { return !list[idx].local })
	take := min(locals, max(localShare, subsetSize-(len(list)-locals)))
	pl := &pool{local: take}
	for _, rnk := range list[:take] {
		pl.all = append(pl.all, rnk.ep)
	}
	for _, rnk := range list[locals:] {
		if len(pl.all) >= subsetSize {
			break
		}
		pl.all = append(pl.all, rnk.ep)
	}
	return pl
}

// rebuild derives the pools from the endpoints. The caller holds feedMu.
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

// Watched returns the endpoints whose load reports and cache events the entry
// must read: those of all its subsets.
func (tab *Table) Watched() []wick.VM {
	seen := make(map[*endpoint]bool)
	var out []wick.VM
	for _, pl := range *tab.pools.Load() {
		for _, ep := range pl.all {
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
