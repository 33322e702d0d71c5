package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// survivalTime is how long an answer must have gone on after its first event for its
// endpoint to have survived the prompt.
const survivalTime = 300 * time.Millisecond

// Crashes decides which prompts may be sent to endpoints, from the ends of endpoints
// that had begun to answer them.
type Crashes interface {
	// Check decides about a prompt.
	Check(pro crash.Prompt) crash.Verdict
	// Lost records that an endpoint's connection ended before its answer to a prompt
	// had progressed. heardAt is when anything last came from the endpoint. The channel
	// is closed once it is known whether the endpoint has ended; it is nil if nobody need
	// wait for that.
	Lost(bke wick.Backend, pro crash.Prompt, heardAt time.Time) <-chan struct{}
	// Survived records that an endpoint began an answer to a prompt and survived it.
	Survived(bke wick.Backend, pro crash.Prompt, began time.Time)
}

// noCrashes is used where crashes are not tracked.
type noCrashes struct{}

func (noCrashes) Check(crash.Prompt) crash.Verdict                           { return crash.Verdict{} }
func (noCrashes) Lost(wick.Backend, crash.Prompt, time.Time) <-chan struct{} { return nil }
func (noCrashes) Survived(wick.Backend, crash.Prompt, time.Time)             {}

// noteProgress records that the endpoint has survived the prompt, once that is certain.
func (att *attempt) noteProgress(now time.Time) {
	const severalEvents = 2
	if !att.survived && att.received >= severalEvents && now.Sub(att.firstEventAt) >= survivalTime {
		att.markSurvived(att.firstEventAt)
	}
}

// markSurvived records that the endpoint has survived the prompt.
func (att *attempt) markSurvived(began time.Time) {
	if att.survived || len(att.req.prompt.Shared) == 0 {
		return
	}
	att.survived = true
	att.req.srv.cfg.Crashes.Survived(att.tgt.Backend, att.req.prompt, began)
}

// reportCrash tells what the outcome of the attempt says of the endpoint and the prompt.
func (att *attempt) reportCrash(otc outcome) {
	switch {
	case len(att.req.prompt.Shared) == 0:
	case otc == outcomeReply && att.rep.Status < http.StatusMultipleChoices && !att.firstEventAt.IsZero():
		att.markSurvived(att.firstEventAt)
	case otc == outcomeReply && att.req.match.Route.Kind != wick.RouteStream:
		att.markSurvived(att.sentAt)
	case otc == outcomeLost && att.incomplete && !att.survived:
		att.req.fate = att.req.srv.cfg.Crashes.Lost(att.tgt.Backend, att.req.prompt, att.heardAt())
	}
}

// heardAt returns when anything last came from the endpoint of a lost attempt: the end of
// the connection, unless the watchdog ended the attempt.
func (att *attempt) heardAt() time.Time {
	if att.silent && att.wdg != nil {
		return time.Unix(0, att.wdg.heard.Load())
	}
	return time.Now()
}

// awaitFate waits until it is known whether the endpoint of the last attempt has ended,
// if its end may show that the prompt must not be sent again.
func (req *request) awaitFate(ctx context.Context) {
	if req.fate == nil {
		return
	}
	select {
	case <-req.fate:
	case <-ctx.Done():
	}
	req.fate = nil
}
