package ledger

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A digest is the unpadded base64url form of 16 bytes of SHA-256. Claims store
// digests instead of the caller's strings, which bounds the size of a claim,
// and a caller can't construct two keys with the same digest.
type digest string

const digestBytes = 16

func digestOf(parts ...string) digest {
	hsh := sha256.New()
	for _, part := range parts {
		// The length prefix keeps ("ab", "c") distinct from ("a", "bc").
		hsh.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hsh.Write([]byte(part))
	}
	return digest(base64.RawURLEncoding.EncodeToString(hsh.Sum(nil)[:digestBytes]))
}

// bits returns 64 of the digest's bits, for the shard and the segment indexes.
func (dig digest) bits() uint64 {
	raw, err := base64.RawURLEncoding.DecodeString(string(dig))
	if err != nil || len(raw) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

// A claim is the durable record of one key. A later record of the same key
// replaces it, also across segments.
type claim struct {
	// Key is the digest of customer and idempotency key.
	Key digest `json:"k"`
	// Fingerprint is the digest of service and fingerprint.
	Fingerprint digest `json:"f"`
	// Owner is the digest of attempt, entry and incarnation. Only the owner may
	// send the call.
	Owner digest     `json:"o"`
	State claimState `json:"s"`
	// GrantedAt is when the claim was granted, in Unix seconds. It only decides
	// whether the outcome is reported as running or unknown.
	GrantedAt int64 `json:"t"`
	// MayHaveRun is set when an earlier attempt under the key may have run, so
	// that a later one that did not run can't release the key.
	MayHaveRun bool `json:"d,omitempty"`
	// Reply is set for done claims with a small reply.
	Reply *wick.PlainReply `json:"r,omitempty"`
	// Stored is set for done claims whose reply is an object of its own.
	Stored bool `json:"x,omitempty"`
}

// A sealedRef refers to a sealed segment within the retention period.
type sealedRef struct {
	Seq uint64 `json:"n"`
	// Sealed is in Unix seconds and never decreases along the list.
	Sealed int64 `json:"t"`
}

// A segment is the value of the shard's open segment object and of its sealed
// ones. The open object is never deleted and its name never changes, so each
// claim is a conditional update of one object, and a stale revision of it never
// becomes valid again. Sealed segments are copies of the open one, made while
// it is immutable.
type segment struct {
	Shard   wick.Shard   `json:"shard"`
	Seq     uint64       `json:"seq"`
	WriteID wick.WriteID `json:"writeId"`
	Opened  int64        `json:"opened"`
	// Sealed is zero until the segment is sealed. Its claims are immutable
	// afterwards.
	Sealed int64 `json:"sealed,omitempty"`
	// Retained lists the sealed segments, oldest first. It is empty in sealed
	// copies.
	Retained []sealedRef `json:"retained,omitempty"`
	// PendingDeletes lists expired segments whose objects may still exist.
	PendingDeletes []uint64 `json:"trash,omitempty"`
	Claims         []claim  `json:"claims"`
}

func openKey(shd wick.Shard) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindLedger, Name: fmt.Sprintf("%d-open", shd)}
}

func sealedKey(shd wick.Shard, seq uint64) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindLedger, Name: fmt.Sprintf("%d-%d", shd, seq)}
}

func replyKey(shd wick.Shard, owner digest) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindLedger, Name: strconv.FormatUint(uint64(shd), 10) + "-reply-" + string(owner)}
}

// A request is one claim or one outcome for a shard.
type request struct {
	shard       wick.Shard
	key         digest
	fingerprint digest
	owner       digest
	// dedup is set when the service's endpoints deduplicate by key.
	dedup bool
	// outcome is "" for a claim.
	outcome wick.ClaimOutcomeState
	reply   *wick.PlainReply
	stored  bool
}

// size returns an upper estimate of the request's JSON size in a segment.
func (req *request) size() int {
	out := 160
	if req.reply != nil {
		out += 32 + 4*len(req.reply.Body)/3
		for _, hdr := range req.reply.Headers {
			// JSON escapes a byte to at most 6 bytes.
			out += 32 + 6*len(hdr.Name) + 6*len(hdr.Value)
		}
	}
	return out
}

// An answer is the decision on a request.
type answer struct {
	state wick.ClaimState
	claim claim
	err   error
}

func unix(now time.Time) int64 { return now.Unix() }
