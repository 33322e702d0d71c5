package crash

import (
	"maps"
	"slices"
	"time"
)

// An ending is the end of an endpoint that some entry saw.
type ending struct {
	at time.Time
	// seenAt is when this entry first saw it or received a report of it.
	seenAt  time.Time
	prompts []Prompt
	// digests is the number of prompts with a digest. merged has the parts of the prompts that
	// are not kept separately, nil if there are none.
	digests int
	merged  Digest
	// full is set once merged has too many parts to be evidence.
	full bool
	// own holds the prompts that this entry lost.
	own []Prompt
	// void is set once the incarnation has proved to run.
	void bool
}

// addPrompts adds prompts to an ending, which it creates if it is new. At most limit of them are
// kept separately. trk.mu must be held.
func (trk *Tracker) addPrompts(end Ending, prompts []Prompt, limit int, at, now time.Time) *ending {
	if trk.endings == nil {
		trk.endings = make(map[Ending]*ending)
	}
	edn := trk.endings[end]
	if edn == nil {
		edn = &ending{at: at, seenAt: now}
		trk.endings[end] = edn
	}
	for idx := range prompts {
		trk.addPrompt(edn, &prompts[idx], limit)
	}
	known := edn.known()
	for _, blk := range trk.blocks {
		if edn.at.After(blk.base) && !blk.lifted && blk.matchesAny(known) {
			blk.base = edn.at
		}
	}
	trk.dirty = true
	return edn
}

// addPrompt adds a prompt to an ending. trk.mu must be held.
func (trk *Tracker) addPrompt(edn *ending, pro *Prompt, limit int) {
	isDigest := len(pro.Digest) > 0
	switch {
	case isDigest && pro.Digest.isFull():
		trk.fallbacks.FullDigests++
		return
	case pro.isEmpty(), slices.ContainsFunc(edn.prompts, func(other Prompt) bool { return pro.equal(&other) }):
		return
	case pro.Own == "", len(edn.prompts) >= limit, isDigest && edn.digests >= maxDigests:
		trk.merge(edn, pro)
		return
	case isDigest:
		edn.digests++
	}
	kept := *pro
	kept.sampled = pro.listed()
	edn.prompts = append(edn.prompts, kept)
	trk.watchOwn(pro.Own)
}

// merge adds a prompt to the digest of those of an ending that are not kept separately. trk.mu
// must be held.
func (trk *Tracker) merge(edn *ending, pro *Prompt) {
	trk.fallbacks.MergedPrompts++
	if edn.merged == nil {
		edn.merged = make(Digest, mergedBytes)
	}
	if !edn.full {
		edn.merged.add(pro.Shared)
		edn.merged.merge(pro.Digest)
		edn.full = edn.merged.isFull()
	}
	if edn.full {
		trk.fallbacks.FullDigests++
	}
}

// known returns the prompts of the ending. The last one stands for those that are not kept
// separately, if there are any.
func (edn *ending) known() []Prompt {
	if edn.merged == nil || edn.full {
		return edn.prompts
	}
	return append(slices.Clip(edn.prompts), Prompt{Digest: edn.merged})
}

// leastEnding returns the ending to forget first: the oldest of those without prompts, or else
// of all. trk.mu must be held.
func (trk *Tracker) leastEnding() Ending {
	var out Ending
	var least *ending
	for end, edn := range trk.endings {
		if least == nil || edn.precedes(least) {
			out, least = end, edn
		}
	}
	return out
}

// precedes reports whether the ending is to be forgotten before another one.
func (edn *ending) precedes(other *ending) bool {
	if empty := len(edn.known()) == 0; empty != (len(other.known()) == 0) {
		return empty
	}
	return edn.at.Before(other.at)
}

// mergeOldPrompts bounds the memory of the prompts: while they have more than maxHeldParts
// parts in all, prompts of the oldest endings are merged. trk.mu must be held.
func (trk *Tracker) mergeOldPrompts() {
	num := 0
	for _, edn := range trk.endings {
		num += edn.countParts()
	}
	if num <= maxHeldParts {
		return
	}
	edns := slices.SortedFunc(maps.Values(trk.endings), func(one, two *ending) int { return one.at.Compare(two.at) })
	for _, edn := range edns {
		if num <= maxHeldParts {
			return
		}
		num -= edn.countParts()
		trk.mergeSurplus(edn)
		num += edn.countParts()
	}
}

// mergeSurplus merges the long prompts of an ending, and those beyond maxPrompts. trk.mu must
// be held.
func (trk *Tracker) mergeSurplus(edn *ending) {
	var kept []Prompt
	for idx := range edn.prompts {
		pro := &edn.prompts[idx]
		if len(pro.Shared) <= maxListed && len(kept) < maxPrompts {
			kept = append(kept, *pro)
			continue
		}
		trk.merge(edn, pro)
	}
	edn.prompts = kept
	edn.own = slices.DeleteFunc(edn.own, func(pro Prompt) bool { return len(pro.Shared) > maxListed })
}

// countParts returns the number of parts that the ending's prompts hold.
func (edn *ending) countParts() int {
	num := 0
	for idx := range edn.prompts {
		num += len(edn.prompts[idx].Shared)
	}
	return num
}
