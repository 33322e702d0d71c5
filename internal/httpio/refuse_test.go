package httpio

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestRefusalOfLargeRequest guards against a connection over the limit that is reset
// before its caller has read the refusal, because part of its request was not read.
func TestRefusalOfLargeRequest(t *testing.T) {
	for _, size := range []int{10, 8 << 10, 64 << 10, 1 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			lis := &Listener{Listener: raw, ReadTimeout: time.Second, WriteTimeout: time.Second, Refusal: func() []byte { return []byte("{}") }}
			go func() { _, _ = lis.Accept() }()
			for range 20 {
				if err := refusedStatus(raw.Addr().String(), size); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// refusedStatus sends a whole request with a body of size bytes, then reads the response,
// and returns an error unless that is a refusal.
func refusedStatus(addr string, size int) error {
	con, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer con.Close()
	if _, err := fmt.Fprintf(con, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)); err != nil {
		return err
	}
	time.Sleep(5 * time.Millisecond)
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}
