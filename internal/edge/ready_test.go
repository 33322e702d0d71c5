package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// An exhaustedListener fails its first accept, as a process without free file descriptors
// does.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (lis *exhaustedListener) Accept() (net.Conn, error) {
	if !lis.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return lis.Listener.Accept()
}

// TestReadyWithoutDescriptors guards against an entry that is never ready again because
// its process had no file descriptor left for one readiness check.
func TestReadyWithoutDescriptors(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	serveReady(&exhaustedListener{Listener: raw})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+raw.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}
