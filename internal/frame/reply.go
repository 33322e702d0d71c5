package frame

import (
	"bytes"
	"net/http"
)

// statusLineBytes is the length of a status line up to and including the byte behind the
// status.
const statusLineBytes = len(versionPrefix) + len("1 200 ")

// Statuses of which a reply may have any.
const (
	leastStatus = 100
	mostStatus  = 599
)

// A replyState is a place in a reply.
type replyState uint8

const (
	inStatusLine replyState = iota
	// atStatusEnd is before the line feed of the status line.
	atStatusEnd
	inFields
	inBody
)

// A Replies follows the replies on a connection, one after the other. The zero value is
// before the first one.
type Replies struct {
	state replyState
	// line[:size] is the beginning of the status line.
	line   [statusLineBytes]byte
	size   int
	status int
	minor  byte
	fields fields
	body   Body
	// err is the error of the first malformed byte.
	err error
}

// Err returns the error of the first malformed byte, or nil.
func (rps *Replies) Err() error { return rps.err }

// IsOpen reports whether the body of the current reply ends with the connection.
func (rps *Replies) IsOpen() bool { return rps.state == inBody && rps.body.IsOpen() }

// Follow follows further bytes of replies to requests of a method. It returns the number of
// bytes before the first malformed one, and its error, which all further calls return too.
func (rps *Replies) Follow(data []byte, method string) (int, error) {
	rest := data
	for len(rest) > 0 && rps.err == nil {
		before := rest
		switch rps.state {
		case inStatusLine, atStatusEnd:
			rest = rps.followStatusLine(rest)
		case inFields:
			rest = rps.followFields(rest, method)
		case inBody:
			rest = rps.followBody(rest)
		}
		if rps.err != nil {
			rest = before[max(0, len(before)-len(rest)-1):]
		}
	}
	return len(data) - len(rest), rps.err
}

// followStatusLine follows bytes of a status line and returns those behind it.
func (rps *Replies) followStatusLine(data []byte) (rest []byte) {
	for idx, char := range data {
		switch {
		case rps.state == atStatusEnd:
			if char != '\n' {
				rps.err = errStatusLine
			}
			rps.state = inFields
			return data[idx+1:]
		case char == '\r':
			rps.state = atStatusEnd
			rps.err = rps.parseStatusLine()
		case !isText(char):
			rps.err = errStatusLine
		case rps.size < statusLineBytes:
			rps.line[rps.size] = char
			rps.size++
		}
		if rps.err != nil {
			return data[idx+1:]
		}
	}
	return nil
}

// parseStatusLine parses a status line. Many servers omit the space behind the status.
func (rps *Replies) parseStatusLine() error {
	line := rps.line[:rps.size]
	rps.size = 0
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	var ok bool
	if rps.minor, ok = parseVersion(version); !ok || len(status) != len("200") {
		return errStatusLine
	}
	rps.status = 0
	for _, char := range status {
		if !isDigit(char) {
			return errStatusLine
		}
		rps.status = rps.status*10 + int(char-'0')
	}
	if rps.status < leastStatus || rps.status > mostStatus {
		return errStatus
	}
	return nil
}

// followFields follows bytes of a header and returns those behind it.
func (rps *Replies) followFields(data []byte, method string) (rest []byte) {
	rest, complete, err := rps.fields.follow(data)
	if complete {
		rps.state = inBody
		rps.body, err = rps.parseBody(method)
		rps.fields = fields{}
		if err == nil && rps.body.IsEmpty() {
			rps.state = inStatusLine
		}
	}
	rps.err = err
	return rest
}

// parseBody returns the body that follows a header.
func (rps *Replies) parseBody(method string) (Body, error) {
	bdy, err := rps.fields.body(rps.minor)
	switch {
	case err != nil:
		return Body{}, err
	case rps.status == http.StatusSwitchingProtocols:
		return OpenBody(), nil
	case rps.status < http.StatusOK || rps.status == http.StatusNoContent:
		if !bdy.IsEmpty() {
			return Body{}, errNoContent
		}
		return Body{}, nil
	case method == http.MethodHead || rps.status == http.StatusNotModified:
		return Body{}, nil
	case !rps.fields.hasLength && !bdy.IsChunked():
		return OpenBody(), nil
	default:
		return bdy, nil
	}
}

// followBody follows bytes of a body and returns those behind it.
func (rps *Replies) followBody(data []byte) (rest []byte) {
	rest, complete, err := rps.body.Follow(data)
	if complete {
		rps.state = inStatusLine
	}
	rps.err = err
	return rest
}
