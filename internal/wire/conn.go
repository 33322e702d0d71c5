package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/frame"
)

// A sendGuard tracks whether a call was written to a connection, and rejects
// writes that would send it late or twice.
type sendGuard struct {
	// method is that of the request. The reply to a HEAD request has no body.
	method string
	once   bool
	cancel context.CancelCauseFunc
	// deadline is the end of the call's context, zero if it has none. The first
	// byte is not written after it, even if the process was paused and the
	// context's timer has not fired yet.
	deadline time.Time
	// suspended returns how long the machine has been suspended, which brings the deadline
	// nearer, and suspendedAt is what it returned when the call began. Nil if suspension
	// doesn't count.
	suspended   func() time.Duration
	suspendedAt time.Duration

	// own is the connection that the call was assigned to last, and received the number
	// of bytes that had been received on it before; nil for connections of other types.
	own      *conn
	received int64

	mu sync.Mutex
	// usedConn is the connection that the first byte was written to; nil before.
	usedConn net.Conn
	// abandoned is set when the call ended before its first byte was written.
	// Later writes are rejected, so that its error "not sent" remains true.
	abandoned bool
	// replyErr is set if the reply is malformed. net/http returns other errors.
	replyErr error
}

func (grd *sendGuard) setReplyError(err error) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	grd.replyErr = err
}

// readError returns the error of a reply whose reading has failed with err.
func (grd *sendGuard) readError(err error) error {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	if grd.replyErr != nil {
		return grd.replyErr
	}
	return err
}

// bind assigns the call to con. It is called when net/http has chosen con and
// before it writes.
func (grd *sendGuard) bind(con net.Conn) {
	own, ok := con.(*conn)
	if ok {
		// Bytes that are received before the guard is stored are not followed.
		first := own.guard.Swap(grd) == nil
		grd.own, grd.received = own, own.received.Load()
		if first && grd.received > 0 {
			grd.cancel(errUnasked)
			return
		}
	} else if err := grd.beginWrite(con); err != nil {
		// Connections of other types (TLS) don't report their writes, so the
		// call counts as written from here on.
		grd.cancel(err)
		return
	}
	grd.mu.Lock()
	reassigned := grd.once && grd.usedConn != nil && grd.usedConn != con
	grd.mu.Unlock()
	if reassigned {
		grd.cancel(errSecondConn)
	}
}

// expired reports whether the deadline has passed.
func (grd *sendGuard) expired() bool {
	if grd.deadline.IsZero() {
		return false
	}
	now := time.Now()
	if grd.suspended != nil {
		now = now.Add(grd.suspended() - grd.suspendedAt)
	}
	return !now.Before(grd.deadline)
}

// beginWrite records a write of the call to con, or returns an error if the
// write is not allowed.
func (grd *sendGuard) beginWrite(con net.Conn) error {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	switch {
	case grd.abandoned:
		return errAbandoned
	case grd.usedConn == nil && grd.expired():
		grd.abandoned = true
		return errExpired
	case grd.usedConn == nil:
		grd.usedConn = con
	case grd.once && grd.usedConn != con:
		return errSecondConn
	}
	return nil
}

// abandon reports whether no byte was written to a connection, and if so rejects
// all later writes.
func (grd *sendGuard) abandon() bool {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	if grd.usedConn != nil {
		return false
	}
	grd.abandoned = true
	return true
}

// pastDeadline is a deadline that makes a blocked write return.
var pastDeadline = time.Unix(1, 0)

// A conn checks each write against the guard of its current call, and that each reply states
// its end beyond doubt. An HTTP/1.1 connection carries one call at a time.
type conn struct {
	net.Conn
	counters traffic
	guard    atomic.Pointer[sendGuard]
	// received is the number of bytes received.
	received atomic.Int64
	// replies follows the replies. Reads don't overlap.
	replies frame.Replies

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that the other side has made fail.
	writeErr error
}

// A traffic counts the calls of a client and the bytes on its connections,
// including HTTP headers but not TCP and IP headers.
type traffic struct{ calls, sent, received metrics.Counter }

func newTraffic(name string) traffic {
	if name == "" {
		return traffic{}
	}
	return traffic{
		calls:    metrics.GetOrRegisterCounter("wire."+name+".calls", nil),
		sent:     metrics.GetOrRegisterCounter("wire."+name+".sent", nil),
		received: metrics.GetOrRegisterCounter("wire."+name+".received", nil),
	}
}

func addCount(cnt metrics.Counter, num int) {
	if cnt != nil {
		cnt.Inc(int64(num))
	}
}

// Read counts the bytes read. It fails at the first byte by which a reply is malformed.
func (con *conn) Read(buf []byte) (int, error) {
	if err := con.replies.Err(); err != nil {
		return 0, err
	}
	num, err := con.Conn.Read(buf)
	con.received.Add(int64(num))
	addCount(con.counters.received, num)
	grd := con.guard.Load()
	if grd == nil {
		return num, err
	}
	if valid, err := con.replies.Follow(buf[:num], grd.method); err != nil {
		metrics.GetOrRegisterCounter("wire.malformedReplies", nil).Inc(1)
		grd.setReplyError(err)
		return valid, err
	}
	if errors.Is(err, io.EOF) && con.replies.IsOpen() {
		err = con.endOfReply()
	}
	return num, err
}

// endOfReply returns the error of the end of the connection, where a reply without a length
// or chunks ends: io.EOF if the endpoint has ended it in order. The kernel reports a reset to
// one call only. If that was a write of the request, a read returns io.EOF.
func (con *conn) endOfReply() error {
	_ = con.SetWriteDeadline(pastDeadline) // a closed connection fails its writes anyway
	con.writing.Lock()
	defer con.writing.Unlock()
	if con.writeErr != nil {
		return con.writeErr
	}
	return io.EOF
}

// Write counts the bytes written. It fails if the current call has ended or was
// already written to another connection.
func (con *conn) Write(buf []byte) (int, error) {
	if grd := con.guard.Load(); grd != nil {
		if err := grd.beginWrite(con); err != nil {
			return 0, err
		}
	}
	con.writing.Lock()
	defer con.writing.Unlock()
	num, err := con.Conn.Write(buf)
	addCount(con.counters.sent, num)
	if err != nil && con.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		con.writeErr = err
	}
	return num, err
}
