package audit

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxOpen bounds the pipelined requests of a connection that are tracked.
const maxOpen = 1024

// An exchange is one request and its response.
type exchange struct {
	method, path, id string
	// readAt is when the request had been read whole, zero before.
	readAt time.Time
	// written is the number of bytes of the response.
	written int
	// status is that of the complete response, 0 before.
	status int
	// endedBy and why declare a response that stays incomplete; "" if none was declared.
	endedBy Party
	why     string
}

// whole reports whether the request was read whole.
func (exc *exchange) whole() bool { return !exc.readAt.IsZero() }

// A Conn is a caller's connection whose requests and responses are accounted for. It
// changes nothing in what passes.
type Conn struct {
	net.Conn
	trk *Tracker

	mu sync.Mutex
	// in follows the requests, out the responses.
	in, out message
	// open lists the requests that have not ended, the oldest first. Only the last one
	// may not have been read whole.
	open []*exchange
	// leftWhy is why the caller is considered gone, "" otherwise.
	leftWhy string
	// lastResponse is set once a complete response has announced the end of the
	// connection.
	lastResponse bool
}

// Read reads from the connection.
func (con *Conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.mu.Lock()
	defer con.mu.Unlock()
	con.received(buf[:num])
	if err != nil {
		con.noteReadError(err)
	}
	return num, err //nolint:wrapcheck // net.Conn returns net errors
}

// Write writes to the connection.
func (con *Conn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	con.mu.Lock()
	defer con.mu.Unlock()
	con.sent(buf[:num])
	if err != nil {
		con.noteWriteError(err)
	}
	return num, err //nolint:wrapcheck // net.Conn returns net errors
}

// Close closes the connection and accounts for the requests that are open.
func (con *Conn) Close() error {
	con.Settle()
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}

// NetConn returns the wrapped connection.
func (con *Conn) NetConn() net.Conn { return con.Conn }

// BrokenOff declares that the response in progress is deliberately left incomplete. A
// response that is completed nevertheless counts as complete. On a nil Conn it does
// nothing.
func (con *Conn) BrokenOff(pty Party, why string) {
	if con == nil {
		return
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	if len(con.open) > 0 {
		con.open[0].endedBy, con.open[0].why = pty, why
	}
}

func (con *Conn) noteReadError(err error) {
	switch {
	case con.leftWhy != "", errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed), errors.Is(err, io.EOF):
		// A caller whose input has ended may still read.
	default:
		con.leftWhy = whyReadFailed
	}
}

func (con *Conn) noteWriteError(err error) {
	switch {
	case errors.Is(err, net.ErrClosed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		con.leftWhy = whyWriteTimeout
	default:
		con.leftWhy = whyWriteFailed
	}
}

// Settle ends the accounting of the connection, as its close does.
func (con *Conn) Settle() {
	con.mu.Lock()
	defer con.mu.Unlock()
	open := con.open
	con.open, con.in.lost, con.out.lost = nil, true, true
	for idx, exc := range open {
		if exc.whole() {
			con.settleOpen(exc, idx == 0)
		}
	}
	con.trk.remove(con)
}

// settleOpen accounts for a request that is open as the connection closes.
func (con *Conn) settleOpen(exc *exchange, oldest bool) {
	brokenOff := func(pty Party, why string) { con.trk.ended("brokenOff." + string(pty) + "." + why) }
	untilClose := con.out.inBody && con.out.body.IsOpen()
	switch {
	case exc.why != "":
		con.lastResponse = true
		brokenOff(exc.endedBy, exc.why)
	case con.leftWhy == whyWriteFailed, con.leftWhy == whyWriteTimeout:
		brokenOff(Caller, con.leftWhy)
	case oldest && untilClose:
		con.trk.ended(completeName(con.out.status))
	case con.leftWhy != "":
		brokenOff(Caller, con.leftWhy)
	case con.lastResponse || untilClose:
		brokenOff(Entry, whyCloseAnnounced)
	default:
		con.trk.reportUnanswered(con.RemoteAddr(), exc)
	}
}
