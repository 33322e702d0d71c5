// Package audit counts the requests and responses on callers' connections from the bytes
// that pass, independently of the server that handles them. It shows whether each request
// that was read has ended with a complete response, a declared end or neither, which is a
// fault.
package audit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
)

var log = logrus.WithField("component", "audit")

// metricPrefix is that of all counters of this package.
const metricPrefix = "front.requests."

// A Party is the side that ended a response before it was complete.
type Party string

// Parties that end responses.
const (
	Caller   Party = "caller"
	Entry    Party = "entry"
	Endpoint Party = "endpoint"
)

// Reasons of ends that this package detects itself.
const (
	whyWriteFailed  = "writeFailed"
	whyWriteTimeout = "writeTimeout"
	whyReadFailed   = "readFailed"
	// whyCloseAnnounced is the end of a pipelined request behind a response that
	// announced the end of the connection. HTTP lets the caller repeat it.
	whyCloseAnnounced = "closeAnnounced"
)

// A Tracker accounts for the requests of all connections of a listener. The zero value
// works.
//
// The counters fulfil read = answered + refused + brokenOff.* + unanswered + untracked +
// the open requests.
type Tracker struct {
	// IDHeader is the name of the request header with the request's id, for log lines.
	// "" omits the id.
	IDHeader string
	// Metrics receives the counters; nil is the default registry.
	Metrics metrics.Registry

	// open is the number of requests that were read whole and have not ended.
	open atomic.Int64
	mu   sync.Mutex
	// conns holds the open connections.
	conns map[*Conn]struct{}
}

// Wrap returns a connection that accounts for the requests on con.
func (trk *Tracker) Wrap(con net.Conn) *Conn {
	out := &Conn{Conn: con, trk: trk}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if trk.conns == nil {
		trk.conns = make(map[*Conn]struct{})
	}
	trk.conns[out] = struct{}{}
	return out
}

func (trk *Tracker) remove(con *Conn) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	delete(trk.conns, con)
}

// Open returns the number of requests that were read whole and whose responses are not
// complete.
func (trk *Tracker) Open() int64 { return trk.open.Load() }

// Stop ends the accounting of all connections as their close would. It is called when the
// process ends, which closes them.
func (trk *Tracker) Stop() {
	trk.mu.Lock()
	conns := make([]*Conn, 0, len(trk.conns))
	for con := range trk.conns {
		conns = append(conns, con)
	}
	trk.mu.Unlock()
	for _, con := range conns {
		con.Settle()
	}
}

func (trk *Tracker) count(name string) {
	metrics.GetOrRegisterCounter(metricPrefix+name, trk.Metrics).Inc(1)
}

// began counts a request that was read whole.
func (trk *Tracker) began() {
	trk.open.Add(1)
	trk.count("read")
}

// ended counts the end of such a request.
func (trk *Tracker) ended(name string) {
	trk.open.Add(-1)
	trk.count(name)
}

// untracked counts a request whose bytes can't be followed.
func (trk *Tracker) untracked() {
	trk.count("read")
	trk.count("untracked")
}

// completeName returns the counter of a complete response.
func completeName(status int) string {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "refused"
	default:
		return "answered"
	}
}

// reportUnanswered counts and logs a request that ended without a response.
func (trk *Tracker) reportUnanswered(addr net.Addr, exc *exchange) {
	trk.ended("unanswered")
	fld := logrus.Fields{
		"remote": addr.String(), "ms": time.Since(exc.readAt).Milliseconds(), "written": exc.written,
		"method": exc.method, "path": exc.path,
	}
	if exc.id != "" {
		fld[logs.FieldRequest] = exc.id
	}
	log.WithFields(fld).Error(logs.MsgUnanswered)
}

// reportUnasked counts and logs response bytes without a request.
func (trk *Tracker) reportUnasked(addr net.Addr, num int) {
	trk.count("unasked")
	log.WithFields(logrus.Fields{"remote": addr.String(), "written": num}).Error(logs.MsgUnasked)
}
