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
	// Continue holds the tokens that the caller already has. The engine
	// goes on after them.
	Continue []string
	// Import names KV cache that was exported by another endpoint, or is "".
	Import KVHandle
}

// A KVHandle names exported KV cache.
type KVHandle string

// A Token is one generated token of an answer.
type Token struct {
	Attempt AttemptID
	// Index is the position in the whole answer, from 0.
	Index Tokens
	Text  string
}

// A FinishReason tells why an answer ended.
type FinishReason string

// Finish reasons of complete answers.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// A Generated is the end of a complete answer.
type Generated struct {
	Attempt AttemptID
	// Count is the number of tokens of the whole answer, those of Continue
	// included.
	Count  Tokens
	Finish FinishReason
	// CachedTokens of the input came from the prefix cache, PromptTokens is
	// the whole input.
	CachedTokens Tokens
	PromptTokens Tokens
}

// A LoadReport is an endpoint's own account of its load. It lags behind.
type LoadReport struct {
	VM       VMID           `json:"vm"`
	Versions []ModelVersion `json:"versions"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Slots    int            `json:"slots"`
	// PrefillTokens wait to be prefilled.
	PrefillTokens Tokens `json:"prefillTokens"`
	// Leaving is set from the reclaim notice or the start of a shutdown on.
	Leaving   bool      `json:"leaving"`
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	At        time.Time `json:"at"`
}

// A CacheEvent reports a change of an endpoint's prefix cache.
type CacheEvent struct {
	// Seq grows by one per event. A jump is a gap.
	Seq uint64 `json:"seq"`
	// Hash identifies a prefix block.
	Hash uint64 `json:"hash"`
	// Stored is true for a block that was added, false for one evicted.
	Stored bool `json:"stored"`
}

// An OrderKind is what an order asks an endpoint to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderDrain  OrderKind = "drain"
)

// An Order tells an endpoint to change what it serves. A repeat of an order is
// harmless: it names the state that is wanted.
type Order struct {
	Kind    OrderKind    `json:"kind"`
	Version ModelVersion `json:"version,omitempty"`
	Fence   Fence        `json:"fence"`
}

// An Engine reaches model endpoints. Errors of Generate wrap ErrNotSent (no
// byte reached the endpoint), ErrNotExecuted (explicit refusal), ErrTruncated
// (the stream ended early) or ErrUnknownOutcome; ErrLeaving is added when the
// endpoint says that it leaves.
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
	// Order gives an order. It returns ErrStaleFence when the endpoint
	// checks fencing numbers and has seen a larger one.
	Order(ctx context.Context, vm VM, ord Order) error
}
