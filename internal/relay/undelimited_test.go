package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestStreamEndsWithConnection guards against streams without a length or chunks, which end
// with their connection, that are mistaken: one that ends inside an event, or before its
// first one, was broken off and goes on at another endpoint; one that ends after an event
// is complete.
func TestStreamEndsWithConnection(t *testing.T) {
	const both = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tst := range map[string]struct {
		sent string
		// attempts is the number of endpoints that get the request.
		attempts int
	}{
		"after the last event": {both, 1},
		"inside an event":      {"id: 1\ndata: a\n\nid: 2\nda", 2},
		"inside the first":     {"id: 1", 2},
		"before the first":     {"", 2},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
				text := tst.sent
				if num > 0 {
					text = both
					if req.Header.Get("X-Last") == "1" {
						text = strings.TrimPrefix(both, "id: 1\ndata: a\n\n")
					}
				}
				fmt.Fprint(con, signedHead+"\r\n"+text)
			})
			status, body, err := rly.post("/gen/1", "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, http.StatusOK, body, both, tst.attempts)
		})
	}
}
