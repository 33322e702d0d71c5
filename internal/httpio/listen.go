// Package httpio holds what the HTTP servers of entries share: a listener that
// bounds connections, and the writer of an answer that may be cut off.
package httpio

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// refuseTimeout bounds the write of a refusal to a connection over the limit.
const refuseTimeout = time.Second

// maxRefusals bounds the refusals that are written at once.
const maxRefusals = 64

// A Listener bounds the number of connections. One over the limit gets the
// refusal and is closed.
type Listener struct {
	net.Listener
	// Limit is the number of open connections.
	Limit int64
	// ReadTimeout bounds the time until the first request of a connection is
	// read, WriteTimeout one write.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// Refusal returns the JSON body of a 503 answer.
	Refusal func() []byte

	once sync.Once
	open atomic.Int64
	// refusing bounds refusals that are written at once.
	refusing chan struct{}
}

// Open returns the number of open connections.
func (lis *Listener) Open() int64 { return lis.open.Load() }

// Accept returns the next connection within the limit.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // hertz compares the error
		}
		if lis.open.Add(1) <= lis.Limit {
			// hertz sets a read timeout only from the second request of a
			// connection on. Its detection of closed connections clears this.
			if err := con.SetReadDeadline(time.Now().Add(lis.ReadTimeout)); err != nil {
				lis.open.Add(-1)
				_ = con.Close()
				continue
			}
			return &limitConn{Conn: con, lis: lis}, nil
		}
		lis.open.Add(-1)
		metrics.GetOrRegisterCounter("front.connectionsRefused", nil).Inc(1)
		lis.refuse(con)
	}
}

// refuse writes the problem without holding up Accept.
func (lis *Listener) refuse(con net.Conn) {
	lis.once.Do(func() { lis.refusing = make(chan struct{}, maxRefusals) })
	select {
	case lis.refusing <- struct{}{}:
	default:
		_ = con.Close()
		return
	}
	go func() {
		defer func() { <-lis.refusing }()
		defer func() { _ = con.Close() }()
		body := lis.Refusal()
		if con.SetDeadline(time.Now().Add(refuseTimeout)) != nil {
			return
		}
		// A response before the request is an error for many clients, and
		// closing with unread input may discard it.
		var buf [4096]byte
		if _, err := con.Read(buf[:]); err != nil {
			return
		}
		_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n"+
			"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}()
}

// A limitConn frees its place when it is closed and bounds each write, so that
// a caller that does not read holds nothing for long.
type limitConn struct {
	net.Conn
	lis  *Listener
	once sync.Once
}

// Write writes within the write timeout.
func (con *limitConn) Write(buf []byte) (int, error) {
	if err := con.SetWriteDeadline(time.Now().Add(con.lis.WriteTimeout)); err != nil {
		return 0, err //nolint:wrapcheck // net.Conn returns net errors
	}
	return con.Conn.Write(buf) //nolint:wrapcheck // net.Conn returns net errors
}

// Close closes the connection.
func (con *limitConn) Close() error {
	con.once.Do(func() { con.lis.open.Add(-1) })
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}
