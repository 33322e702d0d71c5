package httpio

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// newCallerServer starts a server with a handler and returns its address.
func newCallerServer(t *testing.T, handle app.HandlerFunc) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{Listener: raw, Limit: 10, ReadTimeout: time.Second, WriteTimeout: 10 * time.Second}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter), OnAccept())
	srv.Use(handle)
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	})
	return raw.Addr().String()
}

// TestCloseWithUnreadInput guards against a response whose end is lost, because the server
// closed the connection while the caller had sent more than was read: that resets it.
func TestCloseWithUnreadInput(t *testing.T) {
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
	next := bytes.Repeat([]byte("y"), 64<<10)
	fmt.Fprintf(con, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n%s", next)
	time.Sleep(300 * time.Millisecond)
	got, err := io.Copy(io.Discard, con)
	if err != nil || got < size {
		t.Errorf("%d bytes, %v, want more than %d", got, err, size)
	}
}

// TestPipelinedRequest guards against the loss of the bytes of a next request that a watch
// of the connection has read.
func TestPipelinedRequest(t *testing.T) {
	addr := newCallerServer(t, func(ctx context.Context, rct *app.RequestContext) {
		_, endWatch := WatchCaller(ctx, rct)
		time.Sleep(30 * time.Millisecond)
		endWatch()
		rct.SetStatusCode(http.StatusOK)
		rct.Response.SetBody(rct.Path())
		rct.Abort()
	})
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	const num = 5
	go func() {
		for idx := range num {
			fmt.Fprintf(con, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", idx)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	var got bytes.Buffer
	for buf := make([]byte, 4096); bytes.Count(got.Bytes(), []byte("HTTP/1.1 200")) < num; {
		cnt, err := con.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, got.String())
		}
		got.Write(buf[:cnt])
	}
	for idx := range num {
		if !bytes.Contains(got.Bytes(), fmt.Appendf(nil, "\r\n\r\n/%d", idx)) {
			t.Errorf("no response to request %d in %q", idx, got.String())
		}
	}
}
