// Package plain is the HTTP client of plain services. It sends each call at
// most once and never retries it.
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

// errTarget rejects a path that would change the host of the URL, and the
// method CONNECT, which would open a tunnel.
var errTarget = errors.New("path has no leading slash or method is CONNECT")

// notForwarded lists the header fields that are not forwarded: hop-by-hop fields
// (RFC 9110 section 7.6.1) and those that the client sets itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	wire.HeaderKey: true, wire.HeaderAttempt: true,
}

// A Client implements wick.PlainCaller. Its zero value is ready to use.
type Client struct {
	// HTTP is the connection pool of calls.
	HTTP wire.Client
	// Control is a separate connection pool for load reports, so that they
	// proceed while calls exhaust HTTP.
	Control wire.Client
	// MaxReplyBytes limits the size of a reply body; 8 MiB if zero.
	MaxReplyBytes int64
	// ReplyTimeout is the idle timeout of a reply: the longest time without any
	// bytes from the endpoint; 30 s if zero.
	ReplyTimeout time.Duration
	// LoadTimeout is the timeout of a load report; 1 s if zero.
	LoadTimeout time.Duration
}

var _ wick.PlainCaller = (*Client)(nil)

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.HTTP.Close()
	cli.Control.Close()
}

// Call sends a call once and returns the complete reply with any status code.
// Only an explicit refusal is an error, wick.ErrNotExecuted.
func (cli *Client) Call(ctx context.Context, vm wick.VM, call wick.PlainCall) (wick.PlainReply, error) {
	const op = "plain: call"
	if !strings.HasPrefix(call.Path, "/") || call.Method == http.MethodConnect {
		return wick.PlainReply{}, wire.NewError(wick.ErrNotSent, op, errTarget)
	}
	maxBytes := cli.MaxReplyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxReplyBytes
	}
	ans, err := cli.HTTP.Exchange(ctx, wire.Call{
		Method: call.Method, URL: "http://" + vm.Address + call.Path,
		Header: requestHeader(call), Body: call.Body, NoRetry: true, StallTimeout: cli.ReplyTimeout,
		// Plain services need not echo the attempt, so only a connection that no
		// other call has used tells whose answer it is.
		CloseConn: true,
	}, maxBytes)
	if err != nil {
		return wick.PlainReply{}, err
	}
	if err := wire.CheckAttempt(ans.Header, call.Attempt, op); err != nil {
		return wick.PlainReply{}, err
	}
	if err := wire.NotExecutedError(ans, op); err != nil {
		return wick.PlainReply{}, err
	}
	return wick.PlainReply{Status: ans.Status, Headers: responseHeaders(ans.Header), Body: ans.Body}, nil
}

// Load returns the endpoint's load report.
func (cli *Client) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	return cli.Control.FetchLoad(ctx, vm, cli.LoadTimeout)
}

func requestHeader(call wick.PlainCall) http.Header {
	hdr := make(http.Header)
	hopByHop := make(map[string]bool)
	for _, fld := range call.Headers {
		if textproto.CanonicalMIMEHeaderKey(fld.Name) == "Connection" {
			for name := range strings.SplitSeq(fld.Value, ",") {
				hopByHop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
			}
		}
	}
	for _, fld := range call.Headers {
		name := textproto.CanonicalMIMEHeaderKey(fld.Name)
		if !notForwarded[name] && !hopByHop[name] {
			hdr.Add(name, fld.Value)
		}
	}
	hdr.Set(wire.HeaderAttempt, string(call.Attempt))
	if call.Key != "" {
		hdr.Set(wire.HeaderKey, string(call.Key))
	}
	return hdr
}

func responseHeaders(hdr http.Header) []wick.Header {
	var out []wick.Header
	for _, name := range slices.Sorted(maps.Keys(hdr)) {
		if notForwarded[name] {
			continue
		}
		for _, val := range hdr[name] {
			out = append(out, wick.Header{Name: name, Value: val})
		}
	}
	return out
}
