package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// SettleTime is the time in which all entries report what they had in flight at an endpoint
// that ended. Before, parts may seem to be the cause that were only lost with it.
const SettleTime = 300 * time.Millisecond

const (
	// minCrashes is the least number of separate crashes after which the parts that the
	// prompts of all have in common are blocked, and maxCoincidence the largest
	// probability that they were there by chance.
	minCrashes     = 3
	maxCoincidence = 1e-6
	// minFurtherCrashes and maxFurtherCoincidence are the same for sets near a blocked
	// one, if the prompts have no other part in common: more prompts than the blocked
	// ones end endpoints. So many crashes that no other part explains also rule out that
	// other parts explain the rest.
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
	evi := trk.evidence(now)
	occs := occurrences(evi)
	for trk.blockNext(evi, occs, now) {
		evi = trk.evidence(now)
		occs = occurrences(evi)
	}
	trk.suspects = nil
	for part, occ := range occs {
		num := occ.separate
		if num >= minCrashes-1 || num >= minFurtherCrashes-1 && trk.inBlock(Parts{part}) {
			trk.suspect(part)
		}
	}
	trk.dirty = false
	for _, fnd := range trk.repeated(now) {
		if fnd.crashes >= minCrashes-1 {
			trk.suspect(fnd.own)
		}
	}
	for _, edn := range trk.endings {
		trk.dirty = trk.dirty || !edn.settled(now)
	}
}

// suspect adds a part to the suspects. trk.mu must be held.
func (trk *Tracker) suspect(part wick.PartID) {
	if trk.suspects == nil {
		trk.suspects = make(map[wick.PartID]bool)
	}
	trk.suspects[part] = true
}

// evaluateIfDue evaluates new evidence, but not more often than each evaluationInterval.
// trk.mu must be held.
func (trk *Tracker) evaluateIfDue(now time.Time) {
	if trk.dirty && now.Sub(trk.evaluatedAt) >= evaluationInterval {
		trk.evaluate(now)
	}
}

// blockNext blocks a prompt that ends endpoints by itself, or else the set of parts with
// the most evidence. It returns false if there is not enough for any. trk.mu must be held.
func (trk *Tracker) blockNext(evi []suspicion, occs map[wick.PartID]*occurrence, now time.Time) bool {
	if fnd, ok := trk.findRepeated(now); ok {
		trk.block(fnd, now)
		return true
	}
	evi = trk.condense(evi, occs)
	var best finding
	disputed := false
	for _, part := range mostPresent(evi) {
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

// settled reports whether all entries have reported what they had in flight.
func (edn *ending) settled(now time.Time) bool { return now.Sub(edn.seenAt) >= SettleTime }

// evidence returns the crashes that no blocked set explains, in order of time. trk.mu
// must be held.
func (trk *Tracker) evidence(now time.Time) []suspicion {
	var out []suspicion
	for _, edn := range trk.unexplained(now) {
		sus := suspicion{at: edn.at}
		known := edn.known()
		for idx := range known {
			pro := &known[idx]
			if left := trk.withoutSurvivors(pro.Shared, edn.at); len(left) > 0 || len(pro.Digest) > 0 {
				sus.prompts = append(sus.prompts, Prompt{Shared: left, Own: pro.Own, Digest: pro.Digest})
			}
		}
		if len(sus.prompts) > 0 {
			out = append(out, sus)
		}
	}
	trk.addNamed(out)
	return out
}

// unexplained returns the settled endings that no blocked set explains, in order of time.
// trk.mu must be held.
func (trk *Tracker) unexplained(now time.Time) []*ending {
	var out []*ending
	for _, edn := range trk.endings {
		if !edn.void && edn.settled(now) && !trk.isExplained(edn) {
			out = append(out, edn)
		}
	}
	slices.SortFunc(out, func(one, two *ending) int { return one.at.Compare(two.at) })
	return out
}

// mostPresent returns the parts that were present at the most crashes, and at enough to be
// a cause. Of several parts of the same prompts it returns one.
func mostPresent(evi []suspicion) []wick.PartID {
	occs := occurrences(evi)
	var out []wick.PartID
	for part, occ := range occs {
		if occ.separate >= minFurtherCrashes {
			out = append(out, part)
		}
	}
	slices.SortFunc(out, func(one, two wick.PartID) int {
		return cmp.Or(cmp.Compare(occs[two].separate, occs[one].separate), cmp.Compare(one, two))
	})
	seen := make(map[uint64]bool)
	out = slices.DeleteFunc(out, func(part wick.PartID) bool {
		repeated := seen[occs[part].prompts]
		seen[occs[part].prompts] = true
		return repeated
	})
	return out[:min(len(out), maxExamined)]
}

// isExplained reports whether a prompt of a blocked set was present at an ending. Sets
// that were lifted explain the endings before. trk.mu must be held.
func (trk *Tracker) isExplained(edn *ending) bool {
	known := edn.known()
	for _, blk := range trk.blocks {
		inForce := !blk.lifted || !edn.at.After(blk.base)
		if inForce && blk.matchesAny(known) {
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
		if !trk.hasSurvived(part, at) {
			out = append(out, part)
		}
	}
	return out
}

// hasSurvived reports whether an endpoint has survived a part since shortly before a crash.
// trk.mu must be held.
func (trk *Tracker) hasSurvived(part wick.PartID, at time.Time) bool {
	seen, ok := trk.survived.At(part)
	return ok && !seen.Before(at.Add(-survivalMargin))
}

// inBlock reports whether a set is blocked together with further parts, or in one prompt.
// trk.mu must be held.
func (trk *Tracker) inBlock(prt Parts) bool {
	for _, blk := range trk.blocks {
		larger := blk.own != "" || len(blk.parts) > len(prt)
		if !blk.lifted && larger && blk.parts.includes(prt) {
			return true
		}
	}
	return false
}

// isNearBlock reports whether a set lies in a larger blocked set, or has several parts one
// of which does: prompts with that part have ended endpoints. trk.mu must be held.
func (trk *Tracker) isNearBlock(set Parts) bool {
	if len(set) == 1 {
		return trk.inBlock(set)
	}
	return slices.ContainsFunc(set, func(part wick.PartID) bool { return trk.inBlock(Parts{part}) })
}

// voidEnding discards an ending whose endpoint has proved to run, and lifts the blocks
// that it was needed for. trk.mu must be held.
func (trk *Tracker) voidEnding(edn *ending, now time.Time) {
	edn.void = true
	for _, blk := range trk.blocks {
		if !blk.lifted && blk.matchesAny(edn.known()) && trk.support(blk) < minCrashes {
			trk.lift(blk, now)
		}
	}
}

// support counts the known endings that prompts of a block were present at. trk.mu must
// be held.
func (trk *Tracker) support(blk *block) int {
	num := 0
	for _, edn := range trk.endings {
		if !edn.void && blk.matchesAny(edn.known()) {
			num++
		}
	}
	return num
}
