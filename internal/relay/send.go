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
	// timeoutSlack is how long after the end of a request's time the answer
	// of the endpoint, which stops by itself, is still awaited.
	timeoutSlack = 100 * time.Millisecond
	// leastLeft is the least time with which a request is sent.
	leastLeft = 20 * time.Millisecond
)

// A send is one try at one endpoint.
type send struct {
	jb   *job
	tgt  *target
	at   time.Time
	rep  *wire.Reply
	note wick.ReplyNote
	// first is when the first event came, zero before.
	first time.Time
	// wdg ends the send when its endpoint goes silent; nil if it is not watched.
	wdg *watchdog
}

// A target is the endpoint chosen for one send.
type target struct {
	*pool.Ticket
	choice Choice
}

// pick chooses the next endpoint.
func (jb *job) pick() (*target, error) {
	now := time.Now()
	choice := jb.srv.cfg.Versions.Choose(jb.service, jb.mat.Route.Name, now)
	que := pool.Query{
		Service: jb.service, Model: len(jb.ask.Parts) > 0, Parts: jb.ask.Parts, Input: jb.ask.InputTokens,
		Output: jb.ask.OutputTokens, Only: choice.Only, Except: choice.Except, Exclude: jb.tried, Now: now,
	}
	tic, err := jb.srv.cfg.Pool.Pick(que)
	if err != nil && choice.Fallback {
		que.Only = ""
		tic, err = jb.srv.cfg.Pool.Pick(que)
	}
	if err != nil {
		if choice.Done != nil {
			choice.Done(wick.VersionSample{Excused: true, At: now})
		}
		return nil, err //nolint:wrapcheck // our own package
	}
	jb.tried = append(jb.tried, tic.Backend.ID)
	return &target{Ticket: tic, choice: choice}, nil
}

