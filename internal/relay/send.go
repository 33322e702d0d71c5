package relay

import (
	"context"
	"errors"
	"net/http"
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

// An attempt is one dispatch of a request to one endpoint.
type attempt struct {
	req    *request
	tgt    *target
	sentAt time.Time
	rep    *wire.Reply
	note   wick.ReplyMeta
	// firstEventAt is when the first event was received, zero before.
	firstEventAt time.Time
	// received counts the events that were received.
	received int
	// survived is set once the endpoint is known to have survived the prompt, incomplete
	// if its connection ended before its answer did.
	survived, incomplete bool
	// silent is set if the watchdog ended the attempt.
	silent bool
	// progressAt is when the last part of the answer was received, or else when
	// the request was sent.
	progressAt time.Time
	// wdg cancels the attempt when its endpoint stalls; nil if the attempt is
	// not watched.
	wdg *watchdog
}

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
	// errTurnExpired reports that the deadline passed.
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
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
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
	que := pool.Query{
		Service: req.service, Model: len(req.params.Parts) > 0, Parts: req.params.Parts, InputTokens: req.params.InputTokens,
		OutputTokens: req.params.ExpectedOutput(), OnlyVersion: choice.Only, ExceptVersion: choice.Except, Exclude: tried, Resumed: resumed,
		MaxWait: maxWait, Now: now,
	}
	asg, err := req.srv.cfg.Pool.Pick(que)
	if err != nil && choice.Fallback {
		que.OnlyVersion = ""
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

// pickHandoffTarget picks an endpoint of the same version as old to move a run
// to.
func (req *request) pickHandoffTarget(old *target) (*target, error) {
	asg, err := req.srv.cfg.Pool.Pick(pool.Query{
		Service: req.service, Model: true, Parts: req.params.Parts, InputTokens: 0, OutputTokens: req.params.ExpectedOutput(), Resumed: true,
		OnlyVersion: old.Backend.Version, Exclude: req.tried, Now: time.Now(),
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	return &target{Assignment: asg}, nil
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
		Header: hdr, Body: req.rct.Request.Body(), NoRetry: true, CloseConn: req.ownConnection(),
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
		tgt.SetLimit(att.note.Limit, time.Now())
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

// markProgress records that a part of the answer was received.
func (att *attempt) markProgress() {
	att.progressAt = time.Now()
	att.wdg.markReceived(att.progressAt)
}

// recordIncomplete logs an attempt without a complete reply, with its cause. For a model
// request it logs the prompt's parts and how far the answer had got, since an endpoint
// that fails because of a request fails on its prompt.
func (att *attempt) recordIncomplete(msg string, otc outcome, err error) {
	if otc == outcomeCancelled {
		return
	}
	att.incomplete, att.silent = true, errors.Is(err, errEndpointSilent)
	fld := logrus.Fields{
		logs.FieldEnding: otc.String(), logs.FieldEndpoint: att.tgt.Backend.ID, "address": att.tgt.Backend.Address,
		logs.FieldError: err.Error(), "sentMs": time.Since(att.sentAt).Milliseconds(),
	}
	if parts := att.req.params.Parts; len(parts) > 0 {
		fld["parts"] = partIDs(parts)
		fld["received"] = att.received
		if !att.firstEventAt.IsZero() {
			fld["firstEventAgoMs"] = time.Since(att.firstEventAt).Milliseconds()
		}
	}
	att.req.logEvent(msg, fld)
}

// partIDs returns the ids of a prompt's parts in order.
func partIDs(parts []wick.PromptPart) []wick.PartID {
	out := make([]wick.PartID, len(parts))
	for idx := range parts {
		out[idx] = parts[idx].ID
	}
	return out
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
	case errors.Is(ctx.Err(), context.Canceled):
		return outcomeCancelled
	case errors.Is(err, wick.ErrNotSent):
		return outcomeNotSent
	case ctx.Err() != nil:
		return outcomeTimeout
	default:
		return outcomeLost
	}
}

// close closes the reply and reports the outcome to the pool and the version
// choice.
func (att *attempt) close(otc outcome) {
	if att.rep != nil {
		att.rep.Close()
	}
	att.reportCrash(otc)
	now := time.Now()
	att.tgt.Done(att.poolResult(otc, now), now)
	if att.tgt.choice.Done != nil {
		att.tgt.choice.Done(att.versionSample(otc, now))
	}
}

// versionSample returns the attempt's outcome as a sample for the endpoint's
// version.
func (att *attempt) versionSample(otc outcome, now time.Time) wick.VersionSample {
	smp := wick.VersionSample{
		VM: att.tgt.Backend.ID, Zone: att.tgt.Backend.Zone, Band: att.tgt.Band, At: now,
		Excluded: otc == outcomeNotSent || otc == outcomeRefused,
	}
	if !att.firstEventAt.IsZero() {
		smp.Out.FirstToken = att.firstEventAt.Sub(att.sentAt)
	} else {
		smp.Out.FirstToken = now.Sub(att.sentAt)
	}
	smp.Out.Late = att.req.late(smp.Out.FirstToken)
	smp.Out.Pace = att.pace(otc, now)
	smp.Out.Cancelled = otc == outcomeCancelled
	switch otc {
	case outcomeServerError, outcomeTimeout:
		smp.Out.Err = errEndpointFailed
	case outcomeLost:
		smp.Out.Err = wick.ErrUnknownOutcome
	default:
	}
	return smp
}

// minPaceEvents is the number of events of a stream from which its pace is known.
const minPaceEvents = 4

// pace returns the mean time between the events of a complete stream, or the time to a
// complete answer of another route; 0 if there was none.
func (att *attempt) pace(otc outcome, now time.Time) time.Duration {
	switch {
	case otc != outcomeReply:
		return 0
	case att.req.match.Route.Kind != wick.RouteStream:
		return now.Sub(att.sentAt)
	case att.received < minPaceEvents:
		return 0
	default:
		return now.Sub(att.firstEventAt) / time.Duration(att.received-1)
	}
}

var errEndpointFailed = errors.New("relay: the endpoint failed or timed out")

// poolResult returns the outcome for the pool. An attempt that its caller or the
// deadline ended counts against the endpoint if it had stalled.
func (att *attempt) poolResult(otc outcome, now time.Time) pool.Result {
	if res := poolResult(otc); res != pool.ResultCancelled || now.Sub(att.progressAt) < att.req.stallTime() {
		return res
	}
	return pool.ResultStalled
}

// minStallTime is the least time without progress after which an attempt has
// stalled. Sound endpoints that preempt a request or process long prompts pause for
// less than that.
const minStallTime = time.Second

// stallTime returns the time without progress after which an attempt has stalled.
func (req *request) stallTime() time.Duration {
	return max(minStallTime, 2*req.match.Route.Target)
}

func poolResult(otc outcome) pool.Result {
	switch otc {
	case outcomeReply:
		return pool.ResultAnswered
	case outcomeServerError:
		return pool.ResultFailed
	case outcomeRefused:
		return pool.ResultRefused
	case outcomeNotSent:
		return pool.ResultUnreachable
	case outcomeTimeout, outcomeCancelled:
		return pool.ResultCancelled
	default:
		return pool.ResultIncomplete
	}
}

// hasTime reports whether there is time for another attempt.
func (req *request) hasTime() bool { return time.Until(req.deadline) > minRemaining }

// finishWithoutReply answers a request for which there is no reply to forward.
func (req *request) finishWithoutReply(act action) {
	switch act {
	case actRefuse:
		req.refuse(refusalAllRefused)
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
