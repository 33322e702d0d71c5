// Package wire is the HTTP/1.1 client shared by the packages for outside
// systems. It reports whether any byte of a call was written to a connection,
// and writes a call that must not be repeated to at most one connection.
package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultMaxConns    = 256
	defaultMaxIdle     = 32
	defaultDialTimeout = time.Second
	// defaultConnTimeout covers one lost SYN (retransmitted after 1 s).
	defaultConnTimeout  = 2 * time.Second
	defaultStallTimeout = 30 * time.Second
	// defaultIdleTimeout is below the 5 s after which common HTTP servers
	// close idle connections. A call that races with the close has an unknown
	// outcome.
	defaultIdleTimeout = 4 * time.Second
	maxHeaderBytes     = 64 << 10
	// maxFraming bounds the bytes of a reply that are not its body, its header and the
	// sizes of its chunks, beyond half of the body. Sound streams have chunks of an event
	// or a line, of which about a third is the size.
	maxFraming = 512 << 10
)

var (
	errConnTimeout    = errors.New("timed out waiting for a connection")
	errStallTimeout   = errors.New("timed out waiting for data")
	errSecondConn     = errors.New("call was already written to another connection")
	errAbandoned      = errors.New("call ended before it was sent")
	errExpired        = errors.New("call's deadline passed before it was sent")
	errUndelimited    = errors.New("reply has neither a Content-Length nor chunked encoding")
	errUnasked        = errors.New("endpoint sent bytes before the first call on a connection")
	errFraming        = errors.New("reply consists mostly of the sizes of its chunks")
	errTarget         = errors.New("a request target that begins with two slashes has characters that can't be sent as they are")
	errProtocolSwitch = errors.New("unexpected protocol switch")
)

// ErrTooLarge reports a reply that exceeds its size limit.
var ErrTooLarge = errors.New("reply exceeds the size limit")

// A Client sends calls over pooled connections. Its zero value is ready to
// use, and it must not be copied after the first call.
type Client struct {
	// DialTimeout bounds the time to open a connection; 1 s if zero.
	DialTimeout time.Duration
	// MaxConns bounds the connections to one address; 256 if zero.
	MaxConns int
	// ConnTimeout bounds the time until the first byte is written, including
	// the wait for a connection if the pool is exhausted; 2 s if zero.
	ConnTimeout time.Duration
	// IdleTimeout is how long an unused connection stays in the pool; 4 s if
	// zero.
	IdleTimeout time.Duration
	// ResetOnClose makes closing a connection discard its undelivered data and send a
	// TCP RST (SO_LINGER 0). A cancelled call that a network partition delays
	// is then not delivered when the partition heals.
	ResetOnClose bool
	// OneAddress is set if all calls go to one address. A call on a reused connection that has
	// got no answer in time then closes all idle connections: they may have fallen silent
	// together, and each would cost another call.
	OneAddress bool
	// Suspended returns how long the machine has been suspended in all. If it is set, that
	// time counts for the deadlines of calls: they depend on a permission that runs out.
	Suspended func() time.Duration
	// Meter is NAME in the counters wire.NAME.calls, .sent and .received of
	// the default registry. Nothing is counted if it is "".
	Meter string

	once sync.Once
	// pooled reuses connections, single opens one for each call.
	pooled, single *http.Transport
	counters       traffic
}

// A Call is one HTTP request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Host is the Host header; the host of URL if "".
	Host string
	// Target is the request target, sent verbatim instead of the path and query
	// of URL, unless "".
	Target string
	// CloseConn sends the call on a connection of its own, which is closed after
	// it, so that a late reply to one call can't be mistaken for that of another.
	CloseConn bool
	// NoRetry prevents net/http from retrying the call. Without it, net/http
	// retries GET calls and calls with an Idempotency-Key that fail on a reused
	// connection.
	NoRetry bool
	// StallTimeout bounds the wait for the next part of the reply; 30 s if zero.
	StallTimeout time.Duration
}

