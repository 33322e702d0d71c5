package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A testProber answers probes with scripted results.
type testProber struct {
	mu     sync.Mutex
	probes int
	// result returns the result of a probe, by its number from 0.
	result func(num int) (bool, error)
}

func (prb *testProber) ProbeIncarnation(context.Context, wick.Backend) (bool, error) {
	return true, nil
}

func (prb *testProber) ProbeRun(context.Context, wick.Backend, wick.RequestID) (bool, error) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	prb.probes++
	return prb.result(prb.probes - 1)
}

func (prb *testProber) probeCount() int {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	return prb.probes
}

// pausingScript returns a script whose first attempt sends some events, pauses
// and then completes; a second attempt sends the remaining events.
func pausingScript(pause time.Duration, first ...string) script {
	return func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			beginStream(con, "id: 2\ndata: elsewhere\n\n")
			endStream(con)
			return
		}
		if len(first) > 0 {
			beginStream(con, first...)
		}
		time.Sleep(pause)
		if len(first) == 0 {
			beginStream(con, "id: 1\ndata: a\n\n")
		}
		writeEvents(con, "id: 2\ndata: here\n\n")
		endStream(con)
	}
}

// TestSilentEndpoint guards against streams that stall when their endpoint
// becomes unreachable while the connection stays open. A resumable stream must
// be resumed elsewhere before its caller times out, and one whose endpoint is
// only slow must not be aborted. Found on acep-casca, scale-2: ten streams
// stalled for up to 10 s.
func TestSilentEndpoint(t *testing.T) {
	const pause = 700 * time.Millisecond
	unreachable := func(int) (bool, error) { return false, wick.ErrUnavailable }
	for _, tst := range []struct {
		name, path string
		first      []string
		answer     func(num int) (bool, error)
		body       string
		attempts   int
	}{
		{"unreachable in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, unreachable, "elsewhere", 2},
		{"unreachable before the first event", "/gen/1", nil, unreachable, "elsewhere", 2},
		{"run unknown in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(int) (bool, error) { return false, nil }, "elsewhere", 2},
		{"slow in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(int) (bool, error) { return true, nil }, "here", 1},
		{"run not reported before the first event", "/gen/1", nil, func(int) (bool, error) { return false, nil }, "here", 1},
		{"one probe lost", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(num int) (bool, error) {
			if num == 0 {
				return false, wick.ErrUnavailable
			}
			return true, nil
		}, "here", 1},
		{"not resumable", "/say/1", []string{"id: 1\ndata: a\n\n"}, unreachable, "here", 1},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			rly := newTestRelay(t, 2, pausingScript(pause, tst.first...))
			prb := &testProber{result: tst.answer}
			rly.srv.cfg.Prober = prb
			status, body, err := rly.post(tst.path)
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, 200, body, tst.body, tst.attempts)
			if watched := tst.path == "/gen/1"; watched != (prb.probeCount() > 0) {
				t.Errorf("%d probes, watched %v", prb.probeCount(), watched)
			}
		})
	}
}

// sendingScript returns a script that sends an event, then others at intervals that
// are shorter than the silence timeout, and completes.
func sendingScript(others ...string) script {
	return func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			beginStream(con, "id: 9\ndata: elsewhere\n\n")
			endStream(con)
			return
		}
		beginStream(con, "id: 1\n\n")
		for _, evt := range others {
			time.Sleep(silenceTimeout / 4)
			writeEvents(con, evt)
		}
		endStream(con)
	}
}

// TestNoProbeWhileReceiving guards against probes of endpoints that send events
// continuously: each probe costs the endpoint a call.
func TestNoProbeWhileReceiving(t *testing.T) {
	rly := newTestRelay(t, 1, sendingScript("id: 2\n\n", "id: 3\n\n", "data: x\n\n", "data: y\n\n", "id: 4\n\n", "id: 5\n\n"))
	prb := &testProber{result: func(int) (bool, error) { return false, wick.ErrUnavailable }}
	rly.srv.cfg.Prober = prb
	status, body, err := rly.post("/gen/1")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, 200, body, "id: 5", 1)
	if num := prb.probeCount(); num != 0 {
		t.Errorf("%d probes of an endpoint that sends every %v", num, silenceTimeout/4)
	}
}

