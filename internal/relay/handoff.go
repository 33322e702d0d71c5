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
	// handoffLead is how long before an endpoint's termination a run that is
	// still in flight there is moved. The copies from one endpoint are made
	// sequentially.
	handoffLead = 1200 * time.Millisecond
	// handoffDelay is how long a stream may continue on a leaving endpoint whose
	// termination time is unknown; reclaimHandoffDelay applies to reclaimable
	// endpoints, which terminate sooner.
	handoffDelay        = 1200 * time.Millisecond
	reclaimHandoffDelay = 150 * time.Millisecond
	// handoffTimeout bounds the transfer of one run.
	handoffTimeout = 3 * time.Second
)

// A handoff is the transfer of one run to another endpoint.
type handoff struct {
	// done is closed when the transfer has ended or was not needed.
	done chan struct{}
	// giveUp ends a transfer whose answer is no longer awaited.
	giveUp context.CancelFunc
	// tgt is the target on which the run continues; nil if the move failed or was
	// not needed.
	tgt *target
	cpy wick.RunSnapshot
}

// startHandoff starts a goroutine that moves the run of an attempt when its
// endpoint leaves. The context must be cancelled when the attempt ends.
func (req *request) startHandoff(ctx context.Context, att *attempt) *handoff {
	// A run that was stopped must be continued, also if its stream has ended meanwhile.
	// After the deadline nobody waits for it.
	moveCtx, giveUp := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	hof := &handoff{done: make(chan struct{}), giveUp: giveUp}
	go func() {
		defer close(hof.done)
		select {
		case <-ctx.Done():
			return
		case <-att.tgt.Leaving:
		}
		wait := handoffDelay
		if att.tgt.Backend.Reclaimable {
			wait = reclaimHandoffDelay
		}
		if at := att.tgt.LeavesAt(); !at.IsZero() {
			wait = time.Until(at) - handoffLead
		}
		tim := time.NewTimer(wait)
		defer tim.Stop()
		select {
		case <-ctx.Done():
			return
		case <-tim.C:
		}
		hof.move(moveCtx, req, att)
	}()
	return hof
}

// move stops the run and copies its memory to another endpoint.
func (hof *handoff) move(ctx context.Context, req *request, att *attempt) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	tgt, err := req.pickHandoffTarget(att.tgt)
	if err != nil {
		req.logEvent(logs.MsgRunNotMoved, logrus.Fields{logs.FieldEndpoint: att.tgt.Backend.ID, logs.FieldError: err.Error()})
		return
	}
	cpy, moved, err := req.srv.cfg.Mover.Move(ctx, att.tgt.Backend, tgt.Backend, req.params.ID)
	metrics.GetOrRegisterCounter("relay.moves", nil).Inc(1)
	log.WithError(err).WithFields(logrus.Fields{
		logs.FieldRequest: req.params.ID, "from": att.tgt.Backend.ID, "to": tgt.Backend.ID, "moved": moved,
	}).Info(logs.MsgRunMoved)
	switch {
	case err == nil && moved:
		hof.tgt, hof.cpy = tgt, cpy
		return
	case err == nil:
		// The run was stopped, but its memory was not copied: it continues on
		// the same endpoint.
		hof.tgt, hof.cpy = &target{Assignment: att.tgt.Duplicate(time.Now()), choice: Choice{}}, cpy
	}
	tgt.release()
}
