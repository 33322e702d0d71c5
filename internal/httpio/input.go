package httpio

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/frame"
	"github.com/wagtailwick/wagtailwick/internal/logs"
)

var log = logrus.WithField("component", "httpio")

const (
	// ServerHeadBytes is hertz's option MaxHeaderBytes of a server with NewTransporter,
	// which enforces the limits of its Listener itself.
	ServerHeadBytes = 2 * mostHeadBytes
	// defaultHeadBytes is the limit of a head if a Listener has no HeadLimit, or that is 0.
	defaultHeadBytes = 64 << 10
	// leastHeadBytes and mostHeadBytes bound the limits of configurations: every client sends
	// a few hundred bytes, and a head is held several times.
	leastHeadBytes = 1 << 10
	mostHeadBytes  = 1 << 20
	// firstInputBytes is the size of the buffer with which a connection waits for a request.
	firstInputBytes = 2 << 10
	// firstPeekBytes is the length of hertz's first Peek of a request, after which it sets the
	// time for the request.
	firstPeekBytes = 4
	// inputLogsPerSecond bounds the log lines for inputs that are refused.
	inputLogsPerSecond = 5
)

// errBodyEnd reports a body that hertz has ended before its end.
var errBodyEnd = fmt.Errorf("%w: body without its end", frame.ErrMalformed)

// Errors of requests whose trailers are not read to their end.
var (
	// ErrTrailerSize reports trailers above the limit of a head.
	ErrTrailerSize = fmt.Errorf("trailers exceed the size limit: %w", hertzerrors.ErrHeaderTooLarge)
	// ErrTrailerMemory reports that the memory for heads and trailers is exhausted.
	ErrTrailerMemory = errors.New("memory for trailers is exhausted")
)

var inputLogs = logs.NewSampler(inputLogsPerSecond)

// NewTransporter returns a transporter of hertz, for its option WithTransport, which enforces
// the limits of a Listener on heads and trailers. The server needs the option OnAccept.
func NewTransporter(opt *config.Options) network.Transporter {
	return transporter{standard.NewTransporter(opt)}
}

type transporter struct{ network.Transporter }

// Listener returns the listener once the server runs. hertz requires the method.
func (trn transporter) Listener() net.Listener {
	if inner, ok := trn.Transporter.(interface{ Listener() net.Listener }); ok {
		return inner.Listener()
	}
	return nil
}

// ListenAndServe serves connections whose input is bounded.
func (trn transporter) ListenAndServe(serve network.OnData) error {
	return trn.Transporter.ListenAndServe(func(ctx context.Context, con any) error { //nolint:wrapcheck // hertz's own
		std, ok := con.(*standard.Conn)
		cal := Caller(ctx)
		if !ok || cal == nil {
			return serve(ctx, con)
		}
		return newInputConn(std, cal).serve(ctx, serve)
	})
}

// An inputConn reads the requests of a connection into one buffer. hertz's own reader keeps
// a copy of an incomplete head or trailer for each read, without bound for trailers: 60 KiB
// in 4 KiB pieces take 700 KiB. A Peek of one byte more than the buffer holds shows that hertz
// reads a head or a trailer, not a body.
type inputConn struct {
	*standard.Conn
	cal *CallerConn
	// buf[off:] is what was read and not yet consumed.
	buf []byte
	off int
	// limit is the most bytes of the head, and of the trailers, of the current request.
	limit int
	// inHead is set until the head of the current request is complete.
	inHead bool
	// checked is set once the head of the current request has been found well-formed, and
	// inChunks while its chunked body has not been read whole. body follows that body.
	checked, inChunks bool
	body              frame.Body
	// err is returned by all further reads, unless it is nil.
	err error
	rsv headReservation
}

func newInputConn(std *standard.Conn, cal *CallerConn) *inputConn {
	icn := &inputConn{Conn: std, cal: cal}
	cal.input = icn
	icn.rsv.end = func() { _ = cal.SetReadDeadline(earliest) } // a closed connection fails its reads anyway
	icn.begin()
	return icn
}

// heads returns the memory that the connection shares with others.
func (icn *inputConn) heads() *headMemory { return &icn.cal.lim.lis.heads }

