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

// TestReset guards against a call that was given up and is delivered later: a
// holder's call that a partition held up came after its successor's. Found by a
// hunt on acep-casca (scale-1, seed 924382873258).
func TestReset(t *testing.T) {
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
		cli := &Client{Reset: reset}
		if _, err := cli.Do(ctx, Call{Method: http.MethodPost, URL: "http://" + lis.Addr().String(), Body: []byte("order")}); err == nil {
			t.Fatal("a call without an answer succeeded")
		}
		if err := <-ended; errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("reset %v: the server's connection ended with %v", reset, err)
		}
	}
}
