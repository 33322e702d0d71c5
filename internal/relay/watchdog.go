package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// silentAfter is how long an endpoint may send nothing of a stream before
	// it is asked whether it still works on it.
	silentAfter = 400 * time.Millisecond
	// probeTimeout bounds one such question.
	probeTimeout = 250 * time.Millisecond
	// probeAgain passes between the two questions that must both fail. It
	// covers the age of an endpoint's report.
	probeAgain = 120 * time.Millisecond
)

var (
	// errSilent ends a send whose endpoint is silent and has lost the run or
	// can't be reached.
	errSilent = errors.New("the endpoint is silent and does not work on the request")
	errNoRun  = errors.New("the endpoint does not know the run")
)

// A watchdog ends a send whose endpoint has gone silent without closing its
// connection, so that the request can go on elsewhere while its caller still
// waits.
type watchdog struct {
	prober wick.RunProber
	bke    wick.Backend
	rid    wick.RequestID
	cancel context.CancelCauseFunc
	// timer runs the next check.
	timer atomic.Pointer[time.Timer]
	// heard is when the endpoint last sent anything, in nanoseconds since 1970.
	heard atomic.Int64
	// begun is set once the endpoint has sent part of the answer. Before that
	// its report need not show the run: it may still read the prompt.
	begun atomic.Bool
}

// watchSilence returns the context of one send, and its watchdog or nil. A send
// is only watched if the request may be sent to another endpoint after it.
func (jb *job) watchSilence(ctx context.Context, tgt *target) (context.Context, *watchdog) {
	if jb.srv.cfg.Prober == nil || !jb.trl.mayRepeatAfterLoss() {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wdg := &watchdog{prober: jb.srv.cfg.Prober, bke: tgt.Backend, rid: jb.ask.ID, cancel: cancel}
	wdg.heard.Store(time.Now().UnixNano())
	wdg.arm(ctx, silentAfter)
	return ctx, wdg
}

// arm lets the next check run after a time.
func (wdg *watchdog) arm(ctx context.Context, after time.Duration) {
	wdg.timer.Store(time.AfterFunc(after, func() { wdg.check(ctx) }))
}

// hear notes that the endpoint has sent a part of the answer.
func (wdg *watchdog) hear() {
	if wdg != nil {
		wdg.heard.Store(time.Now().UnixNano())
		wdg.begun.Store(true)
	}
}

// stop ends the watch.
func (wdg *watchdog) stop() {
	if wdg != nil {
		wdg.cancel(nil)
		wdg.timer.Load().Stop()
	}
}

// check asks the endpoint after a silence, and ends the send if two answers in a
// row say that nothing will come.
func (wdg *watchdog) check(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	heard := wdg.heard.Load()
	if quiet := time.Since(time.Unix(0, heard)); quiet < silentAfter {
		wdg.arm(ctx, silentAfter-quiet)
		return
	}
	cause := wdg.probe(ctx)
	if cause != nil && retry.Sleep(ctx, probeAgain) {
		cause = wdg.probe(ctx)
	}
	switch {
	case ctx.Err() != nil:
	case cause == nil || wdg.heard.Load() != heard:
		wdg.arm(ctx, silentAfter)
	default:
		metrics.GetOrRegisterCounter("relay.silentEndpoints", nil).Inc(1)
		wdg.cancel(eris.Wrapf(errSilent, "silent for %v: %v", time.Since(time.Unix(0, heard)), cause))
	}
}

// lossOf returns why a send was lost: the watchdog's reason if it ended the send.
func lossOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return cause
	}
	return err
}

// probe returns why the endpoint will send nothing, or nil if it may.
func (wdg *watchdog) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	working, err := wdg.prober.ProbeRun(ctx, wdg.bke, wdg.rid)
	if err == nil && !working && wdg.begun.Load() {
		err = errNoRun
	}
	return err //nolint:wrapcheck // logged here
}
