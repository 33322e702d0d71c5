package relay

import (
	"fmt"
	"net"
	"testing"
)

// TestUndefinedStatus guards against answers of endpoints in trouble whose status is none of
// HTTP's: the server of callers turned status 000 into 200.
func TestUndefinedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "20", "2000", "0200", "2 00", "abc", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			assertReplyLost(t, func(con net.Conn) {
				fmt.Fprintf(con, "HTTP/1.1 %s X\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\ndata: part\n\n", status)
			})
		})
	}
}
