package wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const chunkedHead = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"

// serveConns serves all connections to the returned URL.
func serveConns(t *testing.T, serve func(con net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				serve(con)
			}()
		}
	}()
	return "http://" + lis.Addr().String()
}

// serveRaw answers the first request on a new connection by a function.
func serveRaw(t *testing.T, answer func(con net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		defer con.Close()
		if _, err := con.Read(make([]byte, 4<<10)); err == nil {
			answer(con)
		}
	}()
	return "http://" + lis.Addr().String()
}

// TestFraming guards against replies in chunks of a few bytes that are read until the
// limit of their bodies, in millions of chunks, and against a bound that breaks off sound
// replies.
func TestFraming(t *testing.T) {
	for _, size := range []int{1, 2, 4, 6, 8} {
		t.Run(fmt.Sprintf("endless chunks of %d", size), func(t *testing.T) {
			text := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), 1000)
			url := serveRaw(t, func(con net.Conn) {
				fmt.Fprint(con, chunkedHead)
				for {
					if _, err := io.WriteString(con, text); err != nil {
						return
					}
				}
			})
			cli := &Client{}
			defer cli.Close()
			if _, err := cli.Exchange(t.Context(), Call{Method: http.MethodGet, URL: url}, 64<<20); !errors.Is(err, errFraming) {
				t.Errorf("error %v, want %v", err, errFraming)
			}
		})
	}
	for name, chunks := range map[string][]string{
		"events": {"id: 1\ndata: a\n\n"}, "lines": {"id: 1\n", "data: a\n", "\n"}, "large": {strings.Repeat("x", 256)},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			for _, chunk := range chunks {
				fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
			}
			body := strings.Repeat(strings.Join(chunks, ""), 32_000)
			url := serveRaw(t, func(con net.Conn) { fmt.Fprint(con, chunkedHead, strings.Repeat(text.String(), 32_000), "0\r\n\r\n") })
			cli := &Client{}
			defer cli.Close()
			ans, err := cli.Exchange(t.Context(), Call{Method: http.MethodGet, URL: url}, 64<<20)
			if err != nil || string(ans.Body) != body {
				t.Errorf("%d bytes, error %v, want %d", len(ans.Body), err, len(body))
			}
		})
	}
}

// TestEndlessTrailerOfReply guards against an endpoint's trailer lines without end that are
// kept in memory. net/http bounds them; the test keeps that from changing unnoticed.
func TestEndlessTrailerOfReply(t *testing.T) {
	const most = 1 << 20
	sent := make(chan int, 1)
	url := serveRaw(t, func(con net.Conn) {
		fmt.Fprint(con, chunkedHead, "1\r\nx\r\n0\r\n")
		num, line := 0, "A: "+strings.Repeat("b", 997)
		for ; num < 64*most; num += len(line) {
			if _, err := io.WriteString(con, line+"\r\n"); err != nil {
				break
			}
		}
		sent <- num
	})
	cli := &Client{}
	if _, err := cli.Exchange(t.Context(), Call{Method: http.MethodGet, URL: url}, most); err == nil {
		t.Error("a reply with endless trailers was read to its end")
	}
	cli.Close()
	// The buffers of the kernel take a few MiB.
	if num := <-sent; num > 32*most {
		t.Errorf("%d bytes of trailers were taken", num)
	}
}
