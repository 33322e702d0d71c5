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

// requestHead returns the head of a request with a field line.
func requestHead(field string) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\nX-After: b\r\n\r\n"
}

// TestRequest guards against requests whose end another parser may see at a different place.
func TestRequest(t *testing.T) {
	for name, tst := range map[string]struct {
		head string
		want Body
	}{
		"no length":            {requestHead("A: b"), LengthBody(0)},
		"length":               {requestHead("Content-Length: 12"), LengthBody(12)},
		"length, other case":   {requestHead("cONTENT-lENGTH:\t12 "), LengthBody(12)},
		"same length":          {requestHead("Content-Length: 12\r\nContent-Length: 12"), LengthBody(12)},
		"chunked":              {requestHead("Transfer-Encoding: Chunked"), ChunkedBody()},
		"similar name":         {requestHead("Content-Lengths: 1\r\nXTransfer-Encoding: gzip\r\nContent_Length: 5"), LengthBody(0)},
		"long name":            {requestHead(strings.Repeat("x", 2*maxWord) + ": Transfer-Encoding: gzip"), LengthBody(0)},
		"length in HTTP/1.0":   {"PUT * HTTP/1.0\r\nContent-Length: 3\r\n\r\n", LengthBody(3)},
		"no fields":            {"GET /a?b=%00 HTTP/1.1\r\n\r\n", LengthBody(0)},
		"empty value, 8 bits":  {"GET /\xff HTTP/1.1\r\nA:\r\nB: \xff\t~\r\n\r\n", LengthBody(0)},
		"largest length":       {requestHead("Content-Length: " + strings.Repeat("9", maxLengthDigits)), LengthBody(1e18 - 1)},
		"zeros before a digit": {requestHead("Content-Length: 007"), LengthBody(7)},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := Request([]byte(tst.head)); err != nil || got != tst.want {
				t.Errorf("%+v, %v, want %+v", got, err, tst.want)
			}
		})
	}
}

