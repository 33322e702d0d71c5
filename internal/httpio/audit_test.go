package httpio

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
)

// TestCloseWithoutAnswer guards against an audit that relies on the server: a handler that
// closes the connection in place of an answer is a fault that only the bytes show.
func TestCloseWithoutAnswer(t *testing.T) {
	srv, lis := newServer(t)
	lis.Audit.Metrics = metrics.NewRegistry()
	srv.Use(func(_ context.Context, rct *app.RequestContext) {
		if err := rct.GetConn().Close(); err != nil {
			t.Error(err)
		}
	})
	go func() { _ = srv.Run() }()
	defer func() { _ = Shutdown(context.Background(), srv, lis) }()
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(stopTimeout))
	_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if answer, err := io.ReadAll(con); len(answer) != 0 {
		t.Fatalf("%q, %v", answer, err)
	}
	if num := metrics.GetOrRegisterCounter("front.requests.unanswered", lis.Audit.Metrics).Count(); num != 1 {
		t.Errorf("%d requests unanswered, want 1", num)
	}
}
