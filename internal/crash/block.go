package crash

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// firstTrialDelay is the time from the last crash until one prompt with blocked
	// parts is tried. It doubles with each trial up to maxTrialDelay.
	firstTrialDelay = 20 * time.Second
	maxTrialDelay   = 10 * time.Minute
	// trialSlot separates the turns of the entries at a trial, so that one of them starts
	// it and the others hear of it.
	trialSlot = 2 * time.Second
	// minRetryAfter is the least delay that callers of blocked prompts are told.
	minRetryAfter = time.Second
	// maxBlockAge is how long parts stay blocked that nobody asks for.
	maxBlockAge = 20 * time.Minute
	// maxBlocks bounds the blocked sets of parts.
	maxBlocks = 64
)

// A block is a set of parts. Prompts that have all of them are refused.
type block struct {
	parts Parts
	// own limits the block to prompts with this last part, unless it is "".
	own wick.PartID
	// round counts how often the set was blocked. Of two states of a block the later
	// round is newer, and within a round the lifted one.
	round  int
	lifted bool
	// trials counts the trials of the round.
	trials int
	// base is the time of the last crash or trial, or when the block was lifted.
	base time.Time
}

// blockKey identifies a block.
func blockKey(parts Parts, own wick.PartID) string { return parts.key() + ";" + string(own) }

// matches reports whether the block concerns a prompt.
func (blk *block) matches(pro Prompt) bool {
	return (blk.own == "" || blk.own == pro.Own) && pro.hasAll(blk.parts)
}

// matchesAny reports whether the block concerns one of the prompts.
func (blk *block) matchesAny(prompts []Prompt) bool { return slices.ContainsFunc(prompts, blk.matches) }

// A Change is a block that was created or lifted.
type Change struct {
	Parts Parts
	// Own limits the block to prompts with this last part, unless it is "".
	Own wick.PartID
	// Crashes is the number of crashes that a block was created for, 0 if another entry
	// created it.
	Crashes int
	Lifted  bool
}

// A Verdict states whether a prompt may be sent to an endpoint.
type Verdict struct {
	Blocked bool
	// RetryAfter is the time until a blocked prompt may be tried.
	RetryAfter time.Duration
	// Trial is set for a prompt that is let through to find out whether it still ends
	// its endpoint.
	Trial bool
}

// Check decides about a prompt. rank is this entry's position, from 0, among the entries
// that may start the trial of a block, which is identified by a key.
func (trk *Tracker) Check(pro Prompt, rank func(key string) int, now time.Time) Verdict {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.evaluateIfDue(now)
	if len(trk.blocks) == 0 || len(pro.Shared) == 0 {
		return Verdict{}
	}
	trk.purgeBlocks(now)
	out, due := trk.match(pro, rank, now)
	for _, blk := range due {
		blk.trials++
		blk.base = now
		trk.outbox.Blocks = append(trk.outbox.Blocks, blk.export(now))
	}
	out.Trial = len(due) > 0
	return out
}

// Peek returns what Check would decide about a prompt. It starts no trial, and evidence that
// has not been evaluated yet does not count.
func (trk *Tracker) Peek(pro Prompt, rank func(key string) int, now time.Time) Verdict {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if len(pro.Shared) == 0 {
		return Verdict{}
	}
	out, due := trk.match(pro, rank, now)
	out.Trial = len(due) > 0
	return out
}

// match returns the verdict of the blocks that concern a prompt, and those of which a trial
// is due unless the prompt is blocked. trk.mu must be held.
func (trk *Tracker) match(pro Prompt, rank func(key string) int, now time.Time) (out Verdict, due []*block) {
	for key, blk := range trk.blocks {
		if blk.lifted || now.Sub(blk.base) > maxBlockAge || !blk.matches(pro) {
			continue
		}
		at := blk.trialAt()
		if now.Before(at) || now.Before(at.Add(time.Duration(rank(key))*trialSlot)) {
			out.Blocked = true
			out.RetryAfter = max(out.RetryAfter, at.Sub(now), minRetryAfter)
			continue
		}
		due = append(due, blk)
	}
	if out.Blocked {
		return out, nil
	}
	return out, due
}

// trialAt returns when the next trial is due.
func (blk *block) trialAt() time.Time {
	return blk.base.Add(min(firstTrialDelay<<min(blk.trials, 8), maxTrialDelay))
}

// block blocks the set of parts of a finding. trk.mu must be held.
func (trk *Tracker) block(fnd finding, now time.Time) {
	if trk.blocks == nil {
		trk.blocks = make(map[string]*block)
	}
	key := blockKey(fnd.parts, fnd.own)
	blk := &block{parts: fnd.parts, own: fnd.own, round: 1, base: fnd.at}
	if old := trk.blocks[key]; old != nil {
		blk.round = old.round + 1
	}
	trk.blocks[key] = blk
	trk.outbox.Blocks = append(trk.outbox.Blocks, blk.export(now))
	trk.changes = append(trk.changes, Change{Parts: blk.parts, Own: blk.own, Crashes: fnd.crashes})
}

// lift lifts a block. trk.mu must be held.
func (trk *Tracker) lift(blk *block, now time.Time) {
	blk.lifted = true
	blk.base = now
	trk.outbox.Blocks = append(trk.outbox.Blocks, blk.export(now))
	trk.changes = append(trk.changes, Change{Parts: blk.parts, Own: blk.own, Lifted: true})
}

// purgeBlocks forgets old blocks. trk.mu must be held.
func (trk *Tracker) purgeBlocks(now time.Time) {
	var least string
	for key, blk := range trk.blocks {
		age := now.Sub(blk.base)
		if age > maxBlockAge || blk.lifted && age > retention {
			delete(trk.blocks, key)
			continue
		}
		if least == "" || blk.precedes(trk.blocks[least]) {
			least = key
		}
	}
	if len(trk.blocks) > maxBlocks {
		if !trk.blocks[least].lifted {
			trk.fallbacks.ForgottenBlocks++
		}
		delete(trk.blocks, least)
	}
}

// precedes reports whether the block is to be forgotten before another one: lifted ones first,
// then the one of the oldest crash.
func (blk *block) precedes(other *block) bool {
	if blk.lifted != other.lifted {
		return blk.lifted
	}
	return blk.base.Before(other.base)
}