// malformedFields are field lines by which the end of a message is in doubt.
var malformedFields = map[string]struct {
	field string
	want  error
}{
	"differing lengths":         {"Content-Length: 5\r\nContent-Length: 0", errLength},
	"list":                      {"Content-Length: 5, 5", errLength},
	"list of differing lengths": {"Content-Length: 5, 6", errLength},
	"sign":                      {"Content-Length: +5", errLength},
	"negative":                  {"Content-Length: -5", errLength},
	"empty length":              {"Content-Length:", errLength},
	"blank length":              {"Content-Length: \t", errLength},
	"hexadecimal":               {"Content-Length: 0x5", errLength},
	"space in a length":         {"Content-Length: 5 5", errLength},
	"letter behind a length":    {"Content-Length: 5a", errLength},
	"length too large":          {"Content-Length: 18446744073709551621", errLength},
	"length of many zeros":      {"Content-Length: " + strings.Repeat("0", 2*maxWord) + "5", errLength},
	"length and chunked":        {"Content-Length: 5\r\nTransfer-Encoding: chunked", errBoth},
	"chunked and length":        {"Transfer-Encoding: chunked\r\nContent-Length: 5", errBoth},
	"identity":                  {"Transfer-Encoding: identity", errEncoding},
	"identity and length":       {"Transfer-Encoding: identity\r\nContent-Length: 5", errEncoding},
	"another encoding":          {"Transfer-Encoding: gzip", errEncoding},
	"chunked in a list":         {"Transfer-Encoding: gzip, chunked", errEncoding},
	"chunked twice in a list":   {"Transfer-Encoding: chunked, chunked", errEncoding},
	"chunked twice":             {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", errEncoding},
	"quoted":                    {"Transfer-Encoding: \"chunked\"", errEncoding},
	"parameter":                 {"Transfer-Encoding: chunked;a=b", errEncoding},
	"vertical tab":              {"Transfer-Encoding: \vchunked", errEncoding},
	"empty encoding":            {"Transfer-Encoding:", errEncoding},
	"long encoding":             {"Transfer-Encoding: " + strings.Repeat(" ", maxWord) + "chunked", errEncoding},
	"space before the colon":    {"Content-Length : 5", errLine},
	"tab before the colon":      {"Transfer-Encoding\t: chunked", errLine},
	"space before a name":       {" Content-Length: 5", errLine},
	"folded line":               {"A: b\r\n Content-Length: 5", errLine},
	"folded length":             {"Content-Length:\r\n 5", errLength},
	"no colon":                  {"Content-Length", errLine},
	"no name":                   {": 5", errLine},
	"bare line feed":            {"A: b\nContent-Length: 5", errLine},
	"bare line feed in a name":  {"A\nContent-Length: 5", errLine},
	"bare line feed, length":    {"Content-Length: 5\nA: b", errLength},
	"bare carriage return":      {"A: b\rContent-Length: 5", errLine},
	"two carriage returns":      {"A: b\r\r", errLine},
	"NUL":                       {"A: b\x00", errLine},
	"control character":         {"A: \x19b", errLine},
}

// TestMalformedFields guards against messages of both directions whose length is given
// twice, wrongly or in a way that parsers read differently.
func TestMalformedFields(t *testing.T) {
	for name, tst := range malformedFields {
		t.Run(name, func(t *testing.T) {
			if bdy, err := Request([]byte(requestHead(tst.field))); !errors.Is(err, ErrMalformed) || !errors.Is(err, tst.want) {
				t.Errorf("request: %+v, error %v, want %v", bdy, err, tst.want)
			}
			text := "HTTP/1.1 200 OK\r\n" + tst.field + "\r\nX-After: b\r\n\r\nhello"
			assertMalformedReply(t, text, http.MethodPost, tst.want)
		})
	}
}

// assertMalformedReply asserts that a reply is malformed and that no parser that reads the
// bytes before the malformed one takes it for complete, however it is split.
func assertMalformedReply(t *testing.T, text, method string, want error) {
	t.Helper()
	for _, size := range []int{1, 2, 7, len(text)} {
		var rps Replies
		passed := 0
		for rest := text; len(rest) > 0 && rps.err == nil; {
			part := rest[:min(size, len(rest))]
			rest = rest[len(part):]
			num, err := rps.Follow([]byte(part), method)
			passed += num
			if err == nil && num != len(part) {
				t.Fatalf("%d of %d bytes without an error", num, len(part))
			}
		}
		if !errors.Is(rps.err, ErrMalformed) || !errors.Is(rps.err, want) {
			t.Errorf("pieces of %d: error %v, want %v", size, rps.err, want)
		}
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text[:passed])), &http.Request{Method: method})
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(res.Body); err == nil && res.ContentLength != -1 {
			t.Errorf("pieces of %d: the bytes %q are a whole reply", size, text[:passed])
		}
		res.Body.Close()
	}
}

// TestMalformedRequestLine guards against requests that parsers may cut at other places, and
// against methods whose responses have no length.
func TestMalformedRequestLine(t *testing.T) {
	for _, line := range []string{
		"", "GET", "GET /", "GET / ", " / HTTP/1.1", "GET  HTTP/1.1", "GET  / HTTP/1.1", "GET / x HTTP/1.1", "GET / HTTP/1.1 ",
		"GET\t/ HTTP/1.1", "G(T / HTTP/1.1", "GET /\x01 HTTP/1.1", "GET /\x7f HTTP/1.1", "GET / HTTP/2.0", "GET / HTTP/0.9",
		"GET / HTTP/1.10", "GET / HTTP/1.", "GET / HTTP/1.x", "GET / http/1.1", "GET / HTTP/1.1\nA: b", "CONNECT h:1 HTTP/1.1",
	} {
		if _, err := Request([]byte(line + "\r\nHost: h\r\n\r\n")); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", line, err)
		}
	}
	for _, text := range []string{"", "GET / HTTP/1.1", "GET / HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\r\n\n", "GET / HTTP/1.1\r\n\r\nx"} {
		if _, err := Request([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", text, err)
		}
	}
	if _, err := Request([]byte("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n")); !errors.Is(err, errEncoding) {
		t.Errorf("chunked in HTTP/1.0: error %v", err)
	}
}

