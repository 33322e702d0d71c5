package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// timeoutGrace is how long after a request's deadline the relay still waits
	// for the reply, since the endpoint enforces the deadline too.
	timeoutGrace = 100 * time.Millisecond
	// minRemaining is the least time before the deadline with which a request
	// is retried.
	minRemaining = 20 * time.Millisecond
)

// A target is the endpoint picked for one attempt.
type target struct {
	*pool.Assignment
	choice Choice
}

// A blockedError reports that the prompt of a request must not be sent to an endpoint.
type blockedError struct{ retryAfter time.Duration }

func (*blockedError) Error() string { return "prompt is blocked, since it ends endpoints" }

// Errors of requests that waited for their turn at an endpoint.
var (
	// errCallerLeft reports that the caller closed its connection.
	errCallerLeft = errors.New("caller left")
	// errTurnExpired reports that the deadline passed, or the entry's drain ended.
	errTurnExpired = errors.New("deadline passed before the request's turn")
)

// pick picks an endpoint for the next attempt, which continues an earlier answer if
// resumed is set, and waits for the request's turn there.
func (req *request) pick(ctx context.Context, resumed bool) (*target, error) {
	// A second check of a trial would find the prompt blocked by the trial itself.
	if !req.secured.isTrial() {
		if vdc := req.srv.cfg.Crashes.Check(req.prompt); vdc.Blocked {
			return nil, &blockedError{vdc.RetryAfter}
		}
	}
	if tgt := req.takeSecured(); tgt != nil {
		req.tried = append(req.tried, tgt.Backend.ID)
		return tgt, nil
	}
	for {
		tgt, err := req.choose(req.tried, resumed, req.maxTurnWait(time.Now()))
		if err != nil {
			return nil, err
		}
		req.tried = append(req.tried, tgt.Backend.ID)
		if tgt.awaitTurn(ctx) {
			return tgt, nil
		}
		tgt.release()
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errDrainEnded):
			return nil, errTurnExpired
		case ctx.Err() != nil:
			return nil, errCallerLeft
		}
	}
}

// choose chooses an endpoint that is not in tried, and a version. The wait for the
// request's turn there is at most maxWait.
func (req *request) choose(tried []wick.VMID, resumed bool, maxWait time.Duration) (*target, error) {
	now := time.Now()
	choice := req.srv.cfg.Versions.Choose(req.service, req.match.Route.Name, now)
	que := req.query(choice, tried, resumed, maxWait, now)
	asg, err := req.srv.cfg.Pool.Pick(que)
	if err != nil && choice.Fallback {
		que.OnlyVersion = ""
		asg, err = req.srv.cfg.Pool.Pick(que)
	}
	if err != nil && len(choice.Avoid) > 0 {
		que.ExceptVersions = choice.Except
		asg, err = req.srv.cfg.Pool.Pick(que)
	}
	if err != nil {
		if choice.Done != nil {
			choice.Done(wick.VersionSample{Excluded: true, At: now})
		}
		return nil, err //nolint:wrapcheck // our own package
	}
	return &target{Assignment: asg, choice: choice}, nil
}

// query returns the query for an endpoint of a choice of versions that is not in tried.
func (req *request) query(choice Choice, tried []wick.VMID, resumed bool, maxWait time.Duration, now time.Time) pool.Query {
	que := pool.Query{
		Service: req.service, Model: len(req.params.Parts) > 0, Parts: req.params.Parts, InputTokens: req.params.InputTokens,
		OutputTokens: req.expectedOutput(), Expected: req.expected, OnlyVersion: choice.Only, ExceptVersions: slices.Concat(choice.Except, choice.Avoid), Exclude: tried, Resumed: resumed,
		MaxWait: maxWait, TargetGap: req.match.Route.TargetGap, Now: now,
	}
	que.Regions, que.CustomerRegions = req.regions()
	return que
}

// pickHandoffTarget picks an endpoint of the same version as old to move a run
// to.
func (req *request) pickHandoffTarget(old *target) (*target, error) {
	que := pool.Query{
		Service: req.service, Model: true, Parts: req.params.Parts, InputTokens: 0, OutputTokens: req.expectedOutput(), Expected: req.expected, Resumed: true,
		OnlyVersion: old.Backend.Version, Exclude: req.tried, Now: time.Now(),
	}
	que.Regions, que.CustomerRegions = req.regions()
	asg, err := req.srv.cfg.Pool.Pick(que)
	if err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	return &target{Assignment: asg}, nil
}

// regions returns the regions to which the route and the customer restrict the request.
func (req *request) regions() (route, customer []wick.Region) {
	if req.match.Customer != nil {
		customer = req.match.Customer.Regions
	}
	return req.match.Route.Regions, customer
}

// release returns a target to the pool that no request was sent to.
func (tgt *target) release() {
	now := time.Now()
	tgt.Unsent()
	tgt.Done(pool.ResultCancelled, now)
	if tgt.choice.Done != nil {
		tgt.choice.Done(wick.VersionSample{Excluded: true, At: now})
	}
}

