package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// reset resets a connection once the relay has read what was sent.
func reset(con net.Conn) {
	time.Sleep(30 * time.Millisecond)
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	con.Close()
}

// undelimitedHeads are heads of replies that end with their connection.
var undelimitedHeads = map[string]string{
	"HTTP/1.1":             signedHead + "\r\n",
	"HTTP/1.1, close":      signedHead + "Connection: close\r\n\r\n",
	"HTTP/1.0":             strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n",
	"HTTP/1.0, keep-alive": strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\n\r\n",
}

// TestReplyEndsWithConnection guards against replies without a length or chunks that are
// mistaken: one that ends with its connection is complete and is delivered with a length;
// one whose connection is reset is not, though all of it may have come.
func TestReplyEndsWithConnection(t *testing.T) {
	for name, head := range undelimitedHeads {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/look/1", "/book/1"} {
				rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) { fmt.Fprint(con, head+"whole body") })
				res := rly.request(path)
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				if err != nil || res.ContentLength != int64(len("whole body")) || res.Header.Get("X-Seal") != "s" || res.Header.Get("X-Id") != "r1" {
					t.Errorf("%s: length %d, header %v, error %v", path, res.ContentLength, res.Header, err)
				}
				rly.assert(res.StatusCode, http.StatusOK, string(body), "whole body", 1)
			}
		})
		t.Run(name+", reset", func(t *testing.T) {
			for path, want := range map[string]struct {
				status, attempts int
				body             string
			}{"/look/1": {http.StatusOK, 2, "other"}, "/book/1": {http.StatusBadGateway, 1, ""}} {
				rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
					if num > 0 {
						reply(con, req, http.StatusOK, "other")
						return
					}
					fmt.Fprint(con, head+"whole body")
					reset(con)
				})
				status, body, err := rly.post(path)
				if err != nil || strings.Contains(body, "whole") {
					t.Errorf("%s: body %q, error %v", path, body, err)
				}
				rly.assert(status, want.status, body, want.body, want.attempts)
			}
		})
	}
}

// TestReplyWithoutBody guards against replies that never have a body whose end is taken
// for that of their connection, which the endpoint keeps open.
func TestReplyWithoutBody(t *testing.T) {
	for name, tst := range map[string]struct {
		method, head string
		status       int
	}{
		"HEAD":             {http.MethodHead, signedHead + "\r\n", http.StatusOK},
		"HEAD with length": {http.MethodHead, signedHead + "Content-Length: 5\r\n\r\n", http.StatusOK},
		"204":              {http.MethodGet, strings.Replace(signedHead, "200", "204", 1) + "\r\n", http.StatusNoContent},
		"304":              {http.MethodGet, strings.Replace(signedHead, "200", "304", 1) + "Content-Length: 5\r\n\r\n", http.StatusNotModified},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
				fmt.Fprint(con, tst.head)
				time.Sleep(500 * time.Millisecond)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, tst.method, "http://"+rly.addr+"/look/1", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h"
			req.Header = http.Header{"X-Id": {"r1"}, "X-Key": {"k"}}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			if err != nil || len(body) > 0 || res.Header.Get("X-Seal") != "s" {
				t.Errorf("body %q, header %v, error %v", body, res.Header, err)
			}
			rly.assert(res.StatusCode, tst.status, "", "", 1)
		})
	}
}

// TestStreamEndsWithConnection guards against streams without a length or chunks, which end
// with their connection, that are mistaken: one that ends inside an event, or before its
// first one, or with a reset was broken off and goes on at another endpoint; one that ends
// after an event is complete.
func TestStreamEndsWithConnection(t *testing.T) {
	const both = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tst := range map[string]struct {
		sent  string
		reset bool
		// attempts is the number of endpoints that get the request.
		attempts int
	}{
		"after the last event":   {both, false, 1},
		"inside an event":        {"id: 1\ndata: a\n\nid: 2\nda", false, 2},
		"inside the first":       {"id: 1", false, 2},
		"before the first":       {"", false, 2},
		"reset after an event":   {"id: 1\ndata: a\n\n", true, 2},
		"reset after a whole id": {"id: 1\ndata: a\n\nid: 2\n", true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			for _, head := range undelimitedHeads {
				rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
					text := tst.sent
					if num > 0 {
						text = both
						if req.Header.Get("X-Last") == "1" {
							text = strings.TrimPrefix(both, "id: 1\ndata: a\n\n")
						}
					}
					fmt.Fprint(con, head+text)
					if num == 0 && tst.reset {
						reset(con)
					}
				})
				res := rly.request("/gen/1", "X-Model", "m")
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				if err != nil || res.Header.Get("X-Seal") != "s" || string(body) != both {
					t.Errorf("body %q, header %v, error %v", body, res.Header, err)
				}
				rly.assert(res.StatusCode, http.StatusOK, string(body), both, tst.attempts)
			}
		})
	}
}

// TestBrokenStreamLooksBroken guards against streams that look complete to their callers
// although they were broken off: where the route allows no other endpoint, and where the
// second endpoint ends its reply before the first event, too.
func TestBrokenStreamLooksBroken(t *testing.T) {
	const inside = "id: 1\ndata: a\n\nid: 2\nda"
	for name, tst := range map[string]struct {
		path, first, second string
		reset               bool
		attempts            int
	}{
		"not resumable, inside an event":    {"/say/1", inside, "", false, 1},
		"not resumable, reset":              {"/say/1", "id: 1\ndata: a\n\n", "", true, 1},
		"second one inside an event":        {"/gen/1", inside, "id: 2\nda", false, 2},
		"second one before its first event": {"/gen/1", inside, "", false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
				text := tst.first
				if num > 0 {
					text = tst.second
				}
				fmt.Fprint(con, signedHead+"\r\n"+text)
				if tst.reset {
					reset(con)
				}
			})
			status, body, err := rly.post(tst.path, "X-Model", "m")
			if err == nil || strings.Contains(body, "id: 2") {
				t.Errorf("the broken stream looks complete: %q", body)
			}
			rly.assert(status, http.StatusOK, body, "id: 1\ndata: a\n\n", tst.attempts)
		})
	}
}

// TestNoEventsLeft guards against a stream that is called broken off since its last event
// came without the end of the stream: the second endpoint says that no events are left.
func TestNoEventsLeft(t *testing.T) {
	rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
		if num == 0 {
			fmt.Fprint(con, signedHead+"\r\nid: 1\ndata: a\n\n")
			reset(con)
			return
		}
		fmt.Fprint(con, signedHead+"Content-Length: 0\r\n\r\n")
	})
	status, body, err := rly.post("/gen/1", "X-Model", "m")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, http.StatusOK, body, "id: 1\ndata: a\n\n", 2)
}
