package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerLeavesInPause guards against endpoints that go on working for a caller that has
// closed its connection while its stream pauses: nothing is sent to it that it could answer.
func TestCallerLeavesInPause(t *testing.T) {
	const bound = 800 * time.Millisecond
	working, ended := make(chan struct{}), make(chan struct{})
	rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		close(working)
		defer close(ended)
		_, _ = io.WriteString(con, signedHead+"\r\n"+eventOne)
		sendUntilClosed(con, 3*time.Second)
	})
	con := rly.sendRaw("/long/1", "HTTP/1.1")
	<-working
	time.Sleep(100 * time.Millisecond)
	if _, err := con.Read(make([]byte, 4096)); err != nil {
		t.Error(err)
	}
	con.Close()
	left := time.Now()
	<-ended
	if took := time.Since(left); took > bound {
		t.Errorf("the endpoint worked for %v after the caller left, want at most %v", took, bound)
	}
}
