package client

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Call is a call to a plain service.
type Call struct {
	Service wick.Service
	Method  string
	// Path is the path below the service, starting with "/".
	Path string
	// Key makes a call that is not idempotent safe to retry.
	Key  wick.IdempotencyKey
	Body []byte
	// Retry lets Do retry the call after a refusal marked as not executed, and
	// after a lost connection if Key is set or the method is GET. Do always
	// retries after a failed dial.
	Retry bool
}

// A Reply is the complete answer of a plain service.
type Reply struct {
	Request wick.RequestID
	Status  int
	Body    []byte
	// Replayed is set for the recorded answer to an earlier call with the same
	// key.
	Replayed bool
	Total    time.Duration
	Attempts int
}

// Do runs a call to a plain service. The error is a *RefusalError for a refused
// call; any other error leaves the outcome unknown.
func (cli *Client) Do(ctx context.Context, call Call) (Reply, error) {
	started := time.Now()
	var rep Reply
	var lastErr error
	var mayHaveRun bool
	for attempt := 0; attempt <= cli.reconnects(); attempt++ {
		if attempt > 0 {
			if err := cli.waitBackoff(ctx, attempt); err != nil {
				return rep, eris.Wrap(errors.Join(lastErr, err), "call")
			}
		}
		rep, lastErr = cli.exchange(ctx, call)
		rep.Attempts = attempt + 1
		rep.Total = time.Since(started)
		if lastErr == nil || ctx.Err() != nil || !mayRetry(call, lastErr) {
			return rep, withEarlierAttempts(lastErr, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !notExecuted(lastErr)
	}
	return rep, withEarlierAttempts(lastErr, mayHaveRun)
}

// notExecuted reports whether an attempt provably did not run: it was refused as
// not executed, or the dial failed.
func notExecuted(err error) bool {
	var ref *RefusalError
	if errors.As(err, &ref) {
		return ref.Executed == ExecutedNo
	}
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// withEarlierAttempts changes the refusal of the last attempt from not executed
// to unknown if an earlier attempt may have run, since the refusal covers only
// the last one.
func withEarlierAttempts(err error, mayHaveRun bool) error {
	var ref *RefusalError
	if !mayHaveRun || !errors.As(err, &ref) || ref.Executed != ExecutedNo {
		return err
	}
	out := *ref
	out.Executed = ExecutedUnknown
	return &out
}

// mayRetry reports whether a failed call may be retried without running twice.
// A call that reached no entry is always retried.
func mayRetry(call Call, err error) bool {
	var ref *RefusalError
	if !errors.As(err, &ref) {
		return notExecuted(err) || call.Retry && (call.Key != "" || call.Method == consts.MethodGet)
	}
	if call.Retry && ref.Executed == ExecutedNo {
		return ref.Status == consts.StatusServiceUnavailable || ref.Status == consts.StatusTooManyRequests ||
			ref.Status == consts.StatusConflict
	}
	return false
}

func (cli *Client) exchange(ctx context.Context, call Call) (Reply, error) {
	inner, err := cli.httpClient()
	if err != nil {
		return Reply{}, err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(call.Method)
	req.SetRequestURI(cli.nextEntry() + "/s/" + string(call.Service) + call.Path)
	req.Header.Set("Authorization", "Bearer "+cli.Key)
	if call.Key != "" {
		// The IETF draft makes the value a structured field string.
		req.Header.Set("Idempotency-Key", `"`+string(call.Key)+`"`)
	}
	req.SetBody(call.Body)
	if err := inner.Do(ctx, req, resp); err != nil {
		return Reply{}, eris.Wrap(err, "connect")
	}
	body, err := resp.BodyE()
	if err != nil {
		return Reply{}, eris.Wrap(err, "read answer")
	}
	if string(resp.Header.ContentType()) == "application/problem+json" {
		return Reply{Request: wick.RequestID(resp.Header.Get("X-Request-Id"))}, decodeRefusal(resp)
	}
	return Reply{
		Request:  wick.RequestID(resp.Header.Get("X-Request-Id")),
		Status:   resp.StatusCode(),
		Body:     append([]byte(nil), body...),
		Replayed: resp.Header.Get("Idempotency-Replayed") == "true",
	}, nil
}
