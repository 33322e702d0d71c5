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
	// are kept separately, apart from those of this entry, and maxDigests those of them that
	// another entry sent as a digest. maxHeldParts bounds the parts of all of them.
	maxEndings   = 256
	maxPrompts   = 64
	maxDigests   = 4
	maxHeldParts = 1 << 17
	// maxSurvivals bounds the parts whose last survival is known.
	maxSurvivals = 1 << 15
	// evaluationInterval is the least time between two evaluations of what other entries
	// report, which all do so at once when many endpoints end.
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

// AddSurvival records that an endpoint's incarnation began an answer to a prompt at
// began and survived it. It reports whether the other entries must know.
func (trk *Tracker) AddSurvival(end Ending, pro Prompt, began, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if edn := trk.endings[end]; edn != nil && !edn.void || trk.isSuspected(pro) {
		trk.reportSurvival(end, pro, began, now)
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
