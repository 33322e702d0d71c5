package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerLeftStatus guards against a 404 for a caller that is taken for gone but still
// reads, such as one that has closed its sending side: callers don't retry a 404.
func TestCallerLeftStatus(t *testing.T) {
	for _, path := range []string{"/look/1", "/book/1", "/gen/1"} {
		t.Run(path, func(t *testing.T) {
			rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
				time.Sleep(100 * time.Millisecond)
				reply(con, req, 200, "ok")
			})
			con, err := net.Dial("tcp", rly.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer con.Close()
			fmt.Fprintf(con, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n\r\n", path)
			if tcp, ok := con.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
				t.Fatal("the sending side is open")
			}
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusBadGateway || !res.Close {
				t.Errorf("status %d, connection closed %v", res.StatusCode, res.Close)
			}
		})
	}
}
