package wick

import (
	"context"
	"time"
)

// An Outcome is the result of one attempt, as input for routing, limits and
// the evaluation of versions.
type Outcome struct {
	// Err is nil for a complete answer.
	Err error
	// FirstToken is the time to the first token, or to the whole answer of a
	// plain service. It is zero when none arrived.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Pace is what versions are compared by: the mean time between the parts of a
	// stream, or the time to the whole answer of a plain service. It is zero if
	// unknown.
	Pace time.Duration
	// Late is set when the answer missed the service's latency target.
	Late bool
	// CachedTokens and PromptTokens are as in Generated.
	CachedTokens Tokens
	PromptTokens Tokens
	// Cancelled is set when the caller or the entry ended the attempt. Such
	// an attempt is no evidence about the endpoint or the version.
	Cancelled bool
}

// A RouteQuery requests an endpoint.
type RouteQuery struct {
	Service  Service
	Customer Customer
	Request  RequestID
	// Route is the call's path, by which evidence about versions is grouped.
	Route string
	// Input is the whole prompt text, used for the prefix index lookup.
	Input string
	// InputTokens estimates the prompt, MaxTokens bounds the answer.
	InputTokens Tokens
	MaxTokens   Tokens
	// Exclude lists endpoints that failed earlier attempts of the request.
	Exclude []VMID
	// Version pins the attempt to a version unless it is "".
	Version  ModelVersion
	Deadline time.Time
	Now      time.Time
}

// An Assignment is an endpoint chosen for one attempt.
type Assignment struct {
	VM      VM
	Version ModelVersion
	// Done must be called exactly once, when the attempt has ended.
	Done func(out Outcome)
}

// A Router chooses endpoints. Errors of Pick wrap ErrNotFound (no endpoint of
// the service), ErrBusy (all at their limit) or ErrDeadline.
type Router interface {
	Pick(query RouteQuery) (Assignment, error)
	// Evacuation returns a channel that is closed when work must be migrated off the
	// endpoint, because it has a reclaim notice or its version was stopped.
	Evacuation(vid VMID) <-chan struct{}
}

// An AdmitQuery requests admission of a request.
type AdmitQuery struct {
	Service  Service
	Customer Customer
	Priority Priority
	// Cost is the estimated work: input and answer tokens, or 1 for a plain
	// call.
	Cost     Tokens
	Deadline time.Time
	// Accepted is set for work that was accepted before, here or on a peer.
	// It has priority over new work.
	Accepted bool
}

// An Admitter accepts or refuses requests. Admit waits in the customer's queue
// and returns a function that must be called once when the request has ended.
// Errors wrap ErrBusy or ErrDeadline; a refused request has not run. The error
// may wrap a RetryAfterError.
type Admitter interface {
	Admit(ctx context.Context, query AdmitQuery) (release func(out Outcome), err error)
}

// A RetryAfterError is a refusal that may succeed after a delay.
type RetryAfterError struct {
	Err   error
	After time.Duration
}

// Error returns the message of the refusal.
func (rae *RetryAfterError) Error() string { return rae.Err.Error() }

// Unwrap returns the refusal without the delay.
func (rae *RetryAfterError) Unwrap() error { return rae.Err }

// A ClaimQuery requests the exclusive right to send a call that is not
// idempotent.
type ClaimQuery struct {
	Service     Service
	Customer    Customer
	Key         IdempotencyKey
	Fingerprint Fingerprint
	Attempt     AttemptID
	// Deduplicates is set when the service's endpoints deduplicate by key.
	Deduplicates bool
}

// A ClaimState is the state of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted means that the requesting attempt owns the claim and must
	// send the call once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another attempt owns the claim and its outcome
	// is not recorded yet.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the recorded reply must be returned.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the call may have run and its reply is lost.
	ClaimUnknown ClaimState = "unknown"
)

// A ClaimResult is the ledger's response to a claim.
type ClaimResult struct {
	State ClaimState
	// Reply is the recorded reply for ClaimDone.
	Reply PlainReply
}

// A Ledger grants claims. Errors of Claim wrap ErrUnavailable (nothing may be
// sent), ErrKeyReused or ErrBusy. After an error the call must not be sent; if
// the claim took effect nevertheless, its owner is an attempt that never sends.
type Ledger interface {
	Claim(ctx context.Context, query ClaimQuery) (ClaimResult, error)
	// Record stores the outcome of a granted claim: done with the reply,
	// unknown, or not executed when the call provably did not run, which
	// releases the claim for a retry by the caller.
	Record(ctx context.Context, query ClaimQuery, out ClaimOutcome) error
}

// A ClaimOutcome is the outcome of a granted claim.
type ClaimOutcome struct {
	State ClaimOutcomeState
	Reply PlainReply
}

// A ClaimOutcomeState is the final state of a granted claim.
type ClaimOutcomeState string

// Final states of a granted claim.
const (
	OutcomeDone        ClaimOutcomeState = "done"
	OutcomeUnknown     ClaimOutcomeState = "unknown"
	OutcomeNotExecuted ClaimOutcomeState = "notExecuted"
)
