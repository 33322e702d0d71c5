package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)

// A framing is how an endpoint frames a stream of events.
type framing struct {
	head string
	// chunked is set if events are sent in chunks.
	chunked bool
	// reset is set if the connection of a stopped run is reset.
	reset bool
}

var framings = map[string]framing{
	"end of the connection":           {head: signedHead + "\r\n"},
	"end of the connection, HTTP/1.0": {head: strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n"},
	"end of the connection, reset":    {head: signedHead + "\r\n", reset: true},
	"chunks":                          {head: signedHead + "Transfer-Encoding: chunked\r\n\r\n", chunked: true},
	"chunks, reset":                   {head: signedHead + "Transfer-Encoding: chunked\r\n\r\n", chunked: true, reset: true},
	"length":                          {head: signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(eventOne+eventTwo))},
	"length, reset":                   {head: signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(eventOne+eventTwo)), reset: true},
}

// send writes an event.
func (frm framing) send(con net.Conn, evt string) {
	if frm.chunked {
		evt = fmt.Sprintf("%x\r\n%s\r\n", len(evt), evt)
	}
	fmt.Fprint(con, evt)
}

// complete ends a complete stream. Its connection is closed after it.
func (frm framing) complete(con net.Conn) {
	if frm.chunked {
		endStream(con)
	}
}

// stop ends the stream of a run that was stopped.
func (frm framing) stop(con net.Conn) {
	if frm.reset {
		reset(con)
	}
}

// A stopCase is one outcome of the call by which the relay stops a run before it moves it
// to another endpoint.
type stopCase struct {
	name  string
	moved bool
	// lost is set if the run is stopped and the answer is lost.
	lost bool
	// soon is set if the endpoint leaves so soon that there is no first copy.
	soon bool
	// snapshot is the copy from which the run is resumed, path the route.
	snapshot, path string
	// broken is set if the run can't be resumed.
	broken bool
}

var stopCases = []stopCase{
	{name: "moved", moved: true, snapshot: "copy", path: "/say/1"},
	{name: "moved, resumable", moved: true, snapshot: "copy", path: "/long/1"},
	{name: "no room", snapshot: "copy", path: "/say/1"},
	{name: "answer lost", lost: true, snapshot: "copy", path: "/say/1"},
	{name: "moved on short notice", moved: true, soon: true, snapshot: "copy", path: "/say/1"},
	{name: "answer lost on short notice, resumable", lost: true, soon: true, path: "/long/1"},
	{name: "answer lost on short notice", lost: true, soon: true, path: "/say/1", broken: true},
}

// leaveSoon makes the first endpoint leave on short notice.
func (rly *testRelay) leaveSoon() <-chan struct{} {
	stopped := make(chan struct{})
	rly.mover.mu.Lock()
	rly.mover.stop = func() { close(stopped) }
	rly.mover.mu.Unlock()
	rly.mu.Lock()
	vid := rly.order[0]
	addr := rly.addrs[vid]
	rly.mu.Unlock()
	rly.pool.Set(wick.Backend{
		ID: vid, Service: "s", Zone: "a", Address: addr, Slots: 4, Reclaimable: true, Leaving: true, LeavesIn: stopLead,
	}, time.Now())
	return stopped
}

// TestStoppedRunIsNotComplete guards against a stream that its caller takes for complete
// although the entry itself has stopped its run in the middle: without a length or chunks,
// a stopped run ends like a complete one.
func TestStoppedRunIsNotComplete(t *testing.T) {
	for name, frm := range framings {
		for _, tst := range stopCases {
			t.Run(name+", "+tst.name, func(t *testing.T) {
				t.Parallel()
				rly := newStoppingRelay(t, frm, &tst)
				status, body, err := rly.post(tst.path, "X-Model", "m")
				if tst.broken {
					if err == nil {
						t.Errorf("the stopped stream looks complete: %q", body)
					}
					rly.assert(status, http.StatusOK, body, eventOne, 1)
					return
				}
				if err != nil || body != eventOne+eventTwo {
					t.Errorf("body %q, error %v", body, err)
				}
				rly.assert(status, http.StatusOK, body, eventOne, 2)
			})
		}
	}
}

// newStoppingRelay returns a relay whose first endpoint leaves after the first event. Its
// run is stopped, and is resumed elsewhere.
func newStoppingRelay(t *testing.T, frm framing, tst *stopCase) *testRelay {
	t.Helper()
	var rly *testRelay
	rly = newTestRelay(t, 3, func(req *http.Request, con net.Conn, num int) {
		if num > 0 {
			if req.Header.Get("X-Copy") != tst.snapshot || req.Header.Get("X-Last") != "1" {
				t.Errorf("resumed with copy %q after event %q", req.Header.Get("X-Copy"), req.Header.Get("X-Last"))
			}
			beginStream(con, eventTwo)
			endStream(con)
			return
		}
		fmt.Fprint(con, frm.head)
		frm.send(con, eventOne)
		leave := rly.leave
		if tst.soon {
			leave = rly.leaveSoon
		}
		<-leave()
		frm.stop(con)
	})
	rly.mover.moved = tst.moved
	if tst.lost {
		rly.srv.cfg.Mover = lossyMover{&rly.mover}
	}
	return rly
}

