package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// A record notes whether a call was handed to a connection.
type record struct {
	once   bool
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// first is the connection that got the first byte; nil before.
	first net.Conn
	// sealed is set when the call ended before its first byte. Later writes
	// are refused, so that "not sent" stays true.
	sealed bool
}

// bind notes that net/http chose con for the call, before it writes.
func (rec *record) bind(con net.Conn) {
	own, ok := con.(*conn)
	if ok {
		own.rec.Store(rec)
	} else if err := rec.begin(con); err != nil {
		// A connection of another type (TLS) does not report its writes and
		// counts as written to from here on.
		rec.cancel(err)
		return
	}
	rec.mu.Lock()
	second := rec.once && rec.first != nil && rec.first != con
	rec.mu.Unlock()
	if second {
		rec.cancel(errSecond)
	}
}

// begin allows or refuses the next write of the call on con.
func (rec *record) begin(con net.Conn) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch {
	case rec.sealed:
		return errSealed
	case rec.first == nil:
		rec.first = con
	case rec.once && rec.first != con:
		return errSecond
	}
	return nil
}

// seal returns true if no byte was handed to a connection, and ensures that
// none will be.
func (rec *record) seal() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.first != nil {
		return false
	}
	rec.sealed = true
	return true
}

// A conn asks the record of its current call before each write. HTTP/1.1
// carries one call at a time.
type conn struct {
	net.Conn
	cnt meter
	rec atomic.Pointer[record]
}

// A meter counts the calls of a client and the bytes of its connections, HTTP
// headers included, TCP and IP headers not.
type meter struct{ calls, sent, received metrics.Counter }

func newMeter(name string) meter {
	if name == "" {
		return meter{}
	}
	return meter{
		calls:    metrics.GetOrRegisterCounter("wire."+name+".calls", nil),
		sent:     metrics.GetOrRegisterCounter("wire."+name+".sent", nil),
		received: metrics.GetOrRegisterCounter("wire."+name+".received", nil),
	}
}

func count(cnt metrics.Counter, num int) {
	if cnt != nil {
		cnt.Inc(int64(num))
	}
}

// Read reads and counts.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	count(con.cnt.received, num)
	return num, err
}

// Write writes unless the current call has ended or went to another
// connection.
func (con *conn) Write(buf []byte) (int, error) {
	if rec := con.rec.Load(); rec != nil {
		if err := rec.begin(con); err != nil {
			return 0, err
		}
	}
	num, err := con.Conn.Write(buf)
	count(con.cnt.sent, num)
	return num, err
}
