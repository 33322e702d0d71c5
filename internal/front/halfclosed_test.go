package front

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

// TestHalfClosedCaller guards against a caller that gets no answer because it has closed
// its sending side, which was taken for its departure.
func TestHalfClosedCaller(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			bac := &backend{tokenGate: make(chan struct{})}
			addr, _ := startServer(t, bac, Config{})
			body, err := answerToHalfClosed(addr, fmt.Sprintf(chatBody, stream), bac.tokenGate)
			if err != nil || !strings.Contains(body, "C") {
				t.Errorf("got %v: %s", err, body)
			}
			if _, text, done := parseEvents(t, body); stream && (text != "ABC" || !done) {
				t.Errorf("events %q, complete %v", text, done)
			}
		})
	}
}

// answerToHalfClosed sends a request, closes the sending side, opens the gate of the tokens
// later and returns the body of the answer.
func answerToHalfClosed(addr, body string, gate chan struct{}) (string, error) {
	con, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer con.Close()
	fmt.Fprintf(con, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		routeChat, len(body), body)
	if tcp, ok := con.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return "", net.ErrClosed
	}
	time.AfterFunc(200*time.Millisecond, func() { close(gate) })
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return string(got), err
}
