package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// A recordingConn counts the bytes written and calls onWrite in each write.
type recordingConn struct {
	net.Conn
	written int
	onWrite func()
}

func (rcn *recordingConn) Write(buf []byte) (int, error) {
	if rcn.onWrite != nil {
		rcn.onWrite()
	}
	rcn.written += len(buf)
	return len(buf), nil
}

// TestSendGuard guards against races that tests over TCP rarely trigger: a byte
// written after its call was reported as not sent, or before the write is
// recorded, and a call that is written to two connections.
func TestSendGuard(t *testing.T) {
	newBoundConn := func(once bool) (grd *sendGuard, ctx context.Context, rcn *recordingConn, con *conn) {
		ctx, cancel := context.WithCancelCause(t.Context())
		grd = &sendGuard{once: once, cancel: cancel}
		rcn = &recordingConn{}
		con = &conn{Conn: rcn}
		grd.bind(con)
		return grd, ctx, rcn, con
	}
	t.Run("abandoned before the write", func(t *testing.T) {
		grd, _, rcn, con := newBoundConn(true)
		if !grd.abandon() {
			t.Error("call reported as sent before its first write")
		}
		if _, err := con.Write([]byte("x")); !errors.Is(err, errAbandoned) || rcn.written != 0 {
			t.Errorf("%d bytes written after the call was abandoned, error %v", rcn.written, err)
		}
	})
	t.Run("abandoned during the write", func(t *testing.T) {
		grd, _, rcn, con := newBoundConn(true)
		rcn.onWrite = func() {
			if grd.abandon() {
				t.Error("call reported as not sent during its write")
			}
		}
		if _, err := con.Write([]byte("x")); err != nil || grd.abandon() {
			t.Errorf("error %v, or call reported as not sent", err)
		}
	})
	for _, once := range []bool{true, false} {
		grd, ctx, _, con := newBoundConn(once)
		if _, err := con.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		rcn := &recordingConn{}
		second := &conn{Conn: rcn}
		grd.bind(second)
		_, err := second.Write([]byte("x"))
		if errors.Is(err, errSecondConn) != once || (rcn.written == 0) != once || errors.Is(context.Cause(ctx), errSecondConn) != once {
			t.Errorf("once %v: %d bytes on a second connection, error %v, cause %v", once, rcn.written, err, context.Cause(ctx))
		}
	}
	t.Run("connection without write reports", func(t *testing.T) {
		grd, _, _, _ := newBoundConn(true)
		grd.bind(&recordingConn{})
		if grd.abandon() {
			t.Error("call reported as not sent on a connection that does not report writes")
		}
	})
	t.Run("paused past the deadline", func(t *testing.T) {
		// The process was stopped by a signal after the call was prepared: its
		// permission has run out, and the context's timer has not fired yet.
		grd, _, rcn, con := newBoundConn(true)
		grd.deadline = time.Now().Add(-time.Millisecond)
		if _, err := con.Write([]byte("x")); !errors.Is(err, errExpired) || rcn.written != 0 {
			t.Errorf("%d bytes written after the deadline, error %v", rcn.written, err)
		}
		if !grd.abandon() {
			t.Error("call reported as sent")
		}
	})
	t.Run("deadline within a body", func(t *testing.T) {
		grd, _, rcn, con := newBoundConn(true)
		grd.deadline = time.Now().Add(time.Hour)
		_, _ = con.Write([]byte("x"))
		grd.deadline = time.Now().Add(-time.Millisecond)
		if _, err := con.Write([]byte("x")); err != nil || rcn.written != 2 {
			t.Errorf("%d bytes written, error %v", rcn.written, err)
		}
	})
	t.Run("next call", func(t *testing.T) {
		grd, _, rcn, con := newBoundConn(true)
		grd.abandon()
		next := &sendGuard{once: true, cancel: func(error) {}}
		next.bind(con)
		if _, err := con.Write([]byte("x")); err != nil || rcn.written != 1 {
			t.Errorf("%d bytes of the next call, error %v", rcn.written, err)
		}
	})
}

// TestSendGuardSuspended guards against a call that is sent on a permission that ran out
// while the machine was suspended, which the clock of its deadline does not count.
func TestSendGuardSuspended(t *testing.T) {
	for _, tst := range []struct {
		suspended time.Duration
		sent      bool
	}{{0, true}, {50 * time.Second, true}, {70 * time.Second, false}} {
		grd := &sendGuard{
			deadline: time.Now().Add(time.Minute), suspendedAt: time.Hour,
			suspended: func() time.Duration { return time.Hour + tst.suspended },
		}
		rcn := &recordingConn{}
		con := &conn{Conn: rcn}
		grd.bind(con)
		_, err := con.Write([]byte("x"))
		if (err == nil) != tst.sent || (rcn.written > 0) != tst.sent || !tst.sent && !errors.Is(err, errExpired) {
			t.Errorf("suspended for %v: %d bytes written, error %v", tst.suspended, rcn.written, err)
		}
	}
}
