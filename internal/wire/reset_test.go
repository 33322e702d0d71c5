package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestResetOnTimeout guards against a timed-out call that is delivered later: a
// lease holder's call that a network partition had delayed arrived after a call
// of its successor. Found by a random search on acep-casca (scale-1, seed
// 924382873258).
func TestResetOnTimeout(t *testing.T) {
	for _, reset := range []bool{false, true} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		ended := make(chan error, 1)
		go func() {
			con, err := lis.Accept()
			if err != nil {
				ended <- err
				return
			}
			defer con.Close()
			_, err = io.Copy(io.Discard, con)
			ended <- err
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		cli := &Client{ResetOnClose: reset}
		if _, err := cli.Do(ctx, Call{Method: http.MethodPost, URL: "http://" + lis.Addr().String(), Body: []byte("order")}); err == nil {
			t.Fatal("call without a reply succeeded")
		}
		if err := <-ended; errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("reset %v: the server's connection ended with %v", reset, err)
		}
	}
}
