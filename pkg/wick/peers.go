package wick

import "context"

// A MessageType identifies the body of a message between entries.
type MessageType string

// Types of messages between entries.
const (
	MsgHeartbeat      MessageType = "heartbeat"
	MsgBundlePush     MessageType = "bundlePush"
	MsgBundlePull     MessageType = "bundlePull"
	MsgStop           MessageType = "stopNotice"
	MsgLeaving        MessageType = "leavingNotice"
	MsgEvidence       MessageType = "evidence"
	MsgClaim          MessageType = "claim"
	MsgClaimResult    MessageType = "claimResult"
	MsgStreamCopy     MessageType = "streamCopy"
	MsgStreamFetch    MessageType = "streamFetch"
	MsgStreamTakeover MessageType = "streamTake"
	MsgVMList         MessageType = "vmList"
	MsgQuota          MessageType = "quota"
	MsgLoad           MessageType = "load"
	MsgRecord         MessageType = "record"
	MsgCrash          MessageType = "crash"
	MsgCatchUp        MessageType = "catchUp"
)

// MaxMessageBytes is the largest message between entries.
const MaxMessageBytes = 1 << 20

// ProtocolVersion is the version of the protocol between entries.
const ProtocolVersion = 1

// An Envelope is one message between entries. Body is CBOR. Keys are integers:
// names would add 30 bytes to each of an entry's 12 heartbeat messages a second.
type Envelope struct {
	Version     int         `cbor:"1,keyasint"`
	Type        MessageType `cbor:"2,keyasint"`
	From        EntryID     `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	Body        []byte      `cbor:"5,keyasint"`
}

// A Member is one entry in the membership view.
type Member struct {
	ID          EntryID     `cbor:"id" json:"id"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Zone        Zone        `cbor:"zone" json:"zone"`
	// Address is the peer address "host:port".
	Address string     `cbor:"address" json:"address"`
	State   EntryState `cbor:"state" json:"state"`
	// Bundle is the bundle version in force on the entry.
	Bundle BundleVersion `cbor:"bundle" json:"bundle"`
}

// An EntryState is the lifecycle state of an entry.
type EntryState string

// States of an entry.
const (
	EntryStarting EntryState = "starting"
	EntryServing  EntryState = "serving"
	EntryDraining EntryState = "draining"
	EntryStopped  EntryState = "stopped"
)

// Peers sends messages to other entries. Errors are ErrNotFound (no address),
// ErrBusy (refused, nothing was done) or ErrUnavailable (the message may have
// been handled).
type Peers interface {
	// Call sends body as a message of type typ, encoded as CBOR, and decodes
	// the reply into reply unless reply is nil.
	Call(ctx context.Context, to Member, typ MessageType, body, reply any) error
}

// A PeerHandler handles one type of message. It returns the reply, which is
// encoded as CBOR.
type PeerHandler func(ctx context.Context, from EntryID, body []byte) (any, error)
