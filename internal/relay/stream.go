package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// readBytes is the size of one read from an endpoint's stream.
const readBytes = 8 << 10

// A pump carries the events of a stream to the caller, over the sends that
// produce them.
type pump struct {
	jb *job
	// out is nil until the first event is delivered.
	out *httpio.AbortWriter
	// last is the id of the last event that the caller has.
	last   string
	events int
	// firstAt is when the caller got its first event, zero before.
	firstAt time.Time
	// kept is an endpoint's whole answer that reports a failure, or nil.
	kept *answer
	// failed is set when the caller can't be written to.
	failed bool
}

// stream answers a request with a series of events. The caller gets the
// headers with the first event; until then another endpoint can be asked for
// the whole answer, and after it, on resumable routes, for the rest.
func (jb *job) stream(ctx context.Context) {
	pmp := &pump{jb: jb, last: jb.ask.LastEvent}
	for {
		tgt, err := jb.pick()
		if err != nil {
			pmp.unpicked(pmp.kept, err)
			return
		}
		edg := pmp.run(ctx, tgt)
		act := jb.trl.next(edg, jb.mayResend)
		if act == actAgain {
			jb.note(logs.MsgSentAgain, logrus.Fields{"after": edg.String(), "lastEvent": pmp.last})
			continue
		}
		pmp.conclude(act, pmp.kept)
		return
	}
}

// run sends the request to an endpoint and follows its run to where it is
// moved. A moved run counts as one send.
func (pmp *pump) run(ctx context.Context, tgt *target) ending {
	var cpy wick.RunCopy
	for {
		sctx, wdg := pmp.jb.watchSilence(ctx, tgt)
		snd, edg := pmp.jb.open(sctx, tgt, pmp.last, cpy)
		snd.wdg = wdg
		var hof *handoff
		switch {
		case edg == endAnswer && snd.rep.Status < http.StatusMultipleChoices:
			edg, hof = pmp.follow(sctx, snd)
		case edg == endAnswer || edg == endFailure:
			pmp.kept, edg = pmp.jb.readWhole(sctx, snd, edg)
		}
		wdg.stop()
		snd.close(edg)
		if cpy != "" && !edg.mayHaveRun() {
			// Part of the run was made before it was moved.
			edg = endLost
		}
		if hof == nil || hof.tgt == nil {
			return edg
		}
		tgt, cpy = hof.tgt, hof.cpy
		pmp.jb.tried = append(pmp.jb.tried, tgt.Backend.ID)
	}
}

// follow delivers the events of one reply, and moves the run when the endpoint
// leaves.
func (pmp *pump) follow(ctx context.Context, snd *send) (ending, *handoff) {
	if len(pmp.jb.ask.Parts) == 0 {
		return pmp.carry(ctx, snd), nil
	}
	watch, stop := context.WithCancel(ctx)
	hof := pmp.jb.watchLeaving(watch, snd)
	edg := pmp.carry(ctx, snd)
	stop()
	<-hof.done
	if hof.tgt != nil && edg != endLost {
		// The run ended before it was stopped, or the caller has gone.
		hof.tgt.drop()
		hof.tgt = nil
	}
	return edg, hof
}

// carry delivers the events of one reply.
func (pmp *pump) carry(ctx context.Context, snd *send) ending {
	var spl splitter
	buf := make([]byte, readBytes)
	for {
		num, err := snd.rep.Read(buf)
		snd.wdg.hear()
		spl.add(buf[:num])
		for {
			evt, ok := spl.next()
			if !ok {
				break
			}
			if !pmp.deliver(snd, evt) {
				return endGone
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !spl.partial():
			return endAnswer
		case errors.Is(err, io.EOF):
			pmp.jb.noteEnd(logs.MsgBrokeOff, snd.tgt, endLost, io.ErrUnexpectedEOF)
			return endLost
		default:
			edg := pmp.jb.endOf(ctx, err)
			pmp.jb.noteEnd(logs.MsgBrokeOff, snd.tgt, edg, lossOf(ctx, err))
			return edg
		}
	}
}

// deliver writes one event to the caller and reports whether it could.
func (pmp *pump) deliver(snd *send, evt event) bool {
	if evt.id != "" && pmp.last != "" && !isAfter(evt.id, pmp.last) {
		return true
	}
	if snd.first.IsZero() {
		snd.first = time.Now()
		if pmp.out == nil {
			metrics.GetOrRegisterTimer("relay.firstEvent", nil).Update(snd.first.Sub(pmp.jb.arrived))
		}
		snd.tgt.Began()
	}
	if pmp.out == nil {
		pmp.firstAt = time.Now()
		pmp.jb.began(pmp.firstAt)
		pmp.start(snd)
	}
	if _, err := pmp.out.Write(evt.raw); err != nil {
		pmp.failed = true
		return false
	}
	if err := pmp.out.Flush(); err != nil {
		pmp.failed = true
		return false
	}
	pmp.events++
	if evt.id != "" {
		pmp.last = evt.id
	}
	return true
}

// start sends the headers of the answer.
func (pmp *pump) start(snd *send) {
	rct := pmp.jb.rct
	pmp.jb.headReply(snd.rep)
	pmp.out = &httpio.AbortWriter{ExtWriter: resp.NewChunkedBodyWriter(&rct.Response, rct.GetWriter())}
	rct.Response.HijackWriter(pmp.out)
}

// unpicked ends a stream for which no endpoint is left.
func (pmp *pump) unpicked(kept *answer, err error) {
	if pmp.out != nil {
		pmp.abort(logs.ReasonNoEndpoint)
		return
	}
	pmp.jb.unpicked(kept, err)
}

// conclude ends the answer.
func (pmp *pump) conclude(act action, kept *answer) {
	switch {
	case pmp.out == nil && act == actDeliver && kept == nil:
		// A stream without any event.
		pmp.jb.fail(refusalUnknown)
	case pmp.out == nil:
		pmp.jb.conclude(act, kept)
	case act == actDeliver && !pmp.jb.trl.failed:
		late := pmp.jb.late(pmp.firstAt.Sub(pmp.jb.arrived))
		pmp.jb.noteAnswered(late, logrus.Fields{logs.FieldStatus: http.StatusOK, "events": pmp.events, "firstMs": pmp.firstAt.Sub(pmp.jb.arrived).Milliseconds()})
	default:
		pmp.abort(act.String())
	}
}

// abort cuts the answer off, so that it can't be taken for a complete one.
func (pmp *pump) abort(reason string) {
	pmp.out.Aborted = true
	pmp.jb.rct.SetConnectionClose()
	metrics.GetOrRegisterCounter(logs.MetricCutOff+reason, nil).Inc(1)
	pmp.jb.note(logs.MsgCutOff, logrus.Fields{logs.FieldReason: reason, "events": pmp.events, "lastEvent": pmp.last})
}
