// Package plain is the client of plain services. It sends each call at most
// once and never repeats it.
package plain

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const defaultMaxReplyBytes = 8 << 20

// errTarget reports a path that could change the host of the URL, or the
// method CONNECT, which opens a tunnel.
var errTarget = errors.New("path without a leading slash or method CONNECT")

// dropped lists header fields that are not sent on: those of one connection
// (RFC 9110 section 7.6.1), and those that the client sets itself.
var dropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	wire.HeaderKey: true, wire.HeaderAttempt: true,
}

// A Client implements wick.Plain. Its zero value is ready to use.
type Client struct {
	// HTTP holds the connections of calls.
	HTTP wire.Client
	// Control holds the connections of load reports, so that a pool full of
	// calls does not delay them.
	Control wire.Client
	// MaxReplyBytes bounds the body of a reply; 8 MiB if zero.
	MaxReplyBytes int64
	// ReplyTimeout bounds the wait for the next part of a reply; 30 s if zero.
	ReplyTimeout time.Duration
	// LoadTimeout bounds the wait for a load report; 1 s if zero.
	LoadTimeout time.Duration
}

var _ wick.Plain = (*Client)(nil)

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.HTTP.Close()
	cli.Control.Close()
}

// Call sends a call once and returns the complete reply, whatever its status,
// except for an explicit refusal, which is wick.ErrNotExecuted.
func (cli *Client) Call(ctx context.Context, vm wick.VM, call wick.PlainCall) (wick.PlainReply, error) {
	const op = "plain: call"
	if !strings.HasPrefix(call.Path, "/") || call.Method == http.MethodConnect {
		return wick.PlainReply{}, wire.Fail(wick.ErrNotSent, op, errTarget)
	}
	limit := cli.MaxReplyBytes
	if limit == 0 {
		limit = defaultMaxReplyBytes
	}
	ans, err := cli.HTTP.Exchange(ctx, wire.Call{
		Method: call.Method, URL: "http://" + vm.Address + call.Path,
		Header: header(call), Body: call.Body, Once: true, Stall: cli.ReplyTimeout,
	}, limit)
	if err != nil {
		return wick.PlainReply{}, err
	}
	if err := wire.CheckAttempt(ans.Header, call.Attempt, op); err != nil {
		return wick.PlainReply{}, err
	}
	if err := wire.Refusal(ans, op); err != nil {
		return wick.PlainReply{}, err
	}
	return wick.PlainReply{Status: ans.Status, Headers: fields(ans.Header), Body: ans.Body}, nil
}

// Load returns the endpoint's load report.
func (cli *Client) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	return cli.Control.Load(ctx, vm, cli.LoadTimeout)
}

func header(call wick.PlainCall) http.Header {
	hdr := make(http.Header)
	perConn := make(map[string]bool)
	for _, fld := range call.Headers {
		if textproto.CanonicalMIMEHeaderKey(fld.Name) == "Connection" {
			for name := range strings.SplitSeq(fld.Value, ",") {
				perConn[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
			}
		}
	}
	for _, fld := range call.Headers {
		name := textproto.CanonicalMIMEHeaderKey(fld.Name)
		if !dropped[name] && !perConn[name] {
			hdr.Add(name, fld.Value)
		}
	}
	hdr.Set(wire.HeaderAttempt, string(call.Attempt))
	if call.Key != "" {
		hdr.Set(wire.HeaderKey, string(call.Key))
	}
	return hdr
}

func fields(hdr http.Header) []wick.Header {
	var out []wick.Header
	for _, name := range slices.Sorted(maps.Keys(hdr)) {
		if dropped[name] {
			continue
		}
		for _, val := range hdr[name] {
			out = append(out, wick.Header{Name: name, Value: val})
		}
	}
	return out
}
