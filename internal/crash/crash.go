// Package crash links the ends of endpoints to the prompts that they had begun to
// answer. Prompts whose parts end one endpoint after the other are blocked at all
// entries, until a trial shows that they no longer do. The package does no I/O and
// receives the time as an argument.
package crash

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/recent"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// survivalMargin is how long before a crash an endpoint may have begun to answer a
	// part for this to prove the part innocent.
	survivalMargin = time.Second
	// retention is how long crashes and survivals count.
	retention = 2 * time.Minute
	// maxEndings bounds the crashes that are kept. maxPrompts bounds the prompts of each that
	// are told apart, but for those of this entry, and maxDigests those of them that another
	// entry has told by a digest. maxHeldParts bounds the parts of all of them.
	maxEndings   = 256
	maxPrompts   = 64
	maxDigests   = 4
	maxHeldParts = 1 << 17
	// maxSurvivals bounds the parts whose last survival is known.
	maxSurvivals = 1 << 15
	// evaluationInterval is the least time between two evaluations of what other entries
	// tell, who all tell it at once when many endpoints end.
	evaluationInterval = 100 * time.Millisecond
)

// An Ending identifies an endpoint's incarnation that has ended.
type Ending struct {
	Endpoint wick.VMID `cbor:"1,keyasint" json:"endpoint"`
	// Born is the start of the incarnation.
	Born int64 `cbor:"2,keyasint" json:"born"`
}

// A Tracker collects crashes and survivals and decides which prompts are blocked. Its
// zero value is ready to use.
type Tracker struct {
	mu      sync.Mutex
	endings map[Ending]*ending
	// survived is when an endpoint last began an answer to a part that it survived.
	survived recent.Parts
	// survivedOwn is the same for the last parts of prompts that were lost.
	survivedOwn map[wick.PartID]time.Time
	// suspects holds the parts that one more crash may block.
	suspects map[wick.PartID]bool
	// answering is when each endpoint was last seen to survive a prompt. It was last purged at
	// answeringPurgedAt.
	answering         map[wick.VMID]time.Time
	answeringPurgedAt time.Time
	// blocks holds the blocked sets of parts, and for a while those that were, by key.
	blocks map[string]*block
	// dirty is set while there is evidence that was not evaluated, which was done last
	// at evaluatedAt.
	dirty       bool
	evaluatedAt time.Time
	outbox      News
	changes     []Change
	fallbacks   Fallbacks
}

// Fallbacks counts how often a bound on what is kept was reached, and less exact evidence was
// kept in place of what exceeds it.
type Fallbacks struct {
	// MergedPrompts counts prompts that are kept in one digest with others of their crash.
	MergedPrompts uint64 `json:"mergedPrompts"`
	// SampledSets counts sets of parts of which a sample was examined or blocked.
	SampledSets uint64 `json:"sampledSets"`
	// UncomparedDigests counts digests that were not compared with the parts known by name.
	UncomparedDigests uint64 `json:"uncomparedDigests"`
	// FullDigests counts prompts without evidence, since too many others are in their digest.
	FullDigests uint64 `json:"fullDigests"`
	// UntoldSurvivals counts survivals, and parts of such, that other entries were not told.
	UntoldSurvivals uint64 `json:"untoldSurvivals"`
	// ForgottenSurvivals counts parts whose last survival is no longer known.
	ForgottenSurvivals uint64 `json:"forgottenSurvivals"`
	// ForgottenEndings and ForgottenBlocks count crashes and blocks that gave way to newer ones.
	ForgottenEndings uint64 `json:"forgottenEndings"`
	ForgottenBlocks  uint64 `json:"forgottenBlocks"`
}

// Fallbacks returns how often a bound was reached.
func (trk *Tracker) Fallbacks() Fallbacks {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	out := trk.fallbacks
	out.ForgottenSurvivals = trk.survived.Forgotten()
	return out
}

// An ending is the end of an endpoint that some entry saw.
type ending struct {
	at time.Time
	// seenAt is when this entry first saw it or heard of it.
	seenAt  time.Time
	prompts []Prompt
	// digests is the number of prompts with a digest. merged has the parts of those prompts
	// that are not in prompts, nil if all are.
	digests int
	merged  Digest
	// full is set once merged has too many parts to be evidence.
	full bool
	// own holds the prompts that this entry lost.
	own []Prompt
	// void is set once the incarnation has proved to run.
	void bool
}

