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
	"golang.org/x/sys/unix"

	"github.com/wagtailwick/wagtailwick/internal/audit"
)

const (
	// lingerTimeout is how long a connection stays open for a caller that still sends, and
	// maxLinger for one that also still takes its response.
	lingerTimeout = time.Second
	maxLinger     = 30 * time.Second
	// maxLingering bounds the connections of a listener that stay open for that reason.
	maxLingering = 64
)

// A CallerConn is the connection of a caller. While a request is processed, it detects that
// the caller has left. A caller that only closes its sending side has not.
type CallerConn struct {
	net.Conn
	audit *audit.Conn
	// lim is the connection below the audit.
	lim *limitConn
	// input reads the requests; nil without NewTransporter.
	input *inputConn

	// mu serialises the probes and the response.
	mu  sync.Mutex
	out responseState
	// probed is set while the last byte sent is a probe between two chunks.
	probed bool
	// ahead holds the bytes that a watch has read. The next Read returns them.
	ahead []byte
	// ended is set once the input has ended or failed.
	ended bool
}

// A responseState is how much of the response to the current request was written.
type responseState int

const (
	// notBegun means that nothing was written.
	notBegun responseState = iota
	// inside means that a part was written.
	inside
	// betweenChunks means that a part was written, up to the end of a chunk.
	betweenChunks
)

// Read returns the bytes that a watch has read, then those of the connection.
func (con *CallerConn) Read(buf []byte) (int, error) {
	if len(con.ahead) > 0 {
		num := copy(buf, con.ahead)
		con.ahead = con.ahead[num:]
		return num, nil
	}
	num, err := con.Conn.Read(buf)
	con.ended = con.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return num, err //nolint:wrapcheck // net.Conn returns net errors
}

// Write writes a part of the response.
func (con *CallerConn) Write(buf []byte) (int, error) {
	con.mu.Lock()
	con.out, con.probed = inside, false
	con.mu.Unlock()
	return con.Conn.Write(buf) //nolint:wrapcheck // net.Conn returns net errors
}

// BetweenChunks notes that the part of the response that was written ends with a chunk. On
// a nil CallerConn it does nothing.
func (con *CallerConn) BetweenChunks() {
	if con == nil {
		return
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.out = betweenChunks
}

// Close closes the connection. If the caller may have sent more than was read, it first
// waits for the end of its input for a while: closing a connection with unread
// input resets it, and the end of a response that is still being sent would be lost.
func (con *CallerConn) Close() error {
	if con.probed {
		// Without it, a lenient client could take the probe for the last chunk.
		_, _ = con.lim.Write([]byte(brokenChunk)) // the connection is closed in any case
	}
	con.audit.Settle()
	if con.out != notBegun && !con.ended {
		con.lim.linger()
	}
	return con.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}

// linger closes the sending side and discards the caller's input until it ends. The
// connection no longer counts against the limit, so that a caller that has seen the end of
// its response may open the next one.
func (con *limitConn) linger() {
	half, ok := con.Conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	defer con.lis.lingering.Add(-1)
	if con.lis.lingering.Add(1) > con.lis.closingLimit(maxLingering) {
		return
	}
	con.release()
	if half.CloseWrite() != nil {
		return
	}
	for began := time.Now(); time.Since(began) < maxLinger; {
		if con.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
			return
		}
		_, err := io.Copy(io.Discard, con.Conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) || con.unsent() == 0 {
			return
		}
	}
}

// unsent returns the number of bytes that the kernel still holds for the caller.
func (con *limitConn) unsent() int {
	num := 0
	_ = control(con.Conn, func(fd int) { // without the number the connection is closed
		num, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	})
	return num
}

// errNoSocket is returned for connections that are no sockets.
var errNoSocket = errors.New("connection is no socket")

// control calls a function with the file descriptor of a connection.
func control(con net.Conn, call func(fd int)) error {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err //nolint:wrapcheck // only compared
	}
	return raw.Control(func(fd uintptr) { call(int(fd)) }) //nolint:wrapcheck // only compared
}

// BrokenOff declares that the response in progress is deliberately left incomplete. On a nil
// CallerConn it does nothing.
func (con *CallerConn) BrokenOff(pty audit.Party, why string) {
	if con != nil {
		con.audit.BrokenOff(pty, why)
	}
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
