package wick

import "context"

// A Kind groups objects of the platform's object API.
type Kind string

// Kinds of objects that wagtailwick stores in the platform.
const (
	KindBundle    Kind = "bundle"
	KindSignature Kind = "signature"
	KindMove      Kind = "move"
	KindLedger    Kind = "ledger"
	KindLease     Kind = "lease"
	KindStatus    Kind = "status"
	KindFleet     Kind = "fleet"
	KindMember    Kind = "member"
	KindUsage     Kind = "usage"
	KindAuthority Kind = "authority"
)

// An ObjectKey names one object of the platform.
type ObjectKey struct {
	Kind Kind
	Name string
}

// An Object is one value of the platform's object API.
type Object struct {
	Key ObjectKey
	// Revision is never zero for an object that exists. Every write to any
	// object of a platform increases the platform's revision.
	Revision Revision
	// Created identifies the creation of the object, "" if it is unknown. It changes if an
	// object is deleted and created again.
	Created string
	// Data is JSON of at most MaxObjectBytes. It is empty for a deleted
	// object reported by a watch.
	Data []byte
	// Status is the value written with PutStatus, empty if there is none.
	Status []byte
	// Deleted marks a deletion reported by a watch.
	Deleted bool
}

// MaxObjectBytes is the largest value that the platform accepts.
const MaxObjectBytes = 1 << 20

// A Store is the platform's object API. Errors are ErrNotFound, ErrConflict,
// ErrInvalid or ErrUnavailable. A Put or Delete that returns ErrUnavailable may
// have taken effect.
type Store interface {
	// Get returns an object.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// List returns all objects of a kind, ordered by name, and the platform's
	// revision at that time.
	List(ctx context.Context, kind Kind) ([]Object, Revision, error)
	// Put writes an object if its revision is still the given one. Revision
	// zero requires that the object does not exist.
	Put(ctx context.Context, key ObjectKey, data []byte, rev Revision) (Revision, error)
	// Delete removes an object if its revision is still the given one.
	Delete(ctx context.Context, key ObjectKey, rev Revision) error
	// Watch waits until objects of the kind change after the given revision
	// and returns them with the revision to continue from. It returns no
	// objects and no error when its wait time expires without a change, and
	// ErrRevisionExpired when the changes are no longer retained.
	Watch(ctx context.Context, kind Kind, after Revision) ([]Object, Revision, error)
}
