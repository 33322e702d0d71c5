package httpio

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const endTimeout = 3 * time.Second

func startServer(t *testing.T) (*server.Hertz, *Listener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{Listener: raw, Limit: 10, ReadTimeout: time.Second, WriteTimeout: time.Second}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter))
	return srv, lis
}

func assertEnds(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("Run: %v", err)
		}
	case <-time.After(endTimeout):
		t.Error("the server still accepts after its shutdown")
	}
}

// TestShutdownBeforeRun guards against an entry that is stopped in its first
// moments and never ends, since its server began to accept afterwards.
func TestShutdownBeforeRun(t *testing.T) {
	srv, lis := startServer(t)
	if err := Shutdown(context.Background(), srv, lis); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Run() }()
	assertEnds(t, ended)
}

// TestShutdownWhileRunning guards against a listener that stays open.
func TestShutdownWhileRunning(t *testing.T) {
	srv, lis := startServer(t)
	ended := make(chan error, 1)
	go func() { ended <- srv.Run() }()
	for !srv.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := Shutdown(ctx, srv, lis); err != nil {
		t.Fatal(err)
	}
	assertEnds(t, ended)
}
