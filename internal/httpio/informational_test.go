package httpio

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// TestInformationalResponses guards against a response that a client rejects for too many
// informational responses before it. Go's client accepts 5.
func TestInformationalResponses(t *testing.T) {
	const accepted = 5
	addr := newCallerServer(t, func(ctx context.Context, rct *app.RequestContext) {
		_, endWatch := WatchCaller(ctx, rct)
		defer endWatch()
		time.Sleep(5500 * time.Millisecond)
		rct.SetStatusCode(http.StatusOK)
		rct.Abort()
	})
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fmt.Fprint(con, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\norder")
	if tcp, ok := con.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		t.Fatal("the sending side is open")
	}
	_ = con.SetReadDeadline(time.Now().Add(20 * time.Second))
	rdr, num := bufio.NewReader(con), 0
	for {
		res, err := http.ReadResponse(rdr, nil)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode >= http.StatusOK {
			break
		}
		num++
	}
	if num > accepted {
		t.Errorf("%d informational responses, clients accept %d", num, accepted)
	}
}
