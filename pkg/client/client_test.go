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

// A script answers the calls to an entry one after the other and repeats its
// last step.
type script struct {
	steps []http.HandlerFunc
	calls atomic.Int64
}

func (scr *script) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	num := int(scr.calls.Add(1)) - 1
	scr.steps[min(num, len(scr.steps)-1)](wtr, req)
}

func refuse(wtr http.ResponseWriter, _ *http.Request) {
	wtr.Header().Set("Content-Type", "application/problem+json")
	wtr.WriteHeader(http.StatusServiceUnavailable)
	_, _ = wtr.Write([]byte(`{"type":"/problems/notReady","title":"no","status":503,"executed":"no"}`))
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answer(wtr http.ResponseWriter, _ *http.Request) {
	wtr.Header().Set("Content-Type", "text/event-stream")
	wtr.Header().Set("X-Request-Id", "r1")
	_, _ = wtr.Write([]byte("id: 1\ndata: {\"choices\":[{\"text\":\" a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
}

func scripted(t *testing.T, steps ...http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(&script{steps: steps})
	t.Cleanup(srv.Close)
	return &Client{Entries: []string{srv.URL}, Reconnects: 2, Backoff: 1}
}

// TestOutcome guards against callers that learn of a refusal of an entry that
// drains though another would accept the call, and against "not executed" for
// a call of which an earlier try may have run.
func TestOutcome(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []http.HandlerFunc
		want  error
	}{
		{"refused, then accepted", []http.HandlerFunc{refuse, answer}, nil},
		{"refused", []http.HandlerFunc{refuse}, wick.ErrNotExecuted},
		{"broken, then refused", []http.HandlerFunc{breakOff, refuse}, wick.ErrUnknownOutcome},
		{"refused, broken, refused", []http.HandlerFunc{refuse, breakOff, refuse}, wick.ErrUnknownOutcome},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := scripted(t, row.steps...).Complete(t.Context(), Completion{Model: "quotes", Prompt: "p"}, nil)
			if !errors.Is(err, row.want) {
				t.Errorf("model call: error %v, want %v", err, row.want)
			}
			_, err = scripted(t, row.steps...).Do(t.Context(), Call{Service: "orders", Method: "POST", Path: "/", Key: "k", Retry: true})
			if !errors.Is(err, row.want) {
				t.Errorf("plain call: error %v, want %v", err, row.want)
			}
		})
	}
}

// TestNotSent guards against "unknown" for a call that no entry ever got, and
// against a call without a key that is given up when one entry is gone.
func TestNotSent(t *testing.T) {
	srv := httptest.NewServer(&script{steps: []http.HandlerFunc{refuse}})
	defer srv.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for _, key := range []wick.IdempotencyKey{"", "k"} {
		// The tries go to the second entry, the first and the second again.
		cli := &Client{Entries: []string{gone.URL, srv.URL}, Reconnects: 2, Backoff: 1}
		rep, err := cli.Do(t.Context(), Call{Service: "orders", Method: "POST", Path: "/", Key: key, Retry: true})
		if !errors.Is(err, wick.ErrNotExecuted) || rep.Tries != 3 {
			t.Errorf("key %q: error %v after %d tries, want %v after 3", key, err, rep.Tries, wick.ErrNotExecuted)
		}
	}
}

// TestEnd guards against a call that outlives its context while the entry is
// silent, and against a connection that is closed for another call.
func TestEnd(t *testing.T) {
	silent := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/completions" {
			wtr.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(wtr).Flush()
		}
		select {
		case <-silent:
		case <-req.Context().Done():
		}
	}))
	defer srv.Close()
	defer close(silent)
	cli := &Client{Entries: []string{srv.URL}}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, err := cli.Complete(ctx, Completion{Model: "quotes", Prompt: "p"}, nil)
			if took := time.Since(began); !errors.Is(err, context.DeadlineExceeded) || took > 5*time.Second {
				t.Errorf("error %v after %v", err, took)
			}
		})
	}
	wg.Wait()
}

// TestUnparsed guards against a call that an entry refused while parsing it and
// that its caller takes for one which may have run, and against trust in
// statuses that a load balancer gives.
func TestUnparsed(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusRequestEntityTooLarge: wick.ErrNotExecuted,
		http.StatusBadRequest:            wick.ErrNotExecuted,
		http.StatusBadGateway:            wick.ErrUnknownOutcome,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			cli := scripted(t, func(wtr http.ResponseWriter, _ *http.Request) { http.Error(wtr, "plain text", status) })
			if _, err := cli.Complete(t.Context(), Completion{Model: "quotes", Prompt: "p"}, nil); !errors.Is(err, want) {
				t.Errorf("error %v, want %v", err, want)
			}
		})
	}
}
