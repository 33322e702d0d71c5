package httpio

import (
	"strings"
	"testing"
)

// TestPanicInHead guards against a process that ends, and with it all of its requests,
// because one caller sends a head on which the server's parser panics.
func TestPanicInHead(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies, internalServer} {
		for _, value := range []string{",X", "X,,Y", "X, ,Y", ","} {
			rsv := newRanServer(t, kind)
			answer, err := rsv.exchange(t, "POST /a HTTP/1.1\r\nHost: h\r\nTrailer: "+value+"\r\nContent-Length: 0\r\n\r\n", 1<<10)
			if len(rsv.ran) > 0 || !strings.HasPrefix(answer, "HTTP/1.1 400 ") || strings.Count(answer, "HTTP/1.1 ") != 1 || err != nil {
				t.Errorf("%s, %q: %q ran, answer %q, then %v", kind, value, rsv.ran, answer, err)
			}
		}
	}
}

// TestPanicOnConnection guards against a process that ends because of a panic on one
// connection.
func TestPanicOnConnection(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies, internalServer} {
		rsv := newRanServer(t, kind)
		if answer, err := rsv.exchange(t, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n", 1<<10); answer != "" || err != nil {
			t.Errorf("%s: answer %q, then %v", kind, answer, err)
		}
		if answer, _ := rsv.exchange(t, innerRequest, 1<<10); !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Errorf("%s: answer %q on the next connection", kind, answer)
		}
	}
}
