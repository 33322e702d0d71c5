package stream

import (
	"errors"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Sentinel errors in addition to those of pkg/wick.
var (
	// ErrHandedOver reports that another entry runs the request now. The caller
	// reconnects with its last event id.
	ErrHandedOver = errors.New("request handed over to another entry")
	// ErrCancelled reports a request that was cancelled because it had no
	// reader.
	ErrCancelled = errors.New("request cancelled: no caller")
	// ErrDiverged reports that the log of the request does not continue the
	// events which the caller has received.
	ErrDiverged = errors.New("answer differs from the events already received")
	// ErrClaimRunning reports that another attempt with the same idempotency
	// key is in flight.
	ErrClaimRunning = errors.New("call with this idempotency key is running")

	// errStale ends an attempt that was replaced.
	errStale = errors.New("attempt replaced")
	// errGap ends an attempt that skipped an index.
	errGap = errors.New("gap in the events of the attempt")
	// errNotOwner reports that this entry only has a replica.
	errNotOwner = errors.New("this entry only has a replica of the request")
)

// An Executed is what a failure reports about the execution of a request.
type Executed string

// Values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// A FailError is the explicit failure of a request without a complete answer.
type FailError struct {
	// Err wraps one of the sentinel errors.
	Err error
	// Executed is ExecutedNo only if no attempt may have run.
	Executed Executed
	// RetryAfter is the suggested delay; 0 if a retry does not help.
	RetryAfter time.Duration
}

// Error returns the text of the reason.
func (fai *FailError) Error() string { return fai.Err.Error() }

// Unwrap returns the reason.
func (fai *FailError) Unwrap() error { return fai.Err }

// refusal returns the failure of a request of which no attempt was sent.
func refusal(err error) *FailError {
	fai := &FailError{Err: err, Executed: ExecutedNo}
	var rae *wick.RetryAfterError
	switch {
	case errors.As(err, &rae):
		fai.RetryAfter = rae.After
	case errors.Is(err, wick.ErrBusy), errors.Is(err, wick.ErrLeaving), errors.Is(err, wick.ErrUnavailable):
		fai.RetryAfter = time.Second
	}
	return fai
}

// A wireFailure is the encoding of a FailError between entries. Sentinel errors
// are identified by their text.
type wireFailure struct {
	Text        string      `cbor:"text"`
	Executed    Executed    `cbor:"executed"`
	RetryMillis wick.Millis `cbor:"retryMillis"`
}

var wireErrors = []error{
	wick.ErrNotFound, wick.ErrUnavailable, wick.ErrBusy, wick.ErrNotExecuted, wick.ErrNotSent,
	wick.ErrUnknownOutcome, wick.ErrTruncated, wick.ErrLeaving, wick.ErrDeadline, wick.ErrStopped,
	ErrCancelled, ErrDiverged,
}

func (fai *FailError) wire() *wireFailure {
	if fai == nil {
		return nil
	}
	text := fai.Err.Error()
	for _, err := range wireErrors {
		if errors.Is(fai.Err, err) {
			text = err.Error()
			break
		}
	}
	return &wireFailure{text, fai.Executed, wick.Millis(fai.RetryAfter.Milliseconds())}
}

func (wfa *wireFailure) failure() *FailError {
	if wfa == nil {
		return nil
	}
	fai := &FailError{Executed: wfa.Executed, RetryAfter: wfa.RetryMillis.Duration()}
	for _, err := range wireErrors {
		if err.Error() == wfa.Text {
			fai.Err = err
			return fai
		}
	}
	fai.Err = errors.New(wfa.Text)
	return fai
}