// begin prepares for the next request. hertz has it called once more behind the first bytes of
// that request.
func (icn *inputConn) begin() {
	icn.limit = icn.cal.lim.lis.headLimit()
	if !icn.inHead {
		icn.inHead, icn.checked = true, false
	}
	icn.heads().release(&icn.rsv)
	if icn.Len() == 0 && cap(icn.buf) > firstInputBytes {
		icn.buf, icn.off = nil, 0
	}
}

// headLimit returns the limit of the next request's head.
func (lis *Listener) headLimit() int {
	num := 0
	if lis.HeadLimit != nil {
		num = lis.HeadLimit()
	}
	if num <= 0 {
		return defaultHeadBytes
	}
	return min(max(num, leastHeadBytes), mostHeadBytes)
}

// SetReadTimeout sets the time for reads. hertz calls it between two requests and behind the
// first bytes of a request only.
func (icn *inputConn) SetReadTimeout(timeout time.Duration) error {
	icn.begin()
	return icn.Conn.SetReadTimeout(timeout) //nolint:wrapcheck // net.Conn returns net errors
}

// Close closes the connection and returns its memory.
func (icn *inputConn) Close() error {
	icn.heads().release(&icn.rsv)
	icn.buf, icn.off = nil, 0
	return icn.Conn.Close() //nolint:wrapcheck // net.Conn returns net errors
}

// Len returns the number of bytes that were read and not yet consumed.
func (icn *inputConn) Len() int { return len(icn.buf) - icn.off }

// Peek returns the next bytes without consuming them, and an error if there are fewer.
func (icn *inputConn) Peek(num int) ([]byte, error) {
	if num > icn.Len() {
		if err := icn.fill(num); err != nil {
			return nil, err
		}
	}
	if err := icn.checkHead(); err != nil {
		return nil, err
	}
	return icn.buf[icn.off : icn.off+num], nil
}

// checkHead checks the head of the current request once it is complete, before hertz parses
// it: hertz accepts several lengths and encodings, of which other parsers choose another.
func (icn *inputConn) checkHead() error {
	if icn.checked || !icn.inHead {
		return nil
	}
	text := icn.buf[icn.off:]
	end := frame.HeadEnd(text, 0)
	if end == 0 {
		return nil
	}
	bdy, err := frame.Request(text[:end])
	if err == nil {
		err = checkTrailerNames(text[:end])
	}
	if err == nil && icn.inChunks {
		err = errBodyEnd
	}
	if err != nil {
		return icn.refuse(malformed, err)
	}
	icn.checked, icn.inChunks, icn.body = true, bdy.IsChunked(), bdy
	return icn.followChunks(text[end:])
}

// followChunks follows further bytes of the connection if they may belong to a chunked body.
func (icn *inputConn) followChunks(data []byte) error {
	if !icn.inChunks {
		return nil
	}
	_, complete, err := icn.body.Follow(data)
	if err != nil {
		return icn.refuse(malformed, err)
	}
	icn.inChunks = !complete
	return nil
}

// receive reads from the connection.
func (icn *inputConn) receive(buf []byte) (int, error) {
	if icn.err != nil {
		return 0, icn.err
	}
	num, err := icn.cal.Read(buf)
	if err := icn.followChunks(buf[:num]); err != nil {
		return 0, err
	}
	return num, err
}

