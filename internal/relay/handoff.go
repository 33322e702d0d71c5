package relay

import (
	"context"
	"errors"
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
	// reserveTimeout bounds the first copy of a run, which continues meanwhile.
	reserveTimeout = 1500 * time.Millisecond
	// stopLead is the time before an endpoint's termination that the stop of a run and
	// the copy of what is new take. With less left, the run is stopped at once.
	stopLead = 500 * time.Millisecond
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
	// stop is what is known of the order to stop the run.
	stop runStop
}

// A runStop is what is known of this entry's order to stop a run for its move.
type runStop int

const (
	// stopNone means that the run was not stopped by this entry.
	stopNone runStop = iota
	// stopUnknown means that the answer to the order is lost.
	stopUnknown
	// stopConfirmed means that the endpoint has stopped the run.
	stopConfirmed
)

// stopResult returns what is known of an order to stop a run, given its result.
func stopResult(err error) runStop {
	switch {
	case err == nil:
		return stopConfirmed
	case errors.Is(err, wick.ErrNotSent):
		return stopNone
	case errors.Is(err, wick.ErrUnavailable):
		return stopUnknown
	default:
		return stopNone
	}
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
		defer containPanic()
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
		hof.move(ctx, moveCtx, req, att)
	}()
	return hof
}

// move copies the memory of the run to another endpoint while the run continues, and
// then stops it. The context ctx ends with the run's stream. A run is not stopped before
// the other endpoint has room for it, except on short notice.
func (hof *handoff) move(ctx, moveCtx context.Context, req *request, att *attempt) {
	moveCtx, cancel := context.WithTimeout(moveCtx, handoffTimeout)
	defer cancel()
	tgt, err := req.pickHandoffTarget(att.tgt)
	if err != nil {
		req.logEvent(logs.MsgRunNotMoved, logrus.Fields{logs.FieldEndpoint: att.tgt.Backend.ID, logs.FieldError: err.Error()})
		return
	}
	rsv := &copyReservation{}
	if limit := reserveLimit(att.tgt.LeavesAt()); limit > 0 {
		rsv = req.reserveCopy(moveCtx, att.tgt.Backend, tgt.Backend, limit)
		select {
		case <-rsv.done:
		case <-ctx.Done():
		}
		switch {
		case ctx.Err() != nil:
		case tgt.Evacuated():
			// The run has not been stopped, so it may move elsewhere.
			metrics.GetOrRegisterCounter("relay.moveTargetsDropped", nil).Inc(1)
			go rsv.release(req.srv.cfg.Mover)
			tgt.release()
			hof.move(ctx, moveCtx, req, att)
			return
		case rsv.err != nil:
			// The run continues on the same endpoint.
			req.logMove(att.tgt.Backend, tgt.Backend, false, rsv.err)
			tgt.release()
			return
		}
	}
	if ctx.Err() != nil {
		go rsv.release(req.srv.cfg.Mover)
		tgt.release()
		return
	}
	hof.stop = stopUnknown
	cpy, moved, err := req.srv.cfg.Mover.Move(moveCtx, att.tgt.Backend, tgt.Backend, req.params.ID)
	hof.stop = stopResult(err)
	metrics.GetOrRegisterCounter("relay.moves", nil).Inc(1)
	req.logMove(att.tgt.Backend, tgt.Backend, moved, err)
	hof.settle(req, att, tgt, rsv, cpy, moved, err)
}

// settle records where a run continues after the answer to its move.
func (hof *handoff) settle(req *request, att *attempt, tgt *target, rsv *copyReservation, cpy wick.RunSnapshot, moved bool, err error) {
	switch {
	case err == nil && moved:
		hof.tgt, hof.cpy = tgt, cpy
	case err == nil:
		// The run was stopped, but its memory was not copied: it continues on
		// the same endpoint, unless that may get no requests.
		if asg := att.tgt.Duplicate(time.Now()); asg != nil {
			hof.tgt, hof.cpy = &target{Assignment: asg}, cpy
		} else {
			go releaseCopy(req.srv.cfg.Mover, cpy)
		}
		tgt.release()
	case rsv.cpy != "" && errors.Is(err, wick.ErrUnavailable):
		// The answer is lost. If the run's stream closes, the run was stopped and
		// continues from the first copy.
		hof.tgt, hof.cpy = tgt, rsv.cpy
	default:
		go rsv.release(req.srv.cfg.Mover)
		tgt.release()
	}
}

// logMove logs the result of a move.
func (req *request) logMove(from, to wick.Backend, moved bool, err error) {
	log.WithError(err).WithFields(logrus.Fields{
		logs.FieldRequest: req.params.ID, "from": from.ID, "to": to.ID, "moved": moved,
	}).Info(logs.MsgRunMoved)
}

// drop releases the place of a run that does not continue elsewhere.
func (hof *handoff) drop(mvr wick.Mover) {
	hof.tgt.release()
	hof.tgt = nil
	go releaseCopy(mvr, hof.cpy)
}

// A copyReservation is the first copy of a run and the place that is kept for it at the
// target. The zero value holds nothing.
type copyReservation struct {
	// done is closed when cpy and err are set.
	done chan struct{}
	cpy  wick.RunSnapshot
	err  error
}

// reserveLimit returns how long a first copy may take for an endpoint that terminates
// at a time, which may be unknown. The result is not positive on short notice.
func reserveLimit(leavesAt time.Time) time.Duration {
	if leavesAt.IsZero() {
		return reserveTimeout
	}
	return min(time.Until(leavesAt)-stopLead, reserveTimeout)
}

// reserveCopy starts the first copy of the request's run. It ends after the limit, but
// not with the run: a copy whose handle is unknown could not be freed.
func (req *request) reserveCopy(ctx context.Context, from, to wick.Backend, limit time.Duration) *copyReservation {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(limit, time.Until(req.deadline)))
	mvr, rid := req.srv.cfg.Mover, req.params.ID
	rsv := &copyReservation{done: make(chan struct{})}
	go func() {
		defer cancel()
		defer close(rsv.done)
		defer containPanic()
		rsv.err = errNoCopy
		rsv.cpy, rsv.err = mvr.Reserve(ctx, from, to, rid)
	}()
	return rsv
}

// errNoCopy is the result of a first copy until it is known.
var errNoCopy = errors.New("the run was not copied")

// release frees the copy as soon as its handle is known.
func (rsv *copyReservation) release(mvr wick.Mover) {
	defer containPanic()
	if rsv.done == nil {
		return
	}
	<-rsv.done
	if rsv.err == nil {
		releaseCopy(mvr, rsv.cpy)
	}
}

// releaseCopy frees a copy. A copy that can't be freed expires at its endpoints.
func releaseCopy(mvr wick.Mover, cpy wick.RunSnapshot) {
	defer containPanic()
	ctx, cancel := context.WithTimeout(context.Background(), handoffTimeout)
	defer cancel()
	if err := mvr.Release(ctx, cpy); err != nil {
		log.WithError(err).Debug(logs.MsgCopyNotReleased)
	}
}
