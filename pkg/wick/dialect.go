package wick

import (
	"context"
	"net/http"
	"time"
)

// A PartID identifies a segment of prompts.
type PartID string

// A PromptPart is one segment of a model request's prompt. Requests share
// segments, and endpoints cache them as prefixes.
type PromptPart struct {
	ID     PartID
	Tokens Tokens
}

// An RequestMeta holds the fields parsed from the headers of a caller's request.
type RequestMeta struct {
	ID  RequestID
	Key CallerKey
	// Deadline is the caller's timeout, 0 if the headers set none.
	Deadline time.Duration
	// InputTokens and OutputTokens bound a model request; both are 0 for
	// other requests.
	InputTokens, OutputTokens Tokens
	// LengthHint is the caller's estimate of the tokens that will be generated, 0 if
	// it gave none.
	LengthHint Tokens
	Parts      []PromptPart
	// LastEventID is the last event that the caller has, or "".
	LastEventID string
}

// ExpectedOutput returns the number of tokens that will probably be generated, which
// is at most OutputTokens.
func (met *RequestMeta) ExpectedOutput() Tokens {
	if met.LengthHint <= 0 {
		return met.OutputTokens
	}
	return min(met.LengthHint, met.OutputTokens)
}

// A Dispatch is the metadata sent to an endpoint along with the caller's
// request.
type Dispatch struct {
	Endpoint VMID
	// Customer is "" for requests of public routes.
	Customer Customer
	// Deadline is the remaining time.
	Deadline time.Duration
	Rank     Rank
	// LastEventID is the last event that the caller has, or "".
	LastEventID string
	// Snapshot locates the saved state of a migrated run, or is "".
	Snapshot RunSnapshot
}

// A RunSnapshot locates the saved state of a run that was migrated to another
// endpoint.
type RunSnapshot string

// A Mover migrates running requests between model endpoints.
type Mover interface {
	// Reserve copies the state of a run to another endpoint, which keeps room for
	// the run from then on, while the run continues. Errors wrap ErrNotFound (no
	// such run), ErrConflict (another call is in progress) or ErrUnavailable; the
	// run is not affected by them.
	Reserve(ctx context.Context, from, to Backend, rid RequestID) (cpy RunSnapshot, err error)
	// Move stops the run of a request on an endpoint and copies its state to
	// another endpoint. The stream of the stopped run closes without an end
	// marker. A request that carries cpy resumes the run and must be sent to
	// the second endpoint, or to the first if moved is false. With an error that
	// wraps ErrUnavailable the run may have been stopped, unless it wraps
	// ErrNotSent too. Other errors, such as ErrNotFound (no such run), say that
	// this call did not stop it. After Reserve it copies only what is new.
	Move(ctx context.Context, from, to Backend, rid RequestID) (cpy RunSnapshot, moved bool, err error)
	// Release frees a copy that is not needed, on both endpoints. Errors wrap
	// ErrUnavailable.
	Release(ctx context.Context, cpy RunSnapshot) error
}

// A BackendLoad is the load that an endpoint reports. It may be stale.
type BackendLoad struct {
	// Running and Waiting count requests.
	Running, Waiting int
	// NextTokens is the prompt length of the first waiting request.
	NextTokens Tokens
	// Limit is the request rate that the endpoint allows.
	Limit RateLimit
	// Leaving is set when the endpoint signals that it leaves.
	Leaving bool
	// MemoryUsed is the memory in tokens that cached prompts can't free, MemoryTotal all
	// memory; 0 if the endpoint doesn't report them.
	MemoryUsed, MemoryTotal Tokens
	// ColdFor is how much longer the endpoint is cold, 0 if it is not cold or reports no time.
	ColdFor time.Duration
	// Restarted is set if the report is of another start than the one that the registry
	// lists.
	Restarted bool
}

// A LoadReader reads the load of model endpoints. Errors wrap ErrUnavailable, and also
// ErrInvalid if the endpoint answered without a report.
type LoadReader interface {
	ReadLoad(ctx context.Context, bke Backend) (BackendLoad, error)
}

// A RunProber checks what became of a request's endpoint. Errors wrap
// ErrUnavailable when the endpoint did not respond.
type RunProber interface {
	// ProbeRun reports whether a model endpoint may still produce output for a
	// request: it runs the request, or has requests waiting.
	ProbeRun(ctx context.Context, bke Backend, rid RequestID) (working bool, err error)
	// ProbeIncarnation reports whether the same incarnation of the endpoint still
	// runs. It returns false if the endpoint has restarted since.
	ProbeIncarnation(ctx context.Context, bke Backend) (same bool, err error)
}

// A ReplyMeta holds the fields parsed from the headers of an endpoint's reply.
type ReplyMeta struct {
	// Request is the request that the reply belongs to, or "".
	Request RequestID
	// NotExecuted is set when the endpoint declares that it did not run the
	// request and never will.
	NotExecuted bool
	// Authentic is set when the reply carries the endpoint's signature.
	Authentic bool
	// Limit is the request rate that the endpoint allows.
	Limit RateLimit
	// Leaving is set when the endpoint signals that it leaves.
	Leaving bool
	// RetryAfter is how long an endpoint that turned the request away wants none from this
	// entry, 0 if it didn't say.
	RetryAfter time.Duration
}

// A RateLimit is the request rate that an endpoint allows all entries together. Its zero
// value is no limit.
type RateLimit struct {
	// Set is set if the endpoint names a limit.
	Set bool
	// PerSecond is not negative.
	PerSecond float64
}

// A Dialect reads and writes the headers of requests and replies.
type Dialect interface {
	ReadRequest(hdr http.Header) RequestMeta
	// WriteDispatch rewrites the caller's headers into those for an endpoint.
	WriteDispatch(hdr http.Header, dsp Dispatch)
	ReadReply(status int, hdr http.Header) ReplyMeta
}

// A Catalog decodes the objects that operators and endpoints write to the
// platform. Errors wrap ErrInvalid.
type Catalog interface {
	Plan(obj Object) (Plan, error)
	Backend(obj Object) (Backend, error)
	VersionOrder(obj Object) (VersionOrder, error)
}

// A VersionOrderState is the progress of a version order, as operators see it.
type VersionOrderState string

// States of a version order.
const (
	OrderRunning    VersionOrderState = "running"
	OrderDone       VersionOrderState = "done"
	OrderRolledBack VersionOrderState = "undone"
)

// VersionOrders records the states of version orders. Errors are those of
// Store; ErrConflict means that another order of the service has replaced it.
// SetState is idempotent.
type VersionOrders interface {
	SetState(ctx context.Context, ord VersionOrder, state VersionOrderState) error
}

// A UsageReport counts, by customer, the requests that started in one time
// window.
type UsageReport struct {
	Window uint64           `json:"window"`
	Counts map[Customer]int `json:"counts"`
}

// A ScaleOrder sets the number of endpoints of a service in a zone.
type ScaleOrder struct {
	Service     Service
	Zone        Zone
	Count       int
	Reclaimable bool
}

// Duties are calls that one entry makes on behalf of all entries. Errors wrap
// ErrBusy, ErrConflict (no capacity available) or ErrUnavailable.
type Duties interface {
	ReportUsage(ctx context.Context, fence Fence, rep UsageReport) error
	Scale(ctx context.Context, fence Fence, ord ScaleOrder) error
}
