package front

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A backend fakes every system behind a stream.Table. Its answer is one token
// per word of the prompt, in upper case.
type backend struct {
	mu sync.Mutex
	// failAfter is the token index at which each attempt fails; 0 means never.
	failAfter int
	// tokenGate, if not nil, must deliver a value before each token is sent.
	tokenGate chan struct{}
	calls     []wick.PlainCall
}

func (*backend) Pick(wick.RouteQuery) (wick.Assignment, error) {
	return wick.Assignment{VM: wick.VM{ID: "vm1"}, Done: func(wick.Outcome) {}}, nil
}

func (*backend) Evacuation(wick.VMID) <-chan struct{} { return nil }

func (*backend) Admit(_ context.Context, que wick.AdmitQuery) (func(wick.Outcome), error) {
	if que.Priority == 0 {
		return nil, &wick.RetryAfterError{Err: wick.ErrBusy, After: 2500 * time.Millisecond}
	}
	return func(wick.Outcome) {}, nil
}

func (bac *backend) Generate(
	ctx context.Context, _ wick.VM, gen wick.Generation, sink func(wick.Token) error,
) (wick.Generated, error) {
	text := gen.Prompt.Text
	if len(gen.Prompt.Messages) > 0 {
		text = gen.Prompt.Messages[0].Content
	}
	words := strings.Fields(strings.ToUpper(text))
	for idx := len(gen.Continue); idx < len(words); idx++ {
		if bac.failAfter > 0 && idx >= bac.failAfter {
			return wick.Generated{}, wick.ErrTruncated
		}
		if bac.tokenGate != nil {
			select {
			case <-bac.tokenGate:
			case <-ctx.Done():
				return wick.Generated{}, ctx.Err()
			}
		}
		if err := sink(wick.Token{Index: wick.Tokens(idx), Text: words[idx]}); err != nil {
			return wick.Generated{}, err
		}
	}
	return wick.Generated{Count: wick.Tokens(len(words)), Finish: wick.FinishStop}, nil
}

func (*backend) Cancel(context.Context, wick.VM, wick.AttemptID) error { return nil }

func (*backend) Export(context.Context, wick.VM, wick.AttemptID) (wick.KVHandle, error) {
	return "", wick.ErrUnavailable
}

func (*backend) Load(context.Context, wick.VM) (wick.LoadReport, error) {
	return wick.LoadReport{}, nil
}

func (*backend) CacheEvents(context.Context, wick.VM, uint64) ([]wick.CacheEvent, error) {
	return nil, nil
}

func (*backend) Order(context.Context, wick.VM, wick.Order) error { return nil }

func (*backend) Members() []wick.Member { return nil }

func (*backend) LastSeen(wick.EntryID) time.Time { return time.Time{} }

func (*backend) Claim(_ context.Context, que wick.ClaimQuery) (wick.ClaimResult, error) {
	if que.Key == "used" {
		return wick.ClaimResult{State: wick.ClaimDone, Reply: wick.PlainReply{Status: 201, Body: []byte("recorded")}}, nil
	}
	if que.Key == "reused" {
		return wick.ClaimResult{}, wick.ErrKeyReused
	}
	return wick.ClaimResult{State: wick.ClaimGranted}, nil
}

func (*backend) Record(context.Context, wick.ClaimQuery, wick.ClaimOutcome) error { return nil }

type plainBackend struct{ *backend }

func (pla plainBackend) Call(_ context.Context, _ wick.VM, call wick.PlainCall) (wick.PlainReply, error) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	pla.calls = append(pla.calls, call)
	return wick.PlainReply{Status: 200, Headers: []wick.Header{{Name: "X-Kept", Value: "1"}}, Body: []byte("ok")}, nil
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal)
	os.Exit(m.Run())
}

var testBundle = &bundle.Bundle{
	Services: []bundle.Service{
		{Name: "llm", Kind: bundle.KindModel},
		{Name: "orders", Kind: bundle.KindPlain, Calls: []bundle.Call{{Method: "GET", Path: "/quotes", Idempotent: true}}},
	},
	Customers: []bundle.Customer{{Name: "one", KeyHash: keyHash("k1")}, {Name: "two", KeyHash: keyHash("k2")}},
}

