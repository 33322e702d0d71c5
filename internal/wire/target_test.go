package wire

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestTarget guards against a request target that reaches the endpoint changed: query and
// escapes of one that begins with two slashes became a part of its path.
func TestTarget(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	lines := make(chan string, 1)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(con).ReadString('\n')
			lines <- line
			_, _ = con.Write([]byte("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"))
			con.Close()
		}
	}()
	cli := &Client{}
	for _, target := range []string{
		"/", "/a/b", "/a?b=1&c=%2F", "/a%2Fb", "/a%2fb?", "/a??b", "/a\"b", "/\xc3\xa9", "/%zz",
		"//", "//a", "//a/b?c=1&d=2", "//a%2Fb", "//a%2fb%20c?", "//a??b=%zz", "///a//b?x", "//a;b=c@d:80/!$&'()*+,=", "//a?b\"c", "//a/[1]",
	} {
		rep, err := cli.Do(t.Context(), Call{Method: http.MethodGet, URL: "http://" + lis.Addr().String(), Target: target, CloseConn: true, NoRetry: true})
		if err != nil {
			t.Errorf("%q: %v", target, err)
			continue
		}
		rep.Close()
		if got := strings.Fields(<-lines)[1]; got != target {
			t.Errorf("%q arrives as %q", target, got)
		}
	}
	for _, target := range []string{"//a\"b", "//\xc3\xa9", "//%zz"} {
		rep, err := cli.Do(t.Context(), Call{Method: http.MethodGet, URL: "http://" + lis.Addr().String(), Target: target, CloseConn: true, NoRetry: true})
		if err == nil {
			rep.Close()
			if got := strings.Fields(<-lines)[1]; got != target {
				t.Errorf("%q arrives as %q", target, got)
			}
		} else if !errors.Is(err, wick.ErrNotSent) {
			t.Errorf("%q: %v", target, err)
		}
	}
}
