package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A trialCrashes lets the second check pass as a trial of a block and blocks the prompt
// from the third one on, as the tracker does.
type trialCrashes struct {
	noCrashes
	checks atomic.Int64
}

func (trc *trialCrashes) Check(crash.Prompt) crash.Verdict {
	num := trc.checks.Add(1)
	return crash.Verdict{Trial: num == 2, Blocked: num > 2}
}

// TestSecuredTrial guards against a stream that is cut because its secured attempt is the
// trial of a blocked prompt: a second check of the same attempt finds the prompt blocked.
func TestSecuredTrial(t *testing.T) {
	rly := newTestRelay(t, 2, pausingScript(3*time.Second, "id: 1\ndata: a\n\n"))
	rly.srv.cfg.Prober = &silentProber{}
	rly.srv.cfg.Crashes = &trialCrashes{}
	status, body, err := rly.post("/long/1")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, 200, body, "elsewhere", 2)
}

// TestNoPickWithoutRetry guards against picks that are counted as load of an endpoint,
// again with each check of a silent run, although the retry budget allows no attempt.
func TestNoPickWithoutRetry(t *testing.T) {
	rly := newTestRelay(t, 2, pausingScript(2500*time.Millisecond, "id: 1\ndata: a\n\n"))
	rly.srv.cfg.Prober = &testProber{result: func(int) (bool, error) { return false, wick.ErrUnavailable }}
	rly.srv.cfg.Budget = &retry.Budget{Capacity: 0.5}
	var vrs countingVersions
	rly.srv.cfg.Versions = &vrs
	if status, body, err := rly.post("/long/1"); err != nil || status != 200 {
		t.Error(status, body, err)
	}
	if num := vrs.chosen.Load(); num != 1 {
		t.Errorf("an endpoint was picked %d times for one attempt", num)
	}
}

// A countingVersions counts the choices.
type countingVersions struct {
	anyVersion
	chosen atomic.Int64
}

func (cnt *countingVersions) Choose(wick.Service, wick.RouteName, time.Time) Choice {
	cnt.chosen.Add(1)
	return Choice{}
}
