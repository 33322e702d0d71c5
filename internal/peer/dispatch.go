package peer

import (
	"context"
	"errors"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Handlers is a registry of the handlers of an entry by message type. The zero
// value is empty and ready to use.
type Handlers struct {
	mu     sync.RWMutex
	byType map[wick.MessageType]wick.PeerHandler
}

// Handle sets the handler of a message type.
func (han *Handlers) Handle(typ wick.MessageType, fn wick.PeerHandler) {
	han.mu.Lock()
	defer han.mu.Unlock()
	if han.byType == nil {
		han.byType = make(map[wick.MessageType]wick.PeerHandler)
	}
	han.byType[typ] = fn
}

// dispatch calls the handler of a request and returns the reply.
func (han *Handlers) dispatch(ctx context.Context, env wick.Envelope) reply {
	han.mu.RLock()
	fn := han.byType[env.Type]
	han.mu.RUnlock()
	if fn == nil {
		return errorReply(eris.Wrapf(wick.ErrInvalid, "no handler for message type %s", env.Type))
	}
	val, err := call(ctx, fn, env)
	if err != nil {
		return errorReply(err)
	}
	rep := reply{}
	if val != nil {
		if rep.Body, err = Encode(val); err != nil {
			return errorReply(err)
		}
	}
	return rep
}

// call calls a handler. It contains a panic, so that one message doesn't end the
// process.
func call(ctx context.Context, fn wick.PeerHandler, env wick.Envelope) (val any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			metrics.GetOrRegisterCounter("peer.panics", nil).Inc(1)
			logrus.WithFields(logrus.Fields{"peer": env.From, "type": env.Type, "stack": string(debug.Stack())}).
				Errorf("peer: panic in a handler: %v", cause)
			err = eris.Errorf("panic in the handler of %s", env.Type)
		}
	}()
	return fn(ctx, env.From, env.Body)
}

// errorReply returns the reply that reports an error.
func errorReply(err error) reply {
	rep := reply{Code: codeFailed, Detail: strings.ToValidUTF8(truncate(err.Error()), "")}
	for _, cde := range codes {
		if errors.Is(err, cde.err) {
			rep.Code = cde.code
			break
		}
	}
	return rep
}

// encodeReply encodes a reply to a request. A reply above the size limit is
// replaced by an error reply.
func encodeReply(from wick.EntryID, inc wick.Incarnation, typ wick.MessageType, rep reply) ([]byte, error) {
	env := wick.Envelope{Version: wick.ProtocolVersion, Type: typ, From: from, Incarnation: inc}
	var err error
	if env.Body, err = Encode(rep); err != nil {
		return nil, err
	}
	data, err := EncodeEnvelope(env)
	if err != nil && rep.Body != nil {
		return encodeReply(from, inc, typ, errorReply(err))
	}
	return data, err
}

// decodeReply validates the reply of an entry and decodes its body into out
// unless out is nil.
func decodeReply(data []byte, from wick.EntryID, typ wick.MessageType, out any) error {
	env, err := DecodeEnvelope(data)
	if err == nil && (env.From != from || env.Type != typ) {
		err = eris.Wrapf(wick.ErrInvalid, "reply of type %q from %q", env.Type, env.From)
	}
	var rep reply
	if err == nil {
		err = Decode(env.Body, &rep)
	}
	if err != nil {
		// The request may have been processed although its reply is invalid.
		return eris.Wrap(wick.ErrUnavailable, err.Error())
	}
	if rep.Code != "" {
		return &RemoteError{Code: rep.Code, Detail: rep.Detail}
	}
	if out == nil {
		return nil
	}
	if err := Decode(rep.Body, out); err != nil {
		return eris.Wrap(wick.ErrUnavailable, err.Error())
	}
	return nil
}

// counters records metrics of messages and encoded bytes by type and direction.
type counters struct {
	reg metrics.Registry
}

const (
	dirSent     = "sent"
	dirReceived = "received"
)

func (cnt counters) add(dir string, typ wick.MessageType, size int) {
	prefix := "peer." + dir + "." + string(typ)
	metrics.GetOrRegisterCounter(prefix+".messages", cnt.reg).Inc(1)
	metrics.GetOrRegisterCounter(prefix+".bytes", cnt.reg).Inc(int64(size))
}

// reject counts a rejected message. Reasons are constants, so that a peer can't
// create an unbounded number of counters.
func (cnt counters) reject(reason string) {
	metrics.GetOrRegisterCounter("peer.refused."+reason, cnt.reg).Inc(1)
}

// Bytes returns the sum of encoded bytes in both directions in a registry,
// without the overhead of lower layers.
func Bytes(reg metrics.Registry) int64 {
	var sum int64
	reg.Each(func(name string, val any) {
		if cnt, ok := val.(metrics.Counter); ok && strings.HasPrefix(name, "peer.") && strings.HasSuffix(name, ".bytes") {
			sum += cnt.Count()
		}
	})
	return sum
}
