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

// A Call is a call of a plain service.
type Call struct {
	Service wick.Service
	Method  string
	// Path is the path below the service, starting with "/".
	Path string
	// Key makes a call that is not idempotent safe to repeat.
	Key  wick.IdempotencyKey
	Body []byte
	// Retry lets Do repeat the call: after a refusal that says "not
	// executed", and after a lost connection if Key is set or the method is
	// GET.
	Retry bool
}

// A Reply is the complete answer of a plain service.
type Reply struct {
	Request wick.RequestID
	Status  int
	Body    []byte
	// Replayed is set for a recorded answer to an earlier call with the key.
	Replayed bool
	Total    time.Duration
	Tries    int
}

// Do runs a call of a plain service. The error is a *RefusalError for a refused
// call; any other error leaves the outcome unknown.
func (cli *Client) Do(ctx context.Context, call Call) (Reply, error) {
	started := time.Now()
	var rep Reply
	var last error
	for try := 0; try <= cli.reconnects(); try++ {
		if try > 0 {
			if err := cli.pause(ctx, try); err != nil {
				return rep, eris.Wrap(errors.Join(last, err), "call")
			}
		}
		rep, last = cli.exchange(ctx, call)
		rep.Tries = try + 1
		rep.Total = time.Since(started)
		if last == nil || ctx.Err() != nil || !mayRepeat(call, last) {
			return rep, last
		}
	}
	return rep, last
}

// mayRepeat reports whether a failed call may be sent again without running
// twice. A call that reached no entry, or one that leaves, is always repeated.
func mayRepeat(call Call, err error) bool {
	var ref *RefusalError
	var nerr *net.OpError
	switch {
	case errors.As(err, &nerr) && nerr.Op == "dial":
		return true
	case !errors.As(err, &ref):
		return call.Retry && (call.Key != "" || call.Method == consts.MethodGet)
	case ref.entryLeaves():
		return true
	case call.Retry && ref.Executed == ExecutedNo:
		return ref.Status == consts.StatusServiceUnavailable || ref.Status == consts.StatusTooManyRequests ||
			ref.Status == consts.StatusConflict
	default:
		return false
	}
}

func (cli *Client) exchange(ctx context.Context, call Call) (Reply, error) {
	inner, err := cli.client()
	if err != nil {
		return Reply{}, err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(call.Method)
	req.SetRequestURI(cli.base() + "/s/" + string(call.Service) + call.Path)
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
		return Reply{Request: wick.RequestID(resp.Header.Get("X-Request-Id"))}, refusalOf(resp)
	}
	return Reply{
		Request:  wick.RequestID(resp.Header.Get("X-Request-Id")),
		Status:   resp.StatusCode(),
		Body:     append([]byte(nil), body...),
		Replayed: resp.Header.Get("Idempotency-Replayed") == "true",
	}, nil
}
