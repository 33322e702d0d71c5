package relay

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// handoffLead is how long before the end of an endpoint a stream that still
	// runs there is moved: copies of one endpoint are made one after the other.
	handoffLead = 1200 * time.Millisecond
	// handoffWait is how long a stream may go on at a leaving endpoint whose
	// end is not known, reclaimWait at a reclaimed one, which ends soon.
	handoffWait = 1200 * time.Millisecond
	reclaimWait = 150 * time.Millisecond
	// handoffTimeout bounds one move.
	handoffTimeout = 3 * time.Second
)

// A handoff is the move of one run to another endpoint.
type handoff struct {
	// done is closed when the move has ended or is not needed.
	done chan struct{}
	// tgt is where the run goes on; nil if it was not moved.
	tgt *target
	cpy wick.RunCopy
}

// watchLeaving moves the run of a send when its endpoint leaves. The context
// ends with the send.
func (jb *job) watchLeaving(ctx context.Context, snd *send) *handoff {
	hof := &handoff{done: make(chan struct{})}
	go func() {
		defer close(hof.done)
		select {
		case <-ctx.Done():
			return
		case <-snd.tgt.Leaving:
		}
		wait := handoffWait
		if snd.tgt.Backend.Reclaimable {
			wait = reclaimWait
		}
		if at := snd.tgt.LeavesAt(); !at.IsZero() {
			wait = time.Until(at) - handoffLead
		}
		tim := time.NewTimer(wait)
		defer tim.Stop()
		select {
		case <-ctx.Done():
			return
		case <-tim.C:
		}
		hof.move(context.WithoutCancel(ctx), jb, snd)
	}()
	return hof
}

// move stops the run and copies its memory.
func (hof *handoff) move(ctx context.Context, jb *job, snd *send) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	tgt, err := jb.pickBeside(snd.tgt)
	if err != nil {
		jb.note(logs.MsgNoMove, logrus.Fields{logs.FieldEndpoint: snd.tgt.Backend.ID, logs.FieldError: err.Error()})
		return
	}
	cpy, moved, err := jb.srv.cfg.Mover.Move(ctx, snd.tgt.Backend, tgt.Backend, jb.ask.ID)
	metrics.GetOrRegisterCounter("relay.moves", nil).Inc(1)
	log.WithError(err).WithFields(logrus.Fields{
		logs.FieldRequest: jb.ask.ID, "from": snd.tgt.Backend.ID, "to": tgt.Backend.ID, "moved": moved,
	}).Info(logs.MsgRunMoved)
	switch {
	case err == nil && moved:
		hof.tgt, hof.cpy = tgt, cpy
		return
	case err == nil:
		// The run was stopped and its memory is still where it was.
		hof.tgt, hof.cpy = &target{Ticket: snd.tgt.Again(), choice: Choice{}}, cpy
	}
	tgt.drop()
}
