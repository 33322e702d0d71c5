package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
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
	// failed is set when the caller can't be written to.
	failed bool
}

// stream answers a request with a series of events. The caller gets the
// headers with the first event; until then another endpoint can be asked for
// the whole answer, and after it, on resumable routes, for the rest.
func (jb *job) stream(ctx context.Context) {
	pmp := &pump{jb: jb, last: jb.ask.LastEvent}
	var kept *answer
	for {
		tic, err := jb.pick()
		if err != nil {
			pmp.unpicked(kept, err)
			return
		}
		snd, edg := jb.open(ctx, tic, pmp.last)
		switch {
		case edg == endAnswer && snd.rep.Status < 300:
			edg = pmp.carry(ctx, snd)
		case edg == endAnswer || edg == endFailure:
			kept, edg = jb.readWhole(ctx, snd, edg)
		}
		snd.close(edg)
		act := jb.trl.next(edg, jb.mayResend)
		if act == actAgain {
			jb.note("sent again", logrus.Fields{"after": edg.String(), "lastEvent": pmp.last})
			continue
		}
		pmp.conclude(act, kept)
		return
	}
}

// carry delivers the events of one reply.
func (pmp *pump) carry(ctx context.Context, snd *send) ending {
	var spl splitter
	buf := make([]byte, readBytes)
	for {
		num, err := snd.rep.Read(buf)
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
			return endLost
		default:
			return pmp.jb.endOf(ctx, err)
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
		snd.tgt.Began()
	}
	if pmp.out == nil {
		pmp.jb.began(time.Now())
	}
	if pmp.out == nil {
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
		pmp.abort("noEndpoint")
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
		pmp.jb.note("answered", logrus.Fields{fieldStatus: 200, "events": pmp.events, fieldSends: pmp.jb.trl.sends})
	default:
		pmp.abort(act.String())
	}
}

// abort cuts the answer off, so that it can't be taken for a complete one.
func (pmp *pump) abort(reason string) {
	pmp.out.Aborted = true
	pmp.jb.rct.SetConnectionClose()
	pmp.jb.note("cut off", logrus.Fields{"reason": reason, "events": pmp.events, "lastEvent": pmp.last})
}
