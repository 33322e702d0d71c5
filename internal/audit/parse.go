package audit

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/wagtailwick/wagtailwick/internal/frame"
)

// maxTextBytes bounds the parts of a request that are kept for log lines.
const maxTextBytes = 256

// A headReader reads heads for net/http.
type headReader struct {
	src bytes.Reader
	buf *bufio.Reader
}

var headReaders = sync.Pool{New: func() any {
	hrd := &headReader{}
	hrd.buf = bufio.NewReader(&hrd.src)
	return hrd
}}

// withHead calls read with a reader of a head.
func withHead(text []byte, read func(src *bufio.Reader) error) error {
	hrd, ok := headReaders.Get().(*headReader)
	if !ok {
		hrd = &headReader{buf: bufio.NewReader(nil)}
	}
	hrd.src.Reset(text)
	hrd.buf.Reset(&hrd.src)
	err := read(hrd.buf)
	hrd.src.Reset(nil)
	headReaders.Put(hrd)
	return err
}

// parseRequest parses the head of a request.
func parseRequest(text []byte, idHeader string) (*exchange, frame.Body, error) {
	var exc *exchange
	var bdy frame.Body
	err := withHead(text, func(src *bufio.Reader) error {
		req, err := http.ReadRequest(src)
		if err != nil {
			return err //nolint:wrapcheck // not reported
		}
		path, _, _ := strings.Cut(req.RequestURI, "?")
		exc = &exchange{method: shorten(req.Method), path: shorten(path)}
		if idHeader != "" {
			exc.id = shorten(req.Header.Get(idHeader))
		}
		bdy = newBody(req.ContentLength, req.TransferEncoding)
		return nil
	})
	return exc, bdy, err
}

// A responseHead is what the head of a response tells about its framing.
type responseHead struct {
	status int
	// closes is set if the connection ends behind the response.
	closes bool
	body   frame.Body
}

// parseResponse parses the head of the response to a request.
func parseResponse(text []byte, method string) (responseHead, error) {
	var out responseHead
	err := withHead(text, func(src *bufio.Reader) error {
		res, err := http.ReadResponse(src, &http.Request{Method: method}) //nolint:bodyclose // only the head is read
		if err != nil {
			return err //nolint:wrapcheck // not reported
		}
		out = responseHead{status: res.StatusCode, closes: res.Close}
		if hasBody(method, res.StatusCode) {
			out.body = newBody(res.ContentLength, res.TransferEncoding)
			if res.ContentLength < 0 && !out.body.IsChunked() {
				out.body = frame.OpenBody()
			}
		}
		return nil
	})
	return out, err
}

// newBody returns a body with the length and encodings that net/http has found.
func newBody(length int64, encodings []string) frame.Body {
	if slices.Contains(encodings, "chunked") {
		return frame.ChunkedBody()
	}
	return frame.LengthBody(max(length, 0))
}

// hasBody reports whether a response may have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// shorten returns a copy of at most maxTextBytes, which doesn't keep the head in memory.
func shorten(text string) string { return strings.Clone(text[:min(len(text), maxTextBytes)]) }
