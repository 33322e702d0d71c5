// Package cloud implements a client of the cloud's VM API.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultTimeout = 5 * time.Second
	// maxListBytes fits 10,000 endpoints and 1,900 entries of 1 KiB each.
	maxListBytes = 16 << 20
)

// A Client implements wick.Cloud. URL must be set; other zero values are ready
// to use.
type Client struct {
	// HTTP is the connection pool.
	HTTP wire.Client
	// URL is the base URL of the API, without a trailing slash.
	URL string
	// Timeout bounds each call; 5 s if zero.
	Timeout time.Duration

	mu sync.Mutex
	// tag is the entity tag of list, the cached last list.
	tag  string
	list []wick.VM
}

var _ wick.Cloud = (*Client)(nil)

// A ListReply is the reply of GET /vms.
type ListReply struct {
	VMs []wick.VM `json:"vms"`
}

// VMs returns the list of VMs, which is eventually consistent. An unchanged
// list is returned as the same slice, so the caller must not modify it. A list
// of 10,000 endpoints takes megabytes, so it is fetched by conditional request
// and transferred only if its entity tag has changed.
func (cli *Client) VMs(ctx context.Context) ([]wick.VM, error) {
	const op = "cloud: list"
	cli.mu.Lock()
	tag, list := cli.tag, cli.list
	cli.mu.Unlock()
	call := wire.Call{Method: http.MethodGet, URL: cli.URL + "/vms"}
	if tag != "" {
		call.Header = http.Header{"If-None-Match": {tag}}
	}
	var rep ListReply
	ans, err := cli.exchange(ctx, op, call, nil, &rep)
	if err != nil {
		return nil, err
	}
	if ans.Status == http.StatusNotModified && tag != "" {
		return list, nil
	}
	if err := check(ans, op); err != nil {
		return nil, err
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.tag, cli.list = ans.Header.Get("ETag"), rep.VMs
	return rep.VMs, nil
}

// Start starts a VM. A call that fails with wick.ErrUnavailable can be retried
// with the same idempotency token.
func (cli *Client) Start(ctx context.Context, ord wick.StartOrder) (wick.VM, error) {
	var vm wick.VM
	err := cli.call(ctx, "cloud: start", wire.Call{
		Method: http.MethodPost, URL: cli.URL + "/vms",
		Header: http.Header{wire.HeaderKey: {ord.Token}},
	}, ord, &vm)
	return vm, err
}

// Stop terminates a VM.
func (cli *Client) Stop(ctx context.Context, vid wick.VMID) error {
	return cli.call(ctx, "cloud: stop", wire.Call{
		Method: http.MethodDelete, URL: cli.URL + "/vms/" + url.PathEscape(string(vid)),
	}, nil, nil)
}

// Register adds a VM to the list of a cloud stand-in, or replaces the VM with
// the same id. It is not part of the cloud's API.
func (cli *Client) Register(ctx context.Context, vm wick.VM) error {
	return cli.call(ctx, "cloud: register", wire.Call{
		Method: http.MethodPut, URL: cli.URL + "/vms/" + url.PathEscape(string(vm.ID)),
	}, vm, nil)
}

func (cli *Client) call(ctx context.Context, op string, call wire.Call, in, out any) error {
	ans, err := cli.exchange(ctx, op, call, in, out)
	if err != nil {
		return err
	}
	return check(ans, op)
}

func (cli *Client) exchange(ctx context.Context, op string, call wire.Call, in, out any) (wire.FullReply, error) {
	wait := cli.Timeout
	if wait == 0 {
		wait = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ans, err := cli.HTTP.ExchangeJSON(ctx, call, in, out, maxListBytes)
	if err != nil {
		return wire.FullReply{}, wire.NewError(wick.ErrUnavailable, op, err)
	}
	return ans, nil
}

// check maps a response status to an error.
func check(ans wire.FullReply, op string) error {
	switch {
	case ans.Status/100 == 2:
		return nil
	case ans.Status == http.StatusNotFound:
		return wire.StatusError(ans, wick.ErrNotFound, op)
	case ans.Status == http.StatusTooManyRequests || ans.Status == http.StatusConflict:
		return wire.StatusError(ans, wick.ErrBusy, op)
	}
	if err := wire.NotExecutedError(ans, op); err != nil {
		return wire.NewError(wick.ErrBusy, op, err)
	}
	return wire.StatusError(ans, wick.ErrUnavailable, op)
}
