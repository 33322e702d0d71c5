package crash

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// minCrashes is the least number of separate crashes after which the parts that the
	// prompts of all have in common are blocked, and maxCoincidence the largest
	// probability that they were there by chance.
	minCrashes     = 3
	maxCoincidence = 1e-6
	// minFurtherCrashes and maxFurtherCoincidence are the same for parts of a blocked
	// set, if the prompts have no other part in common: more prompts than the blocked
	// ones end endpoints.
	minFurtherCrashes     = 2
	maxFurtherCoincidence = 1e-3
	// minAlternatives is the number of other parts that it takes to explain the same
	// crashes from which on they are no likely explanation.
	minAlternatives = 3
	// minDisputedCrashes is the number of crashes from which two sets that were present
	// at all of them are both blocked.
	minDisputedCrashes = 5
	// crashSpacing separates crashes that may have different causes. Endpoints that end
	// within it, like those of an availability zone, count as one crash.
	crashSpacing = 150 * time.Millisecond
	// settleTime is the time in which all entries tell what they had in flight at an
	// endpoint that ended. Before, parts may seem to be the cause that were only lost
	// with it.
	settleTime = 300 * time.Millisecond
	// hazardWindow is the time over which the crashes without a known cause are counted,
	// and exposure the time in which a prompt may be lost before its answer has
	// progressed.
	hazardWindow = 10 * time.Second
	exposure     = time.Second
	// maxHazard bounds the estimate where nearly all endpoints end.
	maxHazard = 0.9
	// These bound the work of one evaluation: the crashes that count, the newest ones; the
	// parts that are examined, those at the most crashes; the prompts that are compared to
	// find their common parts, and the sets that result.
	maxEvidence = 32
	maxExamined = 8
	maxCompared = 24
	maxSets     = 32
)

// A suspicion is one crash with those shared parts of its prompts that have not survived
// since.
type suspicion struct {
	at      time.Time
	prompts []Prompt
}

// evaluate blocks the sets of parts that the evidence suffices for. trk.mu must be held.
func (trk *Tracker) evaluate(now time.Time) {
	trk.evaluatedAt = now
	trk.purge(now)
	for trk.blockNext(now) {
		continue
	}
	trk.suspects = nil
	for part, num := range countCrashes(trk.evidence(now)) {
		if num >= minCrashes-1 || num >= minFurtherCrashes-1 && trk.inBlock(Parts{part}) {
			if trk.suspects == nil {
				trk.suspects = make(map[wick.PartID]bool)
			}
			trk.suspects[part] = true
		}
	}
	trk.dirty = false
	for _, edn := range trk.endings {
		trk.dirty = trk.dirty || !edn.settled(now)
	}
}

// evaluateIfDue evaluates new evidence, but not more often than each evaluationInterval.
// trk.mu must be held.
func (trk *Tracker) evaluateIfDue(now time.Time) {
	if trk.dirty && now.Sub(trk.evaluatedAt) >= evaluationInterval {
		trk.evaluate(now)
	}
}

// blockNext blocks the set of parts with the most evidence, and returns false if there
// is not enough for any. trk.mu must be held.
func (trk *Tracker) blockNext(now time.Time) bool {
	evi := trk.evidence(now)
	var best finding
	disputed := false
	for _, part := range mostPresent(countCrashes(evi)) {
		fnd, ok := trk.find(evi, part, now)
		switch {
		case !ok:
		case fnd.isStronger(&best):
			disputed = fnd.crashes == best.crashes && disputed || fnd.disputes(&best)
			best = fnd
		default:
			disputed = disputed || fnd.disputes(&best)
		}
	}
	if best.crashes == 0 || disputed && best.crashes < minDisputedCrashes {
		return false
	}
	trk.block(best, now)
	return true
}

// settled reports whether all entries have told what they had in flight.
func (edn *ending) settled(now time.Time) bool { return now.Sub(edn.seenAt) >= settleTime }

// evidence returns the crashes that no blocked set explains, in order of time. trk.mu
// must be held.
func (trk *Tracker) evidence(now time.Time) []suspicion {
	var out []suspicion
	for _, edn := range trk.endings {
		if edn.void || !edn.settled(now) || trk.isExplained(edn) {
			continue
		}
		sus := suspicion{at: edn.at}
		for _, pro := range edn.prompts {
			if left := trk.withoutSurvivors(pro.Shared, edn.at); len(left) > 0 {
				sus.prompts = append(sus.prompts, Prompt{Shared: left, Own: pro.Own})
			}
		}
		if len(sus.prompts) > 0 {
			out = append(out, sus)
		}
	}
	slices.SortFunc(out, func(one, two suspicion) int { return one.at.Compare(two.at) })
	return out[max(len(out)-maxEvidence, 0):]
}