// pickBeside chooses an endpoint of the same version for a run that is moved.
func (jb *job) pickBeside(old *target) (*target, error) {
	tic, err := jb.srv.cfg.Pool.Pick(pool.Query{
		Service: jb.service, Model: true, Parts: jb.ask.Parts, Input: 0, Output: jb.ask.OutputTokens,
		Only: old.Backend.Version, Exclude: jb.tried, Now: time.Now(),
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	return &target{Ticket: tic}, nil
}

// drop gives a target back that nothing was sent to.
func (tgt *target) drop() {
	now := time.Now()
	tgt.Done(pool.FateCancelled, now)
	if tgt.choice.Done != nil {
		tgt.choice.Done(wick.VersionSample{Excused: true, At: now})
	}
}

// open sends the request to the endpoint of tic and reads the reply's headers.
// The ending is meaningful only if the reply is nil or bad.
func (jb *job) open(ctx context.Context, tic *target, last string, cpy wick.RunCopy) (snd *send, edg ending) {
	snd = &send{jb: jb, tgt: tic, at: time.Now()}
	hdr := jb.header.Clone()
	dsp := wick.Dispatch{
		Endpoint: tic.Backend.ID, Deadline: jb.until.Sub(snd.at), Rank: jb.mat.Rank(), LastEvent: last, Copy: cpy,
	}
	if jb.mat.Customer != nil {
		dsp.Customer = jb.mat.Customer.Name
	}
	jb.srv.cfg.Dialect.WriteDispatch(hdr, dsp)
	rep, err := jb.srv.cfg.Client.Do(ctx, wire.Call{
		Method: string(jb.rct.Method()), URL: "http://" + tic.Backend.Address,
		Host: string(jb.rct.Request.Header.Host()), Target: string(jb.rct.Request.Header.RequestURI()),
		Header: hdr, Body: jb.rct.Request.Body(), Once: true, Fresh: !jb.mat.Route.Repeatable(),
		Stall: jb.until.Sub(snd.at) + 2*timeoutSlack,
	})
	if err != nil {
		edg = jb.endOf(ctx, err)
		jb.noteEnd(logs.MsgNoReply, tic, edg, lossOf(ctx, err))
		return snd, edg
	}
	snd.rep = rep
	snd.note = jb.srv.cfg.Dialect.ReadReply(rep.Status, rep.Header)
	defer func() {
		if edg == endLost || edg == endRefused {
			jb.noteBad(snd, edg)
		}
	}()
	switch {
	case snd.note.Request != "" && snd.note.Request != jb.ask.ID:
		metrics.GetOrRegisterCounter("relay.strayReplies", nil).Inc(1)
		return snd, endLost
	case snd.note.NotExecuted:
		return snd, endRefused
	case !snd.note.Genuine:
		return snd, endLost
	case rep.Status >= http.StatusInternalServerError:
		return snd, endFailure
	default:
		return snd, endAnswer
	}
}

// noteEnd logs a send without a whole reply, with its cause.
func (jb *job) noteEnd(msg string, tgt *target, edg ending, err error) {
	if edg == endGone {
		return
	}
	jb.note(msg, logrus.Fields{
		logs.FieldEnding: edg.String(), logs.FieldEndpoint: tgt.Backend.ID, "address": tgt.Backend.Address,
		logs.FieldError: err.Error(),
	})
}

// noteBad logs a reply that is no answer to the request.
func (jb *job) noteBad(snd *send, edg ending) {
	jb.note(logs.MsgBadReply, logrus.Fields{
		logs.FieldEnding: edg.String(), logs.FieldEndpoint: snd.tgt.Backend.ID, logs.FieldStatus: snd.rep.Status,
		"replyTo": snd.note.Request, "signed": snd.note.Genuine, "refused": snd.note.NotExecuted,
	})
}

// endOf tells how a send without a complete reply ended.
func (jb *job) endOf(ctx context.Context, err error) ending {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return endLost
	case errors.Is(ctx.Err(), context.Canceled):
		return endGone
	case errors.Is(err, wick.ErrNotSent):
		return endUnsent
	case ctx.Err() != nil:
		return endTimeout
	default:
		return endLost
	}
}

// close ends the send at the endpoint.
func (snd *send) close(edg ending) {
	if snd.rep != nil {
		snd.rep.Close()
	}
	now := time.Now()
	snd.tgt.Done(fateOf(edg), now)
	if snd.tgt.choice.Done != nil {
		snd.tgt.choice.Done(snd.sample(edg, now))
	}
}

// sample tells what the send says of the endpoint's version.
func (snd *send) sample(edg ending, now time.Time) wick.VersionSample {
	smp := wick.VersionSample{
		VM: snd.tgt.Backend.ID, Zone: snd.tgt.Backend.Zone, Band: snd.tgt.Band, At: now,
		Excused: edg == endUnsent || edg == endRefused,
	}
	if !snd.first.IsZero() {
		smp.Out.FirstToken = snd.first.Sub(snd.at)
	} else {
		smp.Out.FirstToken = now.Sub(snd.at)
	}
	smp.Out.Late = snd.jb.late(smp.Out.FirstToken)
	smp.Out.Cancelled = edg == endGone
	switch edg {
	case endFailure, endTimeout:
		smp.Out.Err = errFailedAnswer
	case endLost:
		smp.Out.Err = wick.ErrUnknownOutcome
	default:
	}
	return smp
}

var errFailedAnswer = errors.New("relay: the endpoint failed")

func fateOf(edg ending) pool.Fate {
	switch edg {
	case endAnswer:
		return pool.FateAnswered
	case endFailure:
		return pool.FateFailed
	case endRefused:
		return pool.FateRefused
	case endUnsent:
		return pool.FateUnreached
	case endTimeout, endGone:
		return pool.FateCancelled
	default:
		return pool.FateLost
	}
}

// left reports whether there is time for another send.
func (jb *job) left() bool { return time.Until(jb.until) > leastLeft }

// finish answers when no endpoint's answer can be given.
func (jb *job) finish(act action) {
	switch act {
	case actRefuse:
		jb.refuse(refusalRefused)
	case actTimeout:
		rfl := refusalTimeout
		if jb.trl.ran == 0 {
			rfl = refusalExpired
		}
		jb.fail(rfl)
	case actUnknown, actDeliver:
		jb.fail(refusalUnknown)
	case actDrop:
		jb.rct.SetConnectionClose()
		jb.note(logs.MsgLeft, logrus.Fields{})
	case actAgain:
	}
}

// fail answers that the request may have run.
func (jb *job) fail(rfl refusal) { jb.answerSelf(logs.MsgFailed, rfl) }

// headReply copies the endpoint's status and headers to the caller.
func (jb *job) headReply(rep *wire.Reply) {
	dropHop(rep.Header, strings.Split(rep.Header.Get("Connection"), ","))
	jb.rct.SetStatusCode(rep.Status)
	for name, vals := range rep.Header {
		for _, val := range vals {
			jb.rct.Response.Header.Add(name, val)
		}
	}
}
