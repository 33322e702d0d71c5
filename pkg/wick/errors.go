package wick

import "errors"

// Sentinel errors that callers test with errors.Is.
var (
	// ErrNotFound reports that an object, request or endpoint does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that a conditional update found another revision.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable reports that an external system could not be reached. A
	// write that returns it may have taken effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrRevisionExpired reports that a watch started from a revision whose changes
	// the platform no longer retains. The kind must be listed again.
	ErrRevisionExpired = errors.New("history gone")
	// ErrBusy reports a full queue or a reached limit. Nothing was done.
	ErrBusy = errors.New("busy")
	// ErrNotExecuted reports that an endpoint refused a call before running it.
	ErrNotExecuted = errors.New("not executed")
	// ErrNotSent reports that no byte of a call reached an endpoint.
	ErrNotSent = errors.New("not sent")
	// ErrUnknownOutcome reports that a call may or may not have run.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrTruncated reports an answer that lacks its end marker or is shorter
	// than announced.
	ErrTruncated = errors.New("answer truncated")
	// ErrLeaving reports that an endpoint or entry accepts no new work.
	ErrLeaving = errors.New("leaving")
	// ErrStaleFence reports an order or write with an outdated fencing token.
	ErrStaleFence = errors.New("stale fencing token")
	// ErrKeyReused reports an idempotency key used with another call.
	ErrKeyReused = errors.New("idempotency key reused with another call")
	// ErrInvalid reports input that fails validation.
	ErrInvalid = errors.New("invalid")
	// ErrDeadline reports that a request cannot finish in time.
	ErrDeadline = errors.New("deadline cannot be met")
	// ErrStopped reports use of a component after its shutdown.
	ErrStopped = errors.New("stopped")
)
