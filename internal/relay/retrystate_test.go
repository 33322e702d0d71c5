package relay

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestRetryState guards against requests that are executed more often than their
// route allows, and against "not executed" refusals of requests that ran.
func TestRetryState(t *testing.T) {
	once := wick.RoutePlan{Kind: wick.RouteOnce, MaxAttempts: 1}
	twice := wick.RoutePlan{Kind: wick.RouteIdempotent, MaxAttempts: 2}
	stream := wick.RoutePlan{Kind: wick.RouteStream, MaxAttempts: 2}
	resumable := wick.RoutePlan{Kind: wick.RouteStream, MaxAttempts: 2, Resumable: true}
	for _, tst := range []struct {
		name     string
		rpl      wick.RoutePlan
		outcomes []outcome
		want     []action
	}{
		{"answer", once, []outcome{outcomeReply}, []action{actDeliver}},
		{"booking lost", once, []outcome{outcomeLost}, []action{actUnknown}},
		{"booking fails", once, []outcome{outcomeServerError}, []action{actDeliver}},
		{"booking refused, then answered", once, []outcome{outcomeRefused, outcomeReply}, []action{actRetry, actDeliver}},
		{"booking refused, then lost", once, []outcome{outcomeRefused, outcomeLost}, []action{actRetry, actUnknown}},
		{"booking refused by all", once, []outcome{outcomeRefused, outcomeNotSent, outcomeRefused}, []action{actRetry, actRetry, actRefuse}},
		{"lookup lost twice", twice, []outcome{outcomeLost, outcomeLost}, []action{actRetry, actUnknown}},
		{"lookup fails, then answered", twice, []outcome{outcomeServerError, outcomeReply}, []action{actRetry, actDeliver}},
		{"lookup fails, then lost", twice, []outcome{outcomeServerError, outcomeLost}, []action{actRetry, actDeliver}},
		{"lookup lost, then refused", twice, []outcome{outcomeLost, outcomeRefused}, []action{actRetry, actRetry}},
		{"lookup times out", twice, []outcome{outcomeTimeout}, []action{actTimeout}},
		{"stream lost", stream, []outcome{outcomeLost}, []action{actUnknown}},
		{"resumable stream lost", resumable, []outcome{outcomeLost, outcomeReply}, []action{actRetry, actDeliver}},
		{"caller disconnects", resumable, []outcome{outcomeCancelled}, []action{actDrop}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			rst := retryState{rpl: &tst.rpl}
			for idx, otc := range tst.outcomes {
				assertAction(t, rst.next(otc, func() bool { return true }), tst.want[idx])
			}
		})
	}
	t.Run("no budget", func(t *testing.T) {
		rst := retryState{rpl: &twice}
		assertAction(t, rst.next(outcomeLost, func() bool { return false }), actUnknown)
	})
	t.Run("budget is not spent without a retry", func(t *testing.T) {
		rst := retryState{rpl: &once}
		rst.next(outcomeLost, func() bool {
			t.Error("retry budget spent for a request that must not be retried")
			return true
		})
	})
}

func assertAction(t *testing.T, got, want action) {
	t.Helper()
	if got != want {
		t.Errorf("action = %v, want %v", got, want)
	}
}