// startServer starts a server with the backend and returns its address and
// table.
func startServer(t *testing.T, bac *backend, cfg Config) (string, *stream.Table) {
	t.Helper()
	tab := stream.New(stream.Config{
		Self: "e1", Router: bac, Admitter: bac, Engine: bac, Plain: plainBackend{bac}, Ledger: bac, Members: bac,
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Table, cfg.Listener, cfg.Bundle = tab, lis, func() *bundle.Bundle { return testBundle }
	srv := New(cfg)
	go func() { _ = srv.Serve() }()
	t.Cleanup(func() {
		tab.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	return lis.Addr().String(), tab
}

type reply struct {
	code   int
	header http.Header
}

// send sends a request and returns the response and its body. The error is
// io.ErrUnexpectedEOF if the response was aborted.
func send(t *testing.T, method, url, body string, headers ...string) (reply, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k1")
	for idx := 0; idx < len(headers); idx += 2 {
		if headers[idx] != "" {
			req.Header.Set(headers[idx], headers[idx+1])
		}
	}
	res, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header}, string(raw), err
}

const chatBody = `{"model":"llm","stream":%v,"messages":[{"role":"user","content":"a b c"}]}`

// parseEvents returns the event ids and the text of the tokens, and whether the
// stream contains the end marker.
func parseEvents(t *testing.T, body string) (ids []string, text string, done bool) {
	t.Helper()
	id := ""
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			id = rest
		}
		rest, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case rest == "[DONE]":
			done = true
		default:
			var chk chunk
			if err := json.Unmarshal([]byte(rest), &chk); err != nil {
				t.Fatalf("%v in %s", err, rest)
			}
			if chk.Choices[0].Delta != nil && *chk.Choices[0].Delta.Content != "" {
				ids = append(ids, id)
				text += *chk.Choices[0].Delta.Content
			}
		}
	}
	return ids, text, done
}

// Guards against streams that cannot be resumed after any event, and against
// answers that another customer can read.
func TestChatStreamAndResume(t *testing.T) {
	addr, _ := startServer(t, &backend{}, Config{})
	res, body, err := send(t, "POST", addr+routeChat, fmt.Sprintf(chatBody, true))
	ids, text, done := parseEvents(t, body)
	if err != nil || res.code != 200 || text != "ABC" || !done || len(ids) != 3 {
		t.Fatalf("got %d, %v, %s", res.code, err, body)
	}
	rid := res.header.Get("X-Request-Id")
	url := addr + "/v1/requests/" + rid
	for idx, id := range ids {
		_, body, err = send(t, "GET", url+"/events", "", "Last-Event-ID", id)
		rest, text, done := parseEvents(t, body)
		if err != nil || text != "ABC"[idx+1:] || !done || len(rest) != 2-idx {
			t.Errorf("after %s: got %s, %v", id, body, err)
		}
	}
	for name, tst := range map[string]struct {
		url, key, id string
		want         int
	}{
		"whole":                       {url, "k1", "", 200},
		"request of another customer": {url, "k2", "", 404},
		"events of another customer":  {url + "/events", "k2", "", 404},
		"malformed event id":          {url + "/events", "k1", "x", 400},
		"digest of another answer":    {url + "/events", "k1", "1-1", 409},
		"unknown":                     {addr + "/v1/requests/e1.none/events", "k1", "", 404},
	} {
		t.Run(name, func(t *testing.T) {
			res, body, _ := send(t, "GET", tst.url, "", "Authorization", "Bearer "+tst.key, "Last-Event-ID", tst.id)
			if res.code != tst.want || (tst.want == 200) != strings.Contains(body, `"content":"ABC"`) {
				t.Errorf("got %d: %s", res.code, body)
			}
		})
	}
}

// Guards against non-streaming responses that OpenAI clients cannot parse.
func TestNonStreamingAnswers(t *testing.T) {
	addr, _ := startServer(t, &backend{}, Config{})
	for name, tst := range map[string]struct{ path, body, want string }{
		"chat": {routeChat, fmt.Sprintf(chatBody, false), `"message":{"role":"assistant","content":"ABC"},"finish_reason":"stop"`},
		"text": {routeText, `{"model":"llm","prompt":"a \"b"}`, `"text":"A\"B","finish_reason":"stop"`},
	} {
		t.Run(name, func(t *testing.T) {
			res, body, err := send(t, "POST", addr+tst.path, tst.body)
			if err != nil || res.code != 200 || !strings.Contains(body, tst.want) {
				t.Errorf("got %d, %v: %s", res.code, err, body)
			}
		})
	}
}

