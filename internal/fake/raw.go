package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// A RawConn is one accepted connection of a Raw server.
type RawConn struct {
	net.Conn
	rdr *bufio.Reader
	raw *Raw
}

// Request reads and counts one complete request.
func (con *RawConn) Request() (*http.Request, error) {
	req, err := http.ReadRequest(con.rdr)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	con.raw.requests.Add(1)
	return req, nil
}

// Send writes text unmodified. Write errors are ignored; the peer detects
// them.
func (con *RawConn) Send(text string) { _, _ = io.WriteString(con.Conn, text) }

// Reset makes Close send a TCP reset instead of a graceful close.
func (con *RawConn) Reset() {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// A Raw is a TCP server that sends scripted replies, valid or malformed.
type Raw struct {
	lis      net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

// NewRaw starts a server on a loopback address. The n-th connection is handled
// by the n-th handler, further ones by the last, and closed when the handler
// returns.
func NewRaw(handlers ...func(con *RawConn)) (*Raw, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens until Close
	if err != nil {
		return nil, err
	}
	raw := &Raw{lis: lis}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			idx := min(int(raw.conns.Add(1)), len(handlers)) - 1
			go func() {
				defer func() { _ = con.Close() }()
				handlers[idx](&RawConn{Conn: con, rdr: bufio.NewReader(con), raw: raw})
			}()
		}
	}()
	return raw, nil
}

// Addr returns the server's address.
func (raw *Raw) Addr() string { return raw.lis.Addr().String() }

// Conns returns the number of connections accepted.
func (raw *Raw) Conns() int { return int(raw.conns.Load()) }

// Requests returns the number of complete requests read.
func (raw *Raw) Requests() int { return int(raw.requests.Load()) }

// Close stops accepting connections.
func (raw *Raw) Close() { _ = raw.lis.Close() }
