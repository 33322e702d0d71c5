package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerLeavesAfterMoreInput guards against endpoints that go on working for a caller
// that has sent bytes behind its request, such as an empty line, and has left.
func TestCallerLeavesAfterMoreInput(t *testing.T) {
	const bound = 800 * time.Millisecond
	working, ended := make(chan struct{}), make(chan struct{})
	rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		close(working)
		defer close(ended)
		sendUntilClosed(con, 0)
	})
	con := rly.sendRaw("/late/1", "HTTP/1.1")
	<-working
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(con, "\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	con.Close()
	left := time.Now()
	<-ended
	if took := time.Since(left); took > bound {
		t.Errorf("the endpoint worked for %v after the caller left, want at most %v", took, bound)
	}
}