// Guards against a truncated answer that a client cannot tell from a complete
// one.
func TestTruncatedAnswerIsAborted(t *testing.T) {
	addr, _ := startServer(t, &backend{failAfter: 2}, Config{})
	_, body, err := send(t, "POST", addr+routeChat, fmt.Sprintf(chatBody, true))
	if !errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(body, "[DONE]") ||
		!strings.Contains(body, "event: error") || !strings.Contains(body, `"executed":"unknown"`) {
		t.Errorf("streaming: got %v: %s", err, body)
	}
	res, body, _ := send(t, "POST", addr+routeChat, fmt.Sprintf(chatBody, false))
	if res.code != 502 || !strings.Contains(body, typePrefix+"truncated") {
		t.Errorf("whole: got %d: %s", res.code, body)
	}
}

// Guards against refusals with a wrong problem type, status or "executed"
// member.
func TestRefusals(t *testing.T) {
	addr, _ := startServer(t, &backend{}, Config{MaxBody: 1000, MaxHeader: 4000})
	chat := fmt.Sprintf(chatBody, false)
	for name, tst := range map[string]struct {
		method, path, body, header, value string
		status                            int
		want                              string
	}{
		"no key":                 {"POST", routeChat, chat, "Authorization", "", 401, "unauthorized"},
		"unknown key":            {"POST", routeChat, chat, "Authorization", "Bearer x", 401, "unauthorized"},
		"malformed JSON":         {"POST", routeChat, "{", "", "", 400, "invalid"},
		"no messages":            {"POST", routeChat, `{"model":"llm"}`, "", "", 400, "invalid"},
		"invalid max_tokens":     {"POST", routeText, `{"model":"llm","prompt":"a","max_tokens":0}`, "", "", 400, "invalid"},
		"plain service as model": {"POST", routeText, `{"model":"orders","prompt":"a"}`, "", "", 404, "unknownService"},
		"invalid deadline":       {"POST", routeChat, chat, "X-Deadline-Millis", "-1", 400, "invalid"},
		"invalid priority":       {"POST", routeChat, chat, "X-Priority", "10", 400, "invalid"},
		"key too long":           {"POST", "/s/orders/x", "", "Idempotency-Key", strings.Repeat("k", 256), 400, "invalid"},
		"busy":                   {"POST", routeChat, chat, "X-Priority", "0", 429, "busy"},
		"no plain service":       {"GET", "/s/llm/x", "", "", "", 404, "unknownService"},
		"relative path":          {"GET", "/s/orders/quotes/%2e%2e/book", "", "", "", 400, "invalid"},
		"key reused":             {"POST", "/s/orders/book", "", "Idempotency-Key", "reused", 422, "keyReused"},
		"no such path":           {"GET", "/x", "", "", "", 404, "unknownService"},
		"body too large":         {"POST", routeChat, strings.Repeat("x", 1001), "", "", 413, ""},
		"header too large":       {"POST", routeChat, "", "X-Long", strings.Repeat("x", 8000), 431, ""},
	} {
		t.Run(name, func(t *testing.T) {
			res, body, _ := send(t, tst.method, addr+tst.path, tst.body, tst.header, tst.value)
			var prb problem
			if res.code != tst.status {
				t.Fatalf("got %d: %s", res.code, body)
			}
			if tst.want == "" {
				return
			}
			if err := json.Unmarshal([]byte(body), &prb); err != nil || prb.Type != typePrefix+tst.want ||
				prb.Executed != stream.ExecutedNo {
				t.Errorf("got %v: %s", err, body)
			}
			if tst.want == "busy" && res.header.Get("Retry-After") != "3" {
				t.Errorf("Retry-After: %q", res.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against plain calls that lose parts of the request, forward the
// customer's key to the endpoint, or return a replayed reply without marking it.
func TestPlain(t *testing.T) {
	bac := &backend{}
	addr, _ := startServer(t, bac, Config{})
	res, body, _ := send(t, "PUT", addr+"/s/orders/book/a%20b?x=1", "body", "X-Mine", "m")
	if res.code != 200 || body != "ok" || res.header.Get("X-Kept") != "1" {
		t.Errorf("got %d: %s", res.code, body)
	}
	call := bac.calls[0]
	if call.Method != http.MethodPut || call.Path != "/book/a%20b?x=1" || string(call.Body) != "body" {
		t.Errorf("forwarded call %+v", call)
	}
	names := make(map[string]string)
	for _, hdr := range call.Headers {
		names[hdr.Name] = hdr.Value
	}
	if names["X-Mine"] != "m" || names["Authorization"] != "" || names["Host"] != "" {
		t.Errorf("forwarded headers %v", names)
	}
	res, body, _ = send(t, "POST", addr+"/s/orders/book", "", "Idempotency-Key", "used")
	if res.code != 201 || body != "recorded" || res.header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("replay: got %d: %s, %v", res.code, body, res.header)
	}
}

// Guards against slow clients and connection floods that exhaust memory.
func TestConnectionLimits(t *testing.T) {
	addr, _ := startServer(t, &backend{}, Config{MaxConnections: 1, ReadTimeout: 300 * time.Millisecond})
	var dia net.Dialer
	slowConn, err := dia.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slowConn.Close()
	fmt.Fprint(slowConn, "POST "+routeChat+" HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	time.Sleep(50 * time.Millisecond)
	res, body, _ := send(t, "GET", addr+"/readyz", "")
	if res.code != 503 || !strings.Contains(body, "tooManyConnections") {
		t.Errorf("connection over the limit: got %d: %s", res.code, body)
	}
	start := time.Now()
	line, _ := bufio.NewReader(slowConn).ReadString('\n')
	if time.Since(start) > 5*time.Second || !strings.Contains(line, " 4") {
		t.Errorf("slow client: got %q after %v", line, time.Since(start))
	}
	time.Sleep(50 * time.Millisecond)
	if res, body, _ = send(t, "GET", addr+"/readyz", ""); res.code != 200 {
		t.Errorf("after the slow client timed out: got %d: %s", res.code, body)
	}
}

// Guards against a draining entry that still accepts requests or reports ready
// to the load balancer.
func TestDrainRefuses(t *testing.T) {
	addr, tab := startServer(t, &backend{}, Config{})
	if res, body, _ := send(t, "GET", addr+"/readyz", ""); res.code != 200 {
		t.Fatalf("got %d: %s", res.code, body)
	}
	if err := tab.Drain(t.Context(), time.Second); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/readyz": "notReady", routeChat: "leaving"} {
		method := "POST"
		if path == "/readyz" {
			method = "GET"
		}
		res, body, _ := send(t, method, addr+path, fmt.Sprintf(chatBody, false))
		if res.code != 503 || !strings.Contains(body, want) || !strings.Contains(body, `"executed":"no"`) {
			t.Errorf("%s: got %d: %s", path, res.code, body)
		}
	}
}

// Guards against a request that is cancelled when its client disconnects and
// that therefore cannot be resumed.
func TestResumeAfterDisconnect(t *testing.T) {
	bac := &backend{tokenGate: make(chan struct{})}
	addr, _ := startServer(t, bac, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+routeChat, strings.NewReader(fmt.Sprintf(chatBody, true)))
	req.Header.Set("Authorization", "Bearer k1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	rid := res.Header.Get("X-Request-Id")
	bac.tokenGate <- struct{}{}
	rea := bufio.NewReader(res.Body)
	id := ""
	for id == "" {
		line, err := rea.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		id, _ = strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !strings.HasPrefix(line, "id: ") {
			id = ""
		}
	}
	cancel()
	go func() {
		time.Sleep(200 * time.Millisecond)
		close(bac.tokenGate)
	}()
	_, body, err := send(t, "GET", addr+"/v1/requests/"+rid+"/events", "", "Last-Event-ID", id)
	if _, text, done := parseEvents(t, body); err != nil || text != "BC" || !done {
		t.Errorf("got %v: %s", err, body)
	}
}
