package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	lengthReply  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	chunkedReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nA: b\r\n\r\n"
	openReply    = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
)

// TestReplies guards against replies that are ended too early or too late: the next one is
// then taken for a part of their body, or the reverse.
func TestReplies(t *testing.T) {
	for name, tst := range map[string]struct {
		method, text string
		open         bool
	}{
		"length":                   {http.MethodGet, lengthReply, false},
		"length of 0":              {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"chunked":                  {http.MethodGet, chunkedReply, false},
		"neither":                  {http.MethodGet, openReply + lengthReply, true},
		"neither, HTTP/1.0":        {http.MethodGet, "HTTP/1.0 200\r\n\r\nodd\r\n\r\n", true},
		"HEAD":                     {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + openReply, false},
		"informational":            {http.MethodGet, "HTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + lengthReply, false},
		"no content":               {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false},
		"not modified":             {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false},
		"no reason":                {http.MethodGet, "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", false},
		"same length":              {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", false},
		"another protocol follows": {http.MethodGet, "HTTP/1.1 101 Switching\r\n\r\nany bytes", true},
	} {
		t.Run(name, func(t *testing.T) {
			text := tst.text
			if !tst.open {
				text = strings.Repeat(tst.text, 3)
			}
			for _, size := range []int{1, 2, 7, len(text)} {
				var rps Replies
				for rest := text; len(rest) > 0; {
					part := rest[:min(size, len(rest))]
					rest = rest[len(part):]
					if num, err := rps.Follow([]byte(part), tst.method); num != len(part) || err != nil {
						t.Fatalf("%d of %d bytes before %q, error %v", num, len(part), rest, err)
					}
				}
				if rps.IsOpen() != tst.open || !tst.open && rps.state != inStatusLine {
					t.Errorf("open %v, state %d", rps.IsOpen(), rps.state)
				}
			}
		})
	}
}

// TestMalformedReply guards against replies with a status line that parsers read
// differently, and with a body that their status forbids.
func TestMalformedReply(t *testing.T) {
	for text, want := range map[string]error{
		"\r\n" + lengthReply: errStatusLine, "odd\r\n\r\n": errStatusLine, "HTTP/1.1\r\n\r\n": errStatusLine, "HTTP/2.0 200 OK\r\n\r\n": errStatusLine,
		"HTTP/1.1 200 OK\n\n": errStatusLine, "HTTP/1.1 200 O\nK\r\n\r\n": errStatusLine, "HTTP/1.1 200 OK\rA: b\r\n\r\n": errStatusLine,
		"HTTP/1.1  200 OK\r\n\r\n": errStatusLine, "HTTP/1.1 2000 OK\r\n\r\n": errStatusLine, "HTTP/1.1 20 OK\r\n\r\n": errStatusLine,
		"HTTP/1.1 +20 OK\r\n\r\n": errStatusLine, "HTTP/1.1 OK\r\n\r\n": errStatusLine, "HTTP/1.1 200\x00\r\n\r\n": errStatusLine,
		"HTTP/1.1 000 OK\r\n\r\n": errStatus, "HTTP/1.1 099 OK\r\n\r\n": errStatus, "HTTP/1.1 600 OK\r\n\r\n": errStatus, "HTTP/1.1 999 OK\r\n\r\n": errStatus,
		"HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nok":                                  errNoContent,
		"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                  errNoContent,
		"HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nok":                                  errNoContent,
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                  errEncoding,
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok":    errBoth,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n": errBoth,
	} {
		assertMalformedReply(t, text, http.MethodGet, want)
	}
}

// TestBytesBehindReply guards against a complete reply that is lost because malformed bytes
// follow it: they belong to no request.
func TestBytesBehindReply(t *testing.T) {
	var rps Replies
	num, err := rps.Follow([]byte(lengthReply+"x\nx"), http.MethodGet)
	if want := len(lengthReply + "x"); num != want || !errors.Is(err, errStatusLine) {
		t.Errorf("%d bytes, error %v, want %d", num, err, want)
	}
	if num, err := rps.Follow([]byte(lengthReply), http.MethodGet); num != 0 || !errors.Is(err, errStatusLine) {
		t.Errorf("%d more bytes, error %v", num, err)
	}
}

// firstEnd returns the length of the first reply in text that isn't informational, and false
// if it is malformed, incomplete or ends with the connection.
func firstEnd(text []byte, method string) (end int, ok bool) {
	var rps Replies
	for idx := range text {
		if _, err := rps.Follow(text[idx:idx+1], method); err != nil {
			return 0, false
		}
		if rps.state == inStatusLine && rps.size == 0 && rps.status >= http.StatusOK {
			return idx + 1, true
		}
	}
	return 0, false
}

// FuzzReplies guards against a reply that is ended elsewhere than net/http, which reads it,
// ends it.
func FuzzReplies(f *testing.F) {
	for _, text := range []string{lengthReply, chunkedReply, openReply + "ok", "HTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\n"} {
		f.Add([]byte(text), false)
		f.Add([]byte(text+lengthReply), true)
	}
	for _, tst := range malformedFields {
		f.Add([]byte("HTTP/1.1 200 OK\r\n"+tst.field+"\r\n\r\nhello"), false)
	}
	for _, text := range malformedChunks {
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+text), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		end, ok := firstEnd(text, method)
		if !ok {
			return
		}
		src := bufio.NewReader(bytes.NewReader(text[:end]))
		res, err := http.ReadResponse(src, &http.Request{Method: method})
		for err == nil && res.StatusCode < http.StatusOK {
			res, err = http.ReadResponse(src, &http.Request{Method: method})
		}
		if err != nil {
			// net/http also checks names and values that don't frame a message.
			t.Skip()
		}
		defer res.Body.Close()
		if _, err = io.ReadAll(res.Body); err != nil {
			t.Errorf("%q: %v", text[:end], err)
		}
		if left := src.Buffered(); left > 0 {
			t.Errorf("%q: %d bytes left", text[:end], left)
		}
	})
}
