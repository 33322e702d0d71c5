package plain_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/plain"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serveOnce sends reply to one request and closes the connection.
func serveOnce(reply string) func(con *fake.RawConn) {
	return func(con *fake.RawConn) {
		if _, err := con.Request(); err == nil {
			con.Send(reply)
		}
	}
}

func startServer(tb testing.TB, handlers ...func(con *fake.RawConn)) (*fake.Raw, wick.VM) {
	tb.Helper()
	raw, err := fake.NewRaw(handlers...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(raw.Close)
	return raw, wick.VM{ID: "vm-1", Address: raw.Addr()}
}

func call(method string) wick.PlainCall {
	return wick.PlainCall{Attempt: "att-1", Key: "key-1", Method: method, Path: "/book", Body: []byte("pallet")}
}

func checkSentinel(tb testing.TB, got, want error) {
	tb.Helper()
	sentinels := []error{wick.ErrNotSent, wick.ErrNotExecuted, wick.ErrTruncated, wick.ErrUnknownOutcome}
	for _, sentinel := range sentinels {
		if errors.Is(got, sentinel) != (want != nil && errors.Is(want, sentinel)) {
			tb.Errorf("error %v: wraps %q is %v, want error %v", got, sentinel, errors.Is(got, sentinel), want)
		}
	}
	if (got == nil) != (want == nil) {
		tb.Errorf("error %v, want %v", got, want)
	}
}

// TestOutcome guards against an error that misstates whether a call ran, and
// against a call that is sent twice.
func TestOutcome(t *testing.T) {
	const problem = "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nContent-Length: "
	tests := []struct {
		name  string
		reply string
		want  error
	}{
		{"reply", okReply, nil},
		{"error status", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", nil},
		{"connection closed after the request", "", wick.ErrUnknownOutcome},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", wick.ErrUnknownOutcome},
		{"not HTTP", "220 smtp ready\r\n\r\n", wick.ErrUnknownOutcome},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", wick.ErrTruncated},
		{"missing body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", wick.ErrTruncated},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", wick.ErrTruncated},
		{"no content length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", wick.ErrTruncated},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), wick.ErrTruncated},
		{"length and chunked", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", wick.ErrUnknownOutcome},
		{"line feeds only", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", wick.ErrUnknownOutcome},
		{"length in the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n", wick.ErrTruncated},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", wick.ErrUnknownOutcome},
		{"other attempt", "HTTP/1.1 200 OK\r\nX-Attempt-Id: att-0\r\nContent-Length: 2\r\n\r\nok", wick.ErrUnknownOutcome},
		{"refused", problem + "17\r\n\r\n" + `{"executed":"no"}`, wick.ErrNotExecuted},
		{"truncated refusal", problem + "18\r\n\r\n" + `{"executed":"no"}`, wick.ErrTruncated},
		{"refused with unknown outcome", problem + "22\r\n\r\n" + `{"executed":"unknown"}`, nil},
		{"refused without media type", "HTTP/1.1 503 x\r\nContent-Length: 17\r\n\r\n" + `{"executed":"no"}`, nil},
		{"problem with status 200", strings.Replace(problem, "503", "200", 1) + "17\r\n\r\n" + `{"executed":"no"}`, nil},
	}
	for _, tst := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tst.name+"/"+method, func(t *testing.T) {
				raw, vm := startServer(t, serveOnce(tst.reply))
				cli := plain.Client{MaxReplyBytes: 100}
				_, err := cli.Call(t.Context(), vm, call(method))
				checkSentinel(t, err, tst.want)
				if raw.Requests() != 1 {
					t.Errorf("%d requests, want 1", raw.Requests())
				}
			})
		}
	}
}

