package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestSilentConnections guards against calls that fail one after the other since each of several
// idle connections to the same address has fallen silent.
func TestSilentConnections(t *testing.T) {
	const conns = 4
	var silent atomic.Bool
	var mu sync.Mutex
	old := make(map[string]bool)
	release := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		mu.Lock()
		isOld := old[req.RemoteAddr]
		mu.Unlock()
		if silent.Load() && isOld {
			<-release
			return
		}
		time.Sleep(50 * time.Millisecond) // so that concurrent calls use several connections
	}))
	srv.Config.ConnState = func(con net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateNew && !silent.Load() {
			old[con.RemoteAddr().String()] = true
		}
	}
	srv.Start()
	defer srv.Close()
	defer close(release)
	cli := &Client{OneAddress: true}
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := cli.Exchange(ctx, Call{Method: http.MethodGet, URL: srv.URL, NoRetry: true}, 10)
		return err
	}
	var grp sync.WaitGroup
	for range conns {
		grp.Go(func() { _ = call() })
	}
	grp.Wait()
	silent.Store(true)
	if call() == nil {
		t.Fatal("no connection was kept")
	}
	for num := range conns {
		if err := call(); err != nil {
			t.Errorf("call %d after the first that failed: %v", num, err)
		}
	}
}
