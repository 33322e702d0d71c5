package wick

import (
	"context"
	"time"
)

// An Outcome is what became of one attempt, as routing, limits and evidence
// for versions see it.
type Outcome struct {
	// Err is nil for a complete answer.
	Err error
	// FirstToken is the time to the first token, or to the whole answer of a
	// plain service. It is zero when none came.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Late is set when the answer missed the service's latency target.
	Late bool
	// CachedTokens and PromptTokens are as in Generated.
	CachedTokens Tokens
	PromptTokens Tokens
	// Cancelled is set when the caller or the entry ended the attempt. Such
	// an attempt says nothing about the endpoint or the version.
	Cancelled bool
}

// A RouteQuery asks for an endpoint.
type RouteQuery struct {
	Service  Service
	Customer Customer
	Request  RequestID
	// Route is the call's path, which evidence for versions is kept by.
	Route string
	// Input is the whole prompt text, which the prefix index is asked for.
	Input string
	// InputTokens estimates the prompt, MaxTokens bounds the answer.
	InputTokens Tokens
	MaxTokens   Tokens
	// Exclude lists endpoints that failed earlier attempts of the request.
	Exclude []VMID
	// Version is set for an attempt that must stay on a version, or is "".
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
	// Moving returns a channel that is closed when work must leave the
	// endpoint, because it has a reclaim notice or its version was stopped.
	Moving(vid VMID) <-chan struct{}
}

// An AdmitQuery asks to accept a request.
type AdmitQuery struct {
	Service  Service
	Customer Customer
	Priority Priority
	// Cost estimates the work: input and answer tokens, or 1 for a plain call.
	Cost     Tokens
	Deadline time.Time
	// Accepted is set for work that was accepted before, here or on a peer.
	// It goes before new work.
	Accepted bool
}

// An Admitter accepts or refuses requests. Admit waits in the customer's queue
// and returns a function that must be called once when the request has ended.
// Errors wrap ErrBusy or ErrDeadline; a refused request has not run. A
// RetryAfter may be found in the error with errors.As.
type Admitter interface {
	Admit(ctx context.Context, query AdmitQuery) (release func(out Outcome), err error)
}

// A RetryAfterError is a refusal that may succeed after a delay.
type RetryAfterError struct {
	Err   error
	After time.Duration
}

// Error returns the refusal's text.
func (rae *RetryAfterError) Error() string { return rae.Err.Error() }

// Unwrap returns the refusal without the delay.
func (rae *RetryAfterError) Unwrap() error { return rae.Err }

// A ClaimQuery asks for the right to send a call that is not idempotent.
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
	// ClaimGranted means that the asking attempt owns the claim and must
	// send the call once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another attempt owns the claim and its outcome
	// is not recorded yet.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the recorded reply must be given.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the call may have run and its reply is lost.
	ClaimUnknown ClaimState = "unknown"
)

// A ClaimResult is the ledger's answer to a claim.
type ClaimResult struct {
	State ClaimState
	// Reply is the recorded reply for ClaimDone.
	Reply PlainReply
}

// A Ledger grants claims. Errors of Claim wrap ErrUnavailable (nothing may be
// sent), ErrKeyReused or ErrBusy. After an error the call must not be sent,
// and a claim that took effect unseen belongs to an attempt that never sends.
type Ledger interface {
	Claim(ctx context.Context, query ClaimQuery) (ClaimResult, error)
	// Record stores the outcome of a granted claim: done with the reply,
	// unknown, or free when the call provably did not run, so that a retry
	// of the caller may claim it again.
	Record(ctx context.Context, query ClaimQuery, out ClaimOutcome) error
}

// A ClaimOutcome is the outcome of a granted claim.
type ClaimOutcome struct {
	State ClaimOutcomeState
	Reply PlainReply
}

// A ClaimOutcomeState tells how a granted claim ended.
type ClaimOutcomeState string

// Ends of a granted claim.
const (
	OutcomeDone        ClaimOutcomeState = "done"
	OutcomeUnknown     ClaimOutcomeState = "unknown"
	OutcomeNotExecuted ClaimOutcomeState = "notExecuted"
)
