package crash

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxWatchedOwn is the number of last parts from which on those are forgotten that no kept
// ending has. The kept endings have at most half as many.
const maxWatchedOwn = 2 * maxEndings * maxPrompts

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
	out := make(map[string]*finding)
	for _, edn := range trk.unexplained(now) {
		for idx := range edn.prompts {
			pro := &edn.prompts[idx]
			if !trk.survivedOwn[pro.Own].Before(edn.at.Add(-survivalMargin)) {
				continue
			}
			parts := pro.listed()
			key := blockKey(parts, pro.Own)
			fnd := out[key]
			if fnd == nil {
				fnd = &finding{parts: parts, own: pro.Own}
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
	if len(trk.survivedOwn) > maxWatchedOwn {
		trk.purgeWatchedOwn()
	}
	if trk.survivedOwn == nil {
		trk.survivedOwn = make(map[wick.PartID]time.Time)
	}
	if _, ok := trk.survivedOwn[own]; !ok {
		trk.survivedOwn[own] = time.Time{}
	}
}

// purgeWatchedOwn forgets the last parts that no kept ending has. trk.mu must be held.
func (trk *Tracker) purgeWatchedOwn() {
	kept := make(map[wick.PartID]time.Time)
	for _, edn := range trk.endings {
		for idx := range edn.prompts {
			own := edn.prompts[idx].Own
			kept[own] = trk.survivedOwn[own]
		}
	}
	trk.survivedOwn = kept
}

// refutes reports whether the known survivals refute a block. trk.mu must be held.
func (trk *Tracker) refutes(blk *block) bool {
	if blk.own != "" {
		return !trk.survivedOwn[blk.own].Before(blk.base)
	}
	return len(trk.withoutSurvivors(blk.parts, blk.base.Add(survivalMargin))) == 0
}
