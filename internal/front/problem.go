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

// A kind is one row of the table of refusals. docs/problems.md shows the table
// to callers.
type kind struct {
	// name is the last part of the problem's type, which never changes.
	name   string
	status int
	title  string
	// err is the sentinel error that the row stands for, or nil.
	err error
}

// Rows that handlers use by name.
var (
	kindUnauthorized = kind{"unauthorized", 401, "The key is missing or unknown.", nil}
	kindInvalid      = kind{"invalid", 400, "The request is malformed.", wick.ErrInvalid}
	kindNoService    = kind{"unknownService", 404, "No such service.", nil}
	kindNotReady     = kind{"notReady", 503, "This entry does not take new work.", nil}
	kindConnections  = kind{"tooManyConnections", 503, "This entry has no room for the connection.", nil}
	kindInternal     = kind{"internal", 500, "The request failed.", nil}
)

// kinds is the table of refusals. The first row whose error matches is used.
var kinds = []kind{
	kindUnauthorized,
	kindInvalid,
	kindNoService,
	kindNotReady,
	kindConnections,
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
	kindInternal,
}

// typePrefix precedes the name in a problem's type.
const typePrefix = "/problems/"

// A problem is an RFC 9457 problem.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Executed is "no" or "unknown".
	Executed  stream.Executed `json:"executed"`
	RequestID wick.RequestID  `json:"requestId,omitempty"`

	retryAfter time.Duration
}

// refuse returns a problem of a request that was not executed.
func (knd kind) refuse(detail string) *problem {
	return &problem{
		Type: typePrefix + knd.name, Title: knd.title, Status: knd.status, Detail: detail,
		Executed: stream.ExecutedNo,
	}
}

// problemOf returns the problem for an error of the stream package.
func problemOf(err error) *problem {
	knd := kindInternal
	for _, row := range kinds {
		if row.err != nil && errors.Is(err, row.err) {
			knd = row
			break
		}
	}
	prb := knd.refuse("")
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

// encode returns the JSON form.
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
	if prb.Status == kindUnauthorized.status {
		rct.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	rct.Data(prb.Status, "application/problem+json", prb.encode())
}
