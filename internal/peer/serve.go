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

// An inbound is what one peer occupies here. Transport.mu guards it.
type inbound struct {
	conns []*quic.Conn
	// active counts the peer's exchanges over all its connections.
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
			trn.cnt.refuse(refusedPeer)
			con.CloseWithError(1, "no common name") //nolint:errcheck // the connection is given up
			continue
		}
		from := wick.EntryID(certs[0].Subject.CommonName)
		if !trn.admit(from, con) {
			continue
		}
		go trn.connLoop(from, con)
	}
}

// admit registers an accepted connection and closes the peer's oldest one if
// there are too many.
func (trn *Transport) admit(from wick.EntryID, con *quic.Conn) bool {
	trn.mu.Lock()
	defer trn.mu.Unlock()
	if trn.closing {
		con.CloseWithError(0, "closing") //nolint:errcheck // the connection is given up
		return false
	}
	inb := trn.inbound[from]
	if inb == nil {
		inb = &inbound{}
		trn.inbound[from] = inb
	}
	inb.conns = append(inb.conns, con)
	if len(inb.conns) > maxConnsPerPeer {
		inb.conns[0].CloseWithError(0, "replaced") //nolint:errcheck // the connection is given up
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
		trn.forget(from, inb)
	}()
	for {
		str, err := con.AcceptStream(trn.ctx)
		if err != nil {
			return
		}
		if !trn.begin(from) {
			trn.cnt.refuse(refusedBusy)
			reset(str, resetBusy)
			continue
		}
		go func() {
			defer trn.end(from)
			trn.exchange(from, str)
		}()
	}
}

// forget removes a peer that occupies nothing. The caller holds mu.
func (trn *Transport) forget(from wick.EntryID, inb *inbound) {
	if len(inb.conns) == 0 && inb.active == 0 {
		delete(trn.inbound, from)
	}
}

// begin takes a slot for an exchange. It doesn't wait: the newest message is
// refused when all slots are taken.
func (trn *Transport) begin(from wick.EntryID) bool {
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
	trn.served.Add(1)
	return true
}

func (trn *Transport) end(from wick.EntryID) {
	trn.mu.Lock()
	inb := trn.inbound[from]
	inb.active--
	trn.forget(from, inb)
	trn.mu.Unlock()
	<-trn.slots
	trn.served.Done()
}

// exchange serves one stream.
func (trn *Transport) exchange(from wick.EntryID, str *quic.Stream) {
	str.SetReadDeadline(time.Now().Add(trn.limits.ReadTimeout)) //nolint:errcheck // fails on closed streams only
	data, err := io.ReadAll(io.LimitReader(str, wick.MaxMessageBytes+1))
	if err != nil {
		trn.cnt.refuse(refusedRead)
		reset(str, resetTimeout)
		return
	}
	if len(data) > wick.MaxMessageBytes {
		trn.cnt.refuse(refusedTooLarge)
		trn.warn(from, "message exceeds the size limit")
		reset(str, resetTooLarge)
		return
	}
	env, err := DecodeEnvelope(data)
	var rep reply
	switch {
	case err != nil:
		trn.cnt.refuse(refusedMessage)
		trn.warn(from, "message refused: "+err.Error())
		if !knownTypes[env.Type] {
			reset(str, resetInvalid)
			return
		}
		rep = failure(err)
	case env.From != from:
		trn.cnt.refuse(refusedSender)
		trn.warn(from, "sender is not the certificate's")
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
	answer, err := encodeReply(trn.eid, trn.inc, env.Type, rep)
	if err != nil {
		reset(str, resetInvalid)
		return
	}
	str.SetWriteDeadline(time.Now().Add(trn.limits.ReadTimeout)) //nolint:errcheck // fails on closed streams only
	if _, err := str.Write(answer); err != nil {
		reset(str, resetTimeout)
		return
	}
	trn.cnt.add(dirSent, env.Type, len(answer))
	str.Close() //nolint:errcheck // a closed stream shows in the read
}

// warn logs a refusal. The rate is limited, since a hostile peer causes as many
// refusals as it likes.
func (trn *Transport) warn(from wick.EntryID, text string) {
	trn.warnings.Do(func() { logrus.WithField("peer", from).Warn("peer: " + text) })
}

func reset(str *quic.Stream, code quic.StreamErrorCode) {
	str.CancelRead(code)
	str.CancelWrite(code)
}

// resetError returns the error that the peer's reset of a stream stands for.
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
