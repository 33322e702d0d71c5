package audit

import (
	"errors"
	"net/http"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/frame"
)

// Errors of messages that can't be followed.
var (
	errHeadSize  = errors.New("head exceeds the size limit")
	errPipelined = errors.New("too many pipelined requests")
)

// A message follows the messages of one direction.
type message struct {
	head head
	body frame.Body
	// inBody is set while the body of a message follows.
	inBody bool
	// status is that of the response in progress; unused for requests.
	status int
	// closes is set if that response announces the end of the connection.
	closes bool
	// lost is set once the direction is no longer followed.
	lost bool
}

// received follows bytes of requests.
func (con *Conn) received(data []byte) {
	for len(data) > 0 && !con.in.lost {
		var whole bool
		var err error
		if con.in.inBody {
			data, whole, err = con.in.body.Follow(data)
		} else {
			data, whole, err = con.receivedHead(data)
		}
		if err != nil {
			con.loseInput()
		} else if whole {
			con.in.inBody = false
			con.receivedWhole()
		}
	}
}

// receivedHead follows bytes of a request's head. It returns the bytes behind it, and
// whether the request is whole without a body.
func (con *Conn) receivedHead(data []byte) (rest []byte, whole bool, err error) {
	text, rest, err := con.in.head.take(data)
	if err != nil || text == nil {
		return nil, false, err
	}
	exc, bdy, err := parseRequest(text, con.trk.IDHeader)
	con.in.head.reset()
	if err != nil {
		return nil, false, err
	}
	if len(con.open) >= maxOpen {
		return nil, false, errPipelined
	}
	con.open = append(con.open, exc)
	con.in.body, con.in.inBody = bdy, !bdy.IsEmpty()
	return rest, bdy.IsEmpty(), nil
}

// receivedWhole counts the last request as read. Its response may be complete already.
func (con *Conn) receivedWhole() {
	exc := con.open[len(con.open)-1]
	exc.readAt = time.Now()
	con.trk.began()
	if exc.status != 0 {
		con.endOldest()
	}
}

// loseInput ends the following of requests. Responses to earlier ones are still followed.
func (con *Conn) loseInput() {
	con.in.lost = true
	con.in.head.reset()
	if num := len(con.open); num > 0 && !con.open[num-1].whole() {
		con.open = con.open[:num-1]
	}
	con.trk.untracked()
}

// endOldest counts the oldest request, whose response is complete.
func (con *Conn) endOldest() {
	con.trk.ended(completeName(con.open[0].status))
	con.open[0] = nil
	con.open = con.open[1:]
}

// sent follows bytes of responses.
func (con *Conn) sent(data []byte) {
	for len(data) > 0 && !con.out.lost {
		if len(con.open) == 0 || con.open[0].status != 0 {
			con.sentUnasked(len(data))
			return
		}
		before := len(data)
		exc := con.open[0]
		var complete bool
		var err error
		if con.out.inBody {
			data, complete, err = con.out.body.Follow(data)
		} else {
			data, complete, err = con.sentHead(data, exc.method)
		}
		exc.written += before - len(data)
		if err != nil {
			con.loseOutput()
		} else if complete {
			con.sentComplete(exc)
		}
	}
}

// sentHead follows bytes of a response's head. It returns the bytes behind it, and whether
// the response is complete without a body.
func (con *Conn) sentHead(data []byte, method string) (rest []byte, complete bool, err error) {
	text, rest, err := con.out.head.take(data)
	if err != nil || text == nil {
		return nil, false, err
	}
	hed, err := parseResponse(text, method)
	con.out.head.reset()
	if err != nil {
		return nil, false, err
	}
	if hed.status < http.StatusOK && hed.status != http.StatusSwitchingProtocols {
		return rest, false, nil
	}
	con.out.status, con.out.closes = hed.status, hed.closes
	con.out.body, con.out.inBody = hed.body, !hed.body.IsEmpty()
	return rest, hed.body.IsEmpty(), nil
}

// sentComplete ends the response to the oldest request. A request that was not read whole
// remains open until it is.
func (con *Conn) sentComplete(exc *exchange) {
	con.out.inBody = false
	con.lastResponse = con.out.closes
	exc.status = con.out.status
	if exc.whole() {
		con.endOldest()
	}
	if exc.status == http.StatusSwitchingProtocols {
		con.in.lost, con.out.lost = true, true
	}
}

// sentUnasked handles response bytes that belong to no request: an error response to a
// request that was not followed, or a fault. Later bytes are not followed.
func (con *Conn) sentUnasked(num int) {
	con.out.lost = true
	if con.in.lost || con.in.head.partial() {
		return
	}
	con.trk.reportUnasked(con.RemoteAddr(), num)
	con.in.lost = true
}

// loseOutput ends the following of a connection whose responses are malformed.
func (con *Conn) loseOutput() {
	for _, exc := range con.open {
		if exc.whole() {
			con.trk.ended("untracked")
		}
	}
	con.open, con.in.lost, con.out.lost = nil, true, true
	con.out.head.reset()
}
