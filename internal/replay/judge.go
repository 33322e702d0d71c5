package replay

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const settlePoll = 50 * time.Millisecond

// judge checks the outcomes that hold for the whole trace.
func (run *runner) judge(ctx context.Context) {
	run.judgeKeys()
	run.judgeShares()
	run.judgeMoves(ctx)
	if num := run.sit.Violations(); num > 0 {
		run.res.missf("%d invariants were violated", num)
	}
}

// judgeKeys checks that no key ran twice, that refused keys have not run and
// that answered keys have.
func (run *runner) judgeKeys() {
	executed := make(map[wick.IdempotencyKey]int64)
	for _, pla := range run.plains {
		for key, num := range pla.Executions() {
			executed[wick.IdempotencyKey(key)] += num
		}
	}
	for key, fates := range run.res.keys {
		num := executed[key]
		if num > 1 {
			run.res.missf("key %s ran %d times", key, num)
		}
		answered, refused := false, true
		for _, fate := range fates {
			answered = answered || fate == load.Answered
			refused = refused && fate == load.Refused
		}
		if answered && num == 0 {
			run.res.missf("key %s was answered and never ran", key)
		}
		if refused && num > 0 {
			run.res.missf("key %s was refused as not executed and ran", key)
		}
	}
}

func (run *runner) judgeShares() {
	total := 0
	for _, num := range run.res.Fates {
		total += num
	}
	want := run.trc.Header.Outcome.AnsweredShare
	if got := wick.Share(float64(run.res.Fates[load.Answered]) / float64(max(total, 1))); got < want {
		run.res.missf("share of answered calls is %.3f, stated is %.3f", got, want)
	}
	calls := make(map[wick.ModelVersion]int64)
	sum := int64(0)
	for _, eng := range run.engines {
		for ver, num := range eng.Calls() {
			calls[ver] += num
			sum += num
		}
	}
	for ver, bound := range run.trc.Header.Outcome.MaxVersionShare {
		if got := wick.Share(float64(calls[ver]) / float64(max(sum, 1))); got > bound {
			run.res.missf("version %s got %.3f of the model calls, stated is at most %.3f", ver, got, bound)
		}
	}
}

// judgeMoves waits for the stated states of the moves.
func (run *runner) judgeMoves(ctx context.Context) {
	out := &run.trc.Header.Outcome
	if len(out.Moves) == 0 {
		return
	}
	end := time.Now().Add(out.SettleMillis.Duration())
	for {
		states, err := run.sit.Moves(ctx)
		missing := ""
		for name, want := range out.Moves {
			if states[name] != want {
				missing = name + " is " + states[name] + ", stated is " + want
			}
		}
		if err == nil && missing == "" {
			return
		}
		if time.Now().After(end) || ctx.Err() != nil {
			run.res.missf("moves: %s (%v)", missing, err)
			return
		}
		time.Sleep(settlePoll)
	}
}
