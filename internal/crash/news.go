package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// recordAge is how long an entry repeats the crashes that it saw in its record.
	recordAge = 20 * time.Second
	// maxRecorded bounds the crashes in a record.
	maxRecorded = 16
	// maxSightingNews and maxSurvivalNews bound the crashes and the survivals in one message,
	// which is then shorter than wick.MaxMessageBytes. Further crashes wait for the next one.
	maxSightingNews = 6
	maxSurvivalNews = 128
)

// News is what an entry tells the others. Times are given as ages, since the entries'
// clocks differ.
type News struct {
	Sightings []Sighting `cbor:"1,keyasint,omitempty" json:"sightings,omitempty"`
	Survivals []Survival `cbor:"2,keyasint,omitempty" json:"survivals,omitempty"`
	Blocks    []Block    `cbor:"3,keyasint,omitempty" json:"blocks,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (nws *News) IsEmpty() bool {
	return len(nws.Sightings) == 0 && len(nws.Survivals) == 0 && len(nws.Blocks) == 0
}

// A Sighting is an ending as one entry saw it.
type Sighting struct {
	Ending    `cbor:"1,keyasint"`
	AgeMillis int64 `cbor:"2,keyasint" json:"ageMillis"`
	// Prompts are those that the entry had in flight there and that had not progressed.
	Prompts []Prompt `cbor:"3,keyasint" json:"prompts"`
}

// A Survival tells that an endpoint survived a prompt.
type Survival struct {
	Ending `cbor:"1,keyasint"`
	// AgeMillis is the time since the answer began.
	AgeMillis int64  `cbor:"2,keyasint" json:"ageMillis"`
	Prompt    Prompt `cbor:"3,keyasint" json:"prompt"`
}

// A Block is the state of a block.
type Block struct {
	Parts Parts `cbor:"1,keyasint" json:"parts"`
	// Own limits the block to prompts with this last part, unless it is "".
	Own    wick.PartID `cbor:"6,keyasint,omitempty" json:"own,omitempty"`
	Round  int         `cbor:"2,keyasint" json:"round"`
	Lifted bool        `cbor:"3,keyasint,omitempty" json:"lifted,omitempty"`
	Trials int         `cbor:"4,keyasint,omitempty" json:"trials,omitempty"`
	// AgeMillis is the time since the last crash or trial, or since it was lifted.
	AgeMillis int64 `cbor:"5,keyasint" json:"ageMillis"`
}

func (blk *block) export(now time.Time) Block {
	return Block{
		Parts: blk.parts, Own: blk.own, Round: blk.round, Lifted: blk.lifted, Trials: blk.trials,
		AgeMillis: now.Sub(blk.base).Milliseconds(),
	}
}

func (edn *ending) export(end Ending, prompts []Prompt, now time.Time) Sighting {
	return Sighting{Ending: end, AgeMillis: now.Sub(edn.at).Milliseconds(), Prompts: prompts}
}

// ago returns the time of an age. One that is negative or too large is cut to the limit.
func ago(ageMillis int64, now time.Time) time.Time {
	age := time.Duration(min(max(ageMillis, 0), maxBlockAge.Milliseconds())) * time.Millisecond
	return now.Add(-age)
}

// TakeNews returns what to tell the other entries, and which blocks have changed, since
// the last call.
func (trk *Tracker) TakeNews(now time.Time) (News, []Change) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.evaluateIfDue(now)
	nws, changes := trk.outbox, trk.changes
	trk.outbox, trk.changes = News{}, nil
	if len(nws.Sightings) > maxSightingNews {
		trk.outbox.Sightings = nws.Sightings[maxSightingNews:]
		nws.Sightings = nws.Sightings[:maxSightingNews]
	}
	return nws, changes
}

// HasPending reports whether there is evidence that can't be evaluated yet, or news.
func (trk *Tracker) HasPending() bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.dirty || !trk.outbox.IsEmpty()
}

// briefs returns prompts in the form in which they are sent to other entries: maxDigests long
// ones and maxPrompts in all, and one digest of the others.
func briefs(prompts []Prompt) []Prompt {
	var out []Prompt
	var merged Digest
	digests := 0
	for idx := range prompts {
		pro := &prompts[idx]
		isLong := len(pro.Shared) > maxListed
		if len(out) >= maxPrompts || isLong && digests >= maxDigests {
			if merged == nil {
				merged = make(Digest, mergedBytes)
			}
			merged.add(pro.Shared)
			continue
		}
		if isLong {
			digests++
		}
		out = append(out, pro.brief())
	}
	if merged != nil {
		out = append(out, Prompt{Digest: merged})
	}
	return out
}

// Samples returns prompts without digests, with a sample of the parts of long ones.
func Samples(prompts []Prompt) []Prompt {
	out := make([]Prompt, len(prompts))
	for idx, pro := range prompts {
		out[idx] = Prompt{Shared: pro.listed(), Own: pro.Own}
	}
	return out
}

// reportSurvival adds a survival to the news. Of a long prompt it has the parts that are
// suspected or blocked. trk.mu must be held.
func (trk *Tracker) reportSurvival(end Ending, pro Prompt, began, now time.Time) {
	if len(trk.outbox.Survivals) >= maxSurvivalNews {
		trk.fallbacks.UnsentSurvivals++
		return
	}
	if len(pro.Shared) > maxListed {
		pro.Shared = trk.questioned(pro.Shared)
	}
	if num := len(pro.Shared); num > maxListed {
		trk.fallbacks.UnsentSurvivals += uint64(num - maxListed)
		pro.Shared = pro.Shared.sample()
	}
	trk.outbox.Survivals = append(trk.outbox.Survivals, Survival{Ending: end, Prompt: pro, AgeMillis: now.Sub(began).Milliseconds()})
}

// questioned returns the parts that are suspected or blocked. trk.mu must be held.
func (trk *Tracker) questioned(prt Parts) Parts {
	var out Parts
	for _, part := range prt {
		if trk.suspects[part] || trk.isBlockedWith(part) {
			out = append(out, part)
		}
	}
	return out
}

// isBlockedWith reports whether a block has a part. trk.mu must be held.
func (trk *Tracker) isBlockedWith(part wick.PartID) bool {
	for _, blk := range trk.blocks {
		if !blk.lifted && blk.parts.has(part) {
			return true
		}
	}
	return false
}

// Record returns what the entry publishes about itself: the blocks, for entries that
// start later, and its own last crashes, for those that its messages do not reach.
func (trk *Tracker) Record(now time.Time) News {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.purge(now)
	var out News
	for end, edn := range trk.endings {
		if len(edn.own) > 0 && !edn.void && now.Sub(edn.at) < recordAge {
			out.Sightings = append(out.Sightings, edn.export(end, Samples(edn.own), now))
		}
	}
	slices.SortFunc(out.Sightings, func(one, two Sighting) int { return cmp.Compare(one.AgeMillis, two.AgeMillis) })
	out.Sightings = out.Sightings[:min(len(out.Sightings), maxRecorded)]
	for _, blk := range trk.blocks {
		out.Blocks = append(out.Blocks, blk.export(now))
	}
	return out
}

// Merge applies the news of another entry.
func (trk *Tracker) Merge(nws News, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for idx := range nws.Sightings {
		sig := &nws.Sightings[idx]
		trk.addPrompts(sig.Ending, sig.Prompts, maxPrompts, ago(sig.AgeMillis, now), now)
	}
	for idx := range nws.Survivals {
		sur := &nws.Survivals[idx]
		trk.survive(sur.Ending, sur.Prompt, ago(sur.AgeMillis, now), now)
	}
	for idx := range nws.Blocks {
		trk.mergeBlock(&nws.Blocks[idx], now)
	}
	trk.evaluateIfDue(now)
}

// mergeBlock applies another entry's state of a block, if that is newer. trk.mu must be
// held.
func (trk *Tracker) mergeBlock(msg *Block, now time.Time) {
	if len(msg.Parts) == 0 || len(msg.Parts) > maxListed {
		return
	}
	if trk.blocks == nil {
		trk.blocks = make(map[string]*block)
	}
	key := blockKey(msg.Parts, msg.Own)
	own := trk.blocks[key]
	next := &block{parts: msg.Parts, own: msg.Own, round: msg.Round, lifted: msg.Lifted, trials: msg.Trials, base: ago(msg.AgeMillis, now)}
	switch {
	case own == nil || next.isNewer(own):
		trk.blocks[key] = next
		if wasBlocked := own != nil && !own.lifted; wasBlocked == next.lifted {
			trk.changes = append(trk.changes, Change{Parts: next.parts, Own: next.own, Lifted: next.lifted})
		}
		if !next.lifted && trk.refutes(next) {
			trk.lift(next, now)
		}
	case next.trials > own.trials && next.round == own.round && !own.lifted:
		own.trials, own.base = next.trials, next.base
	}
}

// isNewer reports whether a state of a block replaces another one.
func (blk *block) isNewer(own *block) bool {
	return blk.round > own.round || blk.round == own.round && blk.lifted && !own.lifted
}
