// Package peer carries messages between entries: a QUIC transport with mutual
// TLS 1.3, and an in-process network with faults for tests.
package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Limits of decoded messages. They bound the memory that a small message can
// make a decoder allocate.
const (
	maxNesting  = 16
	maxElements = 1 << 16
	maxPairs    = 1 << 12
	maxDetail   = 512
)

var encMode, decMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeRFC3339Nano, TimeTag: cbor.EncTagNone, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		UTF8:              cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

var knownTypes = map[wick.MessageType]bool{
	wick.MsgHeartbeat: true, wick.MsgBundlePush: true, wick.MsgBundlePull: true,
	wick.MsgStop: true, wick.MsgLeaving: true, wick.MsgEvidence: true,
	wick.MsgClaim: true, wick.MsgClaimResult: true, wick.MsgStreamCopy: true,
	wick.MsgStreamFetch: true, wick.MsgStreamTake: true, wick.MsgVMList: true,
	wick.MsgQuota: true, wick.MsgLoad: true,
}

// Encode encodes the body of a message.
func Encode(val any) ([]byte, error) {
	data, err := encMode.Marshal(val)
	return data, eris.Wrap(err, "encode message")
}

// Decode decodes the body of a message. It refuses unknown fields, duplicate
// keys and data after the value; errors match wick.ErrInvalid.
func Decode(data []byte, val any) error {
	if err := decMode.Unmarshal(data, val); err != nil {
		return eris.Wrap(wick.ErrInvalid, "decode message: "+err.Error())
	}
	return nil
}

// EncodeEnvelope encodes a message and checks its size.
func EncodeEnvelope(env wick.Envelope) ([]byte, error) {
	data, err := Encode(env)
	if err == nil && len(data) > wick.MaxMessageBytes {
		return nil, eris.Wrapf(wick.ErrInvalid, "%s message of %d bytes exceeds the limit", env.Type, len(data))
	}
	return data, err
}

// DecodeEnvelope decodes a message and checks its size, version and type. The
// envelope is filled as far as it could be read.
func DecodeEnvelope(data []byte) (wick.Envelope, error) {
	var env wick.Envelope
	if len(data) > wick.MaxMessageBytes {
		return env, eris.Wrapf(wick.ErrInvalid, "message of %d bytes exceeds the limit", len(data))
	}
	if err := Decode(data, &env); err != nil {
		return wick.Envelope{}, err
	}
	if env.Version != wick.ProtocolVersion {
		return env, eris.Wrapf(wick.ErrInvalid, "unknown protocol version %d", env.Version)
	}
	if !knownTypes[env.Type] {
		return env, eris.Wrapf(wick.ErrInvalid, "unknown message type %q", shorten(string(env.Type)))
	}
	return env, nil
}

// A reply is the body of the envelope that answers a request.
type reply struct {
	// Code is empty for success, otherwise a code of codes.
	Code   string `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// codeFailed stands for an error that is none of the sentinel errors.
const codeFailed = "failed"

// codes are the sentinel errors that keep their identity between entries.
var codes = []struct {
	code string
	err  error
}{
	{"busy", wick.ErrBusy},
	{"notFound", wick.ErrNotFound},
	{"conflict", wick.ErrConflict},
	{"invalid", wick.ErrInvalid},
	{"leaving", wick.ErrLeaving},
	{"staleFence", wick.ErrStaleFence},
	{"keyReused", wick.ErrKeyReused},
	{"deadline", wick.ErrDeadline},
	{"stopped", wick.ErrStopped},
	{"notExecuted", wick.ErrNotExecuted},
	{"notSent", wick.ErrNotSent},
	{"truncated", wick.ErrTruncated},
	{"unknownOutcome", wick.ErrUnknownOutcome},
	{codeFailed, wick.ErrUnavailable},
}

// A RemoteError is an error that the handler on the other entry returned. It
// matches the handler's sentinel error, or wick.ErrUnavailable if there was
// none.
type RemoteError struct {
	Code   string
	Detail string
}

// Error returns the code and the handler's text.
func (rem *RemoteError) Error() string {
	return fmt.Sprintf("peer answered %s: %s", rem.Code, rem.Detail)
}

// Unwrap returns the sentinel error.
func (rem *RemoteError) Unwrap() error {
	for _, cde := range codes {
		if cde.code == rem.Code {
			return cde.err
		}
	}
	return wick.ErrUnavailable
}

func shorten(text string) string {
	if len(text) > maxDetail {
		return text[:maxDetail]
	}
	return text
}
