// Package wick is the root package of wagtailwick. It holds the identifiers,
// units, messages and sentinel errors that the other packages share, and the
// interfaces that decouple decisions from external systems.
package wick

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

type (
	// An EntryID identifies one entry process. It is also the common name of the
	// entry's peer certificate.
	EntryID string
	// A VMID identifies one VM of the cloud. An endpoint has the id of its VM.
	VMID string
	// A Zone is an availability zone.
	Zone string
	// A Region is a group of availability zones with low latency between them.
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
	// A MoveID identifies one move: "<bundle version>-<move name>".
	MoveID string
	// A RequestID identifies one accepted request: "<entry>.<unique part>".
	RequestID string
	// An AttemptID identifies one attempt to run a request on an endpoint.
	AttemptID string
	// An IdempotencyKey is the caller's key for a call.
	IdempotencyKey string
	// A Fingerprint identifies the content of a call with an idempotency key.
	Fingerprint string
	// A Duty names one control task that the owner of its lease performs.
	Duty string
	// A Shard numbers one shard of the ledger.
	Shard uint32
	// A Fence is a fencing token. It increases with every change of lease
	// owner.
	Fence uint64
	// An Incarnation numbers the starts of an entry process and increases
	// with every start.
	Incarnation uint64
	// A Revision is the platform's revision of an object. Zero means that the
	// object does not exist.
	Revision uint64
	// A WriteID identifies one write, so that reading the object back shows
	// whether the write took effect.
	WriteID string
)

type (
	// Tokens counts tokens.
	Tokens int64
	// Millis is a duration in milliseconds, as encoded in settings and bundles.
	Millis int64
	// A Share is a fraction from 0 to 1.
	Share float64
	// A Priority orders requests from 0 (lowest) to 9 (highest).
	Priority uint8
	// A Price is the cost of a VM in dollars per hour.
	Price float64
)

// MaxPriority is the highest priority of a request.
const MaxPriority Priority = 9

// Duration returns the duration of mil.
func (mil Millis) Duration() time.Duration { return time.Duration(mil) * time.Millisecond }

// NewRequestID returns a new request id that contains its origin entry.
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

// A Clock is a source of the current time. Tests use other implementations to
// model processes that are paused or whose clock is wrong.
type Clock interface {
	Now() time.Time
}

// A SystemClock is the clock of the machine. Its zero value is ready to use.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
