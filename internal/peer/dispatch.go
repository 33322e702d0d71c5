package peer

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Handlers are the handlers of an entry by message type. The zero value has
// none and is ready to use.
type Handlers struct {
	mu     sync.RWMutex
	byType map[wick.MessageType]wick.PeerHandler
}

// Handle sets the handler of a type of message.
func (han *Handlers) Handle(typ wick.MessageType, fn wick.PeerHandler) {
	han.mu.Lock()
	defer han.mu.Unlock()
	if han.byType == nil {
		han.byType = make(map[wick.MessageType]wick.PeerHandler)
	}
	han.byType[typ] = fn
}

// dispatch runs the handler of a request and returns the reply.
func (han *Handlers) dispatch(ctx context.Context, env wick.Envelope) reply {
	han.mu.RLock()
	fn := han.byType[env.Type]
	han.mu.RUnlock()
	if fn == nil {
		return failure(eris.Wrapf(wick.ErrInvalid, "no handler for %s", env.Type))
	}
	val, err := fn(ctx, env.From, env.Body)
	if err != nil {
		return failure(err)
	}
	rep := reply{}
	if val != nil {
		if rep.Body, err = Encode(val); err != nil {
			return failure(err)
		}
	}
	return rep
}

// failure returns the reply that reports an error.
func failure(err error) reply {
	rep := reply{Code: codeFailed, Detail: strings.ToValidUTF8(shorten(err.Error()), "")}
	for _, cde := range codes {
		if errors.Is(err, cde.err) {
			rep.Code = cde.code
			break
		}
	}
	return rep
}

// encodeReply encodes a reply to a request. A reply that is too large becomes
// an error.
func encodeReply(from wick.EntryID, inc wick.Incarnation, typ wick.MessageType, rep reply) ([]byte, error) {
	env := wick.Envelope{Version: wick.ProtocolVersion, Type: typ, From: from, Incarnation: inc}
	var err error
	if env.Body, err = Encode(rep); err != nil {
		return nil, err
	}
	data, err := EncodeEnvelope(env)
	if err != nil && rep.Body != nil {
		return encodeReply(from, inc, typ, failure(err))
	}
	return data, err
}

// decodeReply checks the reply of an entry to a request and decodes its body
// into out unless out is nil.
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
		// The request may have been handled although its reply is unusable.
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

// counters count messages and encoded bytes by type and direction.
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

// refuse counts a refused message. Reasons are constants, so that a peer can't
// create counters.
func (cnt counters) refuse(reason string) {
	metrics.GetOrRegisterCounter("peer.refused."+reason, cnt.reg).Inc(1)
}

// Bytes returns the encoded bytes that a registry counted in both directions,
// without the bytes of lower layers.
func Bytes(reg metrics.Registry) int64 {
	var sum int64
	reg.Each(func(name string, val any) {
		if cnt, ok := val.(metrics.Counter); ok && strings.HasPrefix(name, "peer.") && strings.HasSuffix(name, ".bytes") {
			sum += cnt.Count()
		}
	})
	return sum
}
