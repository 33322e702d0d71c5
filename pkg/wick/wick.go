// Package wick is the root package of wagtailwick. It holds the identifiers,
// units, messages and sentinel errors that the parts share, and the interfaces
// that separate decisions from the systems outside.
package wick

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

type (
	// An EntryID names one entry process. It is also the common name of the
	// entry's peer certificate.
	EntryID string
	// A VMID names one VM of the cloud. An endpoint has the id of its VM.
	VMID string
	// A Zone is an availability zone.
	Zone string
	// A Region is a group of availability zones with short delays between them.
	Region string
	// A Customer names one customer of a bundle.
	Customer string
	// A Service names one service of a bundle.
	Service string
	// A ModelVersion names one version of a service's back end.
	ModelVersion string
	// A Class names one class of endpoints.
	Class string
	// A BundleVersion numbers the versions of the bundle. Zero is no version.
	BundleVersion uint64
	// A MoveID names one move: "<bundle version>-<move name>".
	MoveID string
	// A RequestID names one accepted request: "<entry>.<unique part>".
	RequestID string
	// An AttemptID names one attempt to run a request on an endpoint.
	AttemptID string
	// An IdempotencyKey is the caller's key for a call.
	IdempotencyKey string
	// A Fingerprint identifies the content of a call with an idempotency key.
	Fingerprint string
	// A Duty names one unit of control work that an entry holds by lease.
	Duty string
	// A Shard numbers one shard of the ledger.
	Shard uint32
	// A Fence is a fencing number. It grows with every change of holder.
	Fence uint64
	// An Incarnation numbers the starts of an entry. A later start has a
	// larger number.
	Incarnation uint64
	// A Revision is the platform's revision of an object. Zero means that the
	// object does not exist.
	Revision uint64
	// A WriteID identifies one write, so that reading the object back tells
	// whether the write took effect.
	WriteID string
)

type (
	// Tokens counts tokens.
	Tokens int64
	// Millis is a duration in milliseconds, as settings and bundles carry it.
	Millis int64
	// A Share is a part of a whole, from 0 to 1.
	Share float64
	// A Priority orders requests from 0 (lowest) to 9 (highest).
	Priority uint8
	// A Price is the cost of a VM in dollars an hour.
	Price float64
)

// MaxPriority is the highest priority of a request.
const MaxPriority Priority = 9

// Duration returns the duration of mil.
func (mil Millis) Duration() time.Duration { return time.Duration(mil) * time.Millisecond }

// NewRequestID returns a new request id that names its origin entry.
func NewRequestID(origin EntryID) RequestID {
	return RequestID(string(origin) + "." + uuid.NewString())
}

// Origin returns the entry that accepted the request, or "" if the id is
// malformed.
func (rid RequestID) Origin() EntryID {
	idx := strings.LastIndexByte(string(rid), '.')
	if idx < 0 {
		return ""
	}
	return EntryID(rid[:idx])
}

// NewAttemptID returns a new attempt id.
func NewAttemptID() AttemptID { return AttemptID(uuid.NewString()) }

// NewWriteID returns a new write id.
func NewWriteID() WriteID { return WriteID(uuid.NewString()) }

// A Clock tells the time. Processes whose clock is wrong or paused are
// modelled by other implementations in tests.
type Clock interface {
	Now() time.Time
}

// A SystemClock is the clock of the machine. Its zero value is ready to use.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
