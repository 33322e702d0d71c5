package httpio

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

// KeepIdle and KeepReading are hertz's options IdleTimeout and ReadTimeout of a server whose
// Listener has the function IdleTimeout. They can't change, so the Listener sets its own
// limits instead of deadlines that are about so far ahead.
const (
	KeepIdle    = 48 * time.Hour
	KeepReading = 24 * time.Hour
)

// isKeepIdle reports whether hertz has set a read deadline by the option KeepIdle.
func isKeepIdle(at time.Time) bool { return time.Until(at) > (KeepIdle+KeepReading)/2 }

// isKeepReading reports whether hertz has set a read deadline by the option KeepReading.
func isKeepReading(at time.Time) bool { return !isKeepIdle(at) && time.Until(at) > KeepReading/2 }

// An idleState tells whether a connection waits for a request. The mutex is held while a
// read deadline that depends on the state is set.
type idleState struct {
	mu sync.Mutex
	// since is when the wait began. It is zero if the connection doesn't wait, or its
	// listener has no IdleTimeout.
	since time.Time
	// kept is set after the first request.
	kept bool
}

// idleLimit returns how long a connection may wait for its next request, or for its first
// one if kept is false.
func (lis *Listener) idleLimit(kept bool) time.Duration {
	if lis.conns.closing.Load() {
		return closeIdleDelay
	}
	least := lis.ReadTimeout
	if kept {
		least = lis.MinIdleTimeout
	}
	return max(least, lis.IdleTimeout())
}

// readLimit returns how long a caller may take for a request. The limit of its header is
// added to that of the body, since one deadline holds for both.
func (lis *Listener) readLimit() time.Duration {
	if lis.HeaderTimeout == nil {
		return lis.ReadTimeout
	}
	return lis.ReadTimeout + lis.HeaderTimeout()
}

// awaitFirst sets the read deadline of a new connection. hertz sets one only from the
// second request on, and a watch of the connection clears this one.
func (con *limitConn) awaitFirst() error {
	if con.lis.IdleTimeout == nil {
		return con.Conn.SetReadDeadline(time.Now().Add(con.lis.ReadTimeout)) //nolint:wrapcheck // net.Conn returns net errors
	}
	return con.await()
}

// await begins the wait for a request.
func (con *limitConn) await() error {
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	con.idle.since = time.Now()
	return con.Conn.SetReadDeadline(con.idle.since.Add(con.lis.idleLimit(con.idle.kept))) //nolint:wrapcheck // net.Conn returns net errors
}

// SetReadDeadline sets the deadline of reads, or the listener's limit instead if hertz has
// set it by the options KeepIdle and KeepReading.
func (con *limitConn) SetReadDeadline(at time.Time) error {
	if con.lis.IdleTimeout != nil && isKeepIdle(at) {
		return con.await()
	}
	if con.lis.IdleTimeout != nil && isKeepReading(at) {
		at = time.Now().Add(con.lis.readLimit())
	}
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	con.idle.since = time.Time{}
	return con.Conn.SetReadDeadline(at) //nolint:wrapcheck // net.Conn returns net errors
}

// Read reads from the connection. It ends the wait for a request.
func (con *limitConn) Read(buf []byte) (int, error) {
	for {
		num, err := con.Conn.Read(buf)
		switch {
		case num > 0:
			con.received()
		case errors.Is(err, os.ErrDeadlineExceeded) && con.waitOn():
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && con.isIdle():
			// hertz answers a time-out of the first read by 408, a response to no request.
			return num, io.EOF
		}
		return num, err //nolint:wrapcheck // net.Conn returns net errors
	}
}

// received ends the wait when the first bytes of a request have been read. hertz sets the
// deadline for the rest, but not that of the first request.
func (con *limitConn) received() {
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	if con.idle.since.IsZero() {
		return
	}
	con.idle.since = time.Time{}
	if !con.idle.kept {
		con.idle.kept = true
		_ = con.Conn.SetReadDeadline(time.Now().Add(con.lis.readLimit())) // a closed connection fails at its next use
	}
}

// isIdle reports whether the connection waits for a request.
func (con *limitConn) isIdle() bool {
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	return !con.idle.since.IsZero()
}

// waitOn reports whether an idle connection whose deadline has passed waits on, because
// the limit has grown since.
func (con *limitConn) waitOn() bool {
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	if con.idle.since.IsZero() {
		return false
	}
	end := con.idle.since.Add(con.lis.idleLimit(con.idle.kept))
	return time.Now().Before(end) && con.Conn.SetReadDeadline(end) == nil
}
