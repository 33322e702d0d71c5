// Package engine is the client of model engines: OpenAI-style completions as
// server-sent events that carry attempt ids and token indexes.
package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultCallTimeout  = 2 * time.Second
	defaultTokenTimeout = 30 * time.Second
	maxReplyBytes       = 1 << 20
	maxProblemBytes     = 64 << 10
)

// A Client implements wick.Engine. Its zero value is ready to use.
type Client struct {
	// HTTP is the connection pool of attempts.
	HTTP wire.Client
	// Control is a separate connection pool for all other calls, so that load
	// reports and cancellations proceed while attempts exhaust HTTP.
	Control wire.Client
	// TokenTimeout is the idle timeout of a stream, including the time to the
	// first token; 30 s if zero.
	TokenTimeout time.Duration
	// CallTimeout is the timeout of calls other than Generate; 2 s if zero.
	CallTimeout time.Duration
	// LoadTimeout is the timeout of a load report; 1 s if zero.
	LoadTimeout time.Duration
	// AttemptOptional accepts events without an attempt id. If false, such
	// events are dropped like those of another attempt.
	AttemptOptional bool
}

var _ wick.Engine = (*Client)(nil)

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.HTTP.Close()
	cli.Control.Close()
}

// A CompletionRequest is the body of POST /v1/completions and
// /v1/chat/completions.
type CompletionRequest struct {
	Model     wick.ModelVersion `json:"model"`
	Service   wick.Service      `json:"service,omitempty"`
	Prompt    string            `json:"prompt,omitempty"`
	Messages  []wick.Message    `json:"messages,omitempty"`
	MaxTokens wick.Tokens       `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream"`
	Priority  wick.Priority     `json:"priority"`
	Attempt   wick.AttemptID    `json:"attempt"`
	// ContinueFrom lists the tokens that earlier attempts generated.
	ContinueFrom []string `json:"continueFrom,omitempty"`
}

// An AttemptRequest is the body of POST /cancel, /kv/export and /kv/import.
type AttemptRequest struct {
	Attempt wick.AttemptID `json:"attempt"`
	Handle  wick.KVHandle  `json:"handle,omitempty"`
}

// An ExportReply is the reply of POST /kv/export.
type ExportReply struct {
	Handle wick.KVHandle `json:"handle"`
}

// A CacheEventsReply is the reply of GET /cacheEvents.
type CacheEventsReply struct {
	Events []wick.CacheEvent `json:"events"`
}

// Generate runs one attempt. It sends the completion request at most once.
func (cli *Client) Generate(ctx context.Context, vm wick.VM, gen wick.Generation, sink func(wick.Token) error) (wick.Generated, error) {
	const op = "engine: generate"
	if gen.Import != "" {
		// The error is ignored: without the import the engine repeats the prefill.
		_ = cli.post(ctx, vm, "/kv/import", AttemptRequest{Attempt: gen.Attempt, Handle: gen.Import}, nil)
	}
	path := "/v1/completions"
	if len(gen.Prompt.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	call := wire.Call{
		Method: http.MethodPost, URL: "http://" + vm.Address + path, NoRetry: true, StallTimeout: cli.TokenTimeout,
		// An engine without attempt ids does not say whose answer it gives.
		CloseConn: cli.AttemptOptional,
	}
	if call.StallTimeout == 0 {
		call.StallTimeout = defaultTokenTimeout
	}
	rep, err := cli.HTTP.DoJSON(ctx, call, CompletionRequest{
		Model: gen.Version, Service: gen.Service, Prompt: gen.Prompt.Text, Messages: gen.Prompt.Messages,
		MaxTokens: gen.MaxTokens, Stream: true, Priority: gen.Priority, Attempt: gen.Attempt, ContinueFrom: gen.Continue,
	})
	if err != nil {
		return wick.Generated{}, err
	}
	defer rep.Close()
	if err := wire.CheckAttempt(rep.Header, gen.Attempt, op); err != nil {
		return wick.Generated{}, err
	}
	if rep.Status != http.StatusOK {
		return wick.Generated{}, replyError(rep, op)
	}
	chk := Checker{Attempt: gen.Attempt, AttemptOptional: cli.AttemptOptional, Next: wick.Tokens(len(gen.Continue)), Sink: sink}
	out, err := chk.readStream(rep)
	if err != nil {
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return wick.Generated{}, wire.NewError(wick.ErrTruncated, op, err)
	}
	return out, nil
}

func replyError(rep *wire.Reply, op string) error {
	body, err := rep.ReadAll(maxProblemBytes)
	if err != nil {
		return err
	}
	ans := wire.FullReply{Status: rep.Status, Header: rep.Header, Body: body}
	// Without the attempt's id, a refusal on a connection that was used before may be
	// that of an earlier attempt.
	if !rep.Reused || rep.Header.Get(wire.HeaderAttempt) != "" {
		if err := wire.NotExecutedError(ans, op); err != nil {
			return err
		}
	}
	return wire.StatusError(ans, wick.ErrUnknownOutcome, op)
}

// Cancel aborts an attempt.
func (cli *Client) Cancel(ctx context.Context, vm wick.VM, att wick.AttemptID) error {
	return cli.post(ctx, vm, "/cancel", AttemptRequest{Attempt: att}, nil)
}

// Export exports the KV cache of an attempt and returns its handle.
func (cli *Client) Export(ctx context.Context, vm wick.VM, att wick.AttemptID) (wick.KVHandle, error) {
	var rep ExportReply
	err := cli.post(ctx, vm, "/kv/export", AttemptRequest{Attempt: att}, &rep)
	return rep.Handle, err
}

// Load returns the endpoint's load report.
func (cli *Client) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	return cli.Control.FetchLoad(ctx, vm, cli.LoadTimeout)
}

// CacheEvents returns the cache events after the given sequence number.
func (cli *Client) CacheEvents(ctx context.Context, vm wick.VM, after uint64) ([]wick.CacheEvent, error) {
	var rep CacheEventsReply
	err := cli.call(ctx, wire.Call{
		Method: http.MethodGet,
		URL:    "http://" + vm.Address + "/cacheEvents?after=" + strconv.FormatUint(after, 10),
	}, nil, &rep)
	return rep.Events, err
}

// Order sends an order to the endpoint.
func (cli *Client) Order(ctx context.Context, vm wick.VM, ord wick.Order) error {
	return cli.post(ctx, vm, "/orders", ord, nil)
}

func (cli *Client) post(ctx context.Context, vm wick.VM, path string, in, out any) error {
	return cli.call(ctx, wire.Call{Method: http.MethodPost, URL: "http://" + vm.Address + path}, in, out)
}

// call sends a control call. Control calls are idempotent, so every failure
// without a reply is wick.ErrUnavailable.
func (cli *Client) call(ctx context.Context, call wire.Call, in, out any) error {
	const op = "engine: call"
	timeout := cli.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ans, err := cli.Control.ExchangeJSON(ctx, call, in, out, maxReplyBytes)
	switch {
	case err != nil:
		return wire.NewError(wick.ErrUnavailable, op, err)
	case ans.Status/100 == 2:
		return nil
	case ans.Status == http.StatusNotFound:
		return wire.StatusError(ans, wick.ErrNotFound, op)
	}
	if err := wire.NotExecutedError(ans, op); err != nil {
		return err
	}
	return wire.StatusError(ans, wick.ErrUnavailable, op)
}