// TestChunks guards against chunked bodies that end too early or too late, however they are
// split.
func TestChunks(t *testing.T) {
	for _, text := range []string{
		"0\r\n\r\n", "000\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "00a\r\n0123456789\r\n2\r\n\r\n\r\n0\r\n\r\n", "A;a=b;c=\"d\"\r\n0123456789\r\n0;e\r\n\r\n",
		"1\r\nx\r\n0\r\nX-Sum: 5\r\nContent-Lengths: 5\r\n\r\n",
	} {
		for _, size := range []int{1, 2, 5, len(text)} {
			bdy, done := ChunkedBody(), false
			for rest := []byte(text + "GET"); !done; {
				part := rest[:min(size, len(rest))]
				behind, complete, err := bdy.Follow(part)
				if err != nil {
					t.Fatalf("%q: error %v", text, err)
				}
				rest, done = rest[len(part)-len(behind):], complete
				if done && string(rest) != "GET" {
					t.Errorf("%q ends before %q", text, rest)
				}
			}
		}
	}
}

// malformedChunks are chunked bodies whose end is in doubt.
var malformedChunks = map[string]string{
	"no size":                   "\r\nhello\r\n0\r\n\r\n",
	"sign":                      "+5\r\nhello\r\n0\r\n\r\n",
	"prefix":                    "0x5\r\nhello\r\n0\r\n\r\n",
	"space before the size":     " 5\r\nhello\r\n0\r\n\r\n",
	"space behind the size":     "5 \r\nhello\r\n0\r\n\r\n",
	"space before extension":    "5 ;a\r\nhello\r\n0\r\n\r\n",
	"size too large":            "10000000000000005\r\nhello\r\n0\r\n\r\n",
	"line feed behind the size": "5\nhello\r\n0\r\n\r\n",
	"line feed in an extension": "5;a\nb\r\nhello\r\n0\r\n\r\n",
	"carriage return only":      "5\rhello\r\n0\r\n\r\n",
	"longer than announced":     "4\r\nhello\r\n0\r\n\r\n",
	"line feed behind a chunk":  "5\r\nhello\n0\r\n\r\n",
	"other bytes behind":        "5\r\nhelloXX0\r\n\r\n",
	"line feed at the end":      "5\r\nhello\r\n0\r\n\n",
	"no line behind the last":   "5\r\nhello\r\n0\r\nGET / HTTP/1.1\r\n\r\n",
	"trailer with line feeds":   "5\r\nhello\r\n0\r\nA: b\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"folded trailer":            "5\r\nhello\r\n0\r\nA: b\r\n c\r\n\r\n",
	"length in the trailer":     "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n",
	"encoding in the trailer":   "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// TestMalformedChunks guards against chunked bodies that another parser ends elsewhere.
func TestMalformedChunks(t *testing.T) {
	for name, text := range malformedChunks {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(text); size++ {
				bdy := ChunkedBody()
				var err error
				for rest := []byte(text); len(rest) > 0 && err == nil; {
					part := rest[:min(size, len(rest))]
					rest = rest[len(part):]
					var complete bool
					if _, complete, err = bdy.Follow(part); complete {
						t.Fatalf("pieces of %d: complete", size)
					}
				}
				if !errors.Is(err, ErrMalformed) {
					t.Errorf("pieces of %d: error %v", size, err)
				}
			}
			assertMalformedReply(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+text, http.MethodGet, ErrMalformed)
		})
	}
}

// FuzzRequest guards against heads that are taken for well-formed although net/http, an
// independent parser, refuses them or finds another length.
func FuzzRequest(f *testing.F) {
	for _, tst := range malformedFields {
		f.Add([]byte(requestHead(tst.field)))
	}
	f.Add([]byte(requestHead("Content-Length: 3")))
	f.Add([]byte(requestHead("Transfer-Encoding: chunked")))
	f.Fuzz(func(t *testing.T, text []byte) {
		head := text[:HeadEnd(text, 0)]
		got, err := Request(head)
		if err != nil {
			return
		}
		// net/http also checks the target and the values, which don't frame a message.
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			t.Skip()
		}
		want := LengthBody(max(req.ContentLength, 0))
		if len(req.TransferEncoding) > 0 {
			want = ChunkedBody()
		}
		if got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
