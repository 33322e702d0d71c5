package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
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
