package edge

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A connection that has fallen silent for good looks like one on which nothing happens. What
// waits on a connection therefore ends its wait within silenceBound, which is shorter than the
// time for which the platform excuses an entry after such a silence: all watches of the store
// by watchTimeout or silenceBound, kept connections to endpoints by their idle timeout. Calls
// have timeouts of their own, of a second and less.

const (
	// silenceShare is the part of the stable window after which a silence is noticed. The rest
	// is for reading again what was missed.
	silenceShare = 0.8
	// minSilenceBound leaves time for an answer of the store.
	minSilenceBound = 1600 * time.Millisecond
	// defaultStableWindow is the shortest one in use.
	defaultStableWindow = 3 * time.Second
	// informedWatch is the timeout of a watch of a kind that changes rarely, at an entry that
	// receives the notices of others.
	informedWatch = 9600 * time.Millisecond
)

// stableWindow returns the time after a disturbance for which the platform excuses an entry.
func (edg *Edge) stableWindow() time.Duration {
	if edg.cfg.Bounds.StableWindow > 0 {
		return edg.cfg.Bounds.StableWindow
	}
	return defaultStableWindow
}

// silenceBound returns the time within which a silent connection is noticed. It is the timeout
// of the watches of kinds that change with every heartbeat.
func (edg *Edge) silenceBound() time.Duration {
	bound := time.Duration(silenceShare * float64(edg.stableWindow()))
	return max(bound, minSilenceBound)
}

// watchTimeout returns the timeout of the watches of kinds that change rarely. The watch leaders
// notice a silence by themselves, and so does each entry that receives no notice of theirs. The
// others receive what the leaders read, so that the store's calls don't grow with the entries.
func (edg *Edge) watchTimeout() time.Duration {
	now := time.Now()
	if edg.informants.watched(now) && !edg.isWatchLeader(now) {
		return informedWatch
	}
	return edg.silenceBound()
}

// watchLeaders is the number of zones whose pollers are watch leaders.
const watchLeaders = 2

// isWatchLeader reports whether this entry watches all kinds for the others: it is the poller of
// one of the first zones in an order that all entries agree on.
func (edg *Edge) isWatchLeader(now time.Time) bool {
	mems := edg.roster.Members(now, memberTimeout)
	first, ok := edg.zonePoller(mems)
	if !ok || first.ID != edg.cfg.ID {
		return false
	}
	var zones []wick.Zone
	for _, mem := range place.Rank(watchKey, mems) {
		if slices.Contains(zones, mem.Zone) {
			continue
		}
		if zones = append(zones, mem.Zone); len(zones) == watchLeaders {
			break
		}
	}
	return slices.Contains(zones, edg.cfg.Zone)
}

// watchKey is the key of the order of the watch leaders' zones.
const watchKey = "watch"

// watchesForOthers reports whether this entry is a watch leader and its watches work.
func (edg *Edge) watchesForOthers(now time.Time) bool {
	if !edg.isWatchLeader(now) {
		return false
	}
	for _, fol := range edg.followers() {
		if fol.Active == nil && !fol.FailingSince().IsZero() {
			return false
		}
	}
	return true
}