// A Reply is an HTTP response whose body is being read. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	// Reused is set if an earlier call has used the connection, whose late reply this
	// may be.
	Reused bool

	body io.ReadCloser
	grd  *sendGuard
	// bodyBytes is the number of bytes of the body that were read.
	bodyBytes int64
	// delimited is set when the end of the body can be distinguished from a
	// broken connection.
	delimited    bool
	stallTimeout time.Duration
	timer        *time.Timer
	cancel       context.CancelCauseFunc
}

func orDefault(val, def time.Duration) time.Duration {
	if val == 0 {
		return def
	}
	return val
}

// transport returns the transport for calls on pooled connections, or for those
// on a connection of their own.
func (cli *Client) transport(single bool) *http.Transport {
	cli.once.Do(func() {
		cli.counters = newTraffic(cli.Meter)
		maxConns := cli.MaxConns
		if maxConns == 0 {
			maxConns = defaultMaxConns
		}
		dialer := &net.Dialer{Timeout: orDefault(cli.DialTimeout, defaultDialTimeout), KeepAlive: 5 * time.Second}
		cli.pooled = &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				con, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				if tcp, ok := con.(*net.TCPConn); ok && cli.ResetOnClose {
					if err := tcp.SetLinger(0); err != nil {
						_ = con.Close()
						return nil, err
					}
				}
				return &conn{Conn: con, counters: cli.counters}, nil
			},
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    min(maxConns, defaultMaxIdle),
			IdleConnTimeout:        orDefault(cli.IdleTimeout, defaultIdleTimeout),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
		cli.single = cli.pooled.Clone()
		cli.single.DisableKeepAlives = true
	})
	if single {
		return cli.single
	}
	return cli.pooled
}

// CheckListening opens a connection to an address and closes it. The error wraps
// wick.ErrUnavailable if the connection was not accepted within DialTimeout.
func (cli *Client) CheckListening(ctx context.Context, address string) error {
	dialer := &net.Dialer{Timeout: orDefault(cli.DialTimeout, defaultDialTimeout)}
	con, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return NewError(wick.ErrUnavailable, "connect", err)
	}
	_ = con.Close()
	return nil
}

// Close closes the idle connections of the pool.
func (cli *Client) Close() { cli.transport(false).CloseIdleConnections() }

// Do sends a call and returns the reply once its header has been read. The error
// wraps wick.ErrNotSent if no byte of the call was written to a connection, and
// wick.ErrUnknownOutcome otherwise. Redirects are not followed.
func (cli *Client) Do(ctx context.Context, call Call) (*Reply, error) {
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	grd := &sendGuard{method: call.Method, once: call.NoRetry, cancel: cancel}
	grd.deadline, _ = ctx.Deadline()
	if grd.suspended = cli.Suspended; grd.suspended != nil {
		grd.suspendedAt = grd.suspended()
	}
	rep := &Reply{grd: grd, stallTimeout: orDefault(call.StallTimeout, defaultStallTimeout), cancel: cancel}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			rep.Reused = info.Reused
			grd.bind(info.Conn)
		},
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		cancel(err)
		return nil, NewError(wick.ErrNotSent, call.Method, err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	if err := call.applyOverrides(req); err != nil {
		cancel(err)
		return nil, NewError(wick.ErrNotSent, call.Method, err)
	}
	rep.timer = time.AfterFunc(rep.stallTimeout, func() { cancel(errStallTimeout) })
	connTimer := time.AfterFunc(orDefault(cli.ConnTimeout, defaultConnTimeout), func() {
		if grd.abandon() {
			cancel(errConnTimeout)
		}
	})
	defer connTimer.Stop()
	tra := cli.transport(call.CloseConn)
	addCount(cli.counters.calls, 1)
	res, err := tra.RoundTrip(req)
	if err == nil && res.StatusCode == http.StatusSwitchingProtocols {
		res.Body.Close()
		err = errProtocolSwitch
	}
	if err != nil {
		return nil, cli.fail(callerCtx, ctx, rep, call.Method, err)
	}
	rep.Status, rep.Header, rep.body = res.StatusCode, res.Header, res.Body
	rep.delimited = res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody
	rep.timer.Stop()
	return rep, nil
}

