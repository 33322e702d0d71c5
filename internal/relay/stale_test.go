package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// staleRefusals are refusals that a faulty endpoint writes once more. None of them is the
// answer to a request with the id r1.
var staleRefusals = map[string]string{
	"of another request":  "HTTP/1.1 503 X\r\nX-Id: r0\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
	"without an id":       "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
	"with a body":         "HTTP/1.1 503 X\r\nX-Id: r0\r\nX-Refused: 1\r\nContent-Length: 4\r\n\r\nfull",
	"misdirected":         "HTTP/1.1 421 X\r\nX-Id: r0\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
	"bad request":         "HTTP/1.1 400 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
	"without a body, end": "HTTP/1.1 429 X\r\nX-Refused: 1\r\n\r\n",
}

// TestStaleRefusal guards against a refusal of an earlier request that a faulty endpoint
// writes on the connection of a request that runs: the caller would be told that it had
// not run, or another endpoint would run it too.
func TestStaleRefusal(t *testing.T) {
	for name, text := range staleRefusals {
		for _, path := range []string{"/book/1", "/say/1"} {
			t.Run(name+path[:4], func(t *testing.T) {
				rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, _ int) {
					fmt.Fprint(con, text)
					if path == "/say/1" {
						beginStream(con, "id: 1\ndata: a\n\n")
						endStream(con)
						return
					}
					reply(con, req, 200, "ok")
				})
				status, body, _ := rly.post(path)
				rly.assert(status, http.StatusBadGateway, body, executedUnknown, 1)
			})
		}
	}
}

// TestRequestWithoutID guards against the answer of an earlier request, or its refusal,
// for a request without an id, by which they could be told apart.
func TestRequestWithoutID(t *testing.T) {
	for _, copied := range []string{"HTTP/1.1 200 X\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nold", "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"} {
		rly := newTestRelay(t, 0, nil)
		rly.addKeptEndpoint(copied)
		for range 3 {
			if got, body, _ := rly.post("/look/1", "X-Id", ""); got != http.StatusOK || body != "answer of " {
				t.Errorf("%d %q with a copy of %.12q", got, body, copied)
			}
		}
	}
}
