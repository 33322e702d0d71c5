// Package pool chooses endpoints for proxied requests. It tracks the endpoints
// that the platform's registry lists, this entry's requests in flight at each,
// and the results of their last requests. It does no I/O and receives the time
// as an argument.
package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/perf"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// unlistedGrace is how long an endpoint that is not listed after an outage of the
// store is still chosen as a last resort. Live endpoints are listed again within
// 2 s.
const unlistedGrace = 2 * time.Second

// A Pool holds the endpoints of all services. Each service has its own lock.
type Pool struct {
	zone    wick.Zone
	history history

	mu     sync.RWMutex
	groups map[wick.Service]*group
	// groupByVM maps an endpoint to its group.
	groupByVM map[wick.VMID]*group
	// limitShare is the initial limitShare of new groups.
	limitShare float64
	places     places
	cold       coldPolicies
	// listed is set once the first complete list was applied. Endpoints that come later
	// have started during traffic.
	listed atomic.Bool
}

// New returns an empty pool for an entry in a zone.
func New(zone wick.Zone) *Pool {
	return &Pool{zone: zone, limitShare: 1, groups: make(map[wick.Service]*group), groupByVM: make(map[wick.VMID]*group)}
}

// A group holds the endpoints of one service.
type group struct {
	places *places
	cold   *coldPolicies

	mu  sync.Mutex
	eps map[wick.VMID]*endpoint
	// all and byZone list the endpoints in no particular order, for samples.
	all    []*endpoint
	byZone map[wick.Zone][]*endpoint
	ring   ring
	// holders lists endpoints that have probably cached a prompt part, oldHolders those of
	// parts that were last used before holders was begun.
	holders, oldHolders map[wick.PartID][]*endpoint
	// requestRate measures the number of this entry's requests, modelRate that of
	// its model requests, prefillRate their prompt tokens to process and
	// outputRate their tokens to generate.
	requestRate, modelRate, prefillRate, outputRate meter
	// occupiedRate measures the share of their slots that this entry's finished
	// requests occupied, in endpoints.
	occupiedRate meter
	// engine is the performance of the endpoints that all estimates use, learner
	// this entry's own observation of it.
	engine  perf.Engine
	learner perf.Learner
	// limitShare is this entry's part of a limit that an endpoint begins to name.
	limitShare float64
	// limited lists the endpoints that limit their requests.
	limited []*endpoint
	// tracker estimates the pace of the endpoints.
	tracker pace.Tracker
	// backlog is that of all endpoints.
	backlog backlog
}

// Set adds or updates an endpoint.
func (pl *Pool) Set(bke wick.Backend, now time.Time) {
	pl.mu.Lock()
	grp := pl.groups[bke.Service]
	if grp == nil {
		grp = &group{places: &pl.places, cold: &pl.cold, limitShare: pl.limitShare, eps: make(map[wick.VMID]*endpoint), byZone: make(map[wick.Zone][]*endpoint)}
		pl.groups[bke.Service] = grp
	}
	old := pl.groupByVM[bke.ID]
	pl.groupByVM[bke.ID] = grp
	pl.mu.Unlock()
	if old != nil && old != grp {
		old.remove(bke.ID)
	}
	inc := Incarnation{bke.ID, bke.Born}
	if bke.Leaving {
		pl.history.update(inc, now, func(rec *record) { rec.leaving = true })
	}
	rec := pl.history.find(inc)
	bke.Leaving = bke.Leaving || rec.leaving
	grp.set(bke, rec.pausedUntil, pl.listed.Load(), now)
}

// Remove removes an endpoint at once.
func (pl *Pool) Remove(vid wick.VMID) {
	pl.mu.Lock()
	grp := pl.groupByVM[vid]
	delete(pl.groupByVM, vid)
	pl.mu.Unlock()
	if grp != nil {
		grp.remove(vid)
	}
}

// Replace applies a complete list. Endpoints that it lacks are removed, or kept
// as a last resort for a grace period if their registrations may have expired in
// an outage of the store.
func (pl *Pool) Replace(bkes []wick.Backend, afterOutage bool, now time.Time) {
	listed := make(map[wick.VMID]bool, len(bkes))
	for _, bke := range bkes {
		listed[bke.ID] = true
		pl.Set(bke, now)
	}
	for _, vid := range pl.unlisted(listed) {
		pl.Unlist(vid, afterOutage, now)
	}
	pl.listed.Store(true)
}

// Unlist removes an endpoint that is no longer listed. One whose registration may
// have expired in an outage of the store stays as a last resort for a grace
// period.
func (pl *Pool) Unlist(vid wick.VMID, afterOutage bool, now time.Time) {
	if afterOutage {
		pl.startGrace(vid, now.Add(unlistedGrace))
		return
	}
	pl.Remove(vid)
}

func (pl *Pool) unlisted(listed map[wick.VMID]bool) []wick.VMID {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	var out []wick.VMID
	for vid := range pl.groupByVM {
		if !listed[vid] {
			out = append(out, vid)
		}
	}
	return out
}

// startGrace marks an endpoint as a last resort that expires at until.
func (pl *Pool) startGrace(vid wick.VMID, until time.Time) {
	pl.withEndpoint(vid, func(_ *group, end *endpoint) {
		if end.graceUntil.IsZero() {
			end.graceUntil = until
		}
	})
}

