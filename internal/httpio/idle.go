package httpio

import (
	"errors"
	"os"
	"sync"
	"time"
)

// KeepIdle is hertz's option IdleTimeout of a server whose Listener has the function of
// that name, which limits the idle time instead. hertz's own option can't change.
const KeepIdle = 24 * time.Hour

// isKeepIdle reports whether hertz has set a read deadline by the option KeepIdle.
func isKeepIdle(at time.Time) bool { return time.Until(at) > KeepIdle/2 }

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
	least := lis.ReadTimeout
	if kept {
		least = lis.MinIdleTimeout
	}
	return max(least, lis.IdleTimeout())
}

// awaitFirst sets the read deadline of a new connection. hertz sets one only from the
// second request on, and its detection of closed connections clears this one.
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

// SetReadDeadline sets the deadline of reads, or that of an idle connection instead if
// hertz has set it by the option KeepIdle.
func (con *limitConn) SetReadDeadline(at time.Time) error {
	if con.lis.IdleTimeout != nil && isKeepIdle(at) {
		return con.await()
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
		_ = con.Conn.SetReadDeadline(time.Now().Add(con.lis.ReadTimeout)) // a closed connection fails at its next use
	}
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
