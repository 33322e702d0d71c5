package httpio

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// An exhaustedListener fails its first accepts, as a process without free file
// descriptors does.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (lis *exhaustedListener) Accept() (net.Conn, error) {
	if lis.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return lis.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a server that ends, and with it all of its
// requests, because the process had no file descriptor left for one connection.
func TestAcceptWithoutDescriptors(t *testing.T) {
	srv, lis := newServer(t)
	raw := &exhaustedListener{Listener: lis.Listener}
	raw.failures.Store(3)
	lis.Listener = raw
	ended := make(chan error, 1)
	go func() { ended <- srv.Run() }()
	con, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	for end := time.Now().Add(stopTimeout); lis.OpenConns() == 0 && time.Now().Before(end); {
		select {
		case err := <-ended:
			t.Fatalf("the server ended: %v", err)
		case <-time.After(5 * time.Millisecond):
		}
	}
	if lis.OpenConns() != 1 {
		t.Errorf("%d connections accepted, want 1", lis.OpenConns())
	}
}
