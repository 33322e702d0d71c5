package front

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestSmuggledRequest guards against a call in the body of another one that runs as one of
// its own, because the length of the first is given twice or in an unknown way.
func TestSmuggledRequest(t *testing.T) {
	const start = "POST /s/orders/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
	inner := fmt.Sprintf(start, "inner") + "Content-Length: 0\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(inner))
	for name, tst := range map[string]struct {
		text string
		ran  int
	}{
		"sound":              {length + "\r\n" + inner, 1},
		"two lengths":        {length + "Content-Length: 0\r\n\r\n" + inner, 0},
		"identity":           {"Transfer-Encoding: identity\r\n\r\n" + inner, 0},
		"length and chunked": {length + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner), 0},
		"trailer":            {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\n\n" + inner, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bac := &backend{}
			addr, _ := startServer(t, bac, Config{})
			con, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer con.Close()
			fmt.Fprintf(con, start+"%s", "outer", tst.text)
			_ = con.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			answer, err := io.ReadAll(con)
			bac.mu.Lock()
			defer bac.mu.Unlock()
			if len(bac.calls) != tst.ran {
				t.Errorf("calls %v, want %d", bac.calls, tst.ran)
			}
			if tst.ran == 0 && (!strings.HasPrefix(string(answer), "HTTP/1.1 400 ") || strings.Count(string(answer), "HTTP/1.1 ") != 1 || err != nil) {
				t.Errorf("answer %q, then %v, want one 400 and the end", answer, err)
			}
		})
	}
}
