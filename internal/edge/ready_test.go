package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// TestMalformedReadinessCheck guards against a readiness listener that serves a request whose
// end is in doubt.
func TestMalformedReadinessCheck(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	serveReady(raw)
	con, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	const check = "GET / HTTP/1.1\r\nHost: h\r\n"
	fmt.Fprintf(con, "%sContent-Length: %d\r\nContent-Length: 0\r\n\r\n%s\r\n", check, len(check)+2, check)
	_ = con.SetReadDeadline(time.Now().Add(time.Second))
	answer, err := io.ReadAll(con)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") || strings.Count(string(answer), "HTTP/1.1 ") != 1 || err != nil {
		t.Errorf("answer %q, then %v, want one 400 and the end", answer, err)
	}
}
