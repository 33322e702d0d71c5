// Package crash links the ends of endpoints to the prompts that they had begun to
// answer. Prompts whose parts end one endpoint after the other are blocked at all
// entries, until a trial shows that they no longer do. The package does no I/O and
// receives the time as an argument.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// survivalMargin is how long before a crash an endpoint may have begun to answer a
	// part for this to prove the part innocent.
	survivalMargin = time.Second
	// retention is how long crashes and survivals count.
	retention = 2 * time.Minute
	// maxEndings bounds the crashes that are kept, maxPrompts the prompts of each, and
	// maxSurvivals the parts whose last survival is known.
	maxEndings   = 256
	maxPrompts   = 64
	maxSurvivals = 1 << 14
	// maxSurvivalNews bounds the survivals in one message.
	maxSurvivalNews = 128
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
	survived map[wick.PartID]time.Time
	// survivedOwn is the same for the last parts of prompts that were lost.
	survivedOwn map[wick.PartID]time.Time
	// suspects holds the parts that one more crash may block.
	suspects map[wick.PartID]bool
	// answering is when each endpoint was last seen to survive a prompt.
	answering map[wick.VMID]time.Time
	// blocks holds the blocked sets of parts, and for a while those that were, by key.
	blocks map[string]*block
	// dirty is set while there is evidence that was not evaluated, which was done last
	// at evaluatedAt.
	dirty       bool
	evaluatedAt time.Time
	outbox      News
	changes     []Change
}

// An ending is the end of an endpoint that some entry saw.
type ending struct {
	at time.Time
	// seenAt is when this entry first saw it or heard of it.
	seenAt  time.Time
	prompts []Prompt
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
	edn := trk.addPrompts(end, prompts, now, now)
	edn.own = append(edn.own, prompts[:min(len(prompts), maxPrompts-len(edn.own))]...)
	trk.outbox.Sightings = append(trk.outbox.Sightings, edn.export(end, prompts, now))
	trk.evaluate(now)
}

// addPrompts adds prompts to an ending, which it creates if it is new. trk.mu must be
// held.
func (trk *Tracker) addPrompts(end Ending, prompts []Prompt, at, now time.Time) *ending {
	if trk.endings == nil {
		trk.endings = make(map[Ending]*ending)
	}
	edn := trk.endings[end]
	if edn == nil {
		edn = &ending{at: at, seenAt: now}
		trk.endings[end] = edn
	}
	for _, pro := range prompts {
		pro.Shared = pro.Shared[:min(len(pro.Shared), maxParts)]
		if len(pro.Shared) > 0 && len(edn.prompts) < maxPrompts && !slices.ContainsFunc(edn.prompts, pro.equal) {
			edn.prompts = append(edn.prompts, pro)
			trk.watchOwn(pro.Own)
		}
	}
	for _, blk := range trk.blocks {
		if edn.at.After(blk.base) && !blk.lifted && blk.matchesAny(edn.prompts) {
			blk.base = edn.at
		}
	}
	trk.dirty = true
	return edn
}

// AddSurvival records that an endpoint's incarnation began an answer to a prompt at
// began and survived it. It reports whether the other entries must know.
func (trk *Tracker) AddSurvival(end Ending, pro Prompt, began, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	edn := trk.endings[end]
	told := len(trk.outbox.Survivals) < maxSurvivalNews
	if told && (edn != nil && !edn.void || trk.isSuspected(pro)) {
		trk.outbox.Survivals = append(trk.outbox.Survivals, Survival{Ending: end, Prompt: pro, AgeMillis: now.Sub(began).Milliseconds()})
	}
	trk.survive(end, pro, began, now)
	return !trk.outbox.IsEmpty()
}

// survive applies a survival. trk.mu must be held.
func (trk *Tracker) survive(end Ending, pro Prompt, began, now time.Time) {
	if trk.survived == nil {
		trk.survived = make(map[wick.PartID]time.Time)
		trk.answering = make(map[wick.VMID]time.Time)
	}
	trk.answering[end.Endpoint] = now
	for _, part := range pro.Shared {
		if began.After(trk.survived[part]) {
			trk.survived[part] = began
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
	if len(trk.survived) > maxSurvivals {
		trk.purgeSurvivals(now)
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
		delete(trk.endings, trk.oldestEnding())
	}
	if len(trk.endings) == 0 {
		trk.survivedOwn = nil
	}
	trk.purgeBlocks(now)
}

// oldestEnding returns the ending that is the longest ago. trk.mu must be held.
func (trk *Tracker) oldestEnding() Ending {
	var out Ending
	var oldest time.Time
	for end, edn := range trk.endings {
		if oldest.IsZero() || edn.at.Before(oldest) {
			out, oldest = end, edn.at
		}
	}
	return out
}

// purgeSurvivals forgets survivals that are too old to refute a crash, and all of them
// if that is not enough. trk.mu must be held.
func (trk *Tracker) purgeSurvivals(now time.Time) {
	for part, at := range trk.survived {
		if age := now.Sub(at); age > retention || age > survivalMargin && len(trk.endings) == 0 {
			delete(trk.survived, part)
		}
	}
	for vid, at := range trk.answering {
		if now.Sub(at) > retention {
			delete(trk.answering, vid)
		}
	}
	if len(trk.survived) > maxSurvivals {
		trk.survived = nil
	}
}
