package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// innerBooking is a whole request, which is sent as the body of another one.
const innerBooking = "POST /book/2 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\nX-Key: k\r\nContent-Length: 0\r\n\r\n"

// TestSmuggledRequest guards against a request in the body of another one that runs as one of
// its own: of two differing lengths the last one counted, and other framings that parsers
// read differently were served. Nothing of them may run, and their connection is closed.
func TestSmuggledRequest(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(innerBooking))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(innerBooking), innerBooking)
	for name, text := range map[string]string{
		"two lengths":              length + "Content-Length: 0\r\n\r\n" + innerBooking,
		"identity":                 "Transfer-Encoding: identity\r\n\r\n" + innerBooking,
		"length and chunked":       length + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"line feeds in a trailer":  "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\n\n" + innerBooking,
		"malformed behind a chunk": "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 0x8000) + "\n0\r\n\r\n" + innerBooking,
	} {
		for _, path := range []string{"/book/1", "/look/1", "/gen/1"} {
			t.Run(name+path[:5], func(t *testing.T) {
				rly := newTestRelay(t, 1, replyLength(0))
				cal := rly.dial()
				cal.sendHead(path)
				_, _ = io.WriteString(cal, text)
				rec := cal.receive()
				if !rec.isRefusal(http.StatusBadRequest) {
					t.Errorf("%d %s, want 400, not executed", rec.status, rec.body)
				}
				if rest, err := io.ReadAll(cal.in); len(rest) > 0 || err != nil {
					t.Errorf("%q, %v behind the refusal, want the end", rest, err)
				}
				rly.mu.Lock()
				defer rly.mu.Unlock()
				if len(rly.order) > 0 {
					t.Errorf("%d requests ran", len(rly.order))
				}
			})
		}
	}
}

// TestRequestInBody guards against a body that is changed or run because it holds a request.
func TestRequestInBody(t *testing.T) {
	for _, frm := range bodyFramings {
		t.Run(frm.name, func(t *testing.T) {
			bodies := make(chan string, 2)
			rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
				body, _ := io.ReadAll(req.Body)
				bodies <- string(body)
				reply(con, req, http.StatusOK, "ok")
			})
			cal := rly.dial()
			cal.sendHead("/book/1")
			if err := frm.write(cal, innerBooking); err != nil {
				t.Fatal(err)
			}
			if rec := cal.receive(); rec.status != http.StatusOK {
				t.Errorf("%d %s", rec.status, rec.body)
			}
			if body := <-bodies; body != innerBooking || len(bodies) > 0 {
				t.Errorf("body %q, %d more requests", body, len(bodies))
			}
		})
	}
}
