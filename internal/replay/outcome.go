package replay

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const movePollInterval = 50 * time.Millisecond

// checkOutcome checks the expectations that apply to the whole trace.
func (run *runner) checkOutcome(ctx context.Context) {
	run.checkExecutions()
	run.checkShares()
	run.checkMoves(ctx)
	if num := run.sit.Violations(); num > 0 {
		run.res.unmetf("%d invariant violations", num)
	}
}

// checkExecutions checks that no idempotency key was executed twice, that
// refused keys were not executed and that answered keys were.
func (run *runner) checkExecutions() {
	executed := make(map[wick.IdempotencyKey]int64)
	for _, pla := range run.plains {
		for key, num := range pla.Executions() {
			executed[wick.IdempotencyKey(key)] += num
		}
	}
	for key, fates := range run.res.keys {
		num := executed[key]
		if num > 1 {
			run.res.unmetf("key %s was executed %d times", key, num)
		}
		answered, refused := false, true
		for _, fate := range fates {
			answered = answered || fate == load.Answered
			refused = refused && fate == load.Refused
		}
		if answered && num == 0 {
			run.res.unmetf("key %s was answered but never executed", key)
		}
		if refused && num > 0 {
			run.res.unmetf("key %s was refused as not executed but was executed", key)
		}
	}
}

func (run *runner) checkShares() {
	total := 0
	for _, num := range run.res.Fates {
		total += num
	}
	want := run.trc.Header.Outcome.AnsweredShare
	if got := wick.Share(float64(run.res.Fates[load.Answered]) / float64(max(total, 1))); got < want {
		run.res.unmetf("share of answered calls is %.3f, want at least %.3f", got, want)
	}
	calls := make(map[wick.ModelVersion]int64)
	totalCalls := int64(0)
	for _, eng := range run.engines {
		for ver, num := range eng.Calls() {
			calls[ver] += num
			totalCalls += num
		}
	}
	for ver, bound := range run.trc.Header.Outcome.MaxVersionShare {
		if got := wick.Share(float64(calls[ver]) / float64(max(totalCalls, 1))); got > bound {
			run.res.unmetf("version %s got %.3f of the model calls, want at most %.3f", ver, got, bound)
		}
	}
}

// checkMoves polls the moves until they reach their expected states or
// SettleMillis has passed.
func (run *runner) checkMoves(ctx context.Context) {
	out := &run.trc.Header.Outcome
	if len(out.Moves) == 0 {
		return
	}
	deadline := time.Now().Add(out.SettleMillis.Duration())
	for {
		states, err := run.sit.Moves(ctx)
		mismatch := ""
		for name, want := range out.Moves {
			if states[name] != want {
				mismatch = name + " is " + states[name] + ", want " + want
			}
		}
		if err == nil && mismatch == "" {
			return
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			run.res.unmetf("moves: %s (%v)", mismatch, err)
			return
		}
		time.Sleep(movePollInterval)
	}
}
