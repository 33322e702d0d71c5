package pool

import (
	"time"

	"github.com/wagtailwick/wagtailwick/internal/perf"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A run is the part of an assignment that the performance of its endpoint is
// learned from. Its zero value is never learned from.
type run struct {
	model           bool
	prefill, output wick.Tokens
	pickedAt        time.Time
	// startedAt is when the answer began, zero before.
	startedAt time.Time
	// queued is set if other prompts were queued at the endpoint.
	queued bool
}

// queued reports whether an endpoint is known to have prompts to process before
// that of a new request.
func (end *endpoint) queued(now time.Time) bool {
	return end.pendingPrefill > 0 || now.Sub(end.report.At) < maxReportAge && end.report.Load.Waiting > 0
}

// learnStart records the start of an answer.
func (grp *group) learnStart(run *run, now time.Time) {
	if !run.model || !run.startedAt.IsZero() {
		return
	}
	run.startedAt = now
	if !run.queued {
		grp.learner.AddStart(perf.Start{Prefill: run.prefill, Took: now.Sub(run.pickedAt)})
	}
}

// learnTokens records the complete answer of a run.
func (grp *group) learnTokens(run *run, now time.Time) {
	if run.model && !run.startedAt.IsZero() {
		grp.learner.AddTokens(run.output, now.Sub(run.startedAt))
	}
}

// Engines returns this entry's estimates of the performance of each service's
// endpoints.
func (pl *Pool) Engines(now time.Time) map[wick.Service]perf.Engine {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.Service]perf.Engine, len(pl.groups))
	for svc, grp := range pl.groups {
		grp.mu.Lock()
		if eng := grp.learner.Engine(now); eng != (perf.Engine{}) {
			out[svc] = eng
		}
		grp.mu.Unlock()
	}
	return out
}

// Engine returns the performance of a service's endpoints that the estimates use.
func (pl *Pool) Engine(svc wick.Service) perf.Engine {
	grp := pl.groupOfService(svc)
	if grp == nil {
		return perf.Engine{}
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.engine
}

// SetEngine sets the performance of a service's endpoints.
func (pl *Pool) SetEngine(svc wick.Service, eng perf.Engine) {
	grp := pl.groupOfService(svc)
	if grp == nil {
		return
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	grp.engine = eng
}
