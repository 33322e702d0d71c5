package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// silenceTimeout is how long an endpoint may send no data of a stream before
	// it is probed.
	silenceTimeout = 400 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// probeRetryDelay is the delay between two probes, both of which must fail.
	// It exceeds the staleness of an endpoint's report.
	probeRetryDelay = 120 * time.Millisecond
)

// SoundSilence is how long a sound endpoint may be silent as a whole: until then probes
// without an answer don't show that it has ended.
const SoundSilence = 1600 * time.Millisecond

var (
	// errEndpointSilent cancels an attempt whose endpoint sends no data and,
	// when probed, doesn't list the run or doesn't respond.
	errEndpointSilent = errors.New("endpoint sends no data and does not run the request")
	errUnknownRun     = errors.New("endpoint does not report the run")
	errNoProbeAnswer  = errors.New("endpoint does not answer")
)

// A watchdog cancels an attempt whose endpoint stalls without closing its
// connection, so that the request can be retried before its deadline. It first secures
// the other attempt: a sound endpoint may be silent for a while, and without another
// attempt only waiting for it can complete the request.
type watchdog struct {
	prober wick.RunProber
	bke    wick.Backend
	rid    wick.RequestID
	cancel context.CancelCauseFunc
	// secure secures another attempt, or returns false if none is possible.
	secure func() bool
	// mu serialises the end of the attempt by stop and by a check.
	mu      sync.Mutex
	stopped bool
	// timer triggers the next check.
	timer atomic.Pointer[time.Timer]
	// lastReceived is when data was last received, in Unix nanoseconds.
	lastReceived atomic.Int64
	// heard is when the endpoint last sent data or answered a probe, in Unix
	// nanoseconds.
	heard atomic.Int64
	// receivedAny is set once part of the reply was received. Before that the
	// endpoint's report need not list the run, which may still be in prefill.
	receivedAny atomic.Bool
}

// startWatchdog returns the context of one attempt, and its watchdog or nil. An
// attempt is only watched if the request could be retried after its loss.
func (req *request) startWatchdog(ctx context.Context, tgt *target) (context.Context, *watchdog) {
	if req.srv.cfg.Prober == nil || !req.retries.mayRetryAfterLoss() {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wdg := &watchdog{prober: req.srv.cfg.Prober, bke: tgt.Backend, rid: req.params.ID, cancel: cancel}
	tried := slices.Clone(req.tried)
	wdg.secure = func() bool { return req.secureRetry(tried, wdg.receivedAny.Load()) }
	now := time.Now().UnixNano()
	wdg.lastReceived.Store(now)
	wdg.heard.Store(now)
	wdg.arm(ctx, silenceTimeout)
	return ctx, wdg
}

// arm schedules the next check.
func (wdg *watchdog) arm(ctx context.Context, after time.Duration) {
	wdg.timer.Store(time.AfterFunc(after, func() { wdg.check(ctx) }))
}

// markReceived records that a part of the answer was received.
func (wdg *watchdog) markReceived(now time.Time) {
	if wdg != nil {
		wdg.lastReceived.Store(now.UnixNano())
		wdg.heard.Store(now.UnixNano())
		wdg.receivedAny.Store(true)
	}
}

// stop stops the watchdog and cancels the attempt's context.
func (wdg *watchdog) stop() {
	if wdg == nil {
		return
	}
	wdg.mu.Lock()
	wdg.stopped = true
	wdg.mu.Unlock()
	wdg.cancel(nil)
	wdg.timer.Load().Stop()
}

// end cancels the attempt if another one can be secured, and reports whether the attempt
// has ended.
func (wdg *watchdog) end(cause error) bool {
	wdg.mu.Lock()
	defer wdg.mu.Unlock()
	if wdg.stopped {
		return true
	}
	if !wdg.secure() {
		return false
	}
	wdg.cancel(cause)
	return true
}

// check probes the endpoint once silenceTimeout has passed without data, and
// cancels the attempt if two consecutive probes fail and another attempt is possible.
func (wdg *watchdog) check(ctx context.Context) {
	defer containPanic()
	if ctx.Err() != nil {
		return
	}
	last := wdg.lastReceived.Load()
	if idle := time.Since(time.Unix(0, last)); idle < silenceTimeout {
		wdg.arm(ctx, silenceTimeout-idle)
		return
	}
	cause := wdg.probe(ctx)
	if cause != nil && retry.Sleep(ctx, probeRetryDelay) {
		cause = wdg.probe(ctx)
	}
	switch {
	case ctx.Err() != nil:
	case cause == nil || wdg.lastReceived.Load() != last:
		wdg.arm(ctx, silenceTimeout)
	case errors.Is(cause, errNoProbeAnswer) && time.Since(time.Unix(0, wdg.heard.Load())) < SoundSilence:
		wdg.arm(ctx, probeRetryDelay)
	case wdg.end(eris.Wrapf(errEndpointSilent, "no data for %v: %v", time.Since(time.Unix(0, last)), cause)):
		metrics.GetOrRegisterCounter("relay.silentEndpoints", nil).Inc(1)
	default:
		metrics.GetOrRegisterCounter("relay.silentAwaited", nil).Inc(1)
		wdg.arm(ctx, silenceTimeout)
	}
}

// lossCause returns why an attempt failed: the watchdog's error if it cancelled
// the attempt, and err otherwise.
func lossCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errEndpointSilent) {
		return cause
	}
	return err
}

// probe returns an error if the endpoint is unreachable, or doesn't list a run
// of which it has already sent a part; errNoProbeAnswer if it is silent.
func (wdg *watchdog) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	working, err := wdg.prober.ProbeRun(ctx, wdg.bke, wdg.rid)
	if err == nil {
		wdg.heard.Store(time.Now().UnixNano())
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return errNoProbeAnswer
	case err == nil && !working && wdg.receivedAny.Load():
		return errUnknownRun
	default:
		return err //nolint:wrapcheck // logged here
	}
}