// AddEnding records that an endpoint ended while prompts of this entry were in flight
// there whose answers had not progressed.
func (trk *Tracker) AddEnding(end Ending, prompts []Prompt, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	edn := trk.addPrompts(end, prompts, math.MaxInt, now, now)
	edn.own = append(edn.own, prompts[:min(len(prompts), maxPrompts-len(edn.own))]...)
	trk.outbox.Sightings = append(trk.outbox.Sightings, edn.export(end, briefs(prompts), now))
	trk.evaluate(now)
}

// addPrompts adds prompts to an ending, which it creates if it is new, of which at most limit
// are told apart. trk.mu must be held.
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

// merge adds a prompt to the digest of those of an ending that are not told apart. trk.mu must
// be held.
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

// known returns the prompts of the ending. The last one stands for those that are not told
// apart, if there are any.
func (edn *ending) known() []Prompt {
	if edn.merged == nil || edn.full {
		return edn.prompts
	}
	return append(slices.Clip(edn.prompts), Prompt{Digest: edn.merged})
}

// AddSurvival records that an endpoint's incarnation began an answer to a prompt at
// began and survived it. It reports whether the other entries must know.
func (trk *Tracker) AddSurvival(end Ending, pro Prompt, began, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if edn := trk.endings[end]; edn != nil && !edn.void || trk.isSuspected(pro) {
		trk.tellSurvival(end, pro, began, now)
	}
	trk.survive(end, pro, began, now)
	return !trk.outbox.IsEmpty()
}

// survive applies a survival. trk.mu must be held.
func (trk *Tracker) survive(end Ending, pro Prompt, began, now time.Time) {
	trk.noteAnswering(end.Endpoint, now)
	trk.survived.Limit = maxSurvivals
	for _, part := range pro.Shared {
		if at, ok := trk.survived.At(part); !ok || began.After(at) {
			trk.survived.Put(part, began)
		}
	}
	if at, ok := trk.survivedOwn[pro.Own]; ok && began.After(at) {
		trk.survivedOwn[pro.Own] = began
	}
	for _, blk := range trk.blocks {
		if !blk.lifted && began.After(blk.base) && blk.matches(pro) {
			trk.lift(blk, now)
		}
	}
	if edn := trk.endings[end]; edn != nil && !edn.void && began.After(edn.at) {
		trk.voidEnding(edn, now)
	}
}

// noteAnswering records that an endpoint answers. trk.mu must be held.
func (trk *Tracker) noteAnswering(vid wick.VMID, now time.Time) {
	if trk.answering == nil {
		trk.answering = make(map[wick.VMID]time.Time)
	}
	trk.answering[vid] = now
	if now.Sub(trk.answeringPurgedAt) > retention {
		trk.answeringPurgedAt = now
		maps.DeleteFunc(trk.answering, func(_ wick.VMID, at time.Time) bool { return now.Sub(at) > retention })
	}
}

// IsSuspected reports whether one more crash may block a prompt.
func (trk *Tracker) IsSuspected(pro Prompt) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.isSuspected(pro)
}

// isSuspected is IsSuspected with trk.mu held.
func (trk *Tracker) isSuspected(pro Prompt) bool {
	if len(trk.suspects) == 0 {
		return false
	}
	return trk.suspects[pro.Own] || slices.ContainsFunc(pro.Shared, func(part wick.PartID) bool { return trk.suspects[part] })
}

// purge forgets what is older than retention. trk.mu must be held.
func (trk *Tracker) purge(now time.Time) {
	for end, edn := range trk.endings {
		if now.Sub(edn.at) > retention {
			delete(trk.endings, end)
		}
	}
	for len(trk.endings) > maxEndings {
		delete(trk.endings, trk.leastEnding())
		trk.fallbacks.ForgottenEndings++
	}
	trk.mergeOldPrompts()
	if len(trk.endings) == 0 {
		trk.survivedOwn = nil
	}
	trk.purgeBlocks(now)
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
