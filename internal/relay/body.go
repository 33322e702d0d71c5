package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
)

const (
	// defaultBodyBytes bounds the body of a request if the plan doesn't.
	defaultBodyBytes = 8 << 20
	// freeBodyBytes is the memory that a body may use without a reservation, so that large
	// bodies don't fail the usual requests.
	freeBodyBytes = 16 << 10
	// bodyStepBytes is the most that is read of a chunked body at once. The server holds
	// as much for a sender that announces a chunk and doesn't send it.
	bodyStepBytes = 8 << 10
	// slowBodyGrace and slowBodyBytes, a second, define a slow sender: one that has sent
	// less since the grace period began. It loses its memory once others need it.
	slowBodyGrace = 2 * time.Second
	slowBodyBytes = 64 << 10
)

// Errors of bodies that are not read to their end.
var (
	errBodySize   = errors.New("body exceeds the size limit")
	errBodyMemory = errors.New("memory for requests is exhausted")
)

// A bodyBudget lends memory to the bodies of requests.
type bodyBudget struct {
	// bud is shared with the replies. Bodies leave a quarter of it to them, because a
	// reply without memory is lost, but a request is only refused.
	bud *byteBudget

	mu sync.Mutex
	// reading holds the bodies that have a reservation and are being read.
	reading map[*bodyReader]struct{}
}

// limit returns the most that all bodies may hold.
func (bbt *bodyBudget) limit() int64 { return bbt.bud.limit / 4 * 3 }

// take reserves memory for a body. If there is none, it ends the slow senders, whose
// memory later requests can then use.
func (bbt *bodyBudget) take(num int64) bool {
	if bbt.bud.takeBelow(num, bbt.limit()) {
		return true
	}
	bbt.endSlow(time.Now())
	return false
}

// endSlow makes the reads from slow senders fail.
func (bbt *bodyBudget) endSlow(now time.Time) {
	bbt.mu.Lock()
	defer bbt.mu.Unlock()
	for bdr := range bbt.reading {
		if bdr.isSlow(now) {
			metrics.GetOrRegisterCounter("relay.slowBodiesEnded", nil).Inc(1)
			_ = bdr.con.SetReadDeadline(time.Unix(1, 0)) // a closed connection fails anyway
		}
	}
}

func (bbt *bodyBudget) add(bdr *bodyReader) {
	bbt.mu.Lock()
	defer bbt.mu.Unlock()
	if bbt.reading == nil {
		bbt.reading = make(map[*bodyReader]struct{})
	}
	bbt.reading[bdr] = struct{}{}
}

func (bbt *bodyBudget) remove(bdr *bodyReader) {
	bbt.mu.Lock()
	defer bbt.mu.Unlock()
	delete(bbt.reading, bdr)
}

// A bodyReader reads the body of one request into reserved memory.
type bodyReader struct {
	bbt *bodyBudget
	con net.Conn
	src io.Reader
	// limit is the size limit.
	limit   int64
	started time.Time
	// received is the number of bytes read so far.
	received atomic.Int64
	// held is the size of the reservation.
	held int64
}

// isSlow reports whether the sender is slow.
func (bdr *bodyReader) isSlow(now time.Time) bool {
	took := now.Sub(bdr.started) - slowBodyGrace
	return took > 0 && float64(bdr.received.Load()) < took.Seconds()*slowBodyBytes
}

// reserve extends the reservation to size bytes in all.
func (bdr *bodyReader) reserve(size int64) error {
	if size <= freeBodyBytes || size <= bdr.held {
		return nil
	}
	if !bdr.bbt.take(size - bdr.held) {
		return errBodyMemory
	}
	bdr.held = size
	return nil
}

// release returns the reserved memory.
func (bdr *bodyReader) release() {
	bdr.bbt.bud.used.Add(-bdr.held)
	bdr.held = 0
}

// read reads a body of a known size, or a chunked one if size is negative. The memory is
// reserved before it is allocated, and for a known size before the body is read.
func (bdr *bodyReader) read(size int64) ([]byte, error) {
	if size > min(bdr.limit, bdr.bbt.limit()) {
		return nil, errBodySize
	}
	first := size
	if size < 0 {
		first = min(bdr.limit, freeBodyBytes)
	}
	if err := bdr.reserve(first); err != nil {
		return nil, err
	}
	bdr.bbt.add(bdr)
	defer bdr.bbt.remove(bdr)
	if size < 0 {
		return bdr.readChunked(make([]byte, 0, first))
	}
	buf := make([]byte, size)
	for got := 0; got < len(buf); {
		num, err := bdr.src.Read(buf[got:])
		got += num
		bdr.received.Store(int64(got))
		if err != nil && got < len(buf) {
			return nil, err //nolint:wrapcheck // classified by the caller
		}
	}
	return buf, nil
}

