package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestHeadCutInTheMiddle guards against an endpoint that stops in the middle of the head of
// its answer and closes: the caller must not get an answer with an empty or short body that
// is framed as whole. All routes of a kind that may be repeated are answered elsewhere.
func TestHeadCutInTheMiddle(t *testing.T) {
	heads := map[string]string{
		"length": signedHead + "Content-Length: 4\r\n\r\n",
		"chunks": signedHead + "Transfer-Encoding: chunked\r\n\r\n",
		"none":   signedHead + "X-More: 1\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, cut := range cutsOf(head) {
				for path, want := range map[string]int{"/book/1": http.StatusBadGateway, "/look/1": http.StatusOK, "/gen/1": http.StatusOK} {
					rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
						if num > 0 {
							answerEither(req, con)
							return
						}
						fmt.Fprint(con, head[:cut])
					})
					status, body, err := rly.post(path)
					if err != nil || status == http.StatusOK && !strings.Contains(body, "ok") {
						t.Errorf("%s, cut after %q: %q, error %v", path, head[:cut], body, err)
					}
					if status != want {
						t.Errorf("%s, cut after %q: status %d, want %d", path, head[:cut], status, want)
					}
				}
			}
		})
	}
}

// cutsOf returns the lengths at which a head is cut: in the middle of lines, and around
// their ends.
func cutsOf(head string) []int {
	var out []int
	for cut := 1; cut < len(head); cut++ {
		around := head[max(cut-2, 0):min(cut+2, len(head))]
		if cut%7 == 0 || strings.Contains(around, "\n") {
			out = append(out, cut)
		}
	}
	return out
}
