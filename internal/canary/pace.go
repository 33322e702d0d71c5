package canary

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times as long as the old version's reference an answer takes
	// that is slow. The reference is the quantile referenceQuantile, which hardly depends
	// on the load, nor on some slow endpoints of the old version.
	slowFactor        = 1.8
	referenceQuantile = 0.25
	// paceSamples is the number of the old version's latest answers of a route that the
	// reference is taken from, minPaceSamples the least number.
	paceSamples    = 64
	minPaceSamples = 12
)

// A paceSet holds the paces of the old version's latest answers by route. A version may
// answer several times more slowly and still be in time; and where some endpoints of the
// old version are slow, so that many of its answers are late, the reference is that of
// the others.
type paceSet map[string]*paceRing

// A paceRing holds the latest paces of one route.
type paceRing struct {
	paces []time.Duration
	// next is the position of the oldest pace once the ring is full.
	next int
}

// add adds the pace of an answer of the old version.
func (pcs paceSet) add(route string, pace time.Duration) {
	if pace <= 0 {
		return
	}
	rng := pcs[route]
	if rng == nil {
		if len(pcs) >= maxCells {
			return
		}
		rng = &paceRing{}
		pcs[route] = rng
	}
	if len(rng.paces) < paceSamples {
		rng.paces = append(rng.paces, pace)
		return
	}
	rng.paces[rng.next] = pace
	rng.next = (rng.next + 1) % paceSamples
}

// isSlow reports whether an answer of a route is slow compared with the old version, and
// false if that is not known.
func (pcs paceSet) isSlow(route string, pace time.Duration) (slow, known bool) {
	rng := pcs[route]
	if pace <= 0 || rng == nil || len(rng.paces) < minPaceSamples {
		return false, false
	}
	sorted := slices.Clone(rng.paces)
	slices.Sort(sorted)
	reference := sorted[int(referenceQuantile*float64(len(sorted)))]
	return float64(pace) > slowFactor*float64(reference), true
}
