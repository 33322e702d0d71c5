// Package pool chooses endpoints for requests that are passed through to them.
// It knows the endpoints that the platform's registry lists, the requests that
// this entry has in flight at each, and how their last requests ended. It does
// no I/O and takes the time as an argument.
package pool

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// missingGrace is how long an endpoint that is missing from the list after an
// outage of the store still serves as a last resort. Endpoints that are alive
// are listed again within 2 s.
const missingGrace = 2 * time.Second

// A Pool holds the endpoints of all services. Each service has its own lock.
type Pool struct {
	zone wick.Zone

	mu     sync.RWMutex
	groups map[wick.Service]*group
	// where tells the group that an endpoint is in.
	where map[wick.VMID]*group
}

// New returns an empty pool of an entry in a zone.
func New(zone wick.Zone) *Pool {
	return &Pool{zone: zone, groups: make(map[wick.Service]*group), where: make(map[wick.VMID]*group)}
}

// A group holds the endpoints of one service.
type group struct {
	mu  sync.Mutex
	eps map[wick.VMID]*endpoint
	// homes caches the order of endpoints by prompt part.
	homes map[homeKey]uint64
	// work sums the endpoints' time, requests the sends.
	work, requests meter
}

// Set adds or updates an endpoint.
func (pl *Pool) Set(bke wick.Backend, now time.Time) {
	pl.mu.Lock()
	grp := pl.groups[bke.Service]
	if grp == nil {
		grp = &group{eps: make(map[wick.VMID]*endpoint), homes: make(map[homeKey]uint64)}
		pl.groups[bke.Service] = grp
	}
	old := pl.where[bke.ID]
	pl.where[bke.ID] = grp
	pl.mu.Unlock()
	if old != nil && old != grp {
		old.remove(bke.ID)
	}
	grp.set(bke, now)
}

// Remove takes an endpoint out for good.
func (pl *Pool) Remove(vid wick.VMID) {
	pl.mu.Lock()
	grp := pl.where[vid]
	delete(pl.where, vid)
	pl.mu.Unlock()
	if grp != nil {
		grp.remove(vid)
	}
}

// Replace takes a whole list. Endpoints that are missing from it are removed,
// or kept as a last resort for a short time if they may have lapsed in an
// outage of the store.
func (pl *Pool) Replace(bkes []wick.Backend, afterOutage bool, now time.Time) {
	listed := make(map[wick.VMID]bool, len(bkes))
	for _, bke := range bkes {
		listed[bke.ID] = true
		pl.Set(bke, now)
	}
	for _, vid := range pl.missing(listed) {
		pl.Drop(vid, afterOutage, now)
	}
}

// Drop takes out an endpoint that is no longer listed. One that may have lapsed
// in an outage of the store stays as a last resort for a short time.
func (pl *Pool) Drop(vid wick.VMID, afterOutage bool, now time.Time) {
	if afterOutage {
		pl.suspect(vid, now.Add(missingGrace))
		return
	}
	pl.Remove(vid)
}

func (pl *Pool) missing(listed map[wick.VMID]bool) []wick.VMID {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	var out []wick.VMID
	for vid := range pl.where {
		if !listed[vid] {
			out = append(out, vid)
		}
	}
	return out
}

