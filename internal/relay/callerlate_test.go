package relay

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestHalfClosedCallerLeaves guards against endpoints that go on working for a caller that
// has closed its sending side, waited for a while, and then given up.
func TestHalfClosedCallerLeaves(t *testing.T) {
	const bound = 800 * time.Millisecond
	working, ended := make(chan struct{}), make(chan struct{})
	rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		close(working)
		defer close(ended)
		sendUntilClosed(con, 0)
	})
	con := rly.sendRaw("/late/1", "HTTP/1.1")
	<-working
	if err := con.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = con.SetReadDeadline(time.Now().Add(1400 * time.Millisecond))
	for buf := make([]byte, 4096); ; {
		if _, err := con.Read(buf); err != nil {
			break // all that was sent has been read
		}
	}
	con.Close()
	left := time.Now()
	<-ended
	if took := time.Since(left); took > bound {
		t.Errorf("the endpoint worked for %v after the caller left, want at most %v", took, bound)
	}
}
