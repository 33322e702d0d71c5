package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestSecondCopy guards against the second copy of an answer, which arrives late on a
// kept connection, as the answer of the next call. Plain services need not echo the
// attempt, so nothing in the copy tells whose it is.
func TestSecondCopy(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go answerTwice(con)
		}
	}()
	var cli Client
	defer cli.Close()
	for num := range 4 {
		path := fmt.Sprint("/", num)
		rep, err := cli.Call(t.Context(), wick.VM{Address: lis.Addr().String()}, wick.PlainCall{Attempt: "a", Method: http.MethodPost, Path: path})
		if err != nil || string(rep.Body) != path {
			t.Errorf("call %s got %q, %v", path, rep.Body, err)
		}
	}
}

// answerTwice answers each request of a connection with its path, and with a copy of
// the answer before, which it sends once the next request has arrived.
func answerTwice(con net.Conn) {
	defer con.Close()
	rdr := bufio.NewReader(con)
	before := ""
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		for _, body := range []string{before, req.URL.Path} {
			if body != "" {
				fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}
		before = req.URL.Path
	}
}
