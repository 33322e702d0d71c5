package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/wire"
)

// maxReply bounds the body of an answer that is read before it is delivered.
const maxReply = 16 << 20

// An answer is a complete reply of an endpoint.
type answer struct {
	rep  *wire.Reply
	body []byte
}

// call answers a request with one whole reply. The reply is read to its end
// before the caller gets any of it, so that another endpoint can be asked when
// it breaks off.
func (jb *job) call(ctx context.Context) {
	var kept *answer
	for {
		tic, err := jb.pick()
		if err != nil {
			jb.unpicked(kept, err)
			return
		}
		snd, edg := jb.open(ctx, tic, jb.ask.LastEvent, "")
		var ans *answer
		if edg == endAnswer || edg == endFailure {
			ans, edg = jb.readWhole(ctx, snd, edg)
		}
		snd.close(edg)
		if edg.mayHaveRun() {
			jb.began(snd.at)
		}
		if ans != nil {
			kept = ans
		}
		act := jb.trl.next(edg, jb.mayResend)
		if act == actAgain {
			jb.note(logs.MsgSentAgain, logrus.Fields{"after": edg.String()})
			continue
		}
		jb.conclude(act, kept)
		return
	}
}

// mayResend reports whether time and the retry budget allow another send.
func (jb *job) mayResend() bool { return jb.left() && jb.srv.cfg.Budget.Take() }

// readWhole reads the rest of a reply.
func (jb *job) readWhole(ctx context.Context, snd *send, edg ending) (*answer, ending) {
	body, err := snd.rep.ReadBody(maxReply)
	if err != nil {
		edg = jb.endOf(ctx, err)
		jb.noteEnd(logs.MsgBrokeOff, snd.tgt, edg, err)
		return nil, edg
	}
	return &answer{rep: snd.rep, body: body}, edg
}

// unpicked ends a request for which no endpoint is left.
func (jb *job) unpicked(kept *answer, err error) {
	switch {
	case kept != nil:
		jb.conclude(actDeliver, kept)
	case jb.trl.ran > 0:
		jb.fail(refusalUnknown)
	case jb.trl.sends > 0:
		jb.refuse(refusalRefused)
	default:
		jb.note(logs.MsgNoTarget, logrus.Fields{logs.FieldError: err.Error(), "registryAgeMs": jb.srv.cfg.RegistryAge().Milliseconds()})
		jb.refuse(refusalNoEndpoint)
	}
}

// conclude gives the caller its answer.
func (jb *job) conclude(act action, kept *answer) {
	if act != actDeliver || kept == nil {
		jb.finish(act)
		return
	}
	jb.headReply(kept.rep)
	jb.rct.Response.SetBody(kept.body)
	jb.noteAnswered(jb.late(time.Since(jb.arrived)), logrus.Fields{logs.FieldStatus: kept.rep.Status})
}
