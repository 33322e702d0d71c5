// Package httpio contains code shared by the HTTP servers of entries: a listener
// that limits connections, a writer for responses that may be aborted, and
// server shutdown.
package httpio

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/audit"
)

// refusalTimeout bounds the refusal of a connection over the limit.
const refusalTimeout = time.Second

// acceptRetryDelay is the delay after an accept that failed for want of a resource.
const acceptRetryDelay = 20 * time.Millisecond

const (
	// maxConcurrentRefusals bounds the connections that are refused concurrently, each of
	// which lasts until its caller closes it or refusalTimeout has passed.
	maxConcurrentRefusals = 256
	// closingShare is the part of a listener's limit that connections which are refused, or
	// which linger, may hold beyond it. File descriptors are reserved for them.
	closingShare = 8
	// leastClosing is the least number of such connections.
	leastClosing = 8
)

// A Listener limits the number of open connections. A connection over the limit
// receives a refusal and is closed.
type Listener struct {
	net.Listener
	// Limit is the maximum number of open connections.
	Limit int64
	// ReadTimeout bounds the time in which a request is read; WriteTimeout bounds
	// the time in which a caller takes no byte of a write.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// IdleTimeout returns how long a connection may be idle. A connection that is idle
	// while it changes keeps the longer time. Nil leaves the time to the server, which
	// otherwise has the options KeepIdle and KeepReading.
	IdleTimeout func() time.Duration
	// HeaderTimeout returns the time for the header of a request, which is added to
	// ReadTimeout. It may be nil.
	HeaderTimeout func() time.Duration
	// MinIdleTimeout is the least idle time of a connection after its first request.
	MinIdleTimeout time.Duration
	// Refusal returns the JSON body of the 503 response to a connection over
	// the limit.
	Refusal func() []byte
	// HeadLimit returns the most bytes of a request's head, and of its trailers. Nil or 0 is
	// defaultHeadBytes. It takes effect with NewTransporter.
	HeadLimit func() int
	// HeadMemory bounds the memory of all heads and trailers; 0 is defaultHeadMemory.
	HeadMemory int64
	// Audit accounts for the requests of the connections.
	Audit audit.Tracker

	once  sync.Once
	open  atomic.Int64
	heads headMemory
	conns connSet
	// lingering is the number of connections that await the end of their callers' input.
	lingering atomic.Int64
	// refusalSlots limits concurrent refusals to maxConcurrentRefusals.
	refusalSlots chan struct{}
}

// OpenConns returns the number of open connections.
func (lis *Listener) OpenConns() int64 { return lis.open.Load() }

// isExhaustion reports whether an accept failed for want of a resource that other
// connections will release. A server ends on any error of Accept.
func isExhaustion(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// A RetryListener goes on after an accept that failed for want of a resource.
type RetryListener struct{ net.Listener }

// Accept returns the next connection.
func (lis RetryListener) Accept() (net.Conn, error) {
	for {
		con, err := lis.Listener.Accept()
		if !isExhaustion(err) {
			return con, err //nolint:wrapcheck // hertz compares the error
		}
		metrics.GetOrRegisterCounter("front.acceptsFailed", nil).Inc(1)
		time.Sleep(acceptRetryDelay)
	}
}

// Accept returns the next connection within the limit.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		con, err := RetryListener{lis.Listener}.Accept()
		if err != nil {
			return nil, err
		}
		if lis.open.Add(1) <= lis.Limit {
			lim := &limitConn{Conn: con, lis: lis}
			lis.conns.add(lim)
			if lim.awaitFirst() != nil {
				_ = lim.Close()
				continue
			}
			aud := lis.Audit.Wrap(lim)
			return &CallerConn{Conn: aud, audit: aud, lim: lim}, nil
		}
		lis.open.Add(-1)
		metrics.GetOrRegisterCounter("front.connectionsRefused", nil).Inc(1)
		lis.refuse(con)
	}
}

// closingLimit returns the most connections that may be closing in one way: most, or less if
// the listener's limit is low.
func (lis *Listener) closingLimit(most int64) int64 {
	return max(min(most, lis.Limit/closingShare), leastClosing)
}

// refuse writes the refusal without blocking Accept.
func (lis *Listener) refuse(con net.Conn) {
	lis.once.Do(func() { lis.refusalSlots = make(chan struct{}, lis.closingLimit(maxConcurrentRefusals)) })
	select {
	case lis.refusalSlots <- struct{}{}:
	default:
		_ = con.Close()
		return
	}
	go func() {
		defer func() { <-lis.refusalSlots }()
		defer func() { _ = con.Close() }()
		body := lis.Refusal()
		if con.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
			return
		}
		// Reads from the request first: many clients fail on a response that arrives
		// before it.
		var buf [4096]byte
		if _, err := con.Read(buf[:]); err != nil {
			return
		}
		_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n"+
			"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		// Closing a connection with unread input resets it, and the caller may fail
		// before it has read the response.
		if half, ok := con.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			_, _ = io.Copy(io.Discard, con)
		}
	}()
}

// A limitConn is counted against the listener's limit until it is closed. It
// bounds writes, so that a caller that doesn't read can't occupy resources
// for long.
type limitConn struct {
	net.Conn
	lis  *Listener
	once sync.Once
	idle idleState
}

// Write writes to a caller that takes bytes within the listener's write timeout.
func (con *limitConn) Write(buf []byte) (int, error) { return con.write(buf, con.lis.WriteTimeout) }

// release removes the connection from the count of open ones.
func (con *limitConn) release() {
	con.once.Do(func() {
		con.lis.open.Add(-1)
		con.lis.conns.remove(con)
	})
}

// Close closes the connection and removes it from the count of open ones.
func (con *limitConn) Close() error {
	con.release()
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}