// fill reads until there are num bytes.
func (icn *inputConn) fill(num int) error {
	if icn.err != nil {
		return icn.err
	}
	size := max(num, min(firstInputBytes, icn.limit))
	if num == icn.Len()+1 {
		if icn.Len() >= icn.limit {
			return icn.refuse(tooLarge, ErrTrailerSize)
		}
		size = max(size, min(2*icn.Len(), icn.limit))
		if !icn.heads().grow(&icn.rsv, size, icn.cal.lim.lis.HeadMemory, time.Now()) {
			return icn.refuse(noMemory, ErrTrailerMemory)
		}
	}
	// What was returned by Peek remains valid until Release.
	if icn.off+size > cap(icn.buf) {
		icn.buf, icn.off = append(make([]byte, 0, size), icn.buf[icn.off:]...), 0
	}
	from := max(icn.off, len(icn.buf)-len("\n\r"))
	for icn.Len() < num || icn.Len() < size && icn.awaitsHeadEnd(num, from) {
		got, err := icn.receive(icn.buf[len(icn.buf) : icn.off+size])
		icn.buf = icn.buf[:len(icn.buf)+got]
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitsHeadEnd reports whether the num bytes belong to a head whose end isn't in buf[from:].
// hertz parses the whole head after each read, which takes quadratic time for a head that
// arrives in small pieces.
func (icn *inputConn) awaitsHeadEnd(num, from int) bool {
	return icn.inHead && num > firstPeekBytes && frame.HeadEnd(icn.buf, from) == 0
}

// Skip consumes bytes that were read. The first ones of a request are its head.
func (icn *inputConn) Skip(num int) error {
	if num > icn.Len() {
		return hertzerrors.NewPrivatef("%d bytes to skip, but only %d were read", num, icn.Len())
	}
	icn.off += num
	icn.inHead = false
	icn.heads().complete(&icn.rsv)
	return nil
}

// Release invalidates what Peek has returned.
func (icn *inputConn) Release() error {
	if icn.Len() == 0 {
		icn.buf, icn.off = icn.buf[:0], 0
	}
	return nil
}

// Read returns what was read before, then reads from the connection.
func (icn *inputConn) Read(buf []byte) (int, error) {
	if icn.Len() == 0 {
		return icn.receive(buf)
	}
	num := copy(buf, icn.buf[icn.off:])
	icn.off += num
	return num, icn.Release()
}

// ReadByte consumes one byte.
func (icn *inputConn) ReadByte() (byte, error) {
	buf, err := icn.Peek(1)
	if err != nil {
		return 0, err
	}
	return buf[0], icn.Skip(1)
}

// ReadBinary consumes bytes and returns a copy of them.
func (icn *inputConn) ReadBinary(num int) ([]byte, error) {
	buf, err := icn.Peek(num)
	if err != nil {
		return nil, err
	}
	return append(make([]byte, 0, num), buf...), icn.Skip(num)
}

// A refusedInput is the way in which a request that is not read to its end is refused.
type refusedInput struct {
	// suffix ends the name of the counter.
	suffix string
	status int
}

var (
	tooLarge  = refusedInput{"TooLarge", http.StatusRequestHeaderFieldsTooLarge}
	noMemory  = refusedInput{"NoMemory", http.StatusServiceUnavailable}
	malformed = refusedInput{"Malformed", http.StatusBadRequest}
)

// refuse refuses the current request because of err. It has not run: its head, body or
// trailers are not complete. It returns the error of the read: behind the head that is err,
// and the handler refuses the request.
func (icn *inputConn) refuse(why refusedInput, err error) error {
	num := icn.Len()
	// What was read must not be taken for the next request.
	icn.err, icn.buf, icn.off = err, nil, 0
	part := icn.part(why)
	metrics.GetOrRegisterCounter("front.inputs."+part+why.suffix, nil).Inc(1)
	if ok, left := inputLogs.Allow(time.Now()); ok {
		log.WithFields(logrus.Fields{
			"part": part, "remote": icn.cal.RemoteAddr().String(), "bytes": num, "limit": icn.limit,
			logs.FieldStatus: why.status, logs.FieldError: err.Error(), logs.FieldSuppressed: left,
		}).Warn(logs.MsgInputRefused)
	}
	if icn.inHead {
		icn.err = hertzerrors.ErrNothingRead // keeps hertz from sending its own response
		icn.writeRefusal(why.status)
	}
	return icn.err
}

// part returns the part of the request that is being read, for metrics and logs.
func (icn *inputConn) part(why refusedInput) string {
	switch {
	case !icn.checked:
		return "head"
	case why == malformed:
		return "body"
	default:
		return "trailers"
	}
}

// writeRefusal answers an incomplete head. The connection is closed next, so errors of the
// write don't matter.
func (icn *inputConn) writeRefusal(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		// The delays are spread over a second, so that the callers don't retry at the same time.
		retry = fmt.Sprintf("Retry-After: %.2f\r\n", 0.5+rand.Float64()) //nolint:gosec // no secret
	}
	text := http.StatusText(status)
	body := fmt.Sprintf(`{"title":%q,"status":%d,"executed":"no"}`, text, status)
	_, _ = fmt.Fprintf(icn.cal, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, text, retry, len(body), body)
}
