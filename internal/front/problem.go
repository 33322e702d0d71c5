package front

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A problemType is one type of problem. docs/problems.md documents all types
// for callers.
type problemType struct {
	// name is the last path segment of the type URI. It is part of the API and
	// must not change.
	name   string
	status int
	title  string
	// err is the sentinel error that maps to this type, or nil.
	err error
}

// Problem types that handlers use directly.
var (
	problemUnauthorized       = problemType{"unauthorized", 401, "The key is missing or unknown.", nil}
	problemInvalid            = problemType{"invalid", 400, "The request is malformed.", wick.ErrInvalid}
	problemUnknownService     = problemType{"unknownService", 404, "No such service.", nil}
	problemNotReady           = problemType{"notReady", 503, "This entry does not take new work.", nil}
	problemTooManyConnections = problemType{"tooManyConnections", 503, "This entry has no room for the connection.", nil}
	problemInternal           = problemType{"internal", 500, "The request failed.", nil}
)

// problemTypes lists all problem types. problemOf uses the first whose error
// matches.
var problemTypes = []problemType{
	problemUnauthorized,
	problemInvalid,
	problemUnknownService,
	problemNotReady,
	problemTooManyConnections,
	{"keyReused", 422, "The idempotency key was used with another call.", wick.ErrKeyReused},
	{"claimRunning", 409, "A call with this idempotency key is running.", stream.ErrClaimRunning},
	{"diverged", 409, "The answer cannot be continued after the last event id.", stream.ErrDiverged},
	{"handedOver", 503, "Another entry runs the request; fetch it by its id.", stream.ErrHandedOver},
	{"cancelled", 410, "The request ended because no caller read it.", stream.ErrCancelled},
	{"deadline", 504, "The deadline cannot be met.", wick.ErrDeadline},
	{"leaving", 503, "The entry or endpoint is leaving.", wick.ErrLeaving},
	{"stopped", 503, "The entry has stopped.", wick.ErrStopped},
	{"busy", 429, "A limit was reached.", wick.ErrBusy},
	{"outcomeUnknown", 502, "The call may or may not have run.", wick.ErrUnknownOutcome},
	{"truncated", 502, "The endpoint's answer was incomplete.", wick.ErrTruncated},
	{"notExecuted", 503, "The endpoint did not run the call.", wick.ErrNotExecuted},
	{"notSent", 503, "No endpoint could be reached.", wick.ErrNotSent},
	{"notFound", 404, "No such request or endpoint.", wick.ErrNotFound},
	{"unavailable", 503, "A system behind the entry is unavailable.", wick.ErrUnavailable},
	problemInternal,
}

// typePrefix is the prefix of type URIs.
const typePrefix = "/problems/"

// A problem is an RFC 9457 problem details object.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Executed reports whether the request ran: "no" or "unknown".
	Executed  stream.Executed `json:"executed"`
	RequestID wick.RequestID  `json:"requestId,omitempty"`

	retryAfter time.Duration
}

// refuse returns the problem for a request that was not executed.
func (pty problemType) refuse(detail string) *problem {
	return &problem{
		Type: typePrefix + pty.name, Title: pty.title, Status: pty.status, Detail: detail,
		Executed: stream.ExecutedNo,
	}
}

// problemOf returns the problem for an error of the stream package.
func problemOf(err error) *problem {
	pty := problemInternal
	for _, candidate := range problemTypes {
		if candidate.err != nil && errors.Is(err, candidate.err) {
			pty = candidate
			break
		}
	}
	prb := pty.refuse("")
	prb.Executed = stream.ExecutedUnknown
	var fai *stream.FailError
	if errors.As(err, &fai) {
		prb.Executed, prb.retryAfter = fai.Executed, fai.RetryAfter
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		prb.Detail = "the caller's connection or deadline ended"
	}
	return prb
}

// encode returns the problem as JSON.
func (prb *problem) encode() []byte {
	raw, err := json.Marshal(prb)
	if err != nil {
		return []byte("{}")
	}
	return raw
}

// write sends the problem as the response.
func (prb *problem) write(rct *app.RequestContext) {
	if prb.retryAfter > 0 {
		secs := int(math.Ceil(prb.retryAfter.Seconds()))
		rct.Response.Header.Set("Retry-After", strconv.Itoa(secs))
	}
	if prb.Status == problemUnauthorized.status {
		rct.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	rct.Data(prb.Status, "application/problem+json", prb.encode())
}