// TestRefusal guards against a refusal that loses its cause or its Retry-After.
func TestRefusal(t *testing.T) {
	body := `{"type":"` + wire.ProblemLeaving + `","executed":"no"}`
	_, vm := startServer(t, serveOnce("HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"40\r\n"+body+strings.Repeat(" ", 0x40-len(body))+"\r\n0\r\n\r\n"))
	cli := plain.Client{}
	_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
	var rae *wick.RetryAfterError
	if !errors.Is(err, wick.ErrNotExecuted) || !errors.Is(err, wick.ErrLeaving) || !errors.As(err, &rae) || rae.After != 2*time.Second {
		t.Errorf("error %v, want ErrNotExecuted and ErrLeaving with a retry after 2 s", err)
	}
}

// TestNotSent guards against wick.ErrUnknownOutcome for a call of which no byte
// was sent. Such a call could then not be retried.
func TestNotSent(t *testing.T) {
	t.Run("dial refused", func(t *testing.T) {
		raw, vm := startServer(t, serveOnce(okReply))
		raw.Close()
		cli := plain.Client{}
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkSentinel(t, err, wick.ErrNotSent)
	})
	t.Run("context cancelled", func(t *testing.T) {
		raw, vm := startServer(t, serveOnce(okReply))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		cli := plain.Client{}
		_, err := cli.Call(ctx, vm, call(http.MethodPost))
		checkSentinel(t, err, wick.ErrNotSent)
		if raw.Requests() != 0 || !errors.Is(err, context.Canceled) {
			t.Errorf("%d requests, error %v", raw.Requests(), err)
		}
	})
	t.Run("invalid path", func(t *testing.T) {
		cli := plain.Client{}
		invalid := call(http.MethodPost)
		invalid.Path = "@127.0.0.1:1/"
		_, err := cli.Call(t.Context(), wick.VM{Address: "127.0.0.1"}, invalid)
		checkSentinel(t, err, wick.ErrNotSent)
	})
	t.Run("pool exhausted", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		raw, vm := startServer(t, func(con *fake.RawConn) {
			con.Request()
			close(started)
			<-release
			con.Send(okReply)
		}, serveOnce("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"running\":1}"))
		cli := plain.Client{HTTP: wire.Client{MaxConns: 1, ConnTimeout: 50 * time.Millisecond}}
		first := make(chan error)
		go func() {
			_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
			first <- err
		}()
		<-started
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkSentinel(t, err, wick.ErrNotSent)
		if raw.Requests() != 1 {
			t.Errorf("%d requests, want 1", raw.Requests())
		}
		if rep, err := cli.Load(t.Context(), vm); err != nil || rep.Running != 1 {
			t.Errorf("load report %+v, error %v while the pool is exhausted", rep, err)
		}
		close(release)
		checkSentinel(t, <-first, nil)
	})
}

// TestBrokenWrite guards against wick.ErrNotSent when the connection is reset
// after the endpoint received a part of the call.
func TestBrokenWrite(t *testing.T) {
	_, vm := startServer(t, func(con *fake.RawConn) {
		io.ReadFull(con, make([]byte, 1))
		con.Reset()
	})
	large := call(http.MethodPost)
	large.Body = make([]byte, 4<<20)
	cli := plain.Client{}
	_, err := cli.Call(t.Context(), vm, large)
	checkSentinel(t, err, wick.ErrUnknownOutcome)
}

// TestReplyTimeout guards against wick.ErrNotSent for a call that times out after
// the endpoint received it, and against waiting forever for an endpoint that
// never replies.
func TestReplyTimeout(t *testing.T) {
	hang := func(con *fake.RawConn) {
		con.Request()
		io.Copy(io.Discard, con)
	}
	t.Run("context", func(t *testing.T) {
		_, vm := startServer(t, hang)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		cli := plain.Client{}
		_, err := cli.Call(ctx, vm, call(http.MethodPost))
		checkSentinel(t, err, wick.ErrUnknownOutcome)
	})
	t.Run("silence", func(t *testing.T) {
		_, vm := startServer(t, hang)
		cli := plain.Client{ReplyTimeout: 100 * time.Millisecond}
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkSentinel(t, err, wick.ErrUnknownOutcome)
		if errors.Is(err, context.Canceled) {
			t.Errorf("error %v wraps context.Canceled after an idle timeout", err)
		}
	})
}

// TestReusedConnection guards against net/http's transparent retry of a call
// that fails on a reused connection. By default net/http retries GET and calls
// with an Idempotency-Key.
func TestReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run("closed after the second request/"+method, func(t *testing.T) {
			raw, vm := startServer(t, func(con *fake.RawConn) {
				con.Request()
				con.Send(okReply)
				con.Request()
			}, serveOnce(okReply))
			cli := plain.Client{}
			_, err := cli.Call(t.Context(), vm, call(method))
			checkSentinel(t, err, nil)
			// The second call has a connection of its own, so its outcome is known.
			_, err = cli.Call(t.Context(), vm, call(method))
			checkSentinel(t, err, nil)
			if raw.Requests() != 2 {
				t.Errorf("%d requests, want 2", raw.Requests())
			}
		})
		t.Run("closed after the request/"+method, func(t *testing.T) {
			raw, vm := startServer(t, func(con *fake.RawConn) { con.Request() }, serveOnce(okReply))
			cli := plain.Client{}
			_, err := cli.Call(t.Context(), vm, call(method))
			checkSentinel(t, err, wick.ErrUnknownOutcome)
			if raw.Requests() != 1 {
				t.Errorf("%d requests, want 1", raw.Requests())
			}
		})
		t.Run("closed while idle/"+method, func(t *testing.T) {
			raw, vm := startServer(t, serveOnce(okReply))
			cli := plain.Client{}
			for idx := range 200 {
				before := raw.Requests()
				_, err := cli.Call(t.Context(), vm, call(method))
				if err != nil && !errors.Is(err, wick.ErrUnknownOutcome) && !errors.Is(err, wick.ErrNotSent) {
					t.Errorf("error %v", err)
				}
				got := raw.Requests() - before
				if got > 1 || err == nil && got != 1 || errors.Is(err, wick.ErrNotSent) && got != 0 {
					t.Fatalf("call %d: %d requests, error %v", idx, got, err)
				}
			}
		})
	}
}

