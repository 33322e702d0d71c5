package wick

import (
	"context"
	"net/http"
	"time"
)

// A PromptPart is one part of a model request's prompt. Requests share parts;
// endpoints keep them cached in order.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// An Ask is what the headers of a caller's request say.
type Ask struct {
	ID  RequestID
	Key CallerKey
	// Deadline is the time that the caller waits, 0 if it is not said.
	Deadline time.Duration
	// InputTokens and OutputTokens bound a model request; both are 0 for
	// other requests.
	InputTokens, OutputTokens Tokens
	Parts                     []PromptPart
	// LastEvent is the last event that the caller has, or "".
	LastEvent string
}

// A Dispatch is what an endpoint is told beside the caller's request.
type Dispatch struct {
	Endpoint VMID
	// Customer is "" for requests of public routes.
	Customer Customer
	// Deadline is the time that is left.
	Deadline time.Duration
	Rank     Rank
	// LastEvent is the last event that the caller has, or "".
	LastEvent string
	// Copy is where the memory of the request's run lies, or "".
	Copy RunCopy
}

// A RunCopy names the memory of a run that was moved to another endpoint.
type RunCopy string

// A Mover moves running requests between model endpoints.
type Mover interface {
	// Move stops the run of a request at an endpoint, which ends its stream
	// without an end, and copies its memory to another. The run goes on where
	// a request with the copy is sent: at the second endpoint, or at the first
	// if moved is false. Errors wrap ErrNotFound (no such run) or
	// ErrUnavailable, and the run may have been stopped then.
	Move(ctx context.Context, from, to Backend, rid RequestID) (cpy RunCopy, moved bool, err error)
}

// A BackendLoad is an endpoint's own account of its load. It lags behind.
type BackendLoad struct {
	// Running and Waiting count requests.
	Running, Waiting int
	// NextTokens is the prompt of the first waiting request.
	NextTokens Tokens
}

// A LoadReader reads the load of model endpoints. Errors wrap ErrUnavailable.
type LoadReader interface {
	ReadLoad(ctx context.Context, bke Backend) (BackendLoad, error)
}

// A RunProber asks a model endpoint whether it may still send something of a
// request: whether it runs it or has requests waiting. The error wraps
// ErrUnavailable when the endpoint did not answer.
type RunProber interface {
	ProbeRun(ctx context.Context, bke Backend, rid RequestID) (working bool, err error)
}

// A ReplyNote is what the headers of an endpoint's reply say.
type ReplyNote struct {
	// Request is the request that the reply belongs to, or "".
	Request RequestID
	// NotExecuted is set when the endpoint says that it did not run the
	// request and never will.
	NotExecuted bool
	// Genuine is set when the reply bears the endpoint's signature.
	Genuine bool
}

// A Dialect reads and writes the headers of requests and replies.
type Dialect interface {
	ReadAsk(hdr http.Header) Ask
	// WriteDispatch turns the caller's headers into those for an endpoint.
	WriteDispatch(hdr http.Header, dsp Dispatch)
	ReadReply(status int, hdr http.Header) ReplyNote
}

// A Catalog decodes the objects that operators and endpoints write to the
// platform. Errors wrap ErrInvalid.
type Catalog interface {
	Plan(obj Object) (Plan, error)
	Backend(obj Object) (Backend, error)
	VersionOrder(obj Object) (VersionOrder, error)
}

// A VersionOrderState tells operators what has become of an order.
type VersionOrderState string

// States of a version order.
const (
	OrderRunning VersionOrderState = "running"
	OrderDone    VersionOrderState = "done"
	OrderUndone  VersionOrderState = "undone"
)

// VersionOrders records the states of version orders. Errors are those of
// Store. A repeat has no effect.
type VersionOrders interface {
	SetState(ctx context.Context, ord VersionOrder, state VersionOrderState) error
}

// A UsageReport counts the requests of each customer that began to run in one
// window of time.
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

// Duties are calls that one entry makes for all. Errors wrap ErrBusy,
// ErrConflict (nothing to be had) or ErrUnavailable.
type Duties interface {
	ReportUsage(ctx context.Context, fence Fence, rep UsageReport) error
	Scale(ctx context.Context, fence Fence, ord ScaleOrder) error
}
