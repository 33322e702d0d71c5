package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// undelimitedServer answers each connection's first request with a text, and ends its side
// of the connection with it. It counts the requests, and those that follow on a connection.
func undelimitedServer(t *testing.T, text string) (url string, first, further *atomic.Int64) {
	t.Helper()
	first, further = &atomic.Int64{}, &atomic.Int64{}
	url = serveConns(t, func(con net.Conn) {
		rdr := bufio.NewReader(con)
		if _, err := http.ReadRequest(rdr); err != nil {
			return
		}
		first.Add(1)
		fmt.Fprint(con, text)
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		if _, err := http.ReadRequest(rdr); err == nil {
			further.Add(1)
		}
	})
	return url, first, further
}

// TestUndelimitedReply guards against a connection that is used again after a reply that
// ended with it, and against a reply of the platform that is taken for complete although
// nothing tells its end.
func TestUndelimitedReply(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 X\r\n\r\n", "HTTP/1.0 200 X\r\n\r\n", "HTTP/1.0 200 X\r\nConnection: keep-alive\r\n\r\n"} {
		url, first, further := undelimitedServer(t, head+"whole")
		cli := &Client{}
		defer cli.Close()
		for range 3 {
			rep, err := cli.Do(t.Context(), Call{Method: http.MethodGet, URL: url, NoRetry: true})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(rep); err != nil || string(body) != "whole" {
				t.Errorf("body %q, error %v", body, err)
			}
			rep.Close()
		}
		if first.Load() != 3 || further.Load() > 0 {
			t.Errorf("%q: %d requests on new connections and %d on used ones, want 3 and 0", head, first.Load(), further.Load())
		}
		if _, err := cli.Exchange(t.Context(), Call{Method: http.MethodGet, URL: url}, 1<<10); !errors.Is(err, wick.ErrTruncated) {
			t.Errorf("error %v, want one for a truncated reply", err)
		}
	}
}
