package crash

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A finding is a set of parts with the evidence against it.
type finding struct {
	parts Parts
	// own is the last part of the one prompt with these parts that was present at all of
	// the crashes, "" if there is none.
	own wick.PartID
	// crashes is the number of separate crashes, at is the last one.
	crashes int
	at      time.Time
	// alternatives is the number of other parts that it takes to explain all of the
	// crashes.
	alternatives int
	// exclusive is the number of separate crashes that no other part of the prompts
	// explains.
	exclusive int
}

// isStronger reports whether a finding goes before another one: the one with more
// evidence, then the one that blocks fewer prompts.
func (fnd *finding) isStronger(other *finding) bool {
	switch {
	case fnd.crashes != other.crashes:
		return fnd.crashes > other.crashes
	case len(fnd.parts) != len(other.parts):
		return len(fnd.parts) > len(other.parts)
	default:
		return fnd.parts.key() < other.parts.key()
	}
}

// disputes reports whether another finding has the same evidence for other parts.
func (fnd *finding) disputes(other *finding) bool {
	return fnd.crashes == other.crashes && len(fnd.parts.intersect(other.parts)) == 0
}

// find returns the largest set with a part that there is enough evidence against. Sets
// of several parts spare the prompts that share only a sound part with the deadly ones.
// trk.mu must be held.
func (trk *Tracker) find(evi []suspicion, part wick.PartID, now time.Time) (finding, bool) {
	var best finding
	for _, set := range candidateSets(evi, part) {
		if len(set) > maxListed {
			trk.fallbacks.SampledSets++
			set = set.sample()
		}
		fnd := examine(evi, set)
		if (best.crashes == 0 || len(set) > len(best.parts)) && trk.suffices(&fnd, now) {
			best = fnd
		}
	}
	return best, best.crashes > 0
}

// suffices reports whether the evidence against a set suffices to block it. trk.mu must
// be held.
func (trk *Tracker) suffices(fnd *finding, now time.Time) bool {
	if blk := trk.blocks[blockKey(fnd.parts, fnd.own)]; blk != nil && !blk.lifted {
		return false
	}
	needed, coincidence := minCrashes, maxCoincidence
	if trk.isNearBlock(fnd.parts) && fnd.own == "" && fnd.alternatives >= minFurtherCrashes {
		needed, coincidence = minFurtherCrashes, maxFurtherCoincidence
	}
	hazard := trk.hazard(&block{parts: fnd.parts}, now)
	needed = max(needed, crashesFor(coincidence, hazard))
	alone := max(minFurtherCrashes, crashesFor(maxFurtherCoincidence, hazard))
	if fnd.alternatives < minAlternatives && fnd.exclusive < alone {
		// Of so many crashes one of the alternatives explains enough to be blocked.
		needed = fnd.alternatives*(max(needed, minDisputedCrashes)-1) + 1
	}
	return fnd.crashes >= needed
}

// crashesFor returns the number of crashes at which a prompt is present by chance with at
// most the given probability.
func crashesFor(coincidence, hazard float64) int {
	return int(math.Ceil(math.Log(coincidence) / math.Log(hazard)))
}

// hazard estimates the probability that a prompt is lost in a crash that has nothing to
// do with it, from the recent crashes that no prompt that a block would concern was present
// at. trk.mu must be held.
func (trk *Tracker) hazard(blk *block, now time.Time) float64 {
	others := 1 // a crash that may be about to follow
	for _, edn := range trk.endings {
		if edn.void || now.Sub(edn.at) > hazardWindow || trk.isExplained(edn) {
			continue
		}
		if !blk.matchesAny(edn.known()) {
			others++
		}
	}
	perSecond := float64(others) / hazardWindow.Seconds() / float64(trk.countEndpoints(now))
	return min(maxHazard, perSecond*exposure.Seconds())
}

// countEndpoints counts the endpoints that are known to have answered or ended. trk.mu
// must be held.
func (trk *Tracker) countEndpoints(now time.Time) int {
	endpoints := make(map[wick.VMID]bool)
	for end := range trk.endings {
		endpoints[end.Endpoint] = true
	}
	for vid, at := range trk.answering {
		if now.Sub(at) < retention {
			endpoints[vid] = true
		}
	}
	return max(len(endpoints), 1)
}

// candidateSets returns the sets that two prompts with a part have in common, and the
// part alone.
func candidateSets(evi []suspicion, part wick.PartID) []Parts {
	var prompts []Parts
	for idx := len(evi) - 1; idx >= 0 && len(prompts) < maxCompared; idx-- {
		for _, pro := range evi[idx].prompts {
			if len(prompts) < maxCompared && slices.Contains(pro.Shared, part) {
				prompts = append(prompts, pro.Shared)
			}
		}
	}
	out := []Parts{{part}}
	seen := map[string]bool{out[0].key(): true}
	for idx, one := range prompts {
		for _, two := range prompts[idx+1:] {
			set := one.intersect(two)
			if key := set.key(); !seen[key] && len(out) < maxSets {
				seen[key] = true
				out = append(out, set)
			}
		}
	}
	return out
}

// examine collects the evidence against a set of parts.
func examine(evi []suspicion, set Parts) finding {
	fnd := finding{parts: set}
	var owns Parts
	var others []Parts
	var exclusiveAt time.Time
	for idx := range evi {
		var rest, ownsHere Parts
		for _, pro := range evi[idx].prompts {
			if pro.Shared.includes(set) {
				ownsHere = append(ownsHere, pro.Own)
				rest = append(rest, pro.Shared.without(set)...)
			}
		}
		if len(ownsHere) == 0 {
			continue
		}
		if len(others) > 0 {
			ownsHere = owns.intersect(ownsHere)
		}
		owns = ownsHere
		others = append(others, rest)
		if len(rest) == 0 && (fnd.exclusive == 0 || evi[idx].at.Sub(exclusiveAt) >= crashSpacing) {
			fnd.exclusive++
			exclusiveAt = evi[idx].at
		}
		if fnd.crashes == 0 || evi[idx].at.Sub(fnd.at) >= crashSpacing {
			fnd.crashes++
			fnd.at = evi[idx].at
		}
	}
	slices.Sort(owns)
	if owns = slices.Compact(owns); len(owns) == 1 {
		fnd.own = owns[0]
	}
	fnd.alternatives = countAlternatives(others)
	return fnd
}

// countAlternatives returns how many causes it takes to explain all crashes, each given
// by its parts: parts, and a cause of its own for each crash without any but the first,
// which may be a coincidence.
func countAlternatives(crashes []Parts) int {
	num := len(crashes)
	crashes = slices.DeleteFunc(crashes, func(prt Parts) bool { return len(prt) == 0 })
	if len(crashes) == 0 {
		return minAlternatives
	}
	num = max(num-len(crashes)-1, 0)
	for len(crashes) > 0 && num < minAlternatives {
		most := mostCommon(crashes)
		crashes = slices.DeleteFunc(crashes, func(prt Parts) bool { return slices.Contains(prt, most) })
		num++
	}
	return num
}

// mostCommon returns the part that is in the most sets.
func mostCommon(sets []Parts) wick.PartID {
	counts := make(map[wick.PartID]int)
	for _, prt := range sets {
		for _, part := range slices.Compact(slices.Sorted(slices.Values(prt))) {
			counts[part]++
		}
	}
	var most wick.PartID
	for part, cnt := range counts {
		if cnt > counts[most] || cnt == counts[most] && part < most {
			most = part
		}
	}
	return most
}