// TestUnstoppedRunIsComplete guards against a complete stream that is taken for broken off
// because its run was to be moved: the run ended before the order reached it.
func TestUnstoppedRunIsComplete(t *testing.T) {
	for name, frm := range framings {
		if frm.reset {
			continue
		}
		for cause, stopErr := range map[string]error{
			"ended": wick.ErrNotFound, "another call in progress": wick.ErrConflict, "busy": wick.ErrBusy, "not sent": errUnsentMove,
		} {
			t.Run(name+", "+cause, func(t *testing.T) {
				t.Parallel()
				var rly *testRelay
				rly = newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) {
					fmt.Fprint(con, frm.head)
					frm.send(con, eventOne)
					rly.leave()
					time.Sleep(400 * time.Millisecond)
					frm.send(con, eventTwo)
					frm.complete(con)
				})
				rly.mover.err = stopErr
				status, body, err := rly.post("/say/1", "X-Model", "m")
				if err != nil || body != eventOne+eventTwo {
					t.Errorf("body %q, error %v", body, err)
				}
				rly.assert(status, http.StatusOK, body, eventOne, 1)
				rly.assertMoves(1, 1, 1)
			})
		}
	}
}

// TestRunEndedAsStopped guards against a stream that never ends for its caller because its
// run had produced its last event when it was stopped: no events are left for the run that
// is resumed. With chunks or a length, the stream's own end decides.
func TestRunEndedAsStopped(t *testing.T) {
	for name, frm := range framings {
		if frm.reset {
			continue
		}
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, answer lost %t", name, lost), func(t *testing.T) {
				t.Parallel()
				attempts := 2
				if !strings.HasPrefix(name, "end of the connection") {
					attempts = 1
				}
				var rly *testRelay
				rly = newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
					if num > 0 {
						fmt.Fprint(con, signedHead+"Content-Length: 0\r\n\r\n")
						return
					}
					fmt.Fprint(con, frm.head)
					frm.send(con, eventOne)
					stopped := rly.leave()
					frm.send(con, eventTwo)
					<-stopped
					frm.complete(con)
				})
				rly.mover.moved = true
				if lost {
					rly.srv.cfg.Mover = lossyMover{&rly.mover}
				}
				status, body, err := rly.post("/say/1", "X-Model", "m")
				if err != nil || body != eventOne+eventTwo {
					t.Errorf("body %q, error %v", body, err)
				}
				rly.assert(status, http.StatusOK, body, eventOne, attempts)
			})
		}
	}
}

// TestDeadlineIsNotComplete guards against an answer that its caller takes for complete
// although its endpoint stopped at the deadline that the entry had given it: without a
// length or chunks it ends like a complete one.
func TestDeadlineIsNotComplete(t *testing.T) {
	const deadline = 150 * time.Millisecond
	for name, frm := range framings {
		if frm.reset {
			continue
		}
		for _, path := range []string{"/look/1", "/book/1", "/gen/1", "/say/1"} {
			t.Run(name+path[:5], func(t *testing.T) {
				t.Parallel()
				rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
					fmt.Fprint(con, frm.head)
					frm.send(con, eventOne)
					time.Sleep(deadline + timeoutGrace/4)
				})
				status, body, err := rly.post(path, "X-Model", "m", "X-Deadline", deadline.String())
				if status == http.StatusOK && err == nil {
					t.Errorf("an answer that was stopped at its deadline looks complete: %q", body)
				}
			})
		}
	}
}

// errUnsentMove is the error of a move whose order was not sent.
var errUnsentMove = fmt.Errorf("%w: %w", wick.ErrUnavailable, wick.ErrNotSent)

// An evidenceLog records what attempts say of versions and prompts.
type evidenceLog struct {
	noCrashes
	anyVersion
	mu      sync.Mutex
	samples []wick.VersionSample
	lost    int
}

func (evl *evidenceLog) Choose(wick.Service, wick.RouteName, time.Time) Choice {
	return Choice{Done: func(smp wick.VersionSample) {
		evl.mu.Lock()
		defer evl.mu.Unlock()
		evl.samples = append(evl.samples, smp)
	}}
}

func (evl *evidenceLog) Lost(wick.Backend, crash.Prompt, time.Time) <-chan struct{} {
	evl.mu.Lock()
	defer evl.mu.Unlock()
	evl.lost++
	return nil
}

// TestStoppedRunIsNoFailure guards against a version that is judged, and a prompt that is
// blocked, by the broken streams of runs that the entry itself has stopped for their move.
func TestStoppedRunIsNoFailure(t *testing.T) {
	for name, frm := range framings {
		for _, tst := range stopCases[:3] {
			t.Run(name+", "+tst.name, func(t *testing.T) {
				t.Parallel()
				rly := newStoppingRelay(t, frm, &tst)
				var evl evidenceLog
				rly.srv.cfg.Versions, rly.srv.cfg.Crashes = &evl, &evl
				if _, _, err := rly.post(tst.path, "X-Model", "m", "X-Shared", "s"); err != nil {
					t.Error(err)
				}
				evl.mu.Lock()
				defer evl.mu.Unlock()
				if len(evl.samples) == 0 || !evl.samples[0].Out.Cancelled || evl.samples[0].Out.Err != nil {
					t.Errorf("samples %+v, want first the stopped run without a failure", evl.samples)
				}
				if evl.lost > 0 {
					t.Errorf("%d losses count against the prompt", evl.lost)
				}
			})
		}
	}
}
