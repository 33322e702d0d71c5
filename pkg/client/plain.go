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
	// executed", after a connection that could not be made, and after a lost
	// connection if Key is set.
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
	var mayHaveRun bool
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
			return rep, doubt(last, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !notSent(last)
	}
	return rep, doubt(last, mayHaveRun)
}

// notSent reports whether a try provably did not run: it was refused as not
// executed, or no connection was made.
func notSent(err error) bool {
	var ref *RefusalError
	if errors.As(err, &ref) {
		return ref.Executed == ExecutedNo
	}
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// doubt returns the error of a call whose earlier tries may have run. The last
// try's "not executed" says nothing about those.
func doubt(err error, mayHaveRun bool) error {
	var ref *RefusalError
	if !mayHaveRun || !errors.As(err, &ref) || ref.Executed != ExecutedNo {
		return err
	}
	out := *ref
	out.Executed = ExecutedUnknown
	return &out
}

// mayRepeat reports whether a failed call may be sent again without running
// twice. A call that reached no entry is always repeated.
func mayRepeat(call Call, err error) bool {
	var ref *RefusalError
	if !errors.As(err, &ref) {
		return notSent(err) || call.Retry && (call.Key != "" || call.Method == consts.MethodGet)
	}
	if call.Retry && ref.Executed == ExecutedNo {
		return ref.Status == consts.StatusServiceUnavailable || ref.Status == consts.StatusTooManyRequests ||
			ref.Status == consts.StatusConflict
	}
	return false
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