// readChunked reads a chunked body and doubles its buffer as needed. While the buffer is
// copied, both copies are reserved.
func (bdr *bodyReader) readChunked(buf []byte) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			next, err := bdr.grow(buf)
			if err != nil {
				return nil, err
			}
			buf = next
		}
		num, err := bdr.src.Read(buf[len(buf):min(cap(buf), len(buf)+bodyStepBytes)])
		buf = buf[:len(buf)+num]
		bdr.received.Store(int64(len(buf)))
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // classified by the caller
		}
	}
}

// grow returns a copy of a full buffer with more capacity: up to one byte beyond the size
// limit, which only a body that is too large fills. Half of the memory is the limit, too,
// since both buffers must fit.
func (bdr *bodyReader) grow(buf []byte) ([]byte, error) {
	old, most := int64(cap(buf)), min(bdr.limit, bdr.bbt.limit()/2-1)+1
	if old >= most {
		return nil, errBodySize
	}
	size := min(2*old, most)
	if err := bdr.reserve(old + size); err != nil {
		return nil, err
	}
	next := append(make([]byte, 0, size), buf...)
	if bdr.held > size {
		bdr.bbt.bud.used.Add(size - bdr.held)
		bdr.held = size
	}
	return next, nil
}

// receiveBody reads the caller's body, and refuses the request and returns false if it
// can't. The returned function releases its memory.
func (req *request) receiveBody() (release func(), ok bool) {
	rct := req.rct
	if !rct.Request.IsBodyStream() {
		return func() {}, true
	}
	bdr := &bodyReader{
		bbt: &req.srv.bodies, con: rct.GetConn(), src: rct.RequestBodyStream(), limit: req.srv.maxBody(), started: time.Now(),
	}
	size := int64(rct.Request.Header.ContentLength())
	var err error
	if req.body, err = bdr.read(size); err == nil {
		err = req.con.BodyError()
	}
	if err != nil {
		bdr.release()
		rfl := bodyRefusal(err)
		if rfl != refusalNoMemory || errors.Is(err, httpio.ErrTrailerMemory) || req.srv.closing.Load() {
			rct.SetConnectionClose()
		}
		req.writeRefusal(logs.MsgRefused, rfl)
		req.skipBody(size - bdr.received.Load())
		return func() {}, false
	}
	return bdr.release, true
}

// skipBody sends the response and then discards the rest of the body: size bytes, or the
// remaining chunks if size is negative. Closing the connection before would reset it, and
// the caller may fail before it has read the response.
func (req *request) skipBody(size int64) {
	rct := req.rct
	out := rct.GetWriter()
	err := resp.Write(&rct.Response, out)
	if err == nil {
		err = out.Flush()
	}
	rct.Response.HijackWriter(sentResponse{})
	if err == nil {
		err = rct.GetConn().SetReadDeadline(time.Now().Add(readTimeout))
	}
	if err == nil {
		// The stream of a body of known size doesn't stop at its end.
		src := rct.RequestBodyStream()
		if size >= 0 {
			src = io.LimitReader(src, size)
		}
		_, err = io.Copy(io.Discard, src)
	}
	if err != nil {
		rct.SetConnectionClose()
	}
}

// A sentResponse keeps hertz from sending the response again.
type sentResponse struct{ network.ExtWriter }

// Finalize does nothing.
func (sentResponse) Finalize() error { return nil }

// maxBody returns the size limit of the plan.
func (srv *Server) maxBody() int64 {
	if tbl := srv.cfg.Plans.Load(); tbl != nil && tbl.Plan.MaxBodyBytes > 0 {
		return tbl.Plan.MaxBodyBytes
	}
	return defaultBodyBytes
}

// bodyRefusal returns the refusal for a body that failed with err.
func bodyRefusal(err error) refusal {
	switch {
	case errors.Is(err, errBodyMemory), errors.Is(err, httpio.ErrTrailerMemory):
		return refusalNoMemory
	case errors.Is(err, httpio.ErrTrailerSize):
		return refusalTrailerSize
	case errors.Is(err, errBodySize):
		return refusalBodySize
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, hertzerrors.ErrTimeout):
		return refusalBodySlow
	default:
		return refusalBodyBroken
	}
}