// fail ends a call without a reply and returns its error. ctx is the call's own context.
func (cli *Client) fail(callerCtx, ctx context.Context, rep *Reply, method string, err error) error {
	kind := wick.ErrUnknownOutcome
	if rep.grd.abandon() {
		kind = wick.ErrNotSent
	}
	if cause := context.Cause(ctx); cause != nil && callerCtx.Err() == nil {
		err = cause
	}
	err = rep.grd.readError(err)
	if cli.OneAddress && rep.Reused && isTimeout(ctx) {
		cli.Close()
	}
	rep.Close()
	return NewError(kind, method, err)
}

// isTimeout reports whether the context of a call has ended because the call took too long.
func isTimeout(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errStallTimeout)
}

// applyOverrides applies the call's Host and Target to req, or returns errTarget.
func (call *Call) applyOverrides(req *http.Request) error {
	if call.Host != "" {
		req.Host = call.Host
	}
	if call.Target == "" {
		return nil
	}
	if !strings.HasPrefix(call.Target, "//") {
		req.URL.Opaque, req.URL.RawQuery = call.Target, ""
		return nil
	}
	// net/http takes an Opaque that begins with two slashes for a host.
	path, query, hasQuery := strings.Cut(call.Target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return errTarget
	}
	req.URL.Path, req.URL.RawPath, req.URL.RawQuery, req.URL.ForceQuery = decoded, path, query, hasQuery
	if req.URL.RequestURI() != call.Target {
		return errTarget
	}
	return nil
}

// Read reads from the reply's body. A body that is shorter than its declared
// length ends with io.ErrUnexpectedEOF.
func (rep *Reply) Read(buf []byte) (int, error) {
	rep.timer.Reset(rep.stallTimeout)
	defer rep.timer.Stop()
	num, err := rep.body.Read(buf)
	rep.bodyBytes += int64(num)
	switch {
	case err == nil && rep.framing() > maxFraming+rep.bodyBytes/2:
		err = errFraming
	case err != nil && !errors.Is(err, io.EOF):
		err = rep.grd.readError(err)
	}
	return num, err
}

// framing returns the received bytes of the reply that are not part of what was read of
// its body.
func (rep *Reply) framing() int64 {
	if rep.grd.own == nil {
		return 0
	}
	return rep.grd.own.received.Load() - rep.grd.received - rep.bodyBytes
}

// IsDelimited reports whether the end of the body can be distinguished from a connection
// that was closed early.
func (rep *Reply) IsDelimited() bool { return rep.delimited }

// SetStallTimeout changes the bound on the wait for the next part of the reply.
func (rep *Reply) SetStallTimeout(timeout time.Duration) { rep.stallTimeout = timeout }

// ReadAll reads the whole body. Its error wraps wick.ErrTruncated if the body
// ends early, is not delimited or exceeds limit bytes.
func (rep *Reply) ReadAll(limit int64) ([]byte, error) {
	if !rep.delimited {
		return nil, NewError(wick.ErrTruncated, "read", errUndelimited)
	}
	return rep.ReadBody(limit)
}

// ReadBody is like ReadAll, but also accepts a body that is delimited only by
// the end of the connection.
func (rep *Reply) ReadBody(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rep, limit+1))
	switch {
	case err != nil:
	case int64(len(body)) > limit:
		err = ErrTooLarge
	default:
		return body, nil
	}
	return nil, NewError(wick.ErrTruncated, "read", err)
}

// Close releases the connection. It returns to the pool if the body was read to
// its end.
func (rep *Reply) Close() {
	rep.timer.Stop()
	if rep.body != nil {
		rep.body.Close()
	}
	rep.cancel(nil)
}

// An FullReply is a complete reply.
type FullReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange sends a call and reads the whole reply of at most limit bytes.
func (cli *Client) Exchange(ctx context.Context, call Call, limit int64) (FullReply, error) {
	rep, err := cli.Do(ctx, call)
	if err != nil {
		return FullReply{}, err
	}
	defer rep.Close()
	body, err := rep.ReadAll(limit)
	if err != nil {
		return FullReply{}, err
	}
	return FullReply{Status: rep.Status, Header: rep.Header, Body: body}, nil
}
