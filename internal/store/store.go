// Package store is the client of the platform's object API: RFC 9110
// conditional requests, and RFC 7240 "Prefer: wait" for watches.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultTimeout   = 2 * time.Second
	defaultWatchWait = 25 * time.Second
	// defaultMaxListBytes fits a shard's 24 h of sealed segments; larger lists
	// fail, which bounds memory.
	defaultMaxListBytes = 64 << 20
	maxProblemBytes     = 64 << 10
)

var (
	errETag = errors.New("reply has no valid ETag")
	errJSON = errors.New("object is not JSON or exceeds the size limit")
)

// A Client implements wick.Store. URL must be set; other zero values are ready
// to use.
type Client struct {
	// HTTP is the client that owns the connections.
	HTTP wire.Client
	// URL is the base URL of the API, without a trailing slash.
	URL string
	// Timeout is the timeout of calls other than Watch; 2 s if zero.
	Timeout time.Duration
	// WatchWait is the long-poll wait of a watch; 25 s if zero.
	WatchWait time.Duration
	// MaxListBytes limits the size of List and Watch replies; 64 MiB if zero.
	MaxListBytes int64
}

var _ wick.Store = (*Client)(nil)

// A ListReply is the body of a list or watch reply.
type ListReply struct {
	// Revision is the platform's revision at the time of the reply.
	Revision wick.Revision `json:"revision"`
	Objects  []Item        `json:"objects"`
}

// An Item is one object of a ListReply.
type Item struct {
	Name     string          `json:"name"`
	Revision wick.Revision   `json:"revision"`
	Data     json.RawMessage `json:"data,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// ETag returns the entity tag of a revision.
func ETag(rev wick.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(rev), 10)) }

// ParseETag returns the revision of a strong entity tag, and false if the tag
// is not one.
func ParseETag(tag string) (wick.Revision, bool) {
	inner, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	if inner, ok = strings.CutSuffix(inner, `"`); !ok {
		return 0, false
	}
	rev, err := strconv.ParseUint(inner, 10, 64)
	return wick.Revision(rev), err == nil && rev > 0
}

// Get returns an object.
func (cli *Client) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	const op = "store: get"
	ans, err := cli.call(ctx, op, wire.Call{Method: http.MethodGet, URL: cli.objectURL(key)}, wick.MaxObjectBytes)
	if err != nil {
		return wick.Object{}, err
	}
	rev, ok := ParseETag(ans.Header.Get("ETag"))
	if !ok {
		return wick.Object{}, wire.NewError(wick.ErrUnavailable, op, errETag)
	}
	return wick.Object{Key: key, Revision: rev, Data: ans.Body}, nil
}

// List returns all objects of a kind, ordered by name.
func (cli *Client) List(ctx context.Context, kind wick.Kind) ([]wick.Object, wick.Revision, error) {
	const op = "store: list"
	ans, err := cli.call(ctx, op, wire.Call{Method: http.MethodGet, URL: cli.kindURL(kind)}, cli.maxListBytes())
	if err != nil {
		return nil, 0, err
	}
	return decodeList(op, kind, ans.Body)
}

// Put writes an object if its revision is still rev; zero means that the object
// must not exist.
func (cli *Client) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	const op = "store: put"
	if len(data) > wick.MaxObjectBytes || !json.Valid(data) {
		return 0, wire.NewError(wick.ErrInvalid, op, errJSON)
	}
	hdr := conditionHeader(rev)
	hdr.Set(wire.HeaderType, wire.JSONMedia)
	ans, err := cli.call(ctx, op, wire.Call{
		Method: http.MethodPut, URL: cli.objectURL(key), Header: hdr, Body: data, NoRetry: true,
	}, maxProblemBytes)
	if err != nil {
		return 0, err
	}
	got, ok := ParseETag(ans.Header.Get("ETag"))
	if !ok {
		return 0, wire.NewError(wick.ErrUnavailable, op, errETag)
	}
	return got, nil
}

// Delete removes an object if its revision is still rev.
func (cli *Client) Delete(ctx context.Context, key wick.ObjectKey, rev wick.Revision) error {
	_, err := cli.call(ctx, "store: delete", wire.Call{
		Method: http.MethodDelete, URL: cli.objectURL(key), Header: conditionHeader(rev), NoRetry: true,
	}, maxProblemBytes)
	return err
}

// Watch long-polls for changes of a kind after a revision.
func (cli *Client) Watch(ctx context.Context, kind wick.Kind, after wick.Revision) ([]wick.Object, wick.Revision, error) {
	const op = "store: watch"
	wait := cli.WatchWait
	if wait == 0 {
		wait = defaultWatchWait
	}
	secs := max(1, int(wait/time.Second))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(secs)*time.Second+cli.timeout())
	defer cancel()
	ans, err := cli.exchange(ctx, op, wire.Call{
		Method:       http.MethodGet,
		URL:          cli.kindURL(kind) + "?after=" + strconv.FormatUint(uint64(after), 10),
		Header:       http.Header{"Prefer": {"wait=" + strconv.Itoa(secs)}},
		StallTimeout: time.Duration(secs)*time.Second + cli.timeout(),
	}, cli.maxListBytes())
	if err != nil {
		return nil, 0, err
	}
	return decodeList(op, kind, ans.Body)
}

func decodeList(op string, kind wick.Kind, body []byte) ([]wick.Object, wick.Revision, error) {
	var rep ListReply
	if err := json.Unmarshal(body, &rep); err != nil {
		return nil, 0, wire.NewError(wick.ErrUnavailable, op, err)
	}
	var out []wick.Object
	for _, itm := range rep.Objects {
		out = append(out, wick.Object{
			Key: wick.ObjectKey{Kind: kind, Name: itm.Name}, Revision: itm.Revision,
			Data: itm.Data, Deleted: itm.Deleted,
		})
	}
	return out, rep.Revision, nil
}

func conditionHeader(rev wick.Revision) http.Header {
	if rev == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {ETag(rev)}}
}

func (cli *Client) kindURL(kind wick.Kind) string {
	return cli.URL + "/objects/" + url.PathEscape(string(kind))
}

func (cli *Client) objectURL(key wick.ObjectKey) string {
	return cli.kindURL(key.Kind) + "/" + url.PathEscape(key.Name)
}

func (cli *Client) timeout() time.Duration {
	if cli.Timeout == 0 {
		return defaultTimeout
	}
	return cli.Timeout
}

func (cli *Client) maxListBytes() int64 {
	if cli.MaxListBytes == 0 {
		return defaultMaxListBytes
	}
	return cli.MaxListBytes
}

func (cli *Client) call(ctx context.Context, op string, call wire.Call, limit int64) (wire.FullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.timeout())
	defer cancel()
	return cli.exchange(ctx, op, call, limit)
}

// exchange sends a request and maps transport failures and HTTP statuses to the
// errors of wick.Store.
func (cli *Client) exchange(ctx context.Context, op string, call wire.Call, limit int64) (wire.FullReply, error) {
	ans, err := cli.HTTP.Exchange(ctx, call, limit)
	if err != nil {
		return ans, wire.NewError(wick.ErrUnavailable, op, err)
	}
	switch ans.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return ans, nil
	case http.StatusNotFound:
		return ans, wire.StatusError(ans, wick.ErrNotFound, op)
	case http.StatusPreconditionFailed:
		return ans, wire.StatusError(ans, wick.ErrConflict, op)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ans, wire.StatusError(ans, wick.ErrInvalid, op)
	default:
		return ans, wire.StatusError(ans, wick.ErrUnavailable, op)
	}
}
