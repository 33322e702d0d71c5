package httpio

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/audit"
)

// maxAheadBytes bounds how much of a caller's next requests is read while one is processed.
const maxAheadBytes = 4 << 10

// probeTimes are the times of the probes after the end of a caller's input. Most responses
// begin before the first one, and show by themselves whether the caller still reads. The
// next two follow closely, because a proxy on the way passes a reset on only with the write
// after it. Clients accept about five informational responses, of which the server may have
// sent one.
var probeTimes = [...]time.Duration{300 * time.Millisecond, 350 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}

const (
	// probeInterval is the time between two checks whether a probe is due, and whether the
	// caller has answered one by a reset.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds the write of a probe.
	probeTimeout = 100 * time.Millisecond
)

// Probes, to which the system of a caller that has closed its connection answers by a reset.
const (
	// informational is sent before the response. A client must skip it (RFC 9110, 15.2).
	informational = "HTTP/1.1 100 Continue\r\n\r\n"
	// leadingZero is sent between two chunks. It begins the size of the next one.
	leadingZero = "0"
	// brokenChunk follows a leadingZero if no chunk does. The chunk that it announces has
	// no data.
	brokenChunk = "1\r\n"
)

// earliest is a deadline that makes a blocked read return.
var earliest = time.Unix(1, 0)

// A watch detects that a caller leaves while its request is processed.
type watch struct {
	con *CallerConn
	// mayProbe is set if the caller's protocol version has informational responses and
	// chunks.
	mayProbe      bool
	left          context.CancelFunc
	stopped, done chan struct{}
}

// Watch returns a context that is cancelled once the caller has left. The returned function
// ends the watch; it must be called before the next Read.
func (con *CallerConn) Watch(ctx context.Context, mayProbe bool) (context.Context, func()) {
	ctx, left := context.WithCancel(ctx)
	con.mu.Lock()
	con.out, con.probed = notBegun, false
	con.mu.Unlock()
	raw := con.lim.Conn
	if raw.SetReadDeadline(time.Time{}) != nil {
		return ctx, left
	}
	wat := &watch{con: con, mayProbe: mayProbe, left: left, stopped: make(chan struct{}), done: make(chan struct{})}
	go wat.run()
	return ctx, func() {
		close(wat.stopped)
		_ = raw.SetReadDeadline(earliest) // a closed connection fails its reads anyway
		<-wat.done
		left()
	}
}

// run reads ahead until the input ends or the watch is stopped.
func (wat *watch) run() {
	defer close(wat.done)
	con, buf := wat.con, make([]byte, 1)
	for len(con.ahead) < maxAheadBytes {
		num, err := con.Conn.Read(buf[:min(len(buf), maxAheadBytes-len(con.ahead))])
		con.ahead = append(con.ahead, buf[:num]...)
		switch {
		case err == nil:
			buf = make([]byte, maxAheadBytes)
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			con.ended = true
			metrics.GetOrRegisterCounter("front.inputsEnded", nil).Inc(1)
			wat.probe()
		default:
			con.ended = true
			wat.callerLeft()
		}
		return
	}
}

func (wat *watch) callerLeft() {
	metrics.GetOrRegisterCounter("front.callersLeft", nil).Inc(1)
	wat.con.BrokenOff(audit.Caller, "left")
	wat.left()
}

// probe finds out whether a caller whose input has ended still reads.
func (wat *watch) probe() {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	began, sent := time.Now(), 0
	for {
		select {
		case <-wat.stopped:
			return
		case <-tick.C:
		}
		if wat.con.lim.isReset() {
			wat.callerLeft()
			return
		}
		if !wat.mayProbe || sent == len(probeTimes) || time.Since(began) < probeTimes[sent] {
			continue
		}
		sent++
		if wat.con.sendProbe() != nil {
			wat.callerLeft()
			return
		}
	}
}

// sendProbe sends a probe where the response has a place for it.
func (con *CallerConn) sendProbe() error {
	con.mu.Lock()
	defer con.mu.Unlock()
	text := informational
	switch con.out {
	case inside:
		return nil
	case betweenChunks:
		text, con.probed = leadingZero, true
	case notBegun:
	}
	if err := con.lim.SetWriteDeadline(time.Now().Add(probeTimeout)); err != nil {
		return err //nolint:wrapcheck // only compared with nil
	}
	num, err := con.lim.Conn.Write([]byte(text))
	switch {
	case num == 0 && errors.Is(err, os.ErrDeadlineExceeded):
		// The caller doesn't take what it was sent before.
		con.probed = false
		return nil
	case err != nil && num > 0:
		// Nothing may follow a part of a probe.
		_ = con.lim.Conn.Close()
	}
	return err //nolint:wrapcheck // only compared with nil
}

// isReset reports whether the connection was reset after the end of its input, which a read
// doesn't show. Other errors of the socket are hints, which don't end the connection.
func (con *limitConn) isReset() bool {
	var code syscall.Errno
	err := control(con.Conn, func(fd int) {
		if num, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR); err == nil {
			code = syscall.Errno(num)
		}
	})
	closed := err != nil && !errors.Is(err, errNoSocket)
	return closed || code == syscall.ECONNRESET || code == syscall.EPIPE || code == syscall.ETIMEDOUT
}
