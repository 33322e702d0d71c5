// Package client calls services through the entries. If a connection is lost,
// it reconnects to another entry and resumes the streamed answer.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Defaults and limits of a Client.
const (
	defaultReconnects = 20
	defaultBackoff    = 50 * time.Millisecond
	maxBackoff        = time.Second
	dialTimeout       = 2 * time.Second
)

// A Client sends calls to entries. Entries and Key must be set; the other
// fields have useful zero values. A Client is safe for concurrent use.
type Client struct {
	// Entries are base URLs, used round-robin.
	Entries []string
	// Key is the customer's key.
	Key string
	// Reconnects limits the reconnections of one call; 20 if zero.
	Reconnects int
	// Backoff is the initial backoff before a reconnection; 50 ms if zero.
	Backoff time.Duration

	next  atomic.Uint64
	inner atomic.Pointer[hertz.Client]
}

// A RefusalError is a refused call, decoded from an RFC 9457 problem document.
type RefusalError struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Executed is "no" if the call did not run, "unknown" if it may have run.
	Executed string `json:"executed"`
	// RetryAfter is zero unless a retry may help.
	RetryAfter time.Duration `json:"-"`
}

// Values of RefusalError.Executed.
const (
	ExecutedNo      = "no"
	ExecutedUnknown = "unknown"
)

// Error returns the refusal's title and detail.
func (ref *RefusalError) Error() string {
	text := "refused: " + ref.Title
	if ref.Detail != "" {
		text += ": " + ref.Detail
	}
	return text + " (executed: " + ref.Executed + ")"
}

// Is reports whether target is the sentinel error of the refusal.
func (ref *RefusalError) Is(target error) bool {
	switch ref.Executed {
	case ExecutedNo:
		return target == wick.ErrNotExecuted
	default:
		return target == wick.ErrUnknownOutcome
	}
}

// A Completion is a call to a model service.
type Completion struct {
	Model     wick.Service `json:"model"`
	Prompt    string       `json:"prompt"`
	MaxTokens wick.Tokens  `json:"max_tokens"`
	Stream    bool         `json:"stream"`
	// Deadline bounds the whole answer; no bound if zero.
	Deadline time.Duration `json:"-"`
	Priority wick.Priority `json:"-"`
}

// An Answer is a complete answer of a model service.
type Answer struct {
	Request wick.RequestID
	Text    string
	Tokens  wick.Tokens
	Finish  string
	// FirstToken and Total are measured from the start of the call.
	FirstToken time.Duration
	Total      time.Duration
	// Reconnects counts reconnections.
	Reconnects int
}

// errConnectionLost reports a connection that closed before the end marker.
var errConnectionLost = errors.New("connection closed before the end of the answer")

// httpClient returns the shared HTTP client and creates it on first use.
func (cli *Client) httpClient() (*hertz.Client, error) {
	if inner := cli.inner.Load(); inner != nil {
		return inner, nil
	}
	inner, err := hertz.NewClient(
		hertz.WithDialer(standard.NewDialer()),
		hertz.WithDialTimeout(dialTimeout),
		hertz.WithResponseBodyStream(true),
		hertz.WithMaxConnsPerHost(1<<16),
	)
	if err != nil {
		return nil, eris.Wrap(err, "create HTTP client")
	}
	if !cli.inner.CompareAndSwap(nil, inner) {
		return cli.inner.Load(), nil
	}
	return inner, nil
}

// nextEntry returns the base URL of the next entry.
func (cli *Client) nextEntry() string {
	num := cli.next.Add(1)
	return cli.Entries[int(num%uint64(len(cli.Entries)))] //nolint:gosec // the remainder is smaller than len
}

// backoff returns the delay before a retry: exponential, with jitter.
func (cli *Client) backoff(attempt int) time.Duration {
	delay := cli.Backoff
	if delay == 0 {
		delay = defaultBackoff
	}
	for ; attempt > 0 && delay < maxBackoff; attempt-- {
		delay *= 2
	}
	delay = min(delay, maxBackoff)
	return delay/2 + rand.N(delay/2+1) //nolint:gosec // jitter needs no secret randomness
}

func (cli *Client) reconnects() int {
	if cli.Reconnects == 0 {
		return defaultReconnects
	}
	return cli.Reconnects
}

