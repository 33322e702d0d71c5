package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A testProber answers questions by a script.
type testProber struct {
	mu    sync.Mutex
	asked int
	// answer returns whether the run goes on, by the number of the question
	// from 0.
	answer func(num int) (bool, error)
}

func (prb *testProber) ProbeRun(context.Context, wick.Backend, wick.RequestID) (bool, error) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	prb.asked++
	return prb.answer(prb.asked - 1)
}

func (prb *testProber) questions() int {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	return prb.asked
}

// pauseThen returns a script whose first send begins with some events and is
// silent for a time before it ends well; a second send answers the rest.
func pauseThen(silence time.Duration, first ...string) script {
	return func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			begin(con, "id: 2\ndata: elsewhere\n\n")
			end(con)
			return
		}
		if len(first) > 0 {
			begin(con, first...)
		}
		time.Sleep(silence)
		if len(first) == 0 {
			begin(con, "id: 1\ndata: a\n\n")
		}
		goOn(con, "id: 2\ndata: here\n\n")
		end(con)
	}
}

// TestSilentEndpoint answers the pattern of an endpoint that goes dark in
// mid-stream: its connection stays open and says nothing. A stream that another
// endpoint may take over must not be held until its caller gives up, and one
// whose endpoint is only slow must not be cut. Found on acep-casca, scale-2: ten
// streams were held for up to 10 s.
func TestSilentEndpoint(t *testing.T) {
	const pause = 700 * time.Millisecond
	dark := func(int) (bool, error) { return false, wick.ErrUnavailable }
	for _, tst := range []struct {
		name, path string
		first      []string
		answer     func(num int) (bool, error)
		body       string
		sends      int
	}{
		{"dark in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, dark, "elsewhere", 2},
		{"dark before the first event", "/gen/1", nil, dark, "elsewhere", 2},
		{"run unknown in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(int) (bool, error) { return false, nil }, "elsewhere", 2},
		{"slow in mid-stream", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(int) (bool, error) { return true, nil }, "here", 1},
		{"run not reported before the first event", "/gen/1", nil, func(int) (bool, error) { return false, nil }, "here", 1},
		{"one question lost", "/gen/1", []string{"id: 1\ndata: a\n\n"}, func(num int) (bool, error) {
			if num == 0 {
				return false, wick.ErrUnavailable
			}
			return true, nil
		}, "here", 1},
		{"not to be repeated", "/say/1", []string{"id: 1\ndata: a\n\n"}, dark, "here", 1},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			sit := newSite(t, 2, pauseThen(pause, tst.first...))
			prb := &testProber{answer: tst.answer}
			sit.srv.cfg.Prober = prb
			status, body, err := sit.ask(tst.path)
			if err != nil {
				t.Error(err)
			}
			sit.assert(status, 200, body, tst.body, tst.sends)
			if watched := tst.path == "/gen/1"; watched != (prb.questions() > 0) {
				t.Errorf("%d questions, watched %v", prb.questions(), watched)
			}
		})
	}
}

// TestTalkingEndpoint guards against questions to endpoints that send all the
// time: each costs the endpoint a call.
func TestTalkingEndpoint(t *testing.T) {
	sit := newSite(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		begin(con, "id: 1\n\n")
		for range 6 {
			time.Sleep(silentAfter / 4)
			goOn(con, ": still here\n\n")
		}
		end(con)
	})
	prb := &testProber{answer: func(int) (bool, error) { return false, wick.ErrUnavailable }}
	sit.srv.cfg.Prober = prb
	status, body, err := sit.ask("/gen/1")
	if err != nil {
		t.Error(err)
	}
	sit.assert(status, 200, body, "id: 1", 1)
	if num := prb.questions(); num != 0 {
		t.Errorf("%d questions to an endpoint that sends every %v", num, silentAfter/4)
	}
}
