package wick

import (
	"context"
	"time"
)

// A Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A Prompt is the input of a model call. Either Text or Messages is set.
type Prompt struct {
	Text     string    `json:"prompt,omitempty"`
	Messages []Message `json:"messages,omitempty"`
}

// A Generation is one attempt at a model call on one endpoint.
type Generation struct {
	Attempt AttemptID
	Service Service
	Version ModelVersion
	Prompt  Prompt
	// MaxTokens bounds the whole answer, tokens in Continue included.
	MaxTokens Tokens
	Priority  Priority
	// Continue holds the tokens that the caller has already received. The
	// engine continues after them.
	Continue []string
	// Import identifies KV cache exported by another endpoint, or is "".
	Import KVHandle
}

// A KVHandle identifies exported KV cache.
type KVHandle string

// A Token is one generated token of an answer.
type Token struct {
	Attempt AttemptID
	// Index is the position in the whole answer, from 0.
	Index Tokens
	Text  string
}

// A FinishReason is the reason why an answer ended.
type FinishReason string

// Finish reasons of complete answers.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// A Generated summarizes a complete answer.
type Generated struct {
	Attempt AttemptID
	// Count is the number of tokens of the whole answer, those of Continue
	// included.
	Count  Tokens
	Finish FinishReason
	// CachedTokens is the part of the input served from the prefix cache,
	// PromptTokens is the whole input.
	CachedTokens Tokens
	PromptTokens Tokens
}

// A LoadReport is the load that an endpoint reports. It may be stale.
type LoadReport struct {
	VM       VMID           `json:"vm"`
	Versions []ModelVersion `json:"versions"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Slots    int            `json:"slots"`
	// PrefillTokens is the number of prompt tokens waiting for prefill.
	PrefillTokens Tokens `json:"prefillTokens"`
	// Leaving is set once the endpoint has a reclaim notice or shuts down.
	Leaving   bool      `json:"leaving"`
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	At        time.Time `json:"at"`
}

// A CacheEvent reports a change of an endpoint's prefix cache.
type CacheEvent struct {
	// Seq increases by one per event. A larger step means lost events.
	Seq uint64 `json:"seq"`
	// Hash identifies a prefix block.
	Hash uint64 `json:"hash"`
	// Stored is true for a block that was added, false for one evicted.
	Stored bool `json:"stored"`
}

// An OrderKind is the action that an order requests from an endpoint.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderDrain  OrderKind = "drain"
)

// An Order tells an endpoint to change what it serves. Orders are idempotent,
// since they name the desired state.
type Order struct {
	Kind    OrderKind    `json:"kind"`
	Version ModelVersion `json:"version,omitempty"`
	Fence   Fence        `json:"fence"`
}

// An Engine is a client of model endpoints. Errors of Generate wrap ErrNotSent
// (no byte reached the endpoint), ErrNotExecuted (explicit refusal),
// ErrTruncated (the stream ended early) or ErrUnknownOutcome; they also wrap
// ErrLeaving when the endpoint reports that it is leaving.
type Engine interface {
	// Generate runs an attempt and calls sink for every token in the order
	// of arrival. It stops the attempt when sink returns an error or ctx ends.
	Generate(ctx context.Context, vm VM, gen Generation, sink func(Token) error) (Generated, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, vm VM, att AttemptID) error
	// Export copies the KV cache of an attempt for Generation.Import.
	Export(ctx context.Context, vm VM, att AttemptID) (KVHandle, error)
	// Load returns the endpoint's load report.
	Load(ctx context.Context, vm VM) (LoadReport, error)
	// CacheEvents returns events after the given sequence number.
	CacheEvents(ctx context.Context, vm VM, after uint64) ([]CacheEvent, error)
	// Order sends an order. It returns ErrStaleFence when the endpoint
	// checks fencing tokens and has seen a larger one.
	Order(ctx context.Context, vm VM, ord Order) error
}
