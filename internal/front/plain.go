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

// notForwarded lists, in lower case, the hop-by-hop headers (RFC 9110, section
// 7.6.1) and the headers that this system defines.
var notForwarded = []string{
	"authorization", "connection", "content-length", "host", "idempotency-key", "keep-alive",
	"proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
	"upgrade", "x-deadline-millis", "x-priority", "x-request-id", "idempotency-replayed",
}

func isForwarded(name string) bool { return !slices.Contains(notForwarded, strings.ToLower(name)) }

// plain forwards a call to a plain service.
func (srv *Server) plain(ctx context.Context, rct *app.RequestContext, cal caller) {
	svc := cal.service(wick.Service(rct.Param("service")), bundle.KindPlain)
	if svc == nil {
		problemUnknownService.refuse("no such plain service").write(rct)
		return
	}
	target, path, prb := plainPath(string(rct.Request.Header.RequestURI()))
	if prb != nil {
		prb.write(rct)
		return
	}
	que := stream.PlainQuery{
		Customer: cal.customer, Service: svc.Name, Method: string(rct.Method()), Path: target,
		// Hertz reuses the body's buffer, and the call may outlive the request.
		Body: slices.Clone(rct.Request.Body()),
		Key:  cal.key, Deduplicates: svc.Deduplicates, Priority: cal.priority, Deadline: cal.deadline,
	}
	que.Route, que.Idempotent = matchCall(svc, que.Method, path)
	rct.Request.Header.VisitAll(func(name, value []byte) {
		if isForwarded(string(name)) {
			que.Headers = append(que.Headers, wick.Header{Name: string(name), Value: string(value)})
		}
	})
	ans, err := srv.cfg.Table.Call(ctx, que)
	if err != nil {
		prb := problemOf(err)
		if cal.key != "" && !que.Idempotent && prb.Executed == stream.ExecutedNo && prb.Detail == "" {
			prb.Detail = keyRefusedDetail
		}
		prb.write(rct)
		return
	}
	rct.SetStatusCode(ans.Reply.Status)
	for _, hdr := range ans.Reply.Headers {
		if isForwarded(hdr.Name) {
			rct.Response.Header.Add(hdr.Name, hdr.Value)
		}
	}
	if ans.Replayed {
		rct.Response.Header.Set("Idempotency-Replayed", "true")
	}
	rct.Response.SetBody(ans.Reply.Body)
}

// keyRefusedDetail is the detail when a call with an idempotency key is
// refused. The refusal may precede the ledger lookup, so it says nothing about
// earlier calls with the same key.
const keyRefusedDetail = "this request did not run; an earlier one with the same key may have: repeat with the same key, never with a new one"

// plainPath extracts the path below the service from a request URI. target is
// the path with the query as it is forwarded, path is decoded for matchCall.
// Ambiguous paths are refused: an endpoint could interpret them differently from
// matchCall, and a wrong match would treat a call as idempotent that is not.
func plainPath(uri string) (target, path string, prb *problem) {
	raw, query, hasQuery := strings.Cut(uri, "?")
	parts := strings.SplitN(raw, "/", 4)
	if len(parts) < 4 || parts[0] != "" || parts[1] != "s" {
		return "", "", problemInvalid.refuse("the path is not /s/{service}/{path}")
	}
	target = "/" + parts[3]
	path, err := url.PathUnescape(target)
	lower := strings.ToLower(target)
	if err != nil || strings.Contains(lower, "%2f") || strings.Contains(lower, "%25") ||
		strings.ContainsAny(path, "\\;\x00") {
		return "", "", problemInvalid.refuse("the path holds an ambiguous character")
	}
	for _, segment := range []string{"//", "/./", "/../"} {
		if strings.Contains(strings.TrimSuffix(path, "/")+"/", segment) {
			return "", "", problemInvalid.refuse("the path holds an empty or relative segment")
		}
	}
	if hasQuery {
		target += "?" + query
	}
	return target, path, nil
}

// matchCall returns the route of the first rule that matches a call. A call
// without a rule is not idempotent.
func matchCall(svc *bundle.Service, method, path string) (route string, idempotent bool) {
	for _, rul := range svc.Calls {
		if strings.EqualFold(rul.Method, method) && strings.HasPrefix(path, rul.Path) {
			return rul.Method + " " + rul.Path, rul.Idempotent
		}
	}
	return "other", false
}
