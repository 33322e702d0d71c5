package wick

import "context"

// A Header is one header field of a plain call or its answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// A PlainCall is one attempt at a call of a plain service.
type PlainCall struct {
	Attempt AttemptID
	// Key is forwarded to the endpoint unless it is "".
	Key     IdempotencyKey
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// A PlainReply is the complete answer of a plain service.
type PlainReply struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// A PlainCaller is a client of the endpoints of plain services. Errors of Call wrap the same
// sentinel errors as those of Engine.Generate.
type PlainCaller interface {
	Call(ctx context.Context, vm VM, call PlainCall) (PlainReply, error)
	// Load returns the endpoint's load report.
	Load(ctx context.Context, vm VM) (LoadReport, error)
}
