package relay

import (
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/wire"
)

// A refusal is an answer that the relay generates itself.
type refusal struct {
	status int
	// reason is a stable identifier for logs, metrics and callers.
	reason string
	// executed is executedNo if the request did not run and never will.
	executed string
	// retryAfter is the delay of the Retry-After header; 0 omits the header.
	retryAfter time.Duration
}

const (
	executedNo      = "no"
	executedUnknown = "unknown"
)

// Refusals of the relay.
var (
	refusalNoPlan         = refusal{503, logs.ReasonNoPlan, executedNo, 500 * time.Millisecond}
	refusalStalePlan      = refusal{503, logs.ReasonStalePlan, executedNo, 500 * time.Millisecond}
	refusalNoRoute        = refusal{404, logs.ReasonNoRoute, executedNo, 0}
	refusalNoCustomer     = refusal{401, logs.ReasonNoCustomer, executedNo, 0}
	refusalDraining       = refusal{503, logs.ReasonDraining, executedNo, 50 * time.Millisecond}
	refusalNoMemory       = refusal{503, logs.ReasonNoMemory, executedNo, 500 * time.Millisecond}
	refusalBodySize       = refusal{413, logs.ReasonBodySize, executedNo, 0}
	refusalTrailerSize    = refusal{431, logs.ReasonTrailerSize, executedNo, 0}
	refusalBodySlow       = refusal{408, logs.ReasonBodySlow, executedNo, 0}
	refusalBodyBroken     = refusal{400, logs.ReasonBodyBroken, executedNo, 0}
	refusalQuota          = refusal{429, logs.ReasonQuota, executedNo, 0}
	refusalPromptBlocked  = refusal{503, logs.ReasonPromptBlocked, executedNo, 0}
	refusalLimited        = refusal{503, logs.ReasonEndpointsLimited, executedNo, 0}
	refusalPaused         = refusal{503, logs.ReasonEndpointsPaused, executedNo, 0}
	refusalNoEndpoint     = refusal{503, logs.ReasonNoEndpoint, executedNo, 300 * time.Millisecond}
	refusalAllRefused     = refusal{503, logs.ReasonEndpointsRefused, executedNo, 200 * time.Millisecond}
	refusalOutcomeUnknown = refusal{502, logs.ReasonOutcomeUnknown, executedUnknown, 0}
	refusalCallerLeft     = refusal{502, logs.ReasonCallerLeft, executedUnknown, 0}
	refusalTimeout        = refusal{504, logs.ReasonTimeout, executedUnknown, 0}
	refusalExpired        = refusal{503, logs.ReasonExpired, executedNo, 100 * time.Millisecond}
)

// withRetryAfter returns a copy of the refusal with another retry delay.
func (rfl refusal) withRetryAfter(after time.Duration) refusal {
	rfl.retryAfter = after
	return rfl
}

// write sets the refusal as the response.
func (rfl refusal) write(rct *app.RequestContext) {
	metrics.GetOrRegisterCounter(logs.MetricRefused+rfl.reason, nil).Inc(1)
	body, err := json.Marshal(wire.Problem{Type: "/problems/" + rfl.reason, Status: rfl.status, Executed: rfl.executed})
	if err != nil {
		log.WithError(err).Error("relay: failed to encode the refusal as JSON")
	}
	rct.SetStatusCode(rfl.status)
	rct.Response.Header.Set(wire.HeaderType, wire.ProblemMedia)
	if rfl.retryAfter > 0 {
		setRetryAfter(rct, rfl.retryAfter)
	}
	rct.Response.SetBody(body)
}
