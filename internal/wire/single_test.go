package wire

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestOwnConnection guards against a call that must not be repeated on a connection
// that an earlier call has used: a late answer of the earlier one, or the server's
// close of an idle connection, makes its outcome unknown.
func TestOwnConnection(t *testing.T) {
	var opened atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	cli := &Client{}
	defer cli.Close()
	assertOpened := func(single bool, want int64) {
		t.Helper()
		if _, err := cli.Exchange(t.Context(), Call{Method: http.MethodPost, URL: srv.URL, CloseConn: single, NoRetry: true}, 1<<10); err != nil {
			t.Fatal(err)
		}
		if num := opened.Load(); num != want {
			t.Errorf("%d connections opened, want %d", num, want)
		}
	}
	assertOpened(false, 1)
	assertOpened(false, 1)
	assertOpened(true, 2)
	assertOpened(true, 3)
	assertOpened(false, 3)
}