// Incarnation returns the start of an endpoint's incarnation, and false if the
// endpoint is unknown or known to be leaving.
func (pl *Pool) Incarnation(vid wick.VMID) (int64, bool) {
	grp := pl.groupOfVM(vid)
	if grp == nil {
		return 0, false
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.eps[vid]
	if end == nil || end.bke.Leaving {
		return 0, false
	}
	return end.bke.Born, true
}

// MarkLeaving marks an incarnation of an endpoint as leaving, so that it is assigned no
// new requests, also when it is removed and listed again. It reports whether the
// incarnation is known and was not marked before.
func (pl *Pool) MarkLeaving(vid wick.VMID, born int64, now time.Time) bool {
	pl.history.update(Incarnation{vid, born}, now, func(rec *record) { rec.leaving = true })
	grp := pl.groupOfVM(vid)
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

// MarkGone marks an incarnation of an endpoint as removed until a time. Its runs are
// notified like those of a leaving endpoint.
func (pl *Pool) MarkGone(vid wick.VMID, born int64, until time.Time) {
	pl.withEndpoint(vid, func(_ *group, end *endpoint) {
		if end.bke.Born == born {
			end.goneUntil = until
			end.notifyLeaving()
		}
	})
}

// Report records a load report of an endpoint.
func (pl *Pool) Report(vid wick.VMID, rep Report) {
	pl.withEndpoint(vid, func(grp *group, end *endpoint) {
		// A negative load would offset requests in flight.
		rep.Load.Running, rep.Load.Waiting = max(rep.Load.Running, 0), max(rep.Load.Waiting, 0)
		rep.Load.NextTokens, rep.FreeMemory = max(rep.Load.NextTokens, 0), max(rep.FreeMemory, 0)
		end.noteMemory(&rep)
		end.report = rep
		end.sends = sends{report: end.sends.report + 1}
		grp.setLimit(end, rep.Load.Limit, rep.At)
	})
}

// groupOfVM returns the group of an endpoint, or nil.
func (pl *Pool) groupOfVM(vid wick.VMID) *group {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.groupByVM[vid]
}

// withEndpoint calls a function with an endpoint and its group, if it is known, while the
// group's lock is held.
func (pl *Pool) withEndpoint(vid wick.VMID, call func(grp *group, end *endpoint)) {
	grp := pl.groupOfVM(vid)
	if grp == nil {
		return
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if end := grp.eps[vid]; end != nil {
		call(grp, end)
	}
}

func (pl *Pool) groupOfService(svc wick.Service) *group {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	return pl.groups[svc]
}

// HasVersion reports whether the service has an endpoint of the version that is
// not leaving.
func (pl *Pool) HasVersion(svc wick.Service, ver wick.ModelVersion) bool {
	grp := pl.groupOfService(svc)
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

// Load returns the load in the last report of an endpoint, and false if there is
// none.
func (pl *Pool) Load(vid wick.VMID) (wick.BackendLoad, bool) {
	grp := pl.groupOfVM(vid)
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

// Backends returns the endpoints of a service that are not leaving.
func (pl *Pool) Backends(svc wick.Service) []wick.Backend {
	grp := pl.groupOfService(svc)
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

// set adds or updates an endpoint. A new one is paused until a time. started is set if an
// endpoint that is not listed yet has started during traffic.
func (grp *group) set(bke wick.Backend, pausedUntil time.Time, started bool, now time.Time) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.eps[bke.ID]
	started = started && (end == nil || end.bke.Born != bke.Born) && !bke.ColdKnown
	// An incarnation that is leaving never returns to service.
	bke.Leaving = bke.Leaving || end != nil && end.bke.Leaving && end.bke.Born == bke.Born
	if end == nil || end.bke.Born != bke.Born || end.bke.Address != bke.Address || end.bke.Zone != bke.Zone {
		grp.drop(end)
		end = newEndpoint(bke)
		end.limit.share = grp.limitShare
		end.pause.until = pausedUntil
		grp.add(end)
	}
	end.bke = bke
	end.region, end.evacuated = grp.places.find(bke.Zone)
	end.graceUntil = time.Time{}
	grp.endCold(end, now)
	end.coldListed = now.Add(bke.ColdFor)
	grp.setCold(end, end.coldListed, now, "registry")
	if started {
		grp.setCold(end, now.Add(grp.cold.find(bke.Service).Start), now, "started")
	}
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
	grp.drop(grp.eps[vid])
}

// add adds an endpoint to the group's lists.
func (grp *group) add(end *endpoint) {
	grp.eps[end.bke.ID] = end
	grp.all = append(grp.all, end)
	grp.byZone[end.bke.Zone] = append(grp.byZone[end.bke.Zone], end)
	grp.ring = grp.ring.with(end)
}

// drop removes an endpoint, unless it is nil, and notifies its runs.
func (grp *group) drop(end *endpoint) {
	if end == nil {
		return
	}
	end.notifyLeaving()
	end.removed = true
	delete(grp.eps, end.bke.ID)
	grp.tracker.Forget(end.bke.ID)
	grp.all = without(grp.all, end)
	grp.byZone[end.bke.Zone] = without(grp.byZone[end.bke.Zone], end)
	grp.limited = without(grp.limited, end)
	grp.ring = grp.ring.without(end)
}

// without returns a list without an endpoint. It does not keep the order.
func without(ends []*endpoint, end *endpoint) []*endpoint {
	for idx, other := range ends {
		if other == end {
			last := len(ends) - 1
			ends[idx], ends[last] = ends[last], nil
			return ends[:last]
		}
	}
	return ends
}
