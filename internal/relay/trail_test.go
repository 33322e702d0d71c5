package relay

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestTrail guards against requests that run more often than their route
// allows, and against refusals that say "not executed" of requests that ran.
func TestTrail(t *testing.T) {
	once := wick.RoutePlan{Kind: wick.RouteOnce, MaxAttempts: 1}
	twice := wick.RoutePlan{Kind: wick.RouteIdempotent, MaxAttempts: 2}
	stream := wick.RoutePlan{Kind: wick.RouteStream, MaxAttempts: 2}
	resumable := wick.RoutePlan{Kind: wick.RouteStream, MaxAttempts: 2, Resumable: true}
	for _, tst := range []struct {
		name string
		rpl  wick.RoutePlan
		ends []ending
		want []action
	}{
		{"answer", once, []ending{endAnswer}, []action{actDeliver}},
		{"booking lost", once, []ending{endLost}, []action{actUnknown}},
		{"booking fails", once, []ending{endFailure}, []action{actDeliver}},
		{"booking refused, then answered", once, []ending{endRefused, endAnswer}, []action{actAgain, actDeliver}},
		{"booking refused, then lost", once, []ending{endRefused, endLost}, []action{actAgain, actUnknown}},
		{"booking refused by all", once, []ending{endRefused, endUnsent, endRefused}, []action{actAgain, actAgain, actRefuse}},
		{"lookup lost twice", twice, []ending{endLost, endLost}, []action{actAgain, actUnknown}},
		{"lookup fails, then answered", twice, []ending{endFailure, endAnswer}, []action{actAgain, actDeliver}},
		{"lookup fails, then lost", twice, []ending{endFailure, endLost}, []action{actAgain, actDeliver}},
		{"lookup lost, then refused", twice, []ending{endLost, endRefused}, []action{actAgain, actAgain}},
		{"lookup out of time", twice, []ending{endTimeout}, []action{actTimeout}},
		{"stream lost", stream, []ending{endLost}, []action{actUnknown}},
		{"resumable stream lost", resumable, []ending{endLost, endAnswer}, []action{actAgain, actDeliver}},
		{"caller leaves", resumable, []ending{endGone}, []action{actDrop}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			trl := trail{rpl: &tst.rpl}
			for idx, edg := range tst.ends {
				assertAction(t, trl.next(edg, func() bool { return true }), tst.want[idx])
			}
		})
	}
	t.Run("no budget", func(t *testing.T) {
		trl := trail{rpl: &twice}
		assertAction(t, trl.next(endLost, func() bool { return false }), actUnknown)
	})
	t.Run("budget is not asked without need", func(t *testing.T) {
		trl := trail{rpl: &once}
		trl.next(endLost, func() bool {
			t.Error("the budget was asked for a request that may not be sent again")
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
