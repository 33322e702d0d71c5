package wire

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	maxLoadBytes       = 64 << 10
	defaultLoadTimeout = time.Second
)

// setJSONBody sets the call's body to in as JSON unless in is nil.
func setJSONBody(call *Call, in any) error {
	if in == nil {
		return nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return NewError(wick.ErrNotSent, call.Method, err)
	}
	call.Body = body
	call.Header = call.Header.Clone()
	if call.Header == nil {
		call.Header = make(http.Header)
	}
	call.Header.Set(HeaderType, JSONMedia)
	return nil
}

// DoJSON is like Do with in as the call's JSON body.
func (cli *Client) DoJSON(ctx context.Context, call Call, in any) (*Reply, error) {
	if err := setJSONBody(&call, in); err != nil {
		return nil, err
	}
	return cli.Do(ctx, call)
}

// ExchangeJSON sends in as JSON unless it is nil, and decodes a reply of status 2xx
// into out unless out is nil. Other replies are returned undecoded,
// without an error.
func (cli *Client) ExchangeJSON(ctx context.Context, call Call, in, out any, limit int64) (FullReply, error) {
	if err := setJSONBody(&call, in); err != nil {
		return FullReply{}, err
	}
	ans, err := cli.Exchange(ctx, call, limit)
	if err != nil || out == nil || ans.Status/100 != 2 {
		return ans, err
	}
	if err := json.Unmarshal(ans.Body, out); err != nil {
		return ans, NewError(wick.ErrUnknownOutcome, call.Method, err)
	}
	return ans, nil
}

// StatusError returns an error that wraps kind and contains the reply's status.
func StatusError(ans FullReply, kind error, op string) error {
	return NewError(kind, op, errors.New("status "+strconv.Itoa(ans.Status)))
}

// FetchLoad fetches the load report of an endpoint. Its errors wrap
// wick.ErrUnavailable. A timeout of zero means 1 s.
func (cli *Client) FetchLoad(ctx context.Context, vm wick.VM, timeout time.Duration) (wick.LoadReport, error) {
	const op = "load"
	ctx, cancel := context.WithTimeout(ctx, orDefault(timeout, defaultLoadTimeout))
	defer cancel()
	var rep wick.LoadReport
	ans, err := cli.ExchangeJSON(ctx, Call{Method: http.MethodGet, URL: "http://" + vm.Address + "/load"}, nil, &rep, maxLoadBytes)
	if err != nil {
		return wick.LoadReport{}, NewError(wick.ErrUnavailable, op, err)
	}
	if ans.Status != http.StatusOK {
		return wick.LoadReport{}, StatusError(ans, wick.ErrUnavailable, op)
	}
	return rep, nil
}
