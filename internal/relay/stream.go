package relay

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/audit"
	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// readBufferBytes is the size of the read buffer for an endpoint's stream.
const readBufferBytes = 8 << 10

// A forwarder forwards the events of a stream to the caller, across all
// attempts that produce them.
type forwarder struct {
	req *request
	// out is nil until the first event is forwarded.
	out *httpio.AbortWriter
	// lastEventID is the id of the last event that was forwarded.
	lastEventID string
	eventCount  int
	// progressCount is the number of events forwarded that are parts of the answer.
	progressCount int
	// firstEventAt is when the first event was forwarded, zero before.
	firstEventAt time.Time
	// lastEventAt is when the last event was forwarded, longestGap the longest time between
	// two events.
	lastEventAt time.Time
	longestGap  time.Duration
	// media is the media type of the reply whose events were forwarded first.
	media string
	// complete is set once the last event was forwarded.
	complete bool
	// unresumable is set while the last event that was forwarded has no id, so that a
	// stream that goes on behind the last id would repeat it.
	unresumable bool
	// lastReply is the most recent complete reply that was not a stream, such as an
	// error response; nil if there is none.
	lastReply *bufferedReply
}

// serveStream answers a request with a stream of events. The response headers
// are sent with the first event. Until then the request can be retried from the
// start, and after it, on resumable routes, resumed on another endpoint.
func (req *request) serveStream(ctx context.Context) {
	fwd := &forwarder{req: req, lastEventID: req.params.LastEventID}
	for {
		tgt, err := req.pick(ctx, fwd.lastEventID != "")
		if err != nil {
			fwd.concludeNoEndpoint(fwd.lastReply, err)
			return
		}
		otc := fwd.runAttempt(ctx, tgt)
		act := req.retries.next(otc, func() bool { return !fwd.unresumable && req.acquireRetry() })
		if act == actRetry {
			req.logEvent(logs.MsgRetried, logrus.Fields{"after": otc.String(), "lastEvent": fwd.lastEventID})
			req.awaitFate(ctx)
			continue
		}
		fwd.conclude(act, fwd.lastReply)
		return
	}
}

// runAttempt sends the request to an endpoint, and to the next one each time its
// run is handed off. All of these count as one attempt.
func (fwd *forwarder) runAttempt(ctx context.Context, tgt *target) outcome {
	var cpy wick.RunSnapshot
	for {
		attCtx, wdg := fwd.req.startWatchdog(ctx, tgt)
		att, otc := fwd.req.dispatch(attCtx, tgt, fwd.lastEventID, cpy)
		att.wdg = wdg
		otc, hof := fwd.receive(ctx, attCtx, att, otc)
		wdg.stop()
		att.close(otc)
		if cpy != "" && !otc.mayHaveRun() {
			// Part of the run was executed before the handoff.
			otc = outcomeLost
		}
		if hof == nil || hof.tgt == nil {
			return otc
		}
		if !hof.tgt.Sendable(time.Now()) {
			// The run is resumed elsewhere, without its memory.
			hof.tgt.release()
			return otc
		}
		fwd.req.secured.release()
		tgt, cpy = hof.tgt, hof.cpy
		fwd.req.tried = append(fwd.req.tried, tgt.Backend.ID)
	}
}

// receive reads the body of a reply with the preliminary outcome otc: it forwards the
// events of a stream, and buffers another reply. reqCtx is the context of the request, ctx
// that of the attempt.
func (fwd *forwarder) receive(reqCtx, ctx context.Context, att *attempt, otc outcome) (outcome, *handoff) {
	switch {
	case otc != outcomeReply && otc != outcomeServerError:
		return otc, nil
	case fwd.out != nil && !fwd.continues(att):
		// The caller can't get it any more: it would stand in the middle of the events.
		fwd.req.logBadReply(att, otc)
		return outcomeServerError, nil
	case otc == outcomeReply && att.rep.Status < http.StatusMultipleChoices:
		otc, hof := fwd.forwardWithHandoff(ctx, att)
		att.wdg.stop()
		if otc == outcomeReply {
			otc = att.confirmEnd(reqCtx)
		}
		att.noteGenerated()
		fwd.complete = otc == outcomeReply
		if fwd.complete {
			att.tgt.Streamed(pool.Stream{Events: att.received, Took: fwd.lastEventAt.Sub(att.firstEventAt), Stalled: fwd.stalled()})
			fwd.recordStream()
		}
		return otc, hof
	default:
		brp, otc := fwd.req.bufferReply(ctx, att, otc)
		if brp != nil {
			fwd.lastReply = brp
		}
		return otc, nil
	}
}

