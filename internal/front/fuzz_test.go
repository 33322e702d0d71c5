package front

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Guards against request input that causes a panic, exceeds a limit or is parsed
// ambiguously.
func FuzzCaller(fuz *testing.F) {
	fuz.Add("Bearer k1", "100", "3", "key", "1-ab", "/s/orders/a?b", []byte(`{"model":"llm","prompt":"a"}`))
	fuz.Add("bearer  ", "-1", "10", "\x00", "-", "/s//", []byte(`{"model":"llm","messages":[{"content":"a"}],"max_tokens":1}`))
	fuz.Add("", "", "", "", "", "/s/a/%2e%2e/b", []byte(`[]`))
	fuz.Fuzz(func(t *testing.T, auth, deadline, priority, key, event, uri string, body []byte) {
		if cus, ok := authenticate(testBundle, auth); ok != (cus != "") || (ok && !strings.HasSuffix(auth, " k1") && !strings.HasSuffix(auth, " k2")) {
			t.Errorf("key %q authenticated as %q", auth, cus)
		}
		var cal caller
		if prb := cal.parseHeaders(deadline, priority, key); prb == nil {
			if cal.priority > wick.MaxPriority || len(cal.key) > maxKeyBytes || time.Until(cal.deadline) > maxDeadline {
				t.Errorf("headers exceed a limit: %+v", cal)
			}
		}
		if cur, err := stream.ParseCursor(event); err == nil {
			reparsed, err := stream.ParseCursor(cur.String())
			if err != nil || reparsed != cur || cur.Events < 0 {
				t.Errorf("cursor %q parsed as %+v, reparsed as %+v", event, cur, reparsed)
			}
		}
		if target, path, prb := plainPath(uri); prb == nil {
			if path[0] != '/' || target[0] != '/' || strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") ||
				strings.Contains(path, "//") {
				t.Errorf("URI %q yields target %q and path %q", uri, target, path)
			}
		}
		for _, route := range []string{routeChat, routeText} {
			bod, tokens, prb := parseModel(body, route, 100)
			if prb == nil && (bod.Model == "" || tokens <= 0 || tokens > 100) {
				t.Errorf("%s: got %+v, %d", route, bod, tokens)
			}
		}
		var enc encoder
		enc.prepare(stream.Info{Route: routeChat, Service: wick.Service(auth)})
		if raw := enc.token(event); !json.Valid(raw) || strings.ContainsAny(string(raw), "\r\n") {
			t.Errorf("token %q encoded as %q", event, raw)
		}
	})
}
