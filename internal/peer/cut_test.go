package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// heartbeat returns an encoded message of an entry.
func heartbeat(t *testing.T, from wick.EntryID) []byte {
	t.Helper()
	data, err := EncodeEnvelope(wick.Envelope{Version: wick.ProtocolVersion, Type: wick.MsgHeartbeat, From: from, Body: []byte{0x62, 'h', 'i'}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestCutMessage guards against a message that is taken for whole although its stream or its
// connection ended before it did: only the end of the stream is that of the message.
func TestCutMessage(t *testing.T) {
	aut := newAuthority(t)
	one, _ := startTransport(t, aut, "one")
	lim := DefaultLimits
	lim.ReadTimeout = 300 * time.Millisecond
	srv, mem := startTransport(t, aut, "srv", WithLimits(lim))
	var handled atomic.Int64
	srv.Handle(wick.MsgHeartbeat, func(context.Context, wick.EntryID, []byte) (any, error) {
		handled.Add(1)
		return nil, nil
	})
	data := heartbeat(t, "one")
	for name, end := range map[string]func(con *quic.Conn, str *quic.Stream){
		"reset":              func(_ *quic.Conn, str *quic.Stream) { str.CancelWrite(resetTimeout) },
		"connection closed":  func(con *quic.Conn, _ *quic.Stream) { _ = con.CloseWithError(0, "closing") },
		"half, end of it":    nil,
		"half, then nothing": func(*quic.Conn, *quic.Stream) {},
	} {
		lnk, err := one.link(mem.ID)
		if err != nil {
			t.Fatal(err)
		}
		con, err := one.connect(t.Context(), lnk, mem)
		if err != nil {
			t.Fatal(err)
		}
		str, err := con.OpenStreamSync(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		text := data
		if end == nil || name == "half, then nothing" {
			text = data[:len(data)-1]
		}
		if _, err := str.Write(text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the bytes arrive before the end
		if end == nil {
			_ = str.Close()
		} else {
			end(con, str)
		}
		time.Sleep(100 * time.Millisecond)
		if num := handled.Load(); num != 0 {
			t.Errorf("%s: %d messages handled", name, num)
		}
	}
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Close() })
	return sock
}

// TestCutReply guards against the reply of an entry that is taken for whole although its
// stream or its connection ended before it did.
func TestCutReply(t *testing.T) {
	for name, end := range map[string]func(con *quic.Conn, str *quic.Stream){
		"reset":             func(_ *quic.Conn, str *quic.Stream) { str.CancelWrite(resetTimeout) },
		"connection closed": func(con *quic.Conn, _ *quic.Stream) { _ = con.CloseWithError(0, "closing") },
	} {
		t.Run(name, func(t *testing.T) {
			aut := newAuthority(t)
			one, _ := startTransport(t, aut, "one")
			srv, mem := startTransport(t, aut, "srv")
			trn := &quic.Transport{Conn: listenUDP(t)}
			lis, err := trn.Listen(srv.serverTLS(), srv.config())
			if err != nil {
				t.Fatal(err)
			}
			defer lis.Close()
			go func() {
				con, err := lis.Accept(t.Context())
				if err != nil {
					return
				}
				str, err := con.AcceptStream(t.Context())
				if err != nil {
					return
				}
				rep, _ := encodeReply("srv", 1, wick.MsgHeartbeat, reply{})
				_, _ = str.Write(rep)
				time.Sleep(50 * time.Millisecond)
				end(con, str)
			}()
			mem.Address = lis.Addr().String()
			if err := one.Call(t.Context(), mem, wick.MsgHeartbeat, "hi", nil); !errors.Is(err, wick.ErrUnavailable) {
				t.Errorf("error %v, want %v", err, wick.ErrUnavailable)
			}
		})
	}
}

// TestAmbiguousMessage guards against messages that state a value or a length twice, or a
// length that is wrong or missing, and that are read in one of several ways.
func TestAmbiguousMessage(t *testing.T) {
	type message struct {
		After int    `cbor:"after"`
		Text  string `cbor:"text,omitempty"`
	}
	after := []byte{0x65, 'a', 'f', 't', 'e', 'r'}
	text := []byte{0x64, 't', 'e', 'x', 't'}
	join := func(parts ...[]byte) (out []byte) {
		for _, part := range parts {
			out = append(out, part...)
		}
		return out
	}
	for name, data := range map[string][]byte{
		"value twice":            join([]byte{0xa2}, after, []byte{1}, after, []byte{2}),
		"more pairs than stated": join([]byte{0xa1}, after, []byte{1}, text, []byte{0x61, 'x'}),
		"fewer pairs":            join([]byte{0xa2}, after, []byte{1}),
		"no number of pairs":     join([]byte{0xbf}, after, []byte{1}, []byte{0xff}),
		"text without a length":  join([]byte{0xa1}, text, []byte{0x7f, 0x61, 'x', 0xff}),
		"text shorter":           join([]byte{0xa1}, text, []byte{0x65, 'x'}),
		"length of 2^63":         join([]byte{0xa1}, text, []byte{0x7b, 0x80, 0, 0, 0, 0, 0, 0, 0, 'x'}),
		"reserved length":        join([]byte{0xa1}, text, []byte{0x7c, 'x'}),
	} {
		var msg message
		if err := Decode(data, &msg); !errors.Is(err, wick.ErrInvalid) {
			t.Errorf("%s: %+v, error %v", name, msg, err)
		}
	}
	var msg message
	if err := Decode(join([]byte{0xa2}, after, []byte{1}, text, []byte{0x61, 'x'}), &msg); err != nil || msg != (message{1, "x"}) {
		t.Errorf("%+v, error %v", msg, err)
	}
}