// TestLateReply guards against a duplicate reply that is matched to the next
// call on the connection.
func TestLateReply(t *testing.T) {
	_, vm := startServer(t, func(con *fake.RawConn) {
		for {
			req, err := con.Request()
			if err != nil {
				return
			}
			att := req.Header.Get(wire.HeaderAttempt)
			reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", att, len(att), att)
			con.Send(reply + reply)
		}
	})
	cli := plain.Client{}
	for range 300 {
		req := call(http.MethodPost)
		req.Attempt = wick.NewAttemptID()
		rep, err := cli.Call(t.Context(), vm, req)
		if err == nil && string(rep.Body) != string(req.Attempt) {
			t.Fatalf("reply to attempt %s for attempt %s", rep.Body, req.Attempt)
		}
		if err != nil && !errors.Is(err, wick.ErrUnknownOutcome) && !errors.Is(err, wick.ErrNotSent) {
			t.Errorf("error %v", err)
		}
	}
}

// TestCancelAnyTime cancels calls at random times. It guards against bytes that
// are sent after the call was reported as not sent.
func TestCancelAnyTime(t *testing.T) {
	var mu sync.Mutex
	received := make(map[string]bool)
	_, vm := startServer(t, func(con *fake.RawConn) {
		for {
			req, err := con.Request()
			if err != nil {
				return
			}
			mu.Lock()
			received[req.Header.Get(wire.HeaderAttempt)] = true
			mu.Unlock()
			con.Send(okReply)
		}
	})
	cli := plain.Client{HTTP: wire.Client{MaxConns: 4}}
	var notSent []string
	var wgr sync.WaitGroup
	for range 8 {
		wgr.Go(func() {
			for range 250 {
				att := wick.NewAttemptID()
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(400))*time.Microsecond)
				req := call(http.MethodPost)
				req.Attempt = att
				_, err := cli.Call(ctx, vm, req)
				cancel()
				if errors.Is(err, wick.ErrNotSent) {
					mu.Lock()
					notSent = append(notSent, string(att))
					mu.Unlock()
				}
			}
		})
	}
	wgr.Wait()
	time.Sleep(50 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, att := range notSent {
		if received[att] {
			t.Errorf("attempt %s was received after it was reported as not sent", att)
		}
	}
	t.Logf("%d of 2000 calls not sent, %d received", len(notSent), len(received))
}
