package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A slowMover takes a while to copy the memory of a run that it has stopped.
type slowMover struct {
	*testMover
	took time.Duration
}

func (mvr slowMover) Move(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, bool, error) {
	cpy, moved, err := mvr.testMover.Move(ctx, from, to, rid)
	time.Sleep(mvr.took)
	return cpy, moved, err
}

// TestSlowHandoffTakesNoRetry guards against a retry that is spent on a run which is being
// moved: its endpoint is silent since the run was stopped there.
func TestSlowHandoffTakesNoRetry(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			beginStream(con, "id: 2\ndata: moved\n\n")
			endStream(con)
			return
		}
		<-rly.leaveAfterFirstEvent(con)
	})
	rly.mover.moved = true
	rly.srv.cfg.Mover = slowMover{&rly.mover, 1500 * time.Millisecond}
	rly.srv.cfg.Prober = &testProber{result: func(int) (bool, error) { return false, nil }}
	before := rly.srv.cfg.Budget.Available()
	status, body, err := rly.post("/long/1", "X-Model", "m")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, 200, body, "moved", 2)
	if after := rly.srv.cfg.Budget.Available(); after < before {
		t.Errorf("%v retries left of %v", after, before)
	}
}

// A hangingMover never gets an answer to a move, nor to the first copy unless reserves is
// set.
type hangingMover struct{ reserves bool }

func (hangingMover) Move(ctx context.Context, _, _ wick.Backend, _ wick.RequestID) (wick.RunSnapshot, bool, error) {
	<-ctx.Done()
	return "", false, wick.ErrUnavailable
}

func (mvr hangingMover) Reserve(ctx context.Context, _, _ wick.Backend, _ wick.RequestID) (wick.RunSnapshot, error) {
	if !mvr.reserves {
		<-ctx.Done()
		return "", wick.ErrUnavailable
	}
	return "copy", nil
}

func (hangingMover) Release(context.Context, wick.RunSnapshot) error { return nil }

// TestHangingHandoff guards against a request that waits for the answer to the move of
// its run, although its deadline has passed or another attempt has been secured.
func TestHangingHandoff(t *testing.T) {
	for _, tst := range []struct {
		name, path string
		prober     wick.RunProber
		body       string
		whole      bool
		mover      hangingMover
	}{
		{"past the deadline", "/gen/1", nil, "id: 1", false, hangingMover{true}},
		{"silent endpoint", "/long/1", &testProber{result: func(int) (bool, error) { return false, wick.ErrUnavailable }}, "elsewhere", true, hangingMover{true}},
		{"first copy, past the deadline", "/gen/1", nil, "id: 1", false, hangingMover{}},
		{"first copy, silent endpoint", "/long/1", &testProber{result: func(int) (bool, error) { return false, wick.ErrUnavailable }}, "elsewhere", true, hangingMover{}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			var rly *testRelay
			rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
				if num > 0 {
					beginStream(con, "id: 2\ndata: elsewhere\n\n")
					endStream(con)
					return
				}
				<-rly.leaveAfterFirstEvent(con)
			})
			rly.srv.cfg.Mover = tst.mover
			rly.srv.cfg.Prober = tst.prober
			began := time.Now()
			_, body, err := rly.post(tst.path, "X-Model", "m")
			if (err == nil) != tst.whole || !strings.Contains(body, tst.body) {
				t.Errorf("%q, %v", body, err)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// A lossyMover stops the run, and its answer is lost.
type lossyMover struct{ *testMover }

func (mvr lossyMover) Move(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, bool, error) {
	if _, _, err := mvr.testMover.Move(ctx, from, to, rid); err != nil {
		return "", false, err
	}
	return "", false, wick.ErrUnavailable
}

// TestHandoffAnswerLost guards against a stream that is cut, although its endpoint would
// have completed it, because the run was stopped for a move whose answer is lost.
func TestHandoffAnswerLost(t *testing.T) {
	for name, path := range map[string]string{"resumable": "/long/1", "not resumable": "/say/1"} {
		t.Run(name, func(t *testing.T) {
			var rly *testRelay
			rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
				if num > 0 {
					beginStream(con, "id: 2\ndata: b\n\n")
					endStream(con)
					return
				}
				select {
				case <-rly.leaveAfterFirstEvent(con):
				case <-time.After(600 * time.Millisecond):
					writeEvents(con, "id: 2\ndata: b\n\n")
					endStream(con)
				}
			})
			rly.srv.cfg.Mover = lossyMover{&rly.mover}
			status, body, err := rly.post(path, "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			if status != http.StatusOK || !strings.Contains(body, "id: 2") {
				t.Errorf("%d %q", status, body)
			}
		})
	}
}
