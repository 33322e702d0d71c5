package relay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/wire"
)

// maxSpread bounds by how much later than the end of a pause a caller is told to come again,
// and spreadShare is its part of the pause, so that not all callers come at once.
const (
	maxSpread   = 500 * time.Millisecond
	spreadShare = 0.25
)

// applySignals applies what the endpoint says of itself in an answer to this request, before
// the answer is passed on.
func (att *attempt) applySignals(now time.Time) {
	cfg, bke := &att.req.srv.cfg, att.tgt.Backend
	att.tgt.SetLimit(att.note.Limit, now)
	if att.note.RetryAfter > 0 {
		metrics.GetOrRegisterCounter("relay.pauses", nil).Inc(1)
		att.tgt.Pause(att.note.RetryAfter, now)
	}
	if att.note.Leaving && cfg.Pool.MarkLeaving(bke.ID, bke.Born, now) {
		cfg.EndpointLeaves(bke)
	}
}

// spread returns a random time from the end of a pause on.
func spread(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*min(spreadShare*float64(after), float64(maxSpread))) //nolint:gosec // need not be unpredictable
}

// afterPause returns the refusal with the time until an endpoint may be sent a request, if
// all of the service have asked for no requests.
func (req *request) afterPause(rfl refusal) refusal {
	after, ok := req.srv.cfg.Pool.Paused(req.service, time.Now())
	if !ok {
		return rfl
	}
	return refusalPaused.withRetryAfter(spread(after))
}

// replaceRetryAfter replaces the time that an endpoint has asked this entry for by what
// matters to the caller: when an endpoint may be sent a request.
func (req *request) replaceRetryAfter() {
	req.rct.Response.Header.Del(wire.HeaderRetry)
	if after, ok := req.srv.cfg.Pool.Paused(req.service, time.Now()); ok {
		setRetryAfter(req.rct, spread(after))
	}
}

// setRetryAfter sets the header of a response, in seconds with two decimals.
func setRetryAfter(rct *app.RequestContext, after time.Duration) {
	secs := math.Ceil(after.Seconds()*100) / 100
	rct.Response.Header.Set(wire.HeaderRetry, strconv.FormatFloat(secs, 'f', -1, 64))
}
