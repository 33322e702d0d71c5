package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestTurnPastDeadline guards against a request that ends without any answer because its
// deadline passed while it waited for its turn at an endpoint: the connection of a caller
// that is still there must not be closed as if it had left.
func TestTurnPastDeadline(t *testing.T) {
	for _, tst := range []struct {
		name string
		ctx  func() (context.Context, context.CancelFunc)
		want error
	}{
		{"deadline passed", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 20*time.Millisecond)
		}, errTurnExpired},
		{"caller left", func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, cancel
		}, errCallerLeft},
	} {
		t.Run(tst.name, func(t *testing.T) {
			req := newQueuedRequest(t)
			ctx, cancel := tst.ctx()
			defer cancel()
			if _, err := req.pick(ctx, false); !errors.Is(err, tst.want) {
				t.Errorf("pick: %v, want %v", err, tst.want)
			}
		})
	}
}

// newQueuedRequest returns a request whose turn at the only endpoint, which limits its
// requests, is seconds away: the limiter begins with a random part of a request, but another
// request waits for its turn there, so that this one is at least a whole request later.
func newQueuedRequest(t *testing.T) *request {
	t.Helper()
	rly := newTestRelay(t, 1, nil)
	now := time.Now()
	req := &request{
		srv: rly.srv, service: "s", deadline: now.Add(time.Minute),
		match: plan.Match{Route: &wick.RoutePlan{Kind: wick.RouteIdempotent}},
	}
	limited, err := req.choose(nil, false, 0)
	if err != nil {
		t.Fatal(err)
	}
	limited.SetLimit(wick.RateLimit{Set: true, PerSecond: 0.5}, now)
	if _, err := req.choose(nil, false, time.Minute); err != nil {
		t.Fatal(err)
	}
	return req
}
