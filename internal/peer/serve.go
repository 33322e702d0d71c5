package peer

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An inbound is the connections and requests of one peer. Transport.mu guards it.
type inbound struct {
	// conns contains the open connections, the oldest first.
	conns []*quic.Conn
	// active is the number of requests being served on all connections.
	active int
}

func (trn *Transport) acceptLoop() {
	defer trn.loops.Done()
	for {
		con, err := trn.lis.Accept(trn.ctx)
		if err != nil {
			return
		}
		trn.usg.track(con)
		certs := con.ConnectionState().TLS.PeerCertificates
		if len(certs) == 0 || certs[0].Subject.CommonName == "" {
			trn.cnt.reject(rejectedPeer)
			con.CloseWithError(1, "no common name") //nolint:errcheck // best effort; the connection is abandoned
			continue
		}
		from := wick.EntryID(certs[0].Subject.CommonName)
		if !trn.admit(from, con) {
			continue
		}
		go trn.connLoop(from, con)
	}
}

// admit registers an accepted connection. Above maxConnsPerPeer, it closes the
// oldest connection of the peer.
func (trn *Transport) admit(from wick.EntryID, con *quic.Conn) bool {
	trn.mu.Lock()
	defer trn.mu.Unlock()
	if trn.closing {
		con.CloseWithError(0, "closing") //nolint:errcheck // best effort; the connection is abandoned
		return false
	}
	inb := trn.inbound[from]
	if inb == nil {
		inb = &inbound{}
		trn.inbound[from] = inb
	}
	inb.conns = append(inb.conns, con)
	if len(inb.conns) > maxConnsPerPeer {
		inb.conns[0].CloseWithError(0, "replaced") //nolint:errcheck // best effort; the connection is abandoned
		inb.conns = slices.Clone(inb.conns[1:])
	}
	trn.loops.Add(1)
	return true
}

func (trn *Transport) connLoop(from wick.EntryID, con *quic.Conn) {
	defer trn.loops.Done()
	defer func() {
		trn.mu.Lock()
		defer trn.mu.Unlock()
		inb := trn.inbound[from]
		inb.conns = slices.DeleteFunc(inb.conns, func(other *quic.Conn) bool { return other == con })
		trn.removeIdle(from, inb)
	}()
	for {
		str, err := con.AcceptStream(trn.ctx)
		if err != nil {
			return
		}
		if !trn.acquireSlot(from) {
			trn.cnt.reject(rejectedBusy)
			reset(str, resetBusy)
			continue
		}
		go func() {
			defer trn.releaseSlot(from)
			trn.serveStream(from, str)
		}()
	}
}

// removeIdle removes a peer without connections and requests. The caller holds
// mu.
func (trn *Transport) removeIdle(from wick.EntryID, inb *inbound) {
	if len(inb.conns) == 0 && inb.active == 0 {
		delete(trn.inbound, from)
	}
}

// acquireSlot acquires a slot for a request. It doesn't block: without a free
// slot, the newest request is rejected.
func (trn *Transport) acquireSlot(from wick.EntryID) bool {
	trn.mu.Lock()
	defer trn.mu.Unlock()
	inb := trn.inbound[from]
	if trn.closing || inb == nil || inb.active >= trn.limits.MaxStreams {
		return false
	}
	select {
	case trn.slots <- struct{}{}:
	default:
		return false
	}
	inb.active++
	trn.requests.Add(1)
	return true
}

func (trn *Transport) releaseSlot(from wick.EntryID) {
	trn.mu.Lock()
	inb := trn.inbound[from]
	inb.active--
	trn.removeIdle(from, inb)
	trn.mu.Unlock()
	<-trn.slots
	trn.requests.Done()
}

// serveStream serves the request on one stream.
func (trn *Transport) serveStream(from wick.EntryID, str *quic.Stream) {
	str.SetReadDeadline(time.Now().Add(trn.limits.ReadTimeout)) //nolint:errcheck // fails on closed streams only
	data, err := io.ReadAll(io.LimitReader(str, wick.MaxMessageBytes+1))
	if err != nil {
		trn.cnt.reject(rejectedRead)
		reset(str, resetTimeout)
		return
	}
	if len(data) > wick.MaxMessageBytes {
		trn.cnt.reject(rejectedTooLarge)
		trn.warn(from, "message exceeds the size limit")
		reset(str, resetTooLarge)
		return
	}
	env, err := DecodeEnvelope(data)
	var rep reply
	switch {
	case err != nil:
		trn.cnt.reject(rejectedMessage)
		trn.warn(from, "message rejected: "+err.Error())
		if !knownTypes[env.Type] {
			reset(str, resetInvalid)
			return
		}
		rep = errorReply(err)
	case env.From != from:
		trn.cnt.reject(rejectedSender)
		trn.warn(from, "message sender differs from the certificate's common name")
		reset(str, resetInvalid)
		return
	default:
		trn.cnt.add(dirReceived, env.Type, len(data))
		ctx, cancel := context.WithTimeout(str.Context(), callTimeout)
		stop := context.AfterFunc(trn.ctx, cancel)
		rep = trn.dispatch(ctx, env)
		stop()
		cancel()
	}
	rawReply, err := encodeReply(trn.eid, trn.inc, env.Type, rep)
	if err != nil {
		reset(str, resetInvalid)
		return
	}
	str.SetWriteDeadline(time.Now().Add(trn.limits.ReadTimeout)) //nolint:errcheck // fails on closed streams only
	if _, err := str.Write(rawReply); err != nil {
		reset(str, resetTimeout)
		return
	}
	trn.cnt.add(dirSent, env.Type, len(rawReply))
	str.Close() //nolint:errcheck // the caller's read returns the error
}

// warn logs a rejection. The rate is limited, since a malicious peer can cause
// any number of rejections.
func (trn *Transport) warn(from wick.EntryID, text string) {
	trn.warnings.Do(func() { logrus.WithField("peer", from).Warn("peer: " + text) })
}

func reset(str *quic.Stream, code quic.StreamErrorCode) {
	str.CancelRead(code)
	str.CancelWrite(code)
}

// resetError returns the sentinel error for the code of a stream reset by the
// peer.
func resetError(err error) error {
	var ser *quic.StreamError
	if !errors.As(err, &ser) || !ser.Remote {
		return wick.ErrUnavailable
	}
	switch ser.ErrorCode {
	case resetBusy:
		return wick.ErrBusy
	case resetTooLarge, resetInvalid:
		return wick.ErrInvalid
	default:
		return wick.ErrUnavailable
	}
}
