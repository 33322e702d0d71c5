package edge

import (
	"time"
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
	informedWatch = 9 * time.Second
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

// watchTimeout returns the timeout of the watches of kinds that change rarely. The pollers of
// the zones notice a silence by themselves, and so does each entry that receives no notice of
// theirs. The others receive what the pollers read, so that the store's calls grow with the
// zones.
func (edg *Edge) watchTimeout() time.Duration {
	if edg.informed() {
		return informedWatch
	}
	return edg.silenceBound()
}
