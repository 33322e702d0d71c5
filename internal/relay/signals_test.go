package relay

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// replyWith writes an answer with further header lines, each with its line end. The
// connection is closed after it, which it announces: a request on a connection that is
// being closed is lost.
func replyWith(con net.Conn, req *http.Request, status int, lines, body string) {
	fmt.Fprintf(con, "HTTP/1.1 %d X\r\nConnection: close\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, req.Header.Get("X-Id"), lines, len(body), body)
}

const (
	sealLine    = "X-Seal: s\r\n"
	refusedLine = "X-Refused: 1\r\n"
	leavingLine = "X-Leaving: 1\r\n"
)

// assertAnnounced asserts which endpoints the relay has announced as leaving.
func (rly *testRelay) assertAnnounced(want ...wick.VMID) {
	rly.Helper()
	rly.mu.Lock()
	defer rly.mu.Unlock()
	if !slices.Equal(rly.announced, want) {
		rly.Errorf("announced %v as leaving, want %v", rly.announced, want)
	}
}

// TestLeavingAnswer guards against requests to an endpoint after it has signalled in any of
// its answers that it leaves, also where no other endpoint is left.
func TestLeavingAnswer(t *testing.T) {
	for name, tst := range map[string]struct {
		path       string
		status     int
		lines      string
		body       string
		wantStatus int
	}{
		"answer":       {"/look/1", 200, sealLine, "ok", 200},
		"error answer": {"/book/1", 500, sealLine, "bad", 500},
		"refusal":      {"/book/1", 503, refusedLine, "", 503},
		"stream":       {"/gen/1", 200, sealLine, "id: 1\ndata: a\n\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
				replyWith(con, req, tst.status, tst.lines+leavingLine, tst.body)
			})
			status, body, _ := rly.post(tst.path)
			rly.assert(status, tst.wantStatus, body, tst.body, 1)
			status, body, _ = rly.post(tst.path)
			rly.assert(status, 503, body, "noEndpoint", 1)
			rly.assertAnnounced("e0")
		})
	}
	t.Run("header goes to the caller", func(t *testing.T) {
		rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
			replyWith(con, req, 200, sealLine+leavingLine, "ok")
		})
		res := rly.request("/look/1")
		res.Body.Close()
		if got := res.Header.Get("X-Leaving"); got != "1" {
			t.Errorf("header %q, want that of the endpoint", got)
		}
	})
	t.Run("retry goes elsewhere", func(t *testing.T) {
		rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
			if num == 0 {
				replyWith(con, req, 503, refusedLine+leavingLine, "")
				return
			}
			replyWith(con, req, 200, sealLine, "ok")
		})
		for num := range 5 {
			status, body, _ := rly.post("/look/1")
			rly.assert(status, 200, body, "ok", num+2)
		}
		if left := rly.order[0]; rly.received[left] != 1 {
			t.Errorf("%s got %d requests, want 1", left, rly.received[left])
		}
	})
	t.Run("answer to another request", func(t *testing.T) {
		rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, num int) {
			if num == 0 {
				req.Header.Set("X-Id", "r0")
				replyWith(con, req, 200, sealLine+leavingLine, "ok")
				return
			}
			reply(con, req, 200, "ok")
		})
		_, _, _ = rly.post("/look/1")
		rly.assertAnnounced()
		status, body, _ := rly.post("/look/1")
		rly.assert(status, 200, body, "ok", 2)
	})
}

// TestLeavingWhileWaiting guards against a request that waited for its turn at an endpoint
// and is sent there although the endpoint leaves by then.
func TestLeavingWhileWaiting(t *testing.T) {
	rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
		if strings.HasSuffix(req.URL.Path, "slow") {
			time.Sleep(100 * time.Millisecond)
			replyWith(con, req, 200, sealLine+leavingLine, "ok")
			return
		}
		replyWith(con, req, 200, sealLine+"X-Limit: 4\r\n", "ok")
	})
	rly.post("/look/1")
	waited := make(chan int, 2)
	for _, path := range []string{"/look/slow", "/look/2"} {
		go func() {
			status, _, _ := rly.post(path)
			waited <- status
		}()
		time.Sleep(20 * time.Millisecond)
	}
	<-waited
	<-waited
	_, _, _ = rly.post("/look/3")
	rly.mu.Lock()
	defer rly.mu.Unlock()
	if len(rly.order) > 2 {
		t.Errorf("%d requests arrived, want 2", len(rly.order))
	}
}
