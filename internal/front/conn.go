package front

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

// A limitListener bounds the number of connections. One over the limit gets a
// problem and is closed.
type limitListener struct {
	net.Listener
	limit        int64
	readTimeout  time.Duration
	writeTimeout time.Duration
	open         atomic.Int64
	// refusing bounds refusals that are written at once.
	refusing chan struct{}
}

// Accept returns the next connection within the limit.
func (lis *limitListener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // hertz compares the error
		}
		if lis.open.Add(1) <= lis.limit {
			// hertz sets a read timeout only from the second request of a
			// connection on. Its detection of closed connections clears this.
			if err := con.SetReadDeadline(time.Now().Add(lis.readTimeout)); err != nil {
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
func (lis *limitListener) refuse(con net.Conn) {
	select {
	case lis.refusing <- struct{}{}:
	default:
		_ = con.Close()
		return
	}
	go func() {
		defer func() { <-lis.refusing }()
		defer func() { _ = con.Close() }()
		body := kindConnections.refuse("").encode()
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
	lis  *limitListener
	once sync.Once
}

// Write writes within the write timeout.
func (con *limitConn) Write(buf []byte) (int, error) {
	if err := con.SetWriteDeadline(time.Now().Add(con.lis.writeTimeout)); err != nil {
		return 0, err //nolint:wrapcheck // net.Conn returns net errors
	}
	return con.Conn.Write(buf) //nolint:wrapcheck // net.Conn returns net errors
}

// Close closes the connection.
func (con *limitConn) Close() error {
	con.once.Do(func() { con.lis.open.Add(-1) })
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}
