// Package frame checks how HTTP/1.x messages state where they end (RFC 9112, sections 2 to
// 7). It is stricter than the HTTP libraries that read the messages: one that two parsers
// may end at different places is malformed, since bytes of its body could be taken for
// another message.
package frame

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is wrapped by all errors of this package.
var ErrMalformed = errors.New("malformed message")

// Reasons for which a message is malformed.
var (
	errRequestLine = malformed("request line")
	errConnect     = malformed("method CONNECT, whose response has no length")
	errStatusLine  = malformed("status line")
	errStatus      = malformed("status outside of 100 to 599")
	errLine        = malformed("field line, or line without CRLF")
	errLength      = malformed("Content-Length is invalid, or was given with different values")
	errEncoding    = malformed("Transfer-Encoding other than one chunked in HTTP/1.1")
	errBoth        = malformed("Transfer-Encoding and Content-Length")
	errNoContent   = malformed("length of a response without content")
	errChunk       = malformed("chunk")
	errTrailer     = malformed("length in a trailer")
)

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// versionPrefix begins the protocol version of a message; the minor version follows.
const versionPrefix = "HTTP/1."

// HeadEnd returns the length of the head at the beginning of buf, up to and including its
// first empty line, or 0 if that is not in buf. The first from bytes were searched before.
func HeadEnd(buf []byte, from int) int {
	for {
		idx := bytes.IndexByte(buf[from:], '\n')
		if idx < 0 {
			return 0
		}
		from += idx + 1
		switch {
		case bytes.HasPrefix(buf[from:], []byte("\n")):
			return from + 1
		case bytes.HasPrefix(buf[from:], []byte("\r\n")):
			return from + 2
		}
	}
}

// Request checks the head of a request, its empty line included, and returns the body that
// follows it.
func Request(head []byte) (Body, error) {
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	minor, err := checkRequestLine(line)
	if err != nil {
		return Body{}, err
	}
	var fld fields
	rest, complete, err := fld.follow(rest)
	switch {
	case err != nil:
		return Body{}, err
	case !complete || len(rest) > 0:
		return Body{}, errLine
	}
	return fld.body(minor)
}

// checkRequestLine checks a request line without its end and returns the digit of the minor
// version.
func checkRequestLine(line []byte) (minor byte, err error) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := parseVersion(version)
	switch {
	case !ok, len(method) == 0, len(target) == 0:
		return 0, errRequestLine
	case string(method) == http.MethodConnect:
		return 0, errConnect
	}
	for _, char := range method {
		if !isToken(char) {
			return 0, errRequestLine
		}
	}
	for _, char := range target {
		if char == ' ' || char == '\t' || !isText(char) {
			return 0, errRequestLine
		}
	}
	return minor, nil
}

// parseVersion returns the digit of the minor version of HTTP/1.x.
func parseVersion(text []byte) (minor byte, ok bool) {
	if len(text) != len(versionPrefix)+1 || string(text[:len(versionPrefix)]) != versionPrefix {
		return 0, false
	}
	minor = text[len(versionPrefix)]
	return minor, isDigit(minor)
}
