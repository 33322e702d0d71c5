package httpio

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"slices"
	"strings"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/frame"
)

var (
	parserSeed  = flag.Uint64("parserSeed", 1, "first seed of TestParsersAgree")
	parserSeeds = flag.Uint64("parserSeeds", 300, "number of seeds of TestParsersAgree")
)

// framingLines are field lines by which parsers may find different ends of a request.
var framingLines = []string{
	"Content-Length: %d", "Content-Length: 0", "Content-Length: 1", "Content-Length: +%d", "Content-Length:%d ", "CONTENT-LENGTH: 0%d",
	"Content-Length: %d, %[1]d", "Transfer-Encoding: chunked", "transfer-encoding: CHUNKED", "Transfer-Encoding: identity", "Transfer-Encoding : chunked",
	"Transfer-Encoding: gzip, chunked", "A: b", "A:", "A: \t", "Trailer: X", "Connection: keep-alive", "Expect: 100-continue", "A: b\n", "A\r: b", " A: b",
}

// randomRequest returns a request whose framing is sound or not, with a request in its body.
func randomRequest(rnd *rand.Rand, num int) string {
	pick := func(list ...string) string { return list[rnd.IntN(len(list))] }
	body := innerRequest[:rnd.IntN(len(innerRequest)+1)]
	var out strings.Builder
	fmt.Fprintf(&out, "%s /%d %s\r\nHost: h\r\n", pick("POST", "GET", "PUT", "DELETE", "OPTIONS"), num, pick("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"))
	for range rnd.IntN(3) + 1 {
		line := pick(framingLines...)
		if strings.Contains(line, "%") {
			line = fmt.Sprintf(line, len(body))
		}
		out.WriteString(line + "\r\n")
	}
	lineEnd := func() string { return pick("\r\n", "\r\n", "\r\n", "\n") }
	out.WriteString(lineEnd())
	if rnd.IntN(2) == 0 {
		return out.String() + body
	}
	for len(body) > 0 {
		size := rnd.IntN(len(body)) + 1
		fmt.Fprintf(&out, pick("%x", "%X", "0%x", "%x", "%x", "%x;a=b", "%x "), size)
		fmt.Fprintf(&out, "%s%s\r\n", lineEnd(), body[:size])
		body = body[size:]
	}
	return out.String() + pick("0\r\n", "00\r\n") + pick("", "", "X: y\r\n", "X: y\n", "Content-Length: 3\r\n") + lineEnd()
}

// mutate changes a byte of some texts.
func mutate(rnd *rand.Rand, text string) string {
	if rnd.IntN(4) > 0 {
		return text
	}
	out, pos := []byte(text), rnd.IntN(len(text))
	switch rnd.IntN(3) {
	case 0:
		out[pos] = "\r\n :;,\x00\x0b09aZ"[rnd.IntN(12)]
	case 1:
		out = slices.Delete(out, pos, pos+1)
	default:
		out = slices.Insert(out, pos, out[pos])
	}
	return string(out)
}

// framed returns the requests in text with their bodies, up to the first one that is
// malformed or incomplete.
func framed(text []byte) (out []string) {
	for {
		end := frame.HeadEnd(text, 0)
		if end == 0 {
			return out
		}
		bdy, err := frame.Request(text[:end])
		if err != nil {
			return out
		}
		_, target, _ := bytes.Cut(text[:end], []byte(" "))
		target, _, _ = bytes.Cut(target, []byte(" "))
		chunked, rest := bdy.IsChunked(), text[end:]
		behind, complete := rest, bdy.IsEmpty()
		if !complete {
			if behind, complete, err = bdy.Follow(rest); err != nil || !complete {
				return out
			}
		}
		body := rest[:len(rest)-len(behind)]
		if chunked {
			if body, err = io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(body))); err != nil {
				return out
			}
		}
		out, text = append(out, string(target)+" "+string(body)), behind
	}
}

// TestParsersAgree guards against requests that run although this package's reading of the
// bytes, checked against net/http's, finds other ones: what the server runs must be a
// beginning of that.
func TestParsersAgree(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies} {
		rsv := newRanServer(t, kind)
		served := 0
		for seed := *parserSeed; seed < *parserSeed+*parserSeeds; seed++ {
			rnd := rand.New(rand.NewPCG(seed, 0))
			text := mutate(rnd, randomRequest(rnd, 1)) + randomRequest(rnd, 2) + innerRequest
			rsv.mu.Lock()
			rsv.ran = nil
			rsv.mu.Unlock()
			answer, _ := rsv.exchange(t, text, 1+rnd.IntN(len(text)))
			rsv.mu.Lock()
			want := framed([]byte(text))
			if len(rsv.ran) > len(want) || !slices.Equal(rsv.ran, want[:len(rsv.ran)]) {
				t.Errorf("seed %d, %s: %q ran of %q, want %q", seed, kind, rsv.ran, text, want)
			}
			served += strings.Count(answer, fmt.Sprintf("HTTP/1.1 %d ", http.StatusOK))
			rsv.mu.Unlock()
		}
		if served == 0 && *parserSeeds > 10 {
			t.Errorf("%s: no request was served", kind)
		}
	}
}
