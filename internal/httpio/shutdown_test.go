package httpio

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const stopTimeout = 3 * time.Second

func newServer(t *testing.T) (*server.Hertz, *Listener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{Listener: raw, Limit: 10, ReadTimeout: time.Second, WriteTimeout: time.Second}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter))
	return srv, lis
}

func assertStops(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("Run: %v", err)
		}
	case <-time.After(stopTimeout):
		t.Error("the server still accepts after its shutdown")
	}
}

// TestShutdownBeforeRun guards against an entry that never terminates when it is
// stopped during startup, because its server starts to accept afterwards.
func TestShutdownBeforeRun(t *testing.T) {
	srv, lis := newServer(t)
	if err := Shutdown(context.Background(), srv, lis); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Run() }()
	assertStops(t, ended)
}

// TestShutdownWhileRunning guards against a listener that remains open.
func TestShutdownWhileRunning(t *testing.T) {
	srv, lis := newServer(t)
	ended := make(chan error, 1)
	go func() { ended <- srv.Run() }()
	for !srv.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := Shutdown(ctx, srv, lis); err != nil {
		t.Fatal(err)
	}
	assertStops(t, ended)
}
