package relay

import (
	"net"
	"net/http"
	"strings"
	"testing"

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
