package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// alpn is the protocol between entries in the TLS handshake.
const alpn = "wagtailwick/1"

// Error codes of streams that are reset instead of replied to.
const (
	resetBusy     quic.StreamErrorCode = 1
	resetTooLarge quic.StreamErrorCode = 2
	resetInvalid  quic.StreamErrorCode = 3
	resetTimeout  quic.StreamErrorCode = 4
)

// Reasons of rejected messages, used in counter names.
const (
	rejectedMessage  = "message"
	rejectedTooLarge = "tooLarge"
	rejectedBusy     = "busy"
	rejectedSender   = "sender"
	rejectedPeer     = "peer"
	rejectedRead     = "read"
)

// Limits bounds the resources that peers can consume. Received messages use at
// most MaxActive times 2.25 MiB, since a buffer is copied when it grows, plus the
// window of each connection.
type Limits struct {
	// MaxStreams bounds the concurrent requests of one peer.
	MaxStreams int
	// MaxActive bounds the concurrent requests of all peers.
	MaxActive int
	// MaxPending bounds the calls in flight to one peer.
	MaxPending int
	// ReadTimeout bounds the time to read a message or write a reply.
	ReadTimeout time.Duration
}

// DefaultLimits allows at most 144 MiB for received messages.
var DefaultLimits = Limits{MaxStreams: 16, MaxActive: 64, MaxPending: 64, ReadTimeout: callTimeout}

const (
	// maxConnsPerPeer allows a connection of a restarted peer in addition to
	// that of its earlier incarnation.
	maxConnsPerPeer = 2
	streamWindow    = 512 << 10
	connWindow      = 1 << 20
	// idleTimeout is far above the mean of 21 s between contacts in one
	// direction with a member of a view of 64. With 60 s, one contact in 17
	// needed a new handshake of 7 KB.
	idleTimeout = 5 * time.Minute
	// handshakeTimeout is below the failure-detection timeout of 3 s.
	handshakeTimeout = 2 * time.Second
)

// A Transport sends and receives messages over QUIC. It implements wick.Peers.
type Transport struct {
	Handlers
	eid    wick.EntryID
	inc    wick.Incarnation
	cert   tls.Certificate
	roots  *x509.CertPool
	limits Limits
	cnt    counters
	usg    usage
	sock   *net.UDPConn
	qtr    *quic.Transport
	lis    *quic.Listener
	// slots is a semaphore that bounds the requests being served.
	slots chan struct{}
	// ctx is canceled when the transport closes.
	ctx    context.Context
	cancel context.CancelFunc
	// warnings limits the rate of log messages.
	warnings rate.Sometimes
	loops    sync.WaitGroup
	requests sync.WaitGroup

	mu sync.Mutex
	// closing rejects new calls and requests.
	closing bool
	links   map[wick.EntryID]*link
	// inbound is the state of accepted connections by peer.
	inbound map[wick.EntryID]*inbound
}

var _ wick.Peers = (*Transport)(nil)

// An Option configures a Transport before it starts.
type Option func(*Transport)

// WithLimits replaces DefaultLimits.
func WithLimits(lim Limits) Option { return func(trn *Transport) { trn.limits = lim } }

// WithRegistry sets the metrics registry instead of the default one.
func WithRegistry(reg metrics.Registry) Option {
	return func(trn *Transport) { trn.cnt = counters{reg} }
}

// New starts a transport on a UDP address. The certificate's common name must
// be the entry id; roots are the certificate authorities of all entries.
func New(addr string, eid wick.EntryID, inc wick.Incarnation, cert tls.Certificate, roots *x509.CertPool, opts ...Option) (*Transport, error) {
	trn := &Transport{warnings: rate.Sometimes{First: 10, Interval: time.Second}, eid: eid, inc: inc, cert: cert, roots: roots, limits: DefaultLimits, cnt: counters{metrics.DefaultRegistry}}
	for _, opt := range opts {
		opt(trn)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return nil, eris.Wrap(err, "peer certificate")
	}
	if wick.EntryID(leaf.Subject.CommonName) != eid {
		return nil, eris.Wrapf(wick.ErrInvalid, "peer certificate is for %q, not %q", leaf.Subject.CommonName, eid)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "peer address")
	}
	if trn.sock, err = net.ListenUDP("udp", udp); err != nil {
		return nil, eris.Wrap(err, "peer address")
	}
	trn.qtr = &quic.Transport{Conn: trn.sock}
	if trn.lis, err = trn.qtr.Listen(trn.serverTLS(), trn.config()); err != nil {
		trn.sock.Close() //nolint:errcheck // the first error is returned
		return nil, eris.Wrap(err, "peer address")
	}
	trn.slots = make(chan struct{}, trn.limits.MaxActive)
	trn.links = make(map[wick.EntryID]*link)
	trn.inbound = make(map[wick.EntryID]*inbound)
	trn.ctx, trn.cancel = context.WithCancel(context.Background())
	trn.usg.register(trn.cnt.reg)
	trn.loops.Add(1)
	go trn.acceptLoop()
	return trn, nil
}

// Addr returns the address that the transport listens on.
func (trn *Transport) Addr() net.Addr { return trn.sock.LocalAddr() }

func (trn *Transport) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow / 4,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connWindow / 4,
		MaxConnectionReceiveWindow:     connWindow,
		MaxIncomingStreams:             int64(trn.limits.MaxStreams),
		MaxIncomingUniStreams:          -1,
		// Path MTU probes cost more bandwidth than heartbeats save by them.
		DisablePathMTUDiscovery: true,
	}
}

func (trn *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{trn.cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              trn.roots,
		NextProtos:             []string{alpn},
		SessionTicketsDisabled: true,
	}
}

// clientTLS verifies the chain itself, because crypto/tls compares host names
// and entries are identified by common name.
func (trn *Transport) clientTLS(eid wick.EntryID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{trn.cert},
		NextProtos:         []string{alpn},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain and the common name
		VerifyConnection: func(sta tls.ConnectionState) error {
			pool := x509.NewCertPool()
			for _, crt := range sta.PeerCertificates[1:] {
				pool.AddCert(crt)
			}
			leaf := sta.PeerCertificates[0]
			opts := x509.VerifyOptions{Roots: trn.roots, Intermediates: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			if _, err := leaf.Verify(opts); err != nil {
				return err
			}
			if got := leaf.Subject.CommonName; wick.EntryID(got) != eid {
				return eris.Wrapf(wick.ErrInvalid, "certificate is for %q, not %q", got, eid)
			}
			return nil
		},
	}
}

// Close rejects new calls and requests, waits until the requests being served
// are complete or ctx is canceled, and closes all connections.
func (trn *Transport) Close(ctx context.Context) error {
	trn.mu.Lock()
	first := !trn.closing
	trn.closing = true
	trn.mu.Unlock()
	if !first {
		return nil
	}
	done := make(chan struct{})
	go func() {
		trn.requests.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = eris.Wrap(ctx.Err(), "requests in flight were aborted")
	}
	trn.cancel()
	trn.lis.Close() //nolint:errcheck // best effort at shutdown
	trn.mu.Lock()
	for _, inb := range trn.inbound {
		for _, con := range inb.conns {
			con.CloseWithError(0, "closing") //nolint:errcheck // best effort; the connection is abandoned
		}
	}
	for _, lnk := range trn.links {
		lnk.closeConn(nil)
	}
	trn.mu.Unlock()
	trn.loops.Wait()
	<-done
	if cerr := errors.Join(trn.qtr.Close(), trn.sock.Close()); cerr != nil {
		logrus.WithError(cerr).Debug("peer: close failed")
	}
	return err
}