// dispatch sends the request to the endpoint of tgt and reads the reply's
// headers. If they are those of a valid reply, the outcome is preliminary: it
// still depends on the body.
func (req *request) dispatch(ctx context.Context, tgt *target, lastEventID string, cpy wick.RunSnapshot) (att *attempt, otc outcome) {
	now := time.Now()
	att = &attempt{req: req, tgt: tgt, sentAt: now, progressAt: now}
	hdr := req.header.Clone()
	dsp := wick.Dispatch{
		Endpoint: tgt.Backend.ID, Deadline: req.deadline.Sub(att.sentAt), Rank: req.match.Rank(), LastEventID: lastEventID, Snapshot: cpy,
	}
	if req.match.Customer != nil {
		dsp.Customer = req.match.Customer.Name
	}
	req.srv.cfg.Dialect.WriteDispatch(hdr, dsp)
	if tgt.Limited() {
		metrics.GetOrRegisterCounter("relay.sentLimited."+sendWay(&dsp, req.retries.attempts), nil).Inc(1)
	}
	rep, err := req.srv.cfg.Client.Do(ctx, wire.Call{
		Method: string(req.rct.Method()), URL: "http://" + tgt.Backend.Address,
		Host: string(req.rct.Request.Header.Host()), Target: string(req.rct.Request.Header.RequestURI()),
		Header: hdr, Body: req.body, NoRetry: true, CloseConn: req.ownConnection(),
		StallTimeout: req.deadline.Sub(att.sentAt) + 2*timeoutGrace,
	})
	if err != nil {
		otc = req.classifyError(ctx, err)
		att.recordIncomplete(logs.MsgNoReply, otc, lossCause(ctx, err))
		return att, otc
	}
	att.rep = rep
	att.note = req.srv.cfg.Dialect.ReadReply(rep.Status, rep.Header)
	if !req.isStray(att.note) {
		att.applySignals(time.Now())
	}
	defer func() {
		if otc == outcomeLost || otc == outcomeRefused {
			req.logBadReply(att, otc)
		}
	}()
	switch {
	case req.isStray(att.note):
		metrics.GetOrRegisterCounter("relay.strayReplies", nil).Inc(1)
		return att, outcomeLost
	case att.note.NotExecuted:
		return att, outcomeRefused
	case !att.note.Authentic:
		return att, outcomeLost
	case rep.Status >= http.StatusInternalServerError:
		return att, outcomeServerError
	default:
		return att, outcomeReply
	}
}

// sendWay returns how a request comes to an endpoint, for metrics: as its first attempt,
// as a further one, or as a run that is moved.
func sendWay(dsp *wick.Dispatch, attempts int) string {
	switch {
	case dsp.Snapshot != "":
		return "moved"
	case attempts > 0:
		return "again"
	default:
		return "first"
	}
}

// logBadReply logs a refusal, or a reply that doesn't belong to the request.
func (req *request) logBadReply(att *attempt, otc outcome) {
	req.logEvent(logs.MsgBadReply, logrus.Fields{
		logs.FieldEnding: otc.String(), logs.FieldEndpoint: att.tgt.Backend.ID, logs.FieldStatus: att.rep.Status,
		"replyTo": att.note.Request, "signed": att.note.Authentic, "refused": att.note.NotExecuted,
	})
}

// classifyError returns the outcome of an attempt that failed with err before
// its reply was complete.
func (req *request) classifyError(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errEndpointSilent):
		return outcomeLost
	case errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errDrainEnded):
		return outcomeCancelled
	case errors.Is(err, wick.ErrNotSent):
		return outcomeNotSent
	case ctx.Err() != nil:
		return outcomeTimeout
	default:
		return outcomeLost
	}
}

// deadlineTolerance covers the rounding of the deadlines that endpoints are given.
const deadlineTolerance = 5 * time.Millisecond

// endsWithDeadline reports whether a reply that has just ended may have been cut off by
// the deadline that its endpoint was given: without a length or chunks it then ends like a
// complete one.
func (req *request) endsWithDeadline(rep *wire.Reply) bool {
	return !rep.IsDelimited() && time.Until(req.deadline) < deadlineTolerance
}

// hasTime reports whether there is time for another attempt.
func (req *request) hasTime() bool {
	return time.Until(req.deadline) > minRemaining && req.srv.ending.Err() == nil
}

// finishWithoutReply answers a request for which there is no reply to forward.
func (req *request) finishWithoutReply(act action) {
	switch act {
	case actRefuse:
		req.refuse(req.afterPause(refusalAllRefused))
	case actTimeout:
		rfl := refusalTimeout
		if req.retries.possibleRuns == 0 {
			rfl = refusalExpired
		}
		req.fail(rfl)
	case actUnknown, actDeliver:
		req.fail(refusalOutcomeUnknown)
	case actDrop:
		// Without a status the server would answer 404.
		refusalCallerLeft.write(req.rct)
		req.rct.SetConnectionClose()
		req.logEvent(logs.MsgCallerLeft, logrus.Fields{})
	case actRetry:
	}
}

// fail answers with a refusal without a refund, since the request may have run.
func (req *request) fail(rfl refusal) { req.writeRefusal(logs.MsgFailed, rfl) }

// copyReplyHeader copies the endpoint's status and end-to-end headers to the
// response.
func (req *request) copyReplyHeader(rep *wire.Reply) {
	removeHopByHop(rep.Header, strings.Split(rep.Header.Get("Connection"), ","))
	req.rct.SetStatusCode(rep.Status)
	for name, vals := range rep.Header {
		for _, val := range vals {
			req.rct.Response.Header.Add(name, val)
		}
	}
}