// waitBackoff waits for the backoff before a retry.
func (cli *Client) waitBackoff(ctx context.Context, attempt int) error {
	select {
	case <-time.After(cli.backoff(attempt)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A stream collects the events of one answer over several connections.
type stream struct {
	started time.Time
	answer  Answer
	// lastID is the id of the last event that was processed.
	lastID string
	done   bool
	onText func(text string)
}

type chunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// handleEvent processes one event.
func (str *stream) handleEvent(evt *sse.Event) error {
	if evt.Type == "error" {
		ref := &RefusalError{Executed: ExecutedUnknown}
		if err := json.Unmarshal(evt.Data, ref); err != nil {
			return eris.Wrap(err, "decode error event")
		}
		return ref
	}
	if string(evt.Data) == "[DONE]" {
		str.done = true
		return nil
	}
	var chk chunk
	if err := json.Unmarshal(evt.Data, &chk); err != nil {
		return eris.Wrap(err, "decode event")
	}
	if evt.ID != "" {
		str.lastID = evt.ID
	}
	for _, choice := range chk.Choices {
		str.addText(choice.Text)
		if choice.FinishReason != "" {
			str.answer.Finish = choice.FinishReason
		}
	}
	return nil
}

func (str *stream) addText(text string) {
	if text == "" {
		return
	}
	if str.answer.Tokens == 0 {
		str.answer.FirstToken = time.Since(str.started)
	}
	str.answer.Tokens++
	str.answer.Text += text
	if str.onText != nil {
		str.onText(text)
	}
}

// Complete runs a streamed call and returns its complete answer. onText, if
// not nil, is called with every token as it arrives. The error is a *RefusalError
// for a refused call; any other error leaves the outcome unknown.
func (cli *Client) Complete(ctx context.Context, com Completion, onText func(text string)) (Answer, error) {
	com.Stream = true
	body, err := json.Marshal(com)
	if err != nil {
		return Answer{}, eris.Wrap(err, "encode call")
	}
	str := &stream{started: time.Now(), onText: onText}
	var lastErr error
	var mayHaveRun bool
	for attempt := 0; attempt <= cli.reconnects(); attempt++ {
		if attempt > 0 {
			str.answer.Reconnects++
			if err := cli.waitBackoff(ctx, attempt); err != nil {
				return str.answer, err
			}
		}
		lastErr = cli.connect(ctx, str, com, body)
		var ref *RefusalError
		switch {
		case lastErr == nil && str.done:
			str.answer.Total = time.Since(str.started)
			return str.answer, nil
		case errors.As(lastErr, &ref) && !retryable(ref, str.answer.Request != ""):
			return str.answer, withEarlierAttempts(lastErr, mayHaveRun)
		case ctx.Err() != nil:
			return str.answer, ctx.Err()
		}
		mayHaveRun = mayHaveRun || str.answer.Request != "" || !notExecuted(lastErr)
	}
	return str.answer, eris.Wrapf(errors.Join(withEarlierAttempts(lastErr, mayHaveRun), errConnectionLost), "after %d reconnections", cli.reconnects())
}

// retryable reports whether another entry may still serve the rest of an
// accepted request, or may accept one that was refused. A draining or starting
// entry refuses with status 503, an overloaded one with 429.
func retryable(ref *RefusalError, accepted bool) bool {
	if !accepted {
		return ref.Status == consts.StatusServiceUnavailable && ref.Executed == ExecutedNo
	}
	return ref.Status == consts.StatusNotFound || ref.Status == consts.StatusServiceUnavailable
}

// connect sends the call, or resumes it if it was accepted before, and reads
// events until the connection closes.
func (cli *Client) connect(ctx context.Context, str *stream, com Completion, body []byte) error {
	inner, err := cli.httpClient()
	if err != nil {
		return err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	cli.prepareRequest(req, str, com, body)
	if err := inner.Do(ctx, req, resp); err != nil {
		return eris.Wrap(err, "connect")
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if rid := resp.Header.Get("X-Request-Id"); rid != "" {
		str.answer.Request = wick.RequestID(rid)
	}
	if resp.StatusCode() != consts.StatusOK {
		return decodeRefusal(resp)
	}
	reader, err := sse.NewReader(resp)
	if err != nil {
		return eris.Wrap(err, "read events")
	}
	reader.SetMaxBufferSize(1 << 20)
	// ForEach must not observe the cancellation of ctx: the goroutine that it
	// starts to watch ctx may close the stream after it was returned to hertz's
	// pool and so break the connection of another call.
	detach := closeOnDone(ctx, resp.BodyStream())
	defer detach()
	err = reader.ForEach(context.WithoutCancel(ctx), str.handleEvent)
	if err == nil && !str.done {
		return errConnectionLost
	}
	return err
}

// closeOnDone closes the connection of a stream when ctx is done, which
// unblocks pending reads. The returned function disables this and waits for a
// close in progress.
func closeOnDone(ctx context.Context, body io.Reader) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if cls, ok := body.(interface{ ForceClose() error }); ok {
			_ = cls.ForceClose()
		}
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

func (cli *Client) prepareRequest(req *protocol.Request, str *stream, com Completion, body []byte) {
	req.Header.Set("Authorization", "Bearer "+cli.Key)
	req.Header.Set("Accept", "text/event-stream")
	if str.answer.Request != "" {
		req.SetRequestURI(cli.nextEntry() + "/v1/requests/" + string(str.answer.Request) + "/events")
		if str.lastID != "" {
			req.Header.Set("Last-Event-ID", str.lastID)
		}
		return
	}
	req.SetRequestURI(cli.nextEntry() + "/v1/completions")
	req.SetMethod(consts.MethodPost)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	if com.Deadline > 0 {
		req.Header.Set("X-Deadline-Millis", strconv.FormatInt(com.Deadline.Milliseconds(), 10))
	}
	if com.Priority > 0 {
		req.Header.Set("X-Priority", strconv.Itoa(int(com.Priority)))
	}
	req.SetBody(body)
}

// decodeRefusal decodes the refusal from a problem document.
func decodeRefusal(resp *protocol.Response) error {
	ref := &RefusalError{}
	body, err := resp.BodyE()
	if err != nil {
		return eris.Wrap(err, "read refusal")
	}
	if err := json.Unmarshal(body, ref); err != nil || ref.Executed == "" {
		ref = &RefusalError{Title: "unexpected answer", Executed: ExecutedUnknown}
		if isParseRefusal(resp.StatusCode()) {
			ref = &RefusalError{Title: consts.StatusMessage(resp.StatusCode()), Executed: ExecutedNo}
		}
	}
	ref.Status = resp.StatusCode()
	if secs, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		ref.RetryAfter = time.Duration(secs) * time.Second
	}
	return ref
}

// isParseRefusal reports whether entries respond with this status, in plain
// text, to calls that they can't parse. Other responses without a problem
// document leave it open whether the call ran.
func isParseRefusal(status int) bool {
	switch status {
	case consts.StatusBadRequest, consts.StatusRequestTimeout, consts.StatusRequestEntityTooLarge,
		consts.StatusRequestHeaderFieldsTooLarge:
		return true
	default:
		return false
	}
}
