package crash

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// findRepeated returns the prompt with the most crashes that there is enough evidence
// against: one request that is sent again and again ends endpoints although others survive
// all of its shared parts. trk.mu must be held.
func (trk *Tracker) findRepeated(now time.Time) (finding, bool) {
	var best finding
	for _, fnd := range trk.repeated(now) {
		if fnd.crashes < minCrashes || best.crashes > 0 && !fnd.isStronger(&best) {
			continue
		}
		if hazard := trk.hazard(&block{parts: fnd.parts, own: fnd.own}, now); fnd.crashes >= crashesFor(maxCoincidence, hazard) {
			best = *fnd
		}
	}
	return best, best.crashes > 0
}

// repeated returns the prompts that were present at the last crashes and have not survived
// since. trk.mu must be held.
func (trk *Tracker) repeated(now time.Time) map[string]*finding {
	edns := trk.unexplained(now)
	out := make(map[string]*finding)
	for _, edn := range edns[max(len(edns)-maxEvidence, 0):] {
		for _, pro := range edn.prompts {
			if !trk.survivedOwn[pro.Own].Before(edn.at.Add(-survivalMargin)) {
				continue
			}
			key := blockKey(pro.Shared, pro.Own)
			fnd := out[key]
			if fnd == nil {
				fnd = &finding{parts: pro.Shared, own: pro.Own}
				out[key] = fnd
			}
			if fnd.crashes == 0 || edn.at.Sub(fnd.at) >= crashSpacing {
				fnd.crashes++
				fnd.at = edn.at
			}
		}
	}
	return out
}

// watchOwn has the survivals of a lost prompt's last part recorded. trk.mu must be held.
func (trk *Tracker) watchOwn(own wick.PartID) {
	if trk.survivedOwn == nil || len(trk.survivedOwn) > maxSurvivals {
		trk.survivedOwn = make(map[wick.PartID]time.Time)
	}
	if _, ok := trk.survivedOwn[own]; !ok {
		trk.survivedOwn[own] = time.Time{}
	}
}

// refutes reports whether the known survivals refute a block. trk.mu must be held.
func (trk *Tracker) refutes(blk *block) bool {
	if blk.own != "" {
		return !trk.survivedOwn[blk.own].Before(blk.base)
	}
	return len(trk.withoutSurvivors(blk.parts, blk.base.Add(survivalMargin))) == 0
}
