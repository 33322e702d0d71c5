package relay

import (
	"context"
	"net"
	"net/http"
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
