package wire

import (
	"context"
	"errors"
	"net"
	"testing"
)

// A stubConn counts the bytes written and calls during in each write.
type stubConn struct {
	net.Conn
	got    int
	during func()
}

func (stc *stubConn) Write(buf []byte) (int, error) {
	if stc.during != nil {
		stc.during()
	}
	stc.got += len(buf)
	return len(buf), nil
}

// TestRecord guards against the races that the tests over TCP meet too rarely:
// a byte that is written after its call was reported as not sent, or before it
// is recorded, and a call that is written to two connections.
func TestRecord(t *testing.T) {
	bound := func(once bool) (rec *record, ctx context.Context, stc *stubConn, con *conn) {
		ctx, cancel := context.WithCancelCause(t.Context())
		rec = &record{once: once, cancel: cancel}
		stc = &stubConn{}
		con = &conn{Conn: stc}
		rec.bind(con)
		return rec, ctx, stc, con
	}
	t.Run("sealed before the write", func(t *testing.T) {
		rec, _, stc, con := bound(true)
		if !rec.seal() {
			t.Error("call counts as sent before its first write")
		}
		if _, err := con.Write([]byte("x")); !errors.Is(err, errSealed) || stc.got != 0 {
			t.Errorf("%d bytes written after the seal, error %v", stc.got, err)
		}
	})
	t.Run("sealed during the write", func(t *testing.T) {
		rec, _, stc, con := bound(true)
		stc.during = func() {
			if rec.seal() {
				t.Error("call counts as not sent while it is written")
			}
		}
		if _, err := con.Write([]byte("x")); err != nil || rec.seal() {
			t.Errorf("error %v, or the call counts as not sent", err)
		}
	})
	for _, once := range []bool{true, false} {
		rec, ctx, _, con := bound(once)
		if _, err := con.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		stc := &stubConn{}
		second := &conn{Conn: stc}
		rec.bind(second)
		_, err := second.Write([]byte("x"))
		if errors.Is(err, errSecond) != once || (stc.got == 0) != once || errors.Is(context.Cause(ctx), errSecond) != once {
			t.Errorf("once %v: %d bytes on a second connection, error %v, cause %v", once, stc.got, err, context.Cause(ctx))
		}
	}
	t.Run("unwatched connection", func(t *testing.T) {
		rec, _, _, _ := bound(true)
		rec.bind(&stubConn{})
		if rec.seal() {
			t.Error("call counts as not sent on a connection that does not report writes")
		}
	})
	t.Run("next call", func(t *testing.T) {
		rec, _, stc, con := bound(true)
		rec.seal()
		next := &record{once: true, cancel: func(error) {}}
		next.bind(con)
		if _, err := con.Write([]byte("x")); err != nil || stc.got != 1 {
			t.Errorf("%d bytes of the next call, error %v", stc.got, err)
		}
	})
}
