package httpio

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// TestCloseBeforeResponseIsSent guards against a response whose end is lost, because its
// caller reads slowly and sends its next request after lingerTimeout, before it has read
// that the connection is closed.
func TestCloseBeforeResponseIsSent(t *testing.T) {
	const size = 1 << 20
	addr := newCallerServer(t, func(_ context.Context, rct *app.RequestContext) {
		rct.SetConnectionClose()
		rct.Response.SetBody(bytes.Repeat([]byte("x"), size))
		rct.Abort()
	})
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(lingerTimeout + 500*time.Millisecond)
	fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	got, err := io.Copy(io.Discard, con)
	if err != nil || got < size {
		t.Errorf("%d bytes, %v, want more than %d", got, err, size)
	}
}
