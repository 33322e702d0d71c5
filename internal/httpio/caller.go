package httpio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/audit"
)

const (
	// probeDelay is the time from the end of a caller's input to the first probe. Most
	// responses begin within it, and show by themselves whether the caller still reads.
	probeDelay = 300 * time.Millisecond
	// probeCheckInterval is the time between two checks whether the caller has answered
	// by a reset.
	probeCheckInterval = 50 * time.Millisecond
	// maxProbes bounds the probes of one request. Clients limit the number of informational
	// responses that they accept.
	maxProbes = 5
	// lingerTimeout bounds how long a connection stays open for a caller that still sends.
	lingerTimeout = time.Second
)

// probe is an informational response, which a client must skip (RFC 9110, section 15.2).
// The system of a caller that has closed its connection answers it by a reset.
const probe = "HTTP/1.1 100 Continue\r\n\r\n"

// earliest is a deadline that makes a blocked read return.
var earliest = time.Unix(1, 0)

// A CallerConn is the connection of a caller. While a request is processed, it detects that
// the caller has left. A caller that only closes its sending side has not.
type CallerConn struct {
	net.Conn
	audit *audit.Conn
	// raw is the connection below all wrappers.
	raw net.Conn

	// mu serialises the probes and the response.
	mu sync.Mutex
	// begun is set once a part of the response was written since the last call of Watch.
	begun bool
	// ahead holds the bytes that a watch has read. The next Read returns them.
	ahead []byte
	// ended is set once a read has failed or has reached the end of the input.
	ended bool
}

// Read returns the bytes that a watch has read, then those of the connection.
func (con *CallerConn) Read(buf []byte) (int, error) {
	if len(con.ahead) > 0 {
		num := copy(buf, con.ahead)
		con.ahead = con.ahead[num:]
		return num, nil
	}
	num, err := con.Conn.Read(buf)
	con.ended = con.ended || err != nil
	return num, err //nolint:wrapcheck // net.Conn returns net errors
}

// Write writes a part of the response.
func (con *CallerConn) Write(buf []byte) (int, error) {
	con.mu.Lock()
	con.begun = true
	con.mu.Unlock()
	return con.Conn.Write(buf) //nolint:wrapcheck // net.Conn returns net errors
}

// Close closes the connection. If the caller may have sent more than was read, it first
// waits for the end of its input for up to lingerTimeout: closing a connection with unread
// input resets it, and the end of a response that is still being sent would be lost.
func (con *CallerConn) Close() error {
	half, ok := con.raw.(interface{ CloseWrite() error })
	if ok && con.begun && !con.ended && half.CloseWrite() == nil &&
		con.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, con.raw) // the connection is closed in any case
	}
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}

// BrokenOff declares that the response in progress is deliberately left incomplete. On a nil
// CallerConn it does nothing.
func (con *CallerConn) BrokenOff(pty audit.Party, why string) {
	if con != nil {
		con.audit.BrokenOff(pty, why)
	}
}

// A watch detects that a caller leaves while its request is processed.
type watch struct {
	con *CallerConn
	// informational reports whether the caller's protocol version has informational
	// responses.
	informational bool
	left          context.CancelFunc
	stopped, done chan struct{}
}

// Watch returns a context that is cancelled once the caller has left. The returned function
// ends the watch; it must be called before the next Read.
func (con *CallerConn) Watch(ctx context.Context, informational bool) (context.Context, func()) {
	ctx, left := context.WithCancel(ctx)
	con.mu.Lock()
	con.begun = false
	con.mu.Unlock()
	if len(con.ahead) > 0 || con.raw.SetReadDeadline(time.Time{}) != nil {
		return ctx, left
	}
	wat := &watch{con: con, informational: informational, left: left, stopped: make(chan struct{}), done: make(chan struct{})}
	go wat.run()
	return ctx, func() {
		close(wat.stopped)
		_ = con.raw.SetReadDeadline(earliest) // a closed connection fails its reads anyway
		<-wat.done
		left()
	}
}

// run reads until the input ends or the watch is stopped.
func (wat *watch) run() {
	defer close(wat.done)
	var buf [1]byte
	num, err := wat.con.Conn.Read(buf[:])
	switch {
	case num > 0:
		// The start of the next request. What follows it is not watched.
		wat.con.ahead = buf[:num]
	case errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		wat.con.ended = true
		metrics.GetOrRegisterCounter("front.inputsEnded", nil).Inc(1)
		wat.probe()
	default:
		wat.con.ended = true
		wat.callerLeft()
	}
}

func (wat *watch) callerLeft() {
	metrics.GetOrRegisterCounter("front.callersLeft", nil).Inc(1)
	wat.con.BrokenOff(audit.Caller, "left")
	wat.left()
}

// probe finds out whether a caller whose input has ended still reads: a caller that has
// closed its connection answers a probe, or a part of the response, by a reset.
func (wat *watch) probe() {
	tick := time.NewTicker(probeCheckInterval)
	defer tick.Stop()
	sent, next := 0, time.Now().Add(probeDelay)
	for {
		select {
		case <-wat.stopped:
			return
		case <-tick.C:
		}
		if wat.con.isReset() {
			wat.callerLeft()
			return
		}
		if !wat.informational || sent == maxProbes || time.Now().Before(next) {
			continue
		}
		if wat.con.sendProbe() != nil {
			wat.callerLeft()
			return
		}
		next = time.Now().Add(probeDelay << sent)
		sent++
	}
}

// sendProbe sends a probe unless the response has begun.
func (con *CallerConn) sendProbe() error {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.begun {
		return nil
	}
	_, err := con.Conn.Write([]byte(probe))
	return err //nolint:wrapcheck // only compared with nil
}

// isReset reports whether the connection was reset after the end of its input, which a read
// doesn't show.
func (con *CallerConn) isReset() bool {
	sys, ok := con.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	var failed bool
	err = raw.Control(func(fd uintptr) {
		code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		failed = err == nil && code != 0
	})
	return err != nil || failed
}

// callerKey is the key of a connection's CallerConn in the contexts of its requests.
type callerKey struct{}

// OnAccept makes the connections of a Listener known to the handlers of their requests. It
// is an option of the server.
func OnAccept() config.Option {
	return config.Option{F: func(opt *config.Options) {
		opt.OnAccept = func(con net.Conn) context.Context {
			return context.WithValue(context.Background(), callerKey{}, con)
		}
	}}
}

// Caller returns the connection of a request, or nil.
func Caller(ctx context.Context) *CallerConn {
	con, _ := ctx.Value(callerKey{}).(*CallerConn)
	return con
}

// WatchCaller returns a context of a request that is cancelled once its caller has left.
// The returned function ends the watch; it must be called before the handler returns. The
// body must have been read.
func WatchCaller(ctx context.Context, rct *app.RequestContext) (context.Context, func()) {
	con := Caller(ctx)
	if con == nil {
		return ctx, func() {}
	}
	return con.Watch(ctx, rct.Request.Header.IsHTTP11())
}
