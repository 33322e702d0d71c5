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

// A midPanicDialect panics on a header of an endpoint's reply.
type midPanicDialect struct{ testDialect }

func (pdl midPanicDialect) ReadReply(status int, hdr http.Header) wick.ReplyMeta {
	if hdr.Get("X-Panic") != "" {
		panic("malformed reply")
	}
	return pdl.testDialect.ReadReply(status, hdr)
}

// TestPanicInStream guards against a stream that looks complete although a panic ended it.
func TestPanicInStream(t *testing.T) {
	rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
		if num == 0 {
			beginStream(con, "id: 1\ndata: a\n\n")
			return
		}
		_, _ = con.Write([]byte("HTTP/1.1 200 X\r\nX-Panic: 1\r\nContent-Length: 0\r\n\r\n"))
	})
	rly.srv.cfg.Dialect = midPanicDialect{}
	status, body, err := rly.post("/gen/1")
	if err == nil {
		t.Errorf("%d %q looks complete", status, body)
	}
	if !strings.Contains(body, "id: 1") {
		t.Errorf("body %q", body)
	}
}

// A panicMover panics in one of its calls.
type panicMover struct {
	*testMover
	reserve, move, release bool
}

func (mvr panicMover) Reserve(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, error) {
	if mvr.reserve {
		panic("malformed answer to a first copy")
	}
	return mvr.testMover.Reserve(ctx, from, to, rid)
}

func (mvr panicMover) Move(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, bool, error) {
	if mvr.move {
		panic("malformed answer to a move")
	}
	return mvr.testMover.Move(ctx, from, to, rid)
}

func (mvr panicMover) Release(ctx context.Context, cpy wick.RunSnapshot) error {
	if mvr.release {
		panic("malformed answer to a release")
	}
	return mvr.testMover.Release(ctx, cpy)
}

// TestPanicBesideRequest guards against the requests of all callers that end with the process
// because the move or the probe of one run panics. That run's own stream continues.
func TestPanicBesideRequest(t *testing.T) {
	for name, setUp := range map[string]func(rly *testRelay){
		"first copy": func(rly *testRelay) { rly.srv.cfg.Mover = panicMover{testMover: &rly.mover, reserve: true} },
		"move":       func(rly *testRelay) { rly.srv.cfg.Mover = panicMover{testMover: &rly.mover, move: true} },
		"release": func(rly *testRelay) {
			rly.mover.err = wick.ErrNotFound
			rly.srv.cfg.Mover = panicMover{testMover: &rly.mover, release: true}
		},
		"probe": func(rly *testRelay) {
			rly.mover.err = wick.ErrNotFound
			rly.srv.cfg.Prober = &testProber{result: func(int) (bool, error) { panic("malformed report") }}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var rly *testRelay
			rly = newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) {
				beginStream(con, eventOne)
				rly.leave()
				time.Sleep(700 * time.Millisecond)
				writeEvents(con, eventTwo)
				endStream(con)
			})
			setUp(rly)
			status, body, err := rly.post("/long/1", "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, http.StatusOK, body, eventOne+eventTwo, 1)
			time.Sleep(50 * time.Millisecond)
		})
	}
}
