package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/wire"
)

// maxReplyBytes bounds the body of a buffered reply.
const maxReplyBytes = 8 << 20

// A bufferedReply is a complete reply of an endpoint.
type bufferedReply struct {
	rep  *wire.Reply
	body []byte
	// retryAfter is the pause that the endpoint has asked for.
	retryAfter time.Duration
}

// serveBuffered answers a request with a single reply. The reply is buffered
// completely before it is forwarded, so that the request can be retried on
// another endpoint if the reply is truncated.
func (req *request) serveBuffered(ctx context.Context) {
	var lastReply *bufferedReply
	for {
		tgt, err := req.pick(ctx, false)
		if err != nil {
			req.concludeNoEndpoint(lastReply, err)
			return
		}
		att, otc := req.dispatch(ctx, tgt, req.params.LastEventID, "")
		var brp *bufferedReply
		if otc == outcomeReply || otc == outcomeServerError {
			brp, otc = req.bufferReply(ctx, att, otc)
		}
		att.close(otc)
		if otc.mayHaveRun() {
			req.countStart(att.sentAt)
		}
		if brp != nil {
			lastReply = brp
		}
		act := req.retries.next(otc, req.acquireRetry)
		if act == actRetry {
			req.logEvent(logs.MsgRetried, logrus.Fields{"after": otc.String()})
			req.awaitFate(ctx)
			continue
		}
		req.conclude(act, lastReply)
		return
	}
}

// acquireRetry reports whether there is time for another attempt and, if so,
// whether the retry budget grants it.
func (req *request) acquireRetry() bool {
	switch {
	case req.secured.held():
		return true
	case !req.hasTime():
		req.retries.denied = deniedTime
	case !req.srv.cfg.Budget.Take():
		req.retries.denied = deniedBudget
	default:
		return true
	}
	return false
}

// bufferReply reads the body of a reply to its end.
func (req *request) bufferReply(ctx context.Context, att *attempt, otc outcome) (*bufferedReply, outcome) {
	body, err := req.readBody(att.rep)
	if err != nil {
		otc = req.classifyError(ctx, err)
		att.recordIncomplete(logs.MsgResponseAborted, otc, err)
		return nil, otc
	}
	if otc == outcomeReply && req.endsWithDeadline(att.rep) {
		att.recordIncomplete(logs.MsgResponseAborted, outcomeTimeout, errEndsWithDeadline)
		return nil, outcomeTimeout
	}
	if otc == outcomeReply {
		otc = att.confirmEnd(ctx)
	}
	if otc != outcomeReply && otc != outcomeServerError {
		return nil, otc
	}
	return &bufferedReply{rep: att.rep, body: body, retryAfter: att.note.RetryAfter}, otc
}

// readBody reads a reply's body to its end. A reply that exceeds maxReplyBytes or
// the memory for replies fails.
func (req *request) readBody(rep *wire.Reply) ([]byte, error) {
	var buf bytes.Buffer
	for {
		buf.Grow(readBufferBytes)
		chunk := buf.AvailableBuffer()[:readBufferBytes]
		num, err := rep.Read(chunk)
		buf.Write(chunk[:num])
		switch {
		case errors.Is(err, io.EOF):
			return buf.Bytes(), nil
		case err != nil:
			return nil, err //nolint:wrapcheck // classified by the caller
		case buf.Len() > maxReplyBytes:
			return nil, errReplySize
		case !req.buffered.grow(int64(buf.Cap())):
			return nil, errReplyMemory
		}
	}
}

// concludeNoEndpoint answers a request for which no further endpoint could be
// picked: with the last complete reply if there is one, otherwise with the
// refusal that matches the attempts so far.
func (req *request) concludeNoEndpoint(lastReply *bufferedReply, err error) {
	var blocked *blockedError
	var limited *pool.LimitedError
	var paused *pool.PausedError
	switch {
	case lastReply != nil:
		req.conclude(actDeliver, lastReply)
	case req.retries.possibleRuns > 0:
		req.fail(refusalOutcomeUnknown)
	case errors.As(err, &blocked):
		req.refuse(refusalPromptBlocked.withRetryAfter(blocked.retryAfter))
	case errors.Is(err, errCallerLeft):
		req.finishWithoutReply(actDrop)
	case errors.Is(err, errTurnExpired):
		req.finishWithoutReply(actTimeout)
	case errors.As(err, &limited) && limited.Cold:
		req.refuse(refusalLimited.withRetryAfter(spread(limited.RetryAfter)))
	case errors.As(err, &limited):
		req.refuse(refusalLimited.withRetryAfter(limited.RetryAfter))
	case errors.As(err, &paused):
		req.refuse(refusalPaused.withRetryAfter(spread(paused.RetryAfter)))
	case req.retries.attempts > 0:
		req.refuse(refusalAllRefused)
	default:
		req.logEvent(logs.MsgNoEndpoint, logrus.Fields{logs.FieldError: err.Error(), "registryAgeMs": req.srv.cfg.RegistryAge().Milliseconds()})
		req.refuse(refusalNoEndpoint)
	}
}

// conclude forwards the last reply if act is actDeliver, and answers by itself
// otherwise.
func (req *request) conclude(act action, lastReply *bufferedReply) {
	if act != actDeliver || lastReply == nil {
		req.finishWithoutReply(act)
		return
	}
	req.copyReplyHeader(lastReply.rep)
	if lastReply.retryAfter > 0 {
		req.replaceRetryAfter()
	}
	req.rct.Response.SetBody(lastReply.body)
	req.logAnswered(req.late(time.Since(req.arrived)), logrus.Fields{logs.FieldStatus: lastReply.rep.Status})
}
