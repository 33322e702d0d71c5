package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// redialBackoff prevents a handshake per call to an unreachable peer.
const redialBackoff = 250 * time.Millisecond

// A link is the outgoing connection to one peer and its calls in flight.
type link struct {
	// pending is a semaphore that bounds the calls in flight.
	pending chan struct{}
	// lastUse is the end of the last call, in Unix nanoseconds.
	lastUse atomic.Int64
	// lastReply is the time at which the last reply arrived, in Unix
	// nanoseconds.
	lastReply atomic.Int64

	// dialing is a lock for the handshake, so that concurrent calls share one.
	dialing chan struct{}
	mu      sync.Mutex
	conn    *quic.Conn
	address string
	// retryAt is the earliest time of the next handshake after a failed one.
	retryAt time.Time
}

// closeConn closes the connection if it is con, or any connection if con is nil.
func (lnk *link) closeConn(con *quic.Conn) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.conn != nil && (con == nil || lnk.conn == con) {
		lnk.conn.CloseWithError(0, "dropped") //nolint:errcheck // the connection is given up
		lnk.conn = nil
	}
}

// openConn returns the open connection to an address, or nil.
func (lnk *link) openConn(address string) *quic.Conn {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.conn == nil || lnk.address != address || lnk.conn.Context().Err() != nil {
		return nil
	}
	return lnk.conn
}

// maxLinks bounds outgoing connections: 64 members of the view and as many that
// were recently removed from it.
const maxLinks = 128

// link returns the link to a peer. At maxLinks, the least recently used link
// without calls in flight is evicted.
func (trn *Transport) link(eid wick.EntryID) (*link, error) {
	trn.mu.Lock()
	defer trn.mu.Unlock()
	if trn.closing {
		return nil, eris.Wrap(wick.ErrStopped, "peer transport closed")
	}
	if lnk := trn.links[eid]; lnk != nil {
		return lnk, nil
	}
	if len(trn.links) >= maxLinks {
		var victim wick.EntryID
		for other, lnk := range trn.links {
			if len(lnk.pending) == 0 && (victim == "" || lnk.lastUse.Load() < trn.links[victim].lastUse.Load()) {
				victim = other
			}
		}
		if victim == "" {
			return nil, eris.Wrap(wick.ErrBusy, "too many peers with calls in flight")
		}
		trn.links[victim].closeConn(nil)
		delete(trn.links, victim)
	}
	lnk := &link{pending: make(chan struct{}, trn.limits.MaxPending), dialing: make(chan struct{}, 1)}
	trn.links[eid] = lnk
	return lnk, nil
}

// connect returns an open connection to a peer.
func (trn *Transport) connect(ctx context.Context, lnk *link, to wick.Member) (*quic.Conn, error) {
	if con := lnk.openConn(to.Address); con != nil {
		return con, nil
	}
	select {
	case lnk.dialing <- struct{}{}:
		defer func() { <-lnk.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if con := lnk.openConn(to.Address); con != nil {
		return con, nil
	}
	lnk.mu.Lock()
	wait := lnk.address == to.Address && time.Now().Before(lnk.retryAt)
	lnk.mu.Unlock()
	if wait {
		return nil, errors.New("dial backoff after a failed handshake")
	}
	addr, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	con, err := trn.qtr.Dial(ctx, addr, trn.clientTLS(to.ID), trn.config())
	lnk.closeConn(nil)
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.address = to.Address
	if err != nil {
		lnk.retryAt = time.Now().Add(redialBackoff)
		return nil, err
	}
	trn.usg.track(con)
	if trn.ctx.Err() != nil {
		con.CloseWithError(0, "closing") //nolint:errcheck // the connection is given up
		return nil, wick.ErrStopped
	}
	lnk.conn = con
	return con, nil
}

// Call sends a request to an entry and waits for the reply.
func (trn *Transport) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, out any) error {
	if to.Address == "" {
		return eris.Wrapf(wick.ErrNotFound, "no address for %s", to.ID)
	}
	env := wick.Envelope{Version: wick.ProtocolVersion, Type: typ, From: trn.eid, Incarnation: trn.inc}
	var err error
	if env.Body, err = Encode(body); err != nil {
		return err
	}
	data, err := EncodeEnvelope(env)
	if err != nil {
		return err
	}
	lnk, err := trn.link(to.ID)
	if err != nil {
		return err
	}
	select {
	case lnk.pending <- struct{}{}:
		defer func() {
			lnk.lastUse.Store(time.Now().UnixNano())
			<-lnk.pending
		}()
	default:
		return eris.Wrapf(wick.ErrBusy, "limit of %d calls in flight to %s reached", trn.limits.MaxPending, to.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(trn.ctx, cancel)()
	rawReply, err := trn.roundTrip(ctx, lnk, to, typ, data)
	if err != nil {
		return eris.Wrapf(resetError(err), "%s to %s: %s", typ, to.ID, err.Error())
	}
	trn.cnt.add(dirReceived, typ, len(rawReply))
	return decodeReply(rawReply, to.ID, typ, out)
}

// roundTrip sends one request and reads the reply. If the connection turns out to
// be closed before the stream opens, it is replaced once: nothing was sent on it.
func (trn *Transport) roundTrip(ctx context.Context, lnk *link, to wick.Member, typ wick.MessageType, data []byte) ([]byte, error) {
	var str *quic.Stream
	var con *quic.Conn
	for attempt := 0; ; attempt++ {
		var err error
		if con, err = trn.connect(ctx, lnk, to); err != nil {
			return nil, err
		}
		if str, err = con.OpenStreamSync(ctx); err == nil {
			break
		}
		if ctx.Err() != nil || attempt > 0 {
			return nil, err
		}
		lnk.closeConn(con)
	}
	start := time.Now()
	defer context.AfterFunc(ctx, func() { reset(str, resetTimeout) })()
	_, werr := str.Write(data)
	if werr == nil {
		trn.cnt.add(dirSent, typ, len(data))
		str.Close() //nolint:errcheck // the read returns the error of a closed stream
	}
	// After a failed write, the reply or the reset code still has the reason.
	rawReply, err := io.ReadAll(io.LimitReader(str, wick.MaxMessageBytes+1))
	if err == nil {
		lnk.lastReply.Store(time.Now().UnixNano())
		str.CancelRead(resetTooLarge)
		return rawReply, nil
	}
	if werr != nil && resetError(err) == wick.ErrUnavailable { //nolint:errorlint // resetError returns the sentinel itself
		err = werr
	}
	if ctx.Err() != nil && lnk.lastReply.Load() < start.UnixNano() {
		// No reply arrived from the peer since the call began: it may have
		// restarted without the state of the connection.
		lnk.closeConn(con)
	}
	reset(str, resetTimeout)
	return nil, err
}