// continues reports whether a reply may go on with the events of an earlier one. The
// caller got the headers of the first.
func (fwd *forwarder) continues(att *attempt) bool {
	return att.rep.Status == http.StatusOK && mediaType(att.rep.Header) == fwd.media
}

// mediaType returns the media type of a reply, "" if it has none or a malformed one.
func mediaType(hdr http.Header) string {
	media, _, err := mime.ParseMediaType(hdr.Get(wire.HeaderType))
	if err != nil {
		return ""
	}
	return media
}

// forwardWithHandoff forwards the events of one reply, and hands the run off
// when the endpoint leaves.
func (fwd *forwarder) forwardWithHandoff(ctx context.Context, att *attempt) (outcome, *handoff) {
	if len(fwd.req.params.Parts) == 0 {
		return fwd.forwardEvents(ctx, att), nil
	}
	watchCtx, cancel := context.WithCancel(ctx)
	hof := fwd.req.startHandoff(watchCtx, att)
	defer hof.giveUp()
	otc := fwd.forwardEvents(ctx, att)
	cancel()
	// A run that was stopped for its move is silent, which shows nothing.
	att.wdg.stop()
	if errors.Is(context.Cause(ctx), errEndpointSilent) {
		// The endpoint doesn't answer the move either, and another attempt is secured.
		hof.giveUp()
	}
	<-hof.done
	att.stopped = hof.stop == stopConfirmed
	if otc == outcomeReply && hof.stop != stopNone && !att.rep.IsDelimited() {
		att.recordIncomplete(logs.MsgResponseAborted, outcomeLost, errRunStopped)
		otc = outcomeLost
	}
	if hof.tgt != nil && (otc != outcomeLost || fwd.unresumable) {
		// The run completed before it was stopped, or the caller disconnected, or it
		// can't go on.
		hof.drop(fwd.req.srv.cfg.Mover)
	}
	return otc, hof
}

// forwardEvents forwards the events of one reply.
func (fwd *forwarder) forwardEvents(ctx context.Context, att *attempt) outcome {
	var spl eventSplitter
	buf := make([]byte, readBufferBytes)
	for {
		num, err := att.rep.Read(buf)
		spl.write(buf[:num])
		for {
			evt, ok := spl.next()
			if !ok {
				break
			}
			if evt.isProgress() {
				att.markProgress()
			}
			if !fwd.forwardEvent(att, evt) {
				return outcomeCancelled
			}
		}
		if err == nil {
			err = fwd.req.checkPartial(&spl)
		}
		if err != nil {
			return fwd.endOfEvents(ctx, att, &spl, err)
		}
	}
}

// endOfEvents returns the outcome of a reply with events whose reading has ended with err.
func (fwd *forwarder) endOfEvents(ctx context.Context, att *attempt, spl *eventSplitter, err error) outcome {
	otc := outcomeReply
	switch {
	case !errors.Is(err, io.EOF):
		otc, err = fwd.req.classifyError(ctx, err), lossCause(ctx, err)
	case spl.hasPartial() || fwd.isEmpty(att):
		otc, err = outcomeLost, io.ErrUnexpectedEOF
	case fwd.req.endsWithDeadline(att.rep):
		otc, err = outcomeTimeout, errEndsWithDeadline
	}
	if otc != outcomeReply {
		att.recordIncomplete(logs.MsgResponseAborted, otc, err)
	}
	return otc
}

// isEmpty reports whether a reply has ended before its first event, which without a length
// or chunks looks like a complete reply. One that goes on behind the last event may be
// empty if its end is certain.
func (fwd *forwarder) isEmpty(att *attempt) bool {
	return att.received == 0 && (fwd.lastEventID == "" || !att.rep.IsDelimited())
}

