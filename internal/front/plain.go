package front

import (
	"context"
	"net/url"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// notForwarded lists headers, in lower case, that belong to one connection
// (RFC 9110, 7.6.1) or to this system.
var notForwarded = []string{
	"authorization", "connection", "content-length", "host", "idempotency-key", "keep-alive",
	"proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
	"upgrade", "x-deadline-millis", "x-priority", "x-request-id", "idempotency-replayed",
}

func forwarded(name string) bool { return !slices.Contains(notForwarded, strings.ToLower(name)) }

// plain sends a call to a plain service.
func (srv *Server) plain(ctx context.Context, rct *app.RequestContext, cal caller) {
	svc := cal.service(wick.Service(rct.Param("service")), bundle.KindPlain)
	if svc == nil {
		kindNoService.refuse("no such plain service").write(rct)
		return
	}
	sent, path, prb := plainPath(string(rct.Request.Header.RequestURI()))
	if prb != nil {
		prb.write(rct)
		return
	}
	que := stream.PlainQuery{
		Customer: cal.customer, Service: svc.Name, Method: string(rct.Method()), Path: sent,
		// hertz reuses the body's memory, and the call may outlive the request.
		Body: slices.Clone(rct.Request.Body()),
		Key:  cal.key, Deduplicates: svc.Deduplicates, Priority: cal.priority, Deadline: cal.deadline,
	}
	que.Route, que.Idempotent = matchCall(svc, que.Method, path)
	rct.Request.Header.VisitAll(func(name, value []byte) {
		if forwarded(string(name)) {
			que.Headers = append(que.Headers, wick.Header{Name: string(name), Value: string(value)})
		}
	})
	ans, err := srv.cfg.Table.Call(ctx, que)
	if err != nil {
		prb := problemOf(err)
		if cal.key != "" && !que.Idempotent && prb.Executed == stream.ExecutedNo && prb.Detail == "" {
			prb.Detail = repeatDetail
		}
		prb.write(rct)
		return
	}
	rct.SetStatusCode(ans.Reply.Status)
	for _, hdr := range ans.Reply.Headers {
		if forwarded(hdr.Name) {
			rct.Response.Header.Add(hdr.Name, hdr.Value)
		}
	}
	if ans.Replayed {
		rct.Response.Header.Set("Idempotency-Replayed", "true")
	}
	rct.Response.SetBody(ans.Reply.Body)
}

// repeatDetail is given with a refusal of a call with a key. It may come before
// the ledger was asked, when nothing is known of earlier calls with the key.
const repeatDetail = "this request did not run; an earlier one with the same key may have: repeat with the same key, never with a new one"

// plainPath takes the path below the service from a request URI: as it is sent
// on, with the query, and decoded for matching. Paths that an endpoint might
// read in another way than matchCall are refused, since a wrong match would
// make a call idempotent that is not.
func plainPath(uri string) (sent, path string, prb *problem) {
	raw, query, hasQuery := strings.Cut(uri, "?")
	parts := strings.SplitN(raw, "/", 4)
	if len(parts) < 4 || parts[0] != "" || parts[1] != "s" {
		return "", "", kindInvalid.refuse("the path is not /s/{service}/{path}")
	}
	sent = "/" + parts[3]
	path, err := url.PathUnescape(sent)
	lower := strings.ToLower(sent)
	if err != nil || strings.Contains(lower, "%2f") || strings.Contains(lower, "%25") ||
		strings.ContainsAny(path, "\\;\x00") {
		return "", "", kindInvalid.refuse("the path holds an ambiguous character")
	}
	for _, bad := range []string{"//", "/./", "/../"} {
		if strings.Contains(strings.TrimSuffix(path, "/")+"/", bad) {
			return "", "", kindInvalid.refuse("the path holds an empty or relative segment")
		}
	}
	if hasQuery {
		sent += "?" + query
	}
	return sent, path, nil
}

// matchCall finds the first rule for a call. A call without one is not
// idempotent.
func matchCall(svc *bundle.Service, method, path string) (route string, idempotent bool) {
	for _, rul := range svc.Calls {
		if strings.EqualFold(rul.Method, method) && strings.HasPrefix(path, rul.Path) {
			return rul.Method + " " + rul.Path, rul.Idempotent
		}
	}
	return "other", false
}
