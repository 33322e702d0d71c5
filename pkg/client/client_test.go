package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A scriptedEntry is a fake entry that answers successive calls with successive
// steps and repeats the last step.
type scriptedEntry struct {
	steps []http.HandlerFunc
	calls atomic.Int64
}

func (scr *scriptedEntry) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	num := int(scr.calls.Add(1)) - 1
	scr.steps[min(num, len(scr.steps)-1)](wtr, req)
}

func refuse(wtr http.ResponseWriter, _ *http.Request) {
	wtr.Header().Set("Content-Type", "application/problem+json")
	wtr.WriteHeader(http.StatusServiceUnavailable)
	_, _ = wtr.Write([]byte(`{"type":"/problems/notReady","title":"no","status":503,"executed":"no"}`))
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answer(wtr http.ResponseWriter, _ *http.Request) {
	wtr.Header().Set("Content-Type", "text/event-stream")
	wtr.Header().Set("X-Request-Id", "r1")
	_, _ = wtr.Write([]byte("id: 1\ndata: {\"choices\":[{\"text\":\" a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
}

func newScriptedClient(t *testing.T, steps ...http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(&scriptedEntry{steps: steps})
	t.Cleanup(srv.Close)
	return &Client{Entries: []string{srv.URL}, Reconnects: 2, Backoff: 1}
}

// TestRetryOutcome guards against reporting a draining entry's refusal to the
// caller although a retry would be accepted, and against reporting "not
// executed" for a call of which an earlier attempt may have run.
func TestRetryOutcome(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []http.HandlerFunc
		want  error
	}{
		{"refused, then accepted", []http.HandlerFunc{refuse, answer}, nil},
		{"refused", []http.HandlerFunc{refuse}, wick.ErrNotExecuted},
		{"connection lost, then refused", []http.HandlerFunc{abortConnection, refuse}, wick.ErrUnknownOutcome},
		{"refused, connection lost, refused", []http.HandlerFunc{refuse, abortConnection, refuse}, wick.ErrUnknownOutcome},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := newScriptedClient(t, row.steps...).Complete(t.Context(), Completion{Model: "quotes", Prompt: "p"}, nil)
			if !errors.Is(err, row.want) {
				t.Errorf("model call: error %v, want %v", err, row.want)
			}
			_, err = newScriptedClient(t, row.steps...).Do(t.Context(), Call{Service: "orders", Method: "POST", Path: "/", Key: "k", Retry: true})
			if !errors.Is(err, row.want) {
				t.Errorf("plain call: error %v, want %v", err, row.want)
			}
		})
	}
}

// TestUnreachableEntry guards against reporting an unknown outcome for a call
// that no entry received, and against failing a call without a key when one
// entry is unreachable.
func TestUnreachableEntry(t *testing.T) {
	srv := httptest.NewServer(&scriptedEntry{steps: []http.HandlerFunc{refuse}})
	defer srv.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, key := range []wick.IdempotencyKey{"", "k"} {
		// The attempts go to the second entry, the first and the second again.
		cli := &Client{Entries: []string{closed.URL, srv.URL}, Reconnects: 2, Backoff: 1}
		rep, err := cli.Do(t.Context(), Call{Service: "orders", Method: "POST", Path: "/", Key: key, Retry: true})
		if !errors.Is(err, wick.ErrNotExecuted) || rep.Attempts != 3 {
			t.Errorf("key %q: error %v after %d attempts, want %v after 3", key, err, rep.Attempts, wick.ErrNotExecuted)
		}
	}
}

// TestContextDone guards against a call that outlives its context while the
// entry sends nothing, and against closing the connection of another call.
func TestContextDone(t *testing.T) {
	unblock := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/completions" {
			wtr.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(wtr).Flush()
		}
		select {
		case <-unblock:
		case <-req.Context().Done():
		}
	}))
	defer srv.Close()
	defer close(unblock)
	cli := &Client{Entries: []string{srv.URL}}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			started := time.Now()
			_, err := cli.Complete(ctx, Completion{Model: "quotes", Prompt: "p"}, nil)
			if elapsed := time.Since(started); !errors.Is(err, context.DeadlineExceeded) || elapsed > 5*time.Second {
				t.Errorf("error %v after %v", err, elapsed)
			}
		})
	}
	wg.Wait()
}

// TestParseRefusal guards against reporting an unknown outcome for a call that the
// entry failed to parse, and against relying on statuses that a load balancer
// may produce.
func TestParseRefusal(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusRequestEntityTooLarge: wick.ErrNotExecuted,
		http.StatusBadRequest:            wick.ErrNotExecuted,
		http.StatusBadGateway:            wick.ErrUnknownOutcome,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			cli := newScriptedClient(t, func(wtr http.ResponseWriter, _ *http.Request) { http.Error(wtr, "plain text", status) })
			if _, err := cli.Complete(t.Context(), Completion{Model: "quotes", Prompt: "p"}, nil); !errors.Is(err, want) {
				t.Errorf("error %v, want %v", err, want)
			}
		})
	}
}
