package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// malformedReplies are whole replies of an endpoint, but that they state their end twice,
// wrongly or in a way that parsers read differently. Each has an event or a body "part".
var malformedReplies = map[string]string{
	"two lengths":              signedHead + "Content-Length: 30\r\nContent-Length: 4\r\n\r\ndata: part\n\n",
	"list of lengths":          signedHead + "Content-Length: 12, 12\r\n\r\ndata: part\n\n",
	"sign":                     signedHead + "Content-Length: +12\r\n\r\ndata: part\n\n",
	"empty length":             signedHead + "Content-Length:\r\n\r\ndata: part\n\n",
	"length and chunked":       signedHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\n\r\n",
	"another encoding":         signedHead + "Transfer-Encoding: gzip, chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\n\r\n",
	"identity":                 signedHead + "Transfer-Encoding: identity\r\n\r\ndata: part\n\n",
	"chunked twice":            signedHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\n\r\n",
	"chunked in HTTP/1.0":      strings.Replace(signedHead, "/1.1", "/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\n\r\n",
	"space before the colon":   signedHead + "Content-Length : 12\r\n\r\ndata: part\n\n",
	"line feeds only":          strings.ReplaceAll(signedHead, "\r", "") + "Content-Length: 12\n\ndata: part\n\n",
	"line feed in a value":     signedHead + "X-A: b\nContent-Length: 12\r\n\r\ndata: part\n\n",
	"length in the trailer":    signedHead + "Transfer-Encoding: chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\nContent-Length: 3\r\n\r\n",
	"trailer with line feeds":  signedHead + "Transfer-Encoding: chunked\r\n\r\nc\r\ndata: part\n\n\r\n0\r\nX-A: b\n\n",
	"no content with a length": strings.Replace(signedHead, "200", "204", 1) + "Content-Length: 12\r\n\r\ndata: part\n\n",
	"another protocol":         strings.Replace(signedHead, "/1.1", "/2.0", 1) + "Content-Length: 12\r\n\r\ndata: part\n\n",
}

// TestMalformedReply guards against answers of endpoints in trouble whose end is in doubt
// and that callers get as they are, or with the sizes of their chunks as a part of them. The
// request goes to another endpoint if it may, and has no known outcome otherwise.
func TestMalformedReply(t *testing.T) {
	for name, text := range malformedReplies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertReplyLost(t, func(con net.Conn) { fmt.Fprint(con, text) })
		})
	}
}

// assertReplyLost asserts that the first reply to a request doesn't reach its caller as a
// complete one, on each kind of route.
func assertReplyLost(t *testing.T, answer func(con net.Conn)) {
	t.Helper()
	for path, want := range map[string]int{"/look/1": http.StatusOK, "/book/1": http.StatusBadGateway, "/gen/1": http.StatusOK} {
		rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
			if num > 0 {
				answerEither(req, con)
				return
			}
			answer(con)
			// The next bytes on the connection would be those of another reply.
			_ = con.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = con.Read(make([]byte, 1))
		})
		status, body, err := rly.post(path)
		switch {
		case err != nil && path == "/gen/1":
			// The stream was cut behind an event.
		case err != nil, status != want:
			t.Errorf("%s: %d %q, error %v, want %d", path, status, body, err, want)
		case strings.Contains(body, "part"), status == http.StatusOK && !strings.Contains(body, "ok"):
			t.Errorf("%s: %d %q was forwarded as complete", path, status, body)
		}
	}
}

// TestReplyWithCertainEnd guards against sound answers that are refused with the malformed
// ones.
func TestReplyWithCertainEnd(t *testing.T) {
	for name, text := range map[string]string{
		"length":              signedHead + "Content-Length: 5\r\n\r\nwhole",
		"same length twice":   signedHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"chunked":             signedHead + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-A: b\r\n\r\n",
		"neither":             signedHead + "\r\nwhole",
		"HTTP/1.0":            strings.Replace(signedHead, "/1.1", "/1.0", 1) + "Content-Length: 5\r\n\r\nwhole",
		"informational first": "HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + signedHead + "Content-Length: 5\r\n\r\nwhole",
		"bytes behind it":     signedHead + "Content-Length: 5\r\n\r\nwholeX\nX",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/look/1", "/book/1"} {
				rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) { _, _ = io.WriteString(con, text) })
				status, body, err := rly.post(path)
				if err != nil {
					t.Error(err)
				}
				rly.assert(status, http.StatusOK, body, "whole", 1)
			}
		})
	}
}
