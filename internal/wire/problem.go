package wire

import (
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Types of the problem documents (RFC 9457) that endpoints send.
const (
	ProblemBusy       = "urn:wagtailwick:problem:busy"
	ProblemLeaving    = "urn:wagtailwick:problem:leaving"
	ProblemStaleFence = "urn:wagtailwick:problem:staleFence"
	ProblemFailed     = "urn:wagtailwick:problem:failed"
)

// Media types and header names of the protocols with outside systems.
const (
	ProblemMedia  = "application/problem+json"
	JSONMedia     = "application/json"
	HeaderType    = "Content-Type"
	HeaderAttempt = "X-Attempt-Id"
	HeaderKey     = "Idempotency-Key"
	HeaderRetry   = "Retry-After"
)

// ExecutedNo is the value of Problem.Executed if the call did not run.
const ExecutedNo = "no"

// A Problem is a problem document (RFC 9457) with the extension member executed.
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title,omitempty"`
	Status   int    `json:"status,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Executed string `json:"executed,omitempty"`
}

// An Error describes a failed call. It wraps a sentinel error and the cause.
type Error struct {
	Kind  error
	Op    string
	Cause error
}

// Error returns the operation, the sentinel error and the cause.
func (err *Error) Error() string {
	if err.Cause == nil {
		return err.Op + ": " + err.Kind.Error()
	}
	return err.Op + ": " + err.Kind.Error() + ": " + err.Cause.Error()
}

// Unwrap returns the sentinel error and the cause.
func (err *Error) Unwrap() []error {
	if err.Cause == nil {
		return []error{err.Kind}
	}
	return []error{err.Kind, err.Cause}
}

// NewError returns an error that wraps kind and cause, which may be nil.
func NewError(kind error, op string, cause error) error {
	return &Error{Kind: kind, Op: op, Cause: cause}
}

// ParseProblem returns the problem document of a complete error reply, or false
// if it has none.
func ParseProblem(ans FullReply) (Problem, bool) {
	media, _, err := mime.ParseMediaType(ans.Header.Get(HeaderType))
	if err != nil || media != ProblemMedia || ans.Status < http.StatusBadRequest {
		return Problem{}, false
	}
	var pro Problem
	if json.Unmarshal(ans.Body, &pro) != nil {
		return Problem{}, false
	}
	return pro, true
}

// NotExecutedError returns an error that wraps wick.ErrNotExecuted if a complete reply
// reports that the call did not run, and nil otherwise.
func NotExecutedError(ans FullReply, op string) error {
	pro, ok := ParseProblem(ans)
	if !ok || pro.Executed != ExecutedNo {
		return nil
	}
	var cause error
	switch pro.Type {
	case ProblemLeaving:
		cause = wick.ErrLeaving
	case ProblemBusy:
		cause = wick.ErrBusy
	case ProblemStaleFence:
		cause = wick.ErrStaleFence
	default:
		cause = errors.New(pro.Type + ": " + pro.Title)
	}
	secs, err := strconv.Atoi(ans.Header.Get(HeaderRetry))
	if err == nil && secs > 0 {
		cause = &wick.RetryAfterError{Err: cause, After: time.Duration(secs) * time.Second}
	}
	return NewError(wick.ErrNotExecuted, op, cause)
}

// CheckAttempt returns an error that wraps wick.ErrUnknownOutcome if the reply
// carries the id of another attempt. A reply without an id is accepted, since
// not every endpoint echoes it.
func CheckAttempt(header http.Header, att wick.AttemptID, op string) error {
	got := header.Get(HeaderAttempt)
	if got == "" || got == string(att) {
		return nil
	}
	return NewError(wick.ErrUnknownOutcome, op, errors.New("reply of another attempt: "+got))
}
