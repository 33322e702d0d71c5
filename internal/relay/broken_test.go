package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	twoEvents    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	threeEvents  = twoEvents + "id: 3\ndata: c\n\n"
	streamHeader = "Content-Type: text/event-stream\r\n"
)

// withLength returns a reply to request r1 with a body.
func withLength(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// afterBreak lists what the second endpoint sends after the first one broke off behind
// event 2, and the body that the caller gets.
var afterBreak = map[string]struct {
	sent, body string
	// complete is set if the stream is complete.
	complete bool
}{
	"goes on":                 {withLength("200 X", "X-Seal: s\r\n"+streamHeader, "id: 3\ndata: c\n\n"), threeEvents, true},
	"from the first event":    {withLength("200 X", "X-Seal: s\r\n"+streamHeader, threeEvents), threeEvents, true},
	"with a charset":          {withLength("200 X", "X-Seal: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n", "id: 3\ndata: c\n\n"), threeEvents, true},
	"its end":                 {"HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Seal: s\r\n" + streamHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", twoEvents, true},
	"without length, empty":   {"HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Seal: s\r\n" + streamHeader + "\r\n", twoEvents, false},
	"a failure":               {withLength("500 X", "X-Seal: s\r\n", "error\n\n"), twoEvents, false},
	"a failure as events":     {withLength("500 X", "X-Seal: s\r\n"+streamHeader, threeEvents), twoEvents, false},
	"a 504 at its deadline":   {withLength("504 X", "X-Seal: s\r\n", ""), twoEvents, false},
	"not found":               {withLength("404 X", "X-Seal: s\r\n", "error\n\n"), twoEvents, false},
	"a redirect":              {withLength("302 X", "X-Seal: s\r\nLocation: /\r\n", ""), twoEvents, false},
	"a refusal":               {withLength("503 X", "X-Refused: 1\r\n", "full\n\n"), twoEvents, false},
	"no content":              {"HTTP/1.1 204 X\r\nX-Id: r1\r\nX-Seal: s\r\n\r\n", twoEvents, false},
	"partial content":         {withLength("206 X", "X-Seal: s\r\n"+streamHeader, threeEvents), twoEvents, false},
	"JSON":                    {withLength("200 X", "X-Seal: s\r\nContent-Type: application/json\r\n", "{}\n\n"), twoEvents, false},
	"JSON, empty":             {withLength("200 X", "X-Seal: s\r\nContent-Type: application/json\r\n", ""), twoEvents, false},
	"text without a type":     {withLength("200 X", "X-Seal: s\r\n", "error\n\n"), twoEvents, false},
	"events without a seal":   {withLength("200 X", streamHeader, threeEvents), twoEvents, false},
	"of another request":      {strings.Replace(withLength("200 X", "X-Seal: s\r\n"+streamHeader, threeEvents), "r1", "r2", 1), twoEvents, false},
	"no HTTP":                 {"HTTP/1.1 500\n\nerror\n\n", twoEvents, false},
	"inside an event":         {withLength("200 X", "X-Seal: s\r\n"+streamHeader, "id: 3\nda"), twoEvents, false},
	"a head inside the event": {withLength("200 X", "X-Seal: s\r\n"+streamHeader, "HTTP/1.1 500 X"), twoEvents, false},
}

// TestAnswerAfterBreak guards against the answer of the next endpoint, other than the rest
// of the stream, in the middle of a stream that broke off, or as its end: the caller would
// find the text of an error between events, or take the stream for complete.
func TestAnswerAfterBreak(t *testing.T) {
	for name, tst := range afterBreak {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
				if num > 0 {
					fmt.Fprint(con, tst.sent)
					return
				}
				fmt.Fprint(con, signedHead+streamHeader+"Transfer-Encoding: chunked\r\n\r\n")
				writeEvents(con, twoEvents, "id: 3\nda")
			})
			status, body, err := rly.post("/gen/1", "X-Model", "m")
			if status != http.StatusOK || body != tst.body || (err == nil) != tst.complete {
				t.Errorf("%d %q, %v, want %q, complete: %v", status, body, err, tst.body, tst.complete)
			}
		})
	}
}

// TestStreamAfterFailure guards against a complete stream that is cut off at its end,
// because an endpoint had failed before its first event.
func TestStreamAfterFailure(t *testing.T) {
	rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
		if num == 0 {
			reply(con, req, 500, "broken")
			return
		}
		beginStream(con, threeEvents)
		endStream(con)
	})
	status, body, err := rly.post("/gen/1", "X-Model", "m")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, http.StatusOK, body, threeEvents, 2)
}

// TestEventsWithoutID guards against events that come twice: a stream whose last event had
// no id can't be resumed behind it.
func TestEventsWithoutID(t *testing.T) {
	for _, sent := range []string{"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"} {
		rly := newTestRelay(t, 2, func(_ *http.Request, con net.Conn, num int) {
			beginStream(con, sent)
			if num > 0 {
				endStream(con)
			}
		})
		status, body, err := rly.post("/gen/1", "X-Model", "m")
		if err == nil || body != sent {
			t.Errorf("%q, %v, want %q cut off", body, err, sent)
		}
		rly.assert(status, http.StatusOK, body, sent, 1)
	}
}
