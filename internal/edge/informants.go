package edge

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// informedTimeout is the time since the last notice of a zone's poller after which
	// an entry reads the registry itself.
	informedTimeout = time.Second
	// registryMaxAge is the age up to which a poller's reading of the registry counts
	// as current.
	registryMaxAge = 2 * time.Second
	// leftRetention is how long an endpoint that left is repeated in notices, in case
	// some are lost.
	leftRetention = 4 * time.Second
	// relistInterval is the least time between two reads of a plan for the same
	// version.
	relistInterval = 500 * time.Millisecond
	// watchLag is how long a watch may lag behind another entry's before its connection counts
	// as silent, and relistPause the least time until it does so again: a store that answers
	// late delays all watches.
	watchLag    = 400 * time.Millisecond
	relistPause = time.Second
)

// A watchProgress compares what this entry has read of a kind with what others have. Its zero
// value is ready to use.
type watchProgress struct {
	// behindSince is when another entry first had read a higher revision, or the last relist,
	// the zero time if none has.
	behindSince time.Time
	relisted    bool
}

// mayRelist reports whether the kind may be reread because another entry has read revision rev,
// and this one only own.
func (prg *watchProgress) mayRelist(rev, own wick.Revision, now time.Time) bool {
	if rev <= own {
		*prg = watchProgress{}
		return false
	}
	if prg.behindSince.IsZero() {
		prg.behindSince = now
	}
	wait := watchLag
	if prg.relisted {
		wait = relistPause
	}
	if now.Sub(prg.behindSince) < wait {
		return false
	}
	prg.behindSince, prg.relisted = now, true
	return true
}

// informants tracks what the pollers of the zones tell an entry. While they do, the
// entry may read the registry less currently than they: the store's calls then grow
// with the number of zones and not with that of entries. Its zero value is ready to
// use.
type informants struct {
	mu sync.Mutex
	// heardAt is when a notice of a poller with a current registry was received.
	heardAt time.Time
	// watchedAt is when a notice of a watch leader was received.
	watchedAt time.Time
	// leftAt holds the endpoints that this entry found leaving or removed.
	leftAt map[leavingEndpoint]time.Time
	// relistedFor is the version for which the plan was last reread, at relistedAt.
	relistedFor wick.PlanVersion
	relistedAt  time.Time
	// orders and moves compare the revisions of the version orders and of the moves' records.
	orders, moves watchProgress
}

// heard records a notice of a poller with a current registry.
func (inf *informants) heard(now time.Time) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	inf.heardAt = now
}

// current reports whether a poller was heard within informedTimeout.
func (inf *informants) current(now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return now.Sub(inf.heardAt) < informedTimeout
}

// heardLeader records a notice of a watch leader.
func (inf *informants) heardLeader(now time.Time) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	inf.watchedAt = now
}

// watched reports whether a notice of a watch leader was received within informedTimeout.
func (inf *informants) watched(now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return now.Sub(inf.watchedAt) < informedTimeout
}

// left records endpoints that were found leaving or removed.
func (inf *informants) left(ends []leavingEndpoint, now time.Time) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	if inf.leftAt == nil {
		inf.leftAt = make(map[leavingEndpoint]time.Time)
	}
	inf.forgetLeft(now)
	for _, end := range ends {
		inf.leftAt[end] = now
	}
}

// returned records that an endpoint is listed again.
func (inf *informants) returned(vid wick.VMID) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	for end := range inf.leftAt {
		if end.ID == vid && end.Gone {
			delete(inf.leftAt, end)
		}
	}
}

// forgetLeft removes the endpoints that left more than leftRetention ago. inf.mu must be
// held.
func (inf *informants) forgetLeft(now time.Time) {
	for end, at := range inf.leftAt {
		if now.Sub(at) > leftRetention {
			delete(inf.leftAt, end)
		}
	}
}

// recentlyLeft returns the endpoints that left within leftRetention.
func (inf *informants) recentlyLeft(now time.Time) []leavingEndpoint {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	inf.forgetLeft(now)
	out := make([]leavingEndpoint, 0, len(inf.leftAt))
	for end := range inf.leftAt {
		out = append(out, end)
	}
	return out
}

// mayRelist reports whether the plan may be reread for a version, and records that it
// is.
func (inf *informants) mayRelist(ver wick.PlanVersion, now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	if ver == 0 || ver == inf.relistedFor && now.Sub(inf.relistedAt) < relistInterval {
		return false
	}
	inf.relistedFor, inf.relistedAt = ver, now
	return true
}

// mayRelistOrders reports whether the version orders may be reread because another entry has
// read revision rev, and this one only own.
func (inf *informants) mayRelistOrders(rev, own wick.Revision, now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return inf.orders.mayRelist(rev, own, now)
}

// mayRelistMoves is mayRelistOrders for the records of moves.
func (inf *informants) mayRelistMoves(rev, own wick.Revision, now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return inf.moves.mayRelist(rev, own, now)
}

// informed reports whether other entries tell this one what they read in the registry.
// Pollers read it themselves.
func (edg *Edge) informed() bool {
	return !edg.isLoadPoller() && edg.informants.current(time.Now())
}
