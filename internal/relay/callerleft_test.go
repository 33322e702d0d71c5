package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendRaw sends a request on a new connection with a protocol version.
func (rly *testRelay) sendRaw(path, version string) *net.TCPConn {
	rly.Helper()
	con, err := net.Dial("tcp", rly.addr)
	if err != nil {
		rly.Fatal(err)
	}
	rly.Cleanup(func() { con.Close() })
	fmt.Fprintf(con, "POST %s %s\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\nContent-Length: 5\r\n\r\norder", path, version)
	tcp, ok := con.(*net.TCPConn)
	if !ok {
		rly.Fatalf("connection is a %T", con)
	}
	return tcp
}

// readFinal returns the status and body of the final response on a connection.
func readFinal(con net.Conn) (int, string, error) {
	rdr := bufio.NewReader(con)
	for {
		res, err := http.ReadResponse(rdr, nil)
		if err != nil {
			return 0, "", err
		}
		if res.StatusCode >= http.StatusOK {
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			return res.StatusCode, string(body), err
		}
	}
}

// answerAfter answers after a time, streams with two events that are as far apart.
func answerAfter(wait time.Duration) script {
	return func(req *http.Request, con net.Conn, _ int) {
		time.Sleep(wait)
		if !strings.HasPrefix(req.URL.Path, "/gen/") && !strings.HasPrefix(req.URL.Path, "/long/") {
			reply(con, req, http.StatusOK, "whole")
			return
		}
		_, _ = io.WriteString(con, signedHead+"\r\n"+eventOne)
		time.Sleep(wait)
		_, _ = io.WriteString(con, "id: 2\ndata: whole\n\n")
	}
}

// TestHalfClosedCaller guards against a caller that gets 502 or a cut stream because it has
// closed its sending side, which was taken for its departure.
func TestHalfClosedCaller(t *testing.T) {
	for _, path := range []string{"/look/1", "/late/1", "/gen/1", "/long/1"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, wait := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
				if wait > time.Second && path != "/late/1" && path != "/long/1" {
					continue // beyond the timeout of the route
				}
				t.Run(fmt.Sprint(path, version, wait), func(t *testing.T) {
					t.Parallel()
					rly := newTestRelay(t, 1, answerAfter(wait))
					con := rly.sendRaw(path, version)
					if err := con.CloseWrite(); err != nil {
						t.Fatal(err)
					}
					status, body, err := readFinal(con)
					if err != nil {
						t.Fatal(err)
					}
					rly.assert(status, http.StatusOK, body, "whole", 1)
				})
			}
		}
	}
}

// TestCallerLeaves guards against endpoints that go on working for a caller that has
// closed its connection.
func TestCallerLeaves(t *testing.T) {
	const bound = 500 * time.Millisecond
	for name, tst := range map[string]struct {
		path, first string
		// every is the time between the events that follow, zero for none.
		every time.Duration
	}{
		"lookup":                   {path: "/late/1"},
		"lookup, half of the body": {path: "/late/1", first: signedHead + "Content-Length: 10\r\n\r\nhalf"},
		"stream, not begun":        {path: "/long/1"},
		"stream, begun":            {path: "/long/1", first: signedHead + "\r\n" + eventOne, every: 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			working, ended := make(chan struct{}), make(chan struct{})
			rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
				close(working)
				defer close(ended)
				_, _ = io.WriteString(con, tst.first)
				sendUntilClosed(con, tst.every)
			})
			con := rly.sendRaw(tst.path, "HTTP/1.1")
			<-working
			time.Sleep(50 * time.Millisecond)
			if tst.every > 0 {
				if _, err := con.Read(make([]byte, 4096)); err != nil {
					t.Error(err)
				}
			}
			con.Close()
			select {
			case <-ended:
			case <-time.After(bound):
				t.Errorf("the endpoint still works %v after the caller left", bound)
			}
		})
	}
}

// sendUntilClosed sends events until the relay closes the connection.
func sendUntilClosed(con net.Conn, every time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, con)
	}()
	for num := 2; ; num++ {
		var tick <-chan time.Time
		if every > 0 {
			tick = time.After(every)
		}
		select {
		case <-closed:
			return
		case <-tick:
			fmt.Fprintf(con, "id: %d\ndata: x\n\n", num)
		}
	}
}