// mostPresent returns the parts that were present at the most crashes, and at enough to be
// a cause.
func mostPresent(counts map[wick.PartID]int) []wick.PartID {
	var out []wick.PartID
	for part, num := range counts {
		if num >= minFurtherCrashes {
			out = append(out, part)
		}
	}
	slices.SortFunc(out, func(one, two wick.PartID) int {
		return cmp.Or(cmp.Compare(counts[two], counts[one]), cmp.Compare(one, two))
	})
	return out[:min(len(out), maxExamined)]
}

// isExplained reports whether a prompt of a blocked set was present at an ending. Sets
// that were lifted explain the endings before. trk.mu must be held.
func (trk *Tracker) isExplained(edn *ending) bool {
	for _, blk := range trk.blocks {
		inForce := !blk.lifted || !edn.at.After(blk.base)
		if inForce && blk.own == "" && blk.matchesAny(edn.prompts) {
			return true
		}
	}
	return false
}

// withoutSurvivors returns the parts that no endpoint has survived since shortly before
// a crash. trk.mu must be held.
func (trk *Tracker) withoutSurvivors(prt Parts, at time.Time) Parts {
	var out Parts
	for _, part := range prt {
		if seen, ok := trk.survived[part]; !ok || seen.Before(at.Add(-survivalMargin)) {
			out = append(out, part)
		}
	}
	return out
}

// inBlock reports whether a set is blocked together with further parts. trk.mu must be
// held.
func (trk *Tracker) inBlock(prt Parts) bool {
	for _, blk := range trk.blocks {
		if !blk.lifted && blk.own == "" && len(blk.parts) > len(prt) && blk.parts.includes(prt) {
			return true
		}
	}
	return false
}

// countCrashes counts the separate crashes that each part was present at.
func countCrashes(evi []suspicion) map[wick.PartID]int {
	counts := make(map[wick.PartID]int)
	last := make(map[wick.PartID]time.Time)
	for idx := range evi {
		for _, pro := range evi[idx].prompts {
			for _, part := range pro.Shared {
				if at, ok := last[part]; !ok || evi[idx].at.Sub(at) >= crashSpacing {
					counts[part]++
					last[part] = evi[idx].at
				}
			}
		}
	}
	return counts
}

// A finding is a set of parts with the evidence against it.
type finding struct {
	parts Parts
	// own is the last part of all prompts with these parts, "" if they differ.
	own wick.PartID
	// crashes is the number of separate crashes, at is the last one.
	crashes int
	at      time.Time
	// alternatives is the number of other parts that it takes to explain all of the
	// crashes.
	alternatives int
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
	if trk.inBlock(fnd.parts) && fnd.own == "" && fnd.alternatives >= minFurtherCrashes {
		needed, coincidence = minFurtherCrashes, maxFurtherCoincidence
	}
	needed = max(needed, int(math.Ceil(math.Log(coincidence)/math.Log(trk.hazard(fnd.parts, now)))))
	if fnd.alternatives < minAlternatives {
		// Of so many crashes one of the alternatives explains enough to be blocked.
		needed = fnd.alternatives*(max(needed, minDisputedCrashes)-1) + 1
	}
	return fnd.crashes >= needed
}

// hazard estimates the probability that a prompt is lost in a crash that has nothing to
// do with it, from the recent crashes that no prompt with a set of parts was present at.
// trk.mu must be held.
func (trk *Tracker) hazard(set Parts, now time.Time) float64 {
	others := 1 // a crash that may be about to follow
	for _, edn := range trk.endings {
		if edn.void || now.Sub(edn.at) > hazardWindow || trk.isExplained(edn) {
			continue
		}
		if !slices.ContainsFunc(edn.prompts, func(pro Prompt) bool { return pro.Shared.includes(set) }) {
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
	owns := make(map[wick.PartID]bool)
	var others []Parts
	for idx := range evi {
		var rest Parts
		present := false
		for _, pro := range evi[idx].prompts {
			if pro.Shared.includes(set) {
				present = true
				owns[pro.Own] = true
				fnd.own = pro.Own
				rest = append(rest, pro.Shared.without(set)...)
			}
		}
		if !present {
			continue
		}
		others = append(others, rest)
		if fnd.crashes == 0 || evi[idx].at.Sub(fnd.at) >= crashSpacing {
			fnd.crashes++
			fnd.at = evi[idx].at
		}
	}
	if len(owns) > 1 {
		fnd.own = ""
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

// voidEnding discards an ending whose endpoint has proved to run, and lifts the blocks
// that it was needed for. trk.mu must be held.
func (trk *Tracker) voidEnding(edn *ending, now time.Time) {
	edn.void = true
	for _, blk := range trk.blocks {
		if !blk.lifted && blk.matchesAny(edn.prompts) && trk.support(blk) < minCrashes {
			trk.lift(blk, now)
		}
	}
}

// support counts the known endings that prompts of a block were present at. trk.mu must
// be held.
func (trk *Tracker) support(blk *block) int {
	num := 0
	for _, edn := range trk.endings {
		if !edn.void && blk.matchesAny(edn.prompts) {
			num++
		}
	}
	return num
}
