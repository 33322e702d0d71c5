package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerLeavesBehindProxy guards against endpoints that go on working for a caller that
// has closed its connection to a TCP proxy. The proxy passes the end of its input on and is
// reset only by what it sends after a first probe.
func TestCallerLeavesBehindProxy(t *testing.T) {
	const bound = 800 * time.Millisecond
	working, ended := make(chan struct{}), make(chan struct{})
	rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
		close(working)
		defer close(ended)
		sendUntilClosed(con, 0)
	})
	rly.addr = startTCPProxy(t, rly.addr)
	con := rly.sendRaw("/late/1", "HTTP/1.1")
	<-working
	time.Sleep(50 * time.Millisecond)
	con.Close()
	left := time.Now()
	<-ended
	if took := time.Since(left); took > bound {
		t.Errorf("the endpoint worked for %v after the caller left, want at most %v", took, bound)
	}
}

// startTCPProxy starts a proxy that passes half-closes on, and returns its address.
func startTCPProxy(t *testing.T, target string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	forward := func(dst, src net.Conn) {
		if _, err := io.Copy(dst, src); err != nil {
			dst.Close()
			src.Close()
		} else if tcp, ok := dst.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails on closed connections only
		}
	}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				con.Close()
				continue
			}
			go forward(out, con)
			go forward(con, out)
		}
	}()
	return lis.Addr().String()
}
