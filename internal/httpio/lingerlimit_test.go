package httpio

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// TestLingerWithinLimit guards against refusals because of connections that were answered
// and closed, and only wait for their callers to close them too.
func TestLingerWithinLimit(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{
		Listener: raw, Limit: 1, ReadTimeout: time.Second, WriteTimeout: 10 * time.Second,
		Refusal: func() []byte { return []byte("refused") },
	}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter), OnAccept())
	srv.Use(func(_ context.Context, rct *app.RequestContext) {
		rct.SetConnectionClose()
		rct.SetStatusCode(http.StatusOK)
		rct.Abort()
	})
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	})
	for num := range 3 {
		con, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer con.Close() // after the last request
		fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		got, err := io.ReadAll(con) // up to the server's close
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200") {
			t.Errorf("request %d: %v, %q", num, err, got)
		}
	}
}
