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

// alpn names the protocol between entries in the TLS handshake.
const alpn = "wagtailwick/1"

// Codes with which a stream is reset instead of answered.
const (
	resetBusy     quic.StreamErrorCode = 1
	resetTooLarge quic.StreamErrorCode = 2
	resetInvalid  quic.StreamErrorCode = 3
	resetTimeout  quic.StreamErrorCode = 4
)

// Reasons of refused messages, as counted.
const (
	refusedMessage  = "message"
	refusedTooLarge = "tooLarge"
	refusedBusy     = "busy"
	refusedSender   = "sender"
	refusedPeer     = "peer"
	refusedRead     = "read"
)

// Limits bound the memory and work that peers can cause. Received messages
// take at most MaxActive times 2.25 MiB, since a buffer is copied when it grows,
// plus the window of each connection.
type Limits struct {
	// MaxStreams bounds the exchanges of one peer at once.
	MaxStreams int
	// MaxActive bounds the exchanges of all peers at once.
	MaxActive int
	// MaxPending bounds the calls to one peer that have not ended.
	MaxPending int
	// ReadTimeout bounds the time in which a message must arrive.
	ReadTimeout time.Duration
}

// DefaultLimits allow 144 MiB for received messages at worst.
var DefaultLimits = Limits{MaxStreams: 16, MaxActive: 64, MaxPending: 64, ReadTimeout: callTimeout}

const (
	// maxConnsPerPeer leaves room for the connection of a restarted peer next
	// to that of its earlier incarnation.
	maxConnsPerPeer = 2
	streamWindow    = 512 << 10
	connWindow      = 1 << 20
	// idleTimeout is far above the 21 s after which a member of a view of 64 is
	// contacted in one direction on average. With 60 s, one contact in 17 needed
	// a new handshake of 7 KB.
	idleTimeout = 5 * time.Minute
	// handshakeTimeout is below the 3 s after which a peer is suspect.
	handshakeTimeout = 2 * time.Second
)

// A Transport carries messages over QUIC. It implements wick.Peers.
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
	// slots holds one element per exchange being served.
	slots chan struct{}
	// ctx ends when the transport closes.
	ctx    context.Context
	cancel context.CancelFunc
	// warnings limits the log.
	warnings rate.Sometimes
	loops    sync.WaitGroup
	served   sync.WaitGroup

	mu sync.Mutex
	// closing refuses new exchanges.
	closing bool
	links   map[wick.EntryID]*link
	// inbound holds the accepted connections of each peer, the oldest first.
	inbound map[wick.EntryID]*inbound
}

var _ wick.Peers = (*Transport)(nil)

// An Option changes a Transport before it starts.
type Option func(*Transport)

// WithLimits replaces DefaultLimits.
func WithLimits(lim Limits) Option { return func(trn *Transport) { trn.limits = lim } }

// WithRegistry sets where messages are counted instead of the default registry.
func WithRegistry(reg metrics.Registry) Option {
	return func(trn *Transport) { trn.cnt = counters{reg} }
}

// New starts a transport on a UDP address. The certificate's common name must
// be the entry id, roots are the authorities of all entries' certificates.
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
		// Probes for larger packets cost more than heartbeats gain from them.
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
// and entries are known by common name.
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

// Close refuses new exchanges, waits until those being served have ended or
// ctx ends, and closes all connections.
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
		trn.served.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = eris.Wrap(ctx.Err(), "exchanges were cut off")
	}
	trn.cancel()
	trn.lis.Close() //nolint:errcheck // closing anyway
	trn.mu.Lock()
	for _, inb := range trn.inbound {
		for _, con := range inb.conns {
			con.CloseWithError(0, "closing") //nolint:errcheck // the connection is given up
		}
	}
	for _, lnk := range trn.links {
		lnk.drop(nil)
	}
	trn.mu.Unlock()
	trn.loops.Wait()
	<-done
	if cerr := errors.Join(trn.qtr.Close(), trn.sock.Close()); cerr != nil {
		logrus.WithError(cerr).Debug("peer: close failed")
	}
	return err
}
