// Package peer implements request-reply messaging between entries: a QUIC
// transport with mutual TLS 1.3, and an in-process network with fault injection
// for tests.
package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Limits of decoded messages. They bound the memory that the decoder allocates
// for a small malicious message.
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
	wick.MsgStreamFetch: true, wick.MsgStreamTakeover: true, wick.MsgVMList: true,
	wick.MsgQuota: true, wick.MsgLoad: true, wick.MsgRecord: true, wick.MsgCrash: true,
	wick.MsgCatchUp: true,
}

// Encode encodes the body of a message.
func Encode(val any) ([]byte, error) {
	data, err := encMode.Marshal(val)
	return data, eris.Wrap(err, "encode message")
}

// Decode decodes the body of a message. It rejects unknown fields, duplicate
// keys and trailing data; errors match wick.ErrInvalid.
func Decode(data []byte, val any) error {
	if err := decMode.Unmarshal(data, val); err != nil {
		return eris.Wrap(wick.ErrInvalid, "decode message: "+err.Error())
	}
	return nil
}

// EncodeEnvelope encodes an envelope and checks the size of the message.
func EncodeEnvelope(env wick.Envelope) ([]byte, error) {
	data, err := Encode(env)
	if err == nil && len(data) > wick.MaxMessageBytes {
		return nil, eris.Wrapf(wick.ErrInvalid, "%s message of %d bytes exceeds the limit", env.Type, len(data))
	}
	return data, err
}

// DecodeEnvelope decodes an envelope and checks the size, version and type of the
// message. With an unknown version or type, the decoded envelope is returned
// along with the error.
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
		return env, eris.Wrapf(wick.ErrInvalid, "unknown message type %q", truncate(string(env.Type)))
	}
	return env, nil
}

// A reply is the body of the envelope of a reply.
type reply struct {
	// Code is empty for success, otherwise one of codes.
	Code   string `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// codeFailed is the code of errors that match no other sentinel error.
const codeFailed = "failed"

// codes maps the sentinel errors that are transmitted between entries to codes.
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

// A RemoteError is an error returned by the handler of the remote entry. It
// unwraps to the handler's sentinel error, or to wick.ErrUnavailable if there was
// none.
type RemoteError struct {
	Code   string
	Detail string
}

// Error returns the code and the handler's error message.
func (rem *RemoteError) Error() string {
	return fmt.Sprintf("peer returned error code %s: %s", rem.Code, rem.Detail)
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

func truncate(text string) string {
	if len(text) > maxDetail {
		return text[:maxDetail]
	}
	return text
}