// suspect keeps an endpoint as a last resort until a time.
func (pl *Pool) suspect(vid wick.VMID, until time.Time) {
	grp := pl.groupOf(vid)
	if grp == nil {
		return
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if end := grp.eps[vid]; end != nil && end.missingUntil.IsZero() {
		end.missingUntil = until
	}
}

// Leave notes that a start of an endpoint takes no new requests, and reports
// whether that is news.
func (pl *Pool) Leave(vid wick.VMID, born int64) bool {
	grp := pl.groupOf(vid)
	if grp == nil {
		return false
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.eps[vid]
	if end == nil || end.bke.Born != born || end.bke.Leaving {
		return false
	}
	end.bke.Leaving = true
	end.notifyLeaving()
	return true
}

// Report takes an endpoint's own account of its load.
func (pl *Pool) Report(vid wick.VMID, rep Report) {
	grp := pl.groupOf(vid)
	if grp == nil {
		return
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if end := grp.eps[vid]; end != nil {
		end.report = rep
	}
}

// groupOf returns the group that an endpoint is in, or nil.
func (pl *Pool) groupOf(vid wick.VMID) *group {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.where[vid]
}

func (pl *Pool) group(svc wick.Service) *group {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.groups[svc]
}

// HasVersion reports whether an endpoint of a version takes requests.
func (pl *Pool) HasVersion(svc wick.Service, ver wick.ModelVersion) bool {
	grp := pl.group(svc)
	if grp == nil {
		return false
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	for _, end := range grp.eps {
		if end.bke.Version == ver && !end.bke.Leaving {
			return true
		}
	}
	return false
}

// Load returns the last report of an endpoint.
func (pl *Pool) Load(vid wick.VMID) (wick.BackendLoad, bool) {
	grp := pl.groupOf(vid)
	if grp == nil {
		return wick.BackendLoad{}, false
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.eps[vid]
	if end == nil || end.report.At.IsZero() {
		return wick.BackendLoad{}, false
	}
	return end.report.Load, true
}

// Backends returns the endpoints of a service that take requests.
func (pl *Pool) Backends(svc wick.Service) []wick.Backend {
	grp := pl.group(svc)
	if grp == nil {
		return nil
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	out := make([]wick.Backend, 0, len(grp.eps))
	for _, end := range grp.eps {
		if !end.bke.Leaving {
			out = append(out, end.bke)
		}
	}
	return out
}

// A Summary counts the endpoints of a service in a zone.
type Summary struct {
	Service wick.Service `json:"service"`
	Zone    wick.Zone    `json:"zone"`
	// Live endpoints take new requests; Leaving ones do not.
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	// InFlight requests were sent by this entry.
	InFlight int `json:"inFlight"`
	// Spot of the live endpoints are reclaimable.
	Spot int `json:"spot"`
}

// Summaries returns the counts by service and zone.
func (pl *Pool) Summaries() map[wick.Service]map[wick.Zone]Summary {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.Service]map[wick.Zone]Summary, len(pl.groups))
	for svc, grp := range pl.groups {
		out[svc] = grp.summary(svc)
	}
	return out
}

// Work returns the endpoints' time that this entry's requests take at each
// service, in seconds a second.
func (pl *Pool) Work(now time.Time) map[wick.Service]float64 {
	return pl.rates(now, func(grp *group) *meter { return &grp.work })
}

// Requests returns this entry's sends a second to each service.
func (pl *Pool) Requests(now time.Time) map[wick.Service]float64 {
	return pl.rates(now, func(grp *group) *meter { return &grp.requests })
}

func (pl *Pool) rates(now time.Time, of func(grp *group) *meter) map[wick.Service]float64 {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.Service]float64, len(pl.groups))
	for svc, grp := range pl.groups {
		grp.mu.Lock()
		if mtr := of(grp); mtr.sum > 0 {
			out[svc] = mtr.rate(now)
		}
		grp.mu.Unlock()
	}
	return out
}

func (grp *group) summary(svc wick.Service) map[wick.Zone]Summary {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	out := make(map[wick.Zone]Summary)
	for _, end := range grp.eps {
		sum := out[end.bke.Zone]
		sum.Service, sum.Zone = svc, end.bke.Zone
		sum.InFlight += end.inFlight
		switch {
		case end.bke.Leaving:
			sum.Leaving++
		case end.bke.Reclaimable:
			sum.Live, sum.Spot = sum.Live+1, sum.Spot+1
		default:
			sum.Live++
		}
		out[end.bke.Zone] = sum
	}
	return out
}

func (grp *group) set(bke wick.Backend, now time.Time) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.eps[bke.ID]
	if end == nil || end.bke.Born != bke.Born || end.bke.Address != bke.Address {
		fresh := newEndpoint(bke)
		if end != nil {
			end.notifyLeaving()
		}
		end = fresh
		grp.eps[bke.ID] = end
		grp.homes = make(map[homeKey]uint64)
	}
	// A start of an endpoint that leaves never comes back.
	bke.Leaving = bke.Leaving || end.bke.Leaving && end.bke.Born == bke.Born
	end.bke = bke
	end.missingUntil = time.Time{}
	if bke.Leaving {
		end.leavesAt = time.Time{}
		if bke.LeavesIn > 0 {
			end.leavesAt = now.Add(bke.LeavesIn)
		}
		end.notifyLeaving()
	}
}

func (grp *group) remove(vid wick.VMID) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if end := grp.eps[vid]; end != nil {
		end.notifyLeaving()
		delete(grp.eps, vid)
		grp.homes = make(map[homeKey]uint64)
	}
}
