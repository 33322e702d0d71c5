package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestReserve guards against a run that is stopped before the target has room for it,
// although its endpoint would have completed it, and against copies of completed runs
// that occupy the target.
func TestReserve(t *testing.T) {
	const completeAfter = 400 * time.Millisecond
	for _, tst := range []struct {
		name string
		err  error
		took time.Duration
		// stopErr is the result of the call that stops the run.
		stopErr                error
		moves, freed, attempts int
	}{
		{"no room", wick.ErrUnavailable, 0, nil, 0, 0, 1},
		{"completed during the first copy", nil, completeAfter, nil, 0, 1, 1},
		{"completed before the stop", nil, 0, wick.ErrNotFound, 1, 1, 1},
		{"not stopped", nil, 0, wick.ErrUnavailable, 1, 1, 1},
		{"moved", nil, 50 * time.Millisecond, nil, 1, 0, 2},
	} {
		t.Run(tst.name, func(t *testing.T) {
			var rly *testRelay
			rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
				if num > 0 {
					beginStream(con, "id: 2\ndata: b\n\n")
					endStream(con)
					return
				}
				select {
				case <-rly.leaveAfterFirstEvent(con):
				case <-time.After(completeAfter):
					writeEvents(con, "id: 2\ndata: b\n\n")
					endStream(con)
				}
			})
			rly.mover.moved, rly.mover.err = true, tst.stopErr
			rly.mover.reserveErr, rly.mover.reserveTook = tst.err, tst.took
			status, body, err := rly.post("/say/1", "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, http.StatusOK, body, "id: 2", tst.attempts)
			rly.assertMoves(1, tst.moves, tst.freed)
		})
	}
}

// TestReserveShortNotice guards against a first copy that takes the time in which the run
// could have been moved.
func TestReserveShortNotice(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			beginStream(con, "id: 2\ndata: b\n\n")
			endStream(con)
			return
		}
		rly.mu.Lock()
		vid := rly.order[0]
		rly.mu.Unlock()
		stopped := make(chan struct{})
		rly.mover.mu.Lock()
		rly.mover.stop = func() { close(stopped) }
		rly.mover.mu.Unlock()
		beginStream(con, "id: 1\ndata: a\n\n")
		rly.pool.Set(wick.Backend{
			ID: vid, Service: "s", Zone: "a", Address: con.LocalAddr().String(), Slots: 4, Reclaimable: true, Leaving: true, LeavesIn: stopLead,
		}, time.Now())
		<-stopped
	})
	rly.mover.moved = true
	status, body, err := rly.post("/say/1", "X-Model", "m")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, http.StatusOK, body, "id: 2", 2)
	rly.assertMoves(0, 1, 0)
}

// assertMoves checks the calls to the mover. Copies are freed after the answer.
func (rly *testRelay) assertMoves(reserved, moves, freed int) {
	rly.Helper()
	time.Sleep(2 * rly.mover.reserveTook)
	for end := time.Now().Add(time.Second); time.Now().Before(end) && rly.mover.freed() < freed; {
		time.Sleep(time.Millisecond)
	}
	rly.mover.mu.Lock()
	defer rly.mover.mu.Unlock()
	if got, want := [3]int{rly.mover.reserved, rly.mover.calls, rly.mover.released}, [3]int{reserved, moves, freed}; got != want {
		rly.Errorf("first copies, moves and releases %v, want %v", got, want)
	}
}

func (mvr *testMover) freed() int {
	mvr.mu.Lock()
	defer mvr.mu.Unlock()
	return mvr.released
}

// TestReserveRunEnded guards against a run that goes on from its first copy although its
// endpoint no longer has it: it may have completed there.
func TestReserveRunEnded(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, _ int) {
		rly.leaveAfterFirstEvent(con)
		time.Sleep(400 * time.Millisecond)
	})
	rly.mover.err = wick.ErrNotFound
	status, body, err := rly.post("/say/1", "X-Model", "m")
	if err == nil {
		t.Error("truncated stream looks complete")
	}
	rly.assert(status, http.StatusOK, body, "id: 1", 1)
	rly.assertMoves(1, 1, 1)
}
