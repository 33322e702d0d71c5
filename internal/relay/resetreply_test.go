package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is large enough that the endpoint's answer comes while the request is being
// written.
const uploadBytes = 1 << 20

// answerUpload returns a way to serve connections that reads the head of a request, sends
// text at once and ends the connection by end.
func answerUpload(text string, end func(con *net.TCPConn)) func(con net.Conn) {
	return func(con net.Conn) {
		defer con.Close()
		if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
			return
		}
		_, _ = io.WriteString(con, text)
		if tcp, ok := con.(*net.TCPConn); ok {
			end(tcp)
		}
	}
}

// upload sends a request with a body of uploadBytes and returns the answer.
func (rly *testRelay) upload(path string) (status int, body string, err error) {
	rly.Helper()
	res := rly.send(http.MethodPost, path, bytes.NewReader(make([]byte, uploadBytes)))
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// TestResetDuringUpload guards against a part of an answer that is taken for all of it: an
// endpoint answers without a length while the request is being written, and resets the
// connection. The kernel reports the reset to the write, and an end to the read.
func TestResetDuringUpload(t *testing.T) {
	const runs = 50
	for _, path := range []string{"/look/1", "/book/1", "/gen/1"} {
		for range runs {
			t.Run(path, func(t *testing.T) {
				t.Parallel()
				rly := newTestRelay(t, 0, nil)
				rly.addListener("s", "e0", answerUpload(signedHead+"\r\nid: 1\ndata: part\n\n", func(con *net.TCPConn) { _ = con.SetLinger(0) }))
				status, body, err := rly.upload(path)
				if err == nil && strings.Contains(body, "part") {
					t.Fatalf("%d %q was forwarded as complete", status, body)
				}
				if path == "/book/1" && status != http.StatusBadGateway {
					t.Errorf("%d %q, want %d", status, body, http.StatusBadGateway)
				}
			})
		}
	}
}

// TestOrderlyEndDuringUpload guards against an answer without a length that is lost although
// its endpoint has ended the connection in order: before it reads the rest of the request, or
// without reading it.
func TestOrderlyEndDuringUpload(t *testing.T) {
	const text = signedHead + "\r\ndata: whole\n\n"
	for name, serve := range map[string]func(con net.Conn){
		"read before": func(con net.Conn) {
			defer con.Close()
			if req, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				fmt.Fprint(con, text)
			}
		},
		"read after": answerUpload(text, func(con *net.TCPConn) {
			_ = con.CloseWrite()
			_, _ = io.Copy(io.Discard, con)
		}),
		"not read": answerUpload(text, func(con *net.TCPConn) {
			_ = con.CloseWrite()
			time.Sleep(200 * time.Millisecond)
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/look/1", "/book/1", "/gen/1"} {
				rly := newTestRelay(t, 0, nil)
				rly.addListener("s", "e0", serve)
				status, body, err := rly.upload(path)
				if status != http.StatusOK || body != "data: whole\n\n" || err != nil {
					t.Errorf("%s: %d %q, error %v", path, status, body, err)
				}
			}
		})
	}
}