// forwardEvent writes one event to the caller and reports whether the write
// succeeded. Events that the caller already has are skipped.
func (fwd *forwarder) forwardEvent(att *attempt, evt event) bool {
	if evt.id != "" && fwd.lastEventID != "" && !isAfter(evt.id, fwd.lastEventID) {
		return true
	}
	att.received++
	if att.firstEventAt.IsZero() {
		att.firstEventAt = time.Now()
		if fwd.out == nil {
			metrics.GetOrRegisterTimer("relay.firstEvent", nil).Update(att.firstEventAt.Sub(fwd.req.arrived))
		}
		att.tgt.AnswerStarted(att.firstEventAt)
	}
	if fwd.out == nil {
		fwd.firstEventAt = time.Now()
		fwd.req.countStart(fwd.firstEventAt)
		fwd.startResponse(att)
	}
	if _, err := fwd.out.Write(evt.raw); err != nil {
		return false
	}
	if err := fwd.out.Flush(); err != nil {
		return false
	}
	fwd.req.con.BetweenChunks()
	fwd.eventCount++
	now := time.Now()
	if !fwd.lastEventAt.IsZero() {
		fwd.longestGap = max(fwd.longestGap, now.Sub(fwd.lastEventAt))
	}
	fwd.lastEventAt = now
	att.noteProgress(now)
	if evt.id != "" {
		fwd.lastEventID = evt.id
	}
	if evt.isProgress() {
		fwd.progressCount++
		fwd.unresumable = evt.id == ""
	}
	if att.received%generatedInterval == 0 {
		att.noteGenerated()
	}
	return true
}

// startResponse sends the response headers.
func (fwd *forwarder) startResponse(att *attempt) {
	rct := fwd.req.rct
	fwd.media = mediaType(att.rep.Header)
	fwd.req.copyReplyHeader(att.rep)
	fwd.out = &httpio.AbortWriter{ExtWriter: resp.NewChunkedBodyWriter(&rct.Response, rct.GetWriter())}
	rct.Response.HijackWriter(fwd.out)
}

// concludeNoEndpoint ends a stream for which no further endpoint could be
// picked.
func (fwd *forwarder) concludeNoEndpoint(lastReply *bufferedReply, err error) {
	if fwd.out != nil {
		fwd.abort(logs.ReasonNoEndpoint)
		return
	}
	fwd.req.concludeNoEndpoint(lastReply, err)
}

// conclude ends the response.
func (fwd *forwarder) conclude(act action, lastReply *bufferedReply) {
	switch {
	case fwd.out == nil && act == actDeliver && lastReply == nil:
		// The stream ended without any event.
		fwd.req.fail(refusalOutcomeUnknown)
	case fwd.out == nil:
		fwd.req.conclude(act, lastReply)
	case fwd.complete:
		fwd.req.logAnswered(fwd.late(), logrus.Fields{
			logs.FieldStatus: http.StatusOK, "events": fwd.eventCount,
			"firstMs": fwd.firstEventAt.Sub(fwd.req.arrived).Milliseconds(), "gapMs": fwd.longestGap.Milliseconds(),
		})
	case act == actDeliver:
		// The reply to deliver is an error, which can't follow events.
		fwd.abort(logs.ReasonOutcomeUnknown)
	default:
		fwd.abort(act.String())
	}
}

// late reports whether a complete stream missed the latency objective of its route, by its
// first event or by a gap between two events, and counts which.
func (fwd *forwarder) late() bool {
	first := fwd.req.late(fwd.firstEventAt.Sub(fwd.req.arrived))
	gap := fwd.stalled()
	if first {
		metrics.GetOrRegisterCounter("relay.lateFirstEvents", nil).Inc(1)
	}
	if gap {
		metrics.GetOrRegisterCounter("relay.lateGaps", nil).Inc(1)
	}
	return first || gap
}

// stalled reports whether a gap between two events was longer than the route declares.
func (fwd *forwarder) stalled() bool {
	limit := fwd.req.match.Route.TargetGap
	return limit > 0 && fwd.longestGap > limit
}

// abort ends the response without its last chunk, so that the caller doesn't
// mistake it for a complete one.
func (fwd *forwarder) abort(reason string) {
	fwd.out.Aborted = true
	fwd.req.con.BrokenOff(abortedBy(reason), reason)
	fwd.req.rct.SetConnectionClose()
	metrics.GetOrRegisterCounter(logs.MetricCutOff+reason, nil).Inc(1)
	fwd.req.logEvent(logs.MsgCutOff, logrus.Fields{logs.FieldReason: reason, logs.FieldDenied: fwd.req.retries.denied, "events": fwd.eventCount, "lastEvent": fwd.lastEventID})
}

// abortedBy returns who ended a stream for a reason.
func abortedBy(reason string) audit.Party {
	switch reason {
	case logs.ReasonCallerLeft:
		return audit.Caller
	case logs.ReasonTimeout:
		return audit.Entry
	default:
		return audit.Endpoint
	}
}
