package wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/frame"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestMalformedReply guards against replies of any outside system whose end is in doubt and
// that are read nevertheless: net/http accepts a length next to chunks, chunks in HTTP/1.0
// and line feeds without carriage returns.
func TestMalformedReply(t *testing.T) {
	for name, text := range map[string]string{
		"length and chunked":    "HTTP/1.1 200 X\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunked in HTTP/1.0":   "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"line feeds only":       "HTTP/1.1 200 X\nContent-Length: 2\n\nok",
		"length in the trailer": chunkedHead + "2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n",
		"no content":            "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nok",
		"another protocol":      "HTTP/2.0 200 X\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan error, 1)
			url := serveRaw(t, func(con net.Conn) {
				fmt.Fprint(con, text)
				_ = con.SetReadDeadline(time.Now().Add(time.Second))
				_, err := con.Read(make([]byte, 1))
				closed <- err
			})
			cli := &Client{}
			defer cli.Close()
			ans, err := cli.Exchange(t.Context(), Call{Method: http.MethodPost, URL: url, NoRetry: true}, 1<<10)
			if !errors.Is(err, frame.ErrMalformed) || !errors.Is(err, wick.ErrUnknownOutcome) && !errors.Is(err, wick.ErrTruncated) {
				t.Errorf("%d %q, error %v", ans.Status, ans.Body, err)
			}
			if err := <-closed; !errors.Is(err, io.EOF) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
}

// TestReplyBeforeCall guards against bytes that an endpoint sends before the first call on a
// connection and that are taken for the reply to it, unchecked.
func TestReplyBeforeCall(t *testing.T) {
	con, other := net.Pipe()
	defer other.Close()
	go func() { _, _ = io.WriteString(other, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok") }()
	own := &conn{Conn: con}
	if _, err := own.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	var cause error
	grd := &sendGuard{once: true, cancel: func(err error) { cause = err }}
	grd.bind(own)
	if !errors.Is(cause, errUnasked) || !grd.abandon() {
		t.Errorf("the call was ended by %v, want %v", cause, errUnasked)
	}
}
