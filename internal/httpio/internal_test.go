package httpio

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// TestInternalConnections guards against connections to the readiness or admin listener that
// take all descriptors, and against one that is closed for good by them.
func TestInternalConnections(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis, opts := NewInternal(raw)
	srv := server.New(opts...)
	srv.Use(func(_ context.Context, rct *app.RequestContext) {
		rct.String(http.StatusOK, "ready")
		rct.Abort()
	})
	go func() { _ = srv.Run() }()
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	}()
	const request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	conns := make([]net.Conn, 0, internalConns)
	for range internalConns {
		con, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer con.Close()
		conns = append(conns, con)
	}
	if ans := exchangeText(t, raw.Addr().String(), request, len(request)); ans.status != http.StatusServiceUnavailable {
		t.Errorf("connection %d: status %d", internalConns+1, ans.status)
	}
	for _, con := range conns {
		con.Close()
	}
	for end := time.Now().Add(stopTimeout); lis.OpenConns() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if ans := exchangeText(t, raw.Addr().String(), request, len(request)); ans.status != http.StatusOK {
		t.Errorf("afterwards: status %d", ans.status)
	}
}