// TestCommentsAreNoProgress guards against a stalled stream that goes on for as long
// as its endpoint sends a comment, or a byte of one, now and then. A slow endpoint
// that reports the run must not be cut.
func TestCommentsAreNoProgress(t *testing.T) {
	comments := []string{": x\n\n", ": x\n\n", ":", " ", "y", "y", "y", "y", "y", "\n\n"}
	for name, tst := range map[string]struct {
		working  bool
		body     string
		attempts int
	}{
		"stalled": {false, "elsewhere", 2},
		"slow":    {true, "id: 1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rly := newTestRelay(t, 2, sendingScript(comments...))
			rly.srv.cfg.Prober = &testProber{result: func(int) (bool, error) { return tst.working, nil }}
			status, body, err := rly.post("/gen/1")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, 200, body, tst.body, tst.attempts)
		})
	}
}

// A silentProber never answers: the endpoint accepts connections and is silent.
type silentProber struct{ testProber }

func (prb *silentProber) ProbeRun(ctx context.Context, _ wick.Backend, _ wick.RequestID) (bool, error) {
	<-ctx.Done()
	return false, wick.ErrUnavailable
}

// TestSilentEndpointWithoutAlternative guards against requests that end without an
// answer (issue 28): a sound endpoint is silent for a while and continues, but the
// watchdog has ended the attempt before it is known whether a second one is possible.
func TestSilentEndpointWithoutAlternative(t *testing.T) {
	const pause = 2200 * time.Millisecond
	first := []string{"id: 1\ndata: a\n\n"}
	for _, tst := range []struct {
		name      string
		first     []string
		endpoints int
		budget    *retry.Budget
		crashes   Crashes
	}{
		{"retry budget spent", first, 2, &retry.Budget{Capacity: 0.5}, noCrashes{}},
		{"retry budget spent, before the first event", nil, 2, &retry.Budget{Capacity: 0.5}, noCrashes{}},
		{"no other endpoint", first, 1, &retry.Budget{}, noCrashes{}},
		{"prompt blocked meanwhile", first, 2, &retry.Budget{}, &blockedLater{}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			rly := newTestRelay(t, tst.endpoints, pausingScript(pause, tst.first...))
			rly.srv.cfg.Prober = &silentProber{}
			rly.srv.cfg.Budget = tst.budget
			rly.srv.cfg.Crashes = tst.crashes
			status, body, err := rly.post("/long/1")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, 200, body, "here", 1)
		})
	}
}

// A blockedLater allows the first check of a prompt and blocks the later ones.
type blockedLater struct {
	noCrashes
	checks atomic.Int64
}

func (blk *blockedLater) Check(crash.Prompt) crash.Verdict {
	return crash.Verdict{Blocked: blk.checks.Add(1) > 1}
}

// TestSilentSecond guards against a run that is taken from a sound endpoint which is
// silent for a second and continues: the run would go on there and elsewhere.
func TestSilentSecond(t *testing.T) {
	for name, first := range map[string][]string{"mid-stream": {"id: 1\ndata: a\n\n"}, "before the first event": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rly := newTestRelay(t, 2, pausingScript(1300*time.Millisecond, first...))
			rly.srv.cfg.Prober = &silentProber{}
			status, body, err := rly.post("/long/1")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, 200, body, "here", 1)
		})
	}
}

// A pausedProber reports the run, except while the endpoint is silent.
type pausedProber struct {
	silentProber
	from, to time.Time
}

func (prb *pausedProber) ProbeRun(ctx context.Context, bke wick.Backend, rid wick.RequestID) (bool, error) {
	if now := time.Now(); now.After(prb.from) && now.Before(prb.to) {
		return prb.silentProber.ProbeRun(ctx, bke, rid)
	}
	return true, nil
}

// TestSilentSecondOfLongPrefill guards against a run that is taken from a sound endpoint
// which is silent for a second, long after it sent data: it has answered probes since.
func TestSilentSecondOfLongPrefill(t *testing.T) {
	const from, to, pause = 1500 * time.Millisecond, 2600 * time.Millisecond, 2900 * time.Millisecond
	rly := newTestRelay(t, 2, pausingScript(pause))
	now := time.Now()
	rly.srv.cfg.Prober = &pausedProber{from: now.Add(from), to: now.Add(to)}
	status, body, err := rly.post("/long/1")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, 200, body, "here", 1)
}
