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

// serve answers one request with the given bytes and closes.
func serve(reply string) func(con *fake.RawConn) {
	return func(con *fake.RawConn) {
		if _, err := con.Request(); err == nil {
			con.Send(reply)
		}
	}
}

func start(tb testing.TB, handlers ...func(con *fake.RawConn)) (*fake.Raw, wick.VM) {
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

func checkKind(tb testing.TB, got, want error) {
	tb.Helper()
	kinds := []error{wick.ErrNotSent, wick.ErrNotExecuted, wick.ErrTruncated, wick.ErrUnknownOutcome}
	for _, kind := range kinds {
		if errors.Is(got, kind) != (want != nil && errors.Is(want, kind)) {
			tb.Errorf("error %v: wraps %q is %v, want error %v", got, kind, errors.Is(got, kind), want)
		}
	}
	if (got == nil) != (want == nil) {
		tb.Errorf("error %v, want %v", got, want)
	}
}

// TestOutcome guards against a wrong statement on whether a call ran, and
// against a second transmission of it.
func TestOutcome(t *testing.T) {
	const problem = "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nContent-Length: "
	tests := []struct {
		name  string
		reply string
		want  error
	}{
		{"reply", okReply, nil},
		{"final failure", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", nil},
		{"closed after the request", "", wick.ErrUnknownOutcome},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-Le", wick.ErrUnknownOutcome},
		{"not HTTP", "220 smtp ready\r\n\r\n", wick.ErrUnknownOutcome},
		{"half a reply", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", wick.ErrTruncated},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", wick.ErrTruncated},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", wick.ErrTruncated},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", wick.ErrTruncated},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), wick.ErrTruncated},
		{"other attempt", "HTTP/1.1 200 OK\r\nX-Attempt-Id: att-0\r\nContent-Length: 2\r\n\r\nok", wick.ErrUnknownOutcome},
		{"refused", problem + "17\r\n\r\n" + `{"executed":"no"}`, wick.ErrNotExecuted},
		{"half a refusal", problem + "18\r\n\r\n" + `{"executed":"no"}`, wick.ErrTruncated},
		{"refused, unknown", problem + "22\r\n\r\n" + `{"executed":"unknown"}`, nil},
		{"refused without media type", "HTTP/1.1 503 x\r\nContent-Length: 17\r\n\r\n" + `{"executed":"no"}`, nil},
		{"problem of a success", strings.Replace(problem, "503", "200", 1) + "17\r\n\r\n" + `{"executed":"no"}`, nil},
	}
	for _, tst := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tst.name+"/"+method, func(t *testing.T) {
				raw, vm := start(t, serve(tst.reply))
				cli := plain.Client{MaxReplyBytes: 100}
				_, err := cli.Call(t.Context(), vm, call(method))
				checkKind(t, err, tst.want)
				if raw.Requests() != 1 {
					t.Errorf("%d requests, want 1", raw.Requests())
				}
			})
		}
	}
}

// TestRefusal guards against a lost reason or delay of a refusal.
func TestRefusal(t *testing.T) {
	body := `{"type":"` + wire.ProblemLeaving + `","executed":"no"}`
	_, vm := start(t, serve("HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nRetry-After: 2\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"40\r\n"+body+strings.Repeat(" ", 0x40-len(body))+"\r\n0\r\n\r\n"))
	cli := plain.Client{}
	_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
	var rae *wick.RetryAfterError
	if !errors.Is(err, wick.ErrNotExecuted) || !errors.Is(err, wick.ErrLeaving) || !errors.As(err, &rae) || rae.After != 2*time.Second {
		t.Errorf("error %v, want not executed, leaving, 2 s", err)
	}
}

// TestNotSent guards against "outcome unknown" for calls of which no byte was
// sent, which could then not be retried.
func TestNotSent(t *testing.T) {
	t.Run("dial refused", func(t *testing.T) {
		raw, vm := start(t, serve(okReply))
		raw.Close()
		cli := plain.Client{}
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkKind(t, err, wick.ErrNotSent)
	})
	t.Run("context ended", func(t *testing.T) {
		raw, vm := start(t, serve(okReply))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		cli := plain.Client{}
		_, err := cli.Call(ctx, vm, call(http.MethodPost))
		checkKind(t, err, wick.ErrNotSent)
		if raw.Requests() != 0 || !errors.Is(err, context.Canceled) {
			t.Errorf("%d requests, error %v", raw.Requests(), err)
		}
	})
	t.Run("bad target", func(t *testing.T) {
		cli := plain.Client{}
		bad := call(http.MethodPost)
		bad.Path = "@127.0.0.1:1/"
		_, err := cli.Call(t.Context(), wick.VM{Address: "127.0.0.1"}, bad)
		checkKind(t, err, wick.ErrNotSent)
	})
	t.Run("pool exhausted", func(t *testing.T) {
		begun, end := make(chan struct{}), make(chan struct{})
		raw, vm := start(t, func(con *fake.RawConn) {
			con.Request()
			close(begun)
			<-end
			con.Send(okReply)
		}, serve("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"running\":1}"))
		cli := plain.Client{HTTP: wire.Client{MaxConns: 1, ConnTimeout: 50 * time.Millisecond}}
		first := make(chan error)
		go func() {
			_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
			first <- err
		}()
		<-begun
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkKind(t, err, wick.ErrNotSent)
		if raw.Requests() != 1 {
			t.Errorf("%d requests, want 1", raw.Requests())
		}
		if rep, err := cli.Load(t.Context(), vm); err != nil || rep.Running != 1 {
			t.Errorf("load report %+v, error %v while the pool is full", rep, err)
		}
		close(end)
		checkKind(t, <-first, nil)
	})
}

// TestBrokenWrite guards against "not sent" when the endpoint got a part of
// the call.
func TestBrokenWrite(t *testing.T) {
	_, vm := start(t, func(con *fake.RawConn) {
		io.ReadFull(con, make([]byte, 1))
		con.Reset()
	})
	big := call(http.MethodPost)
	big.Body = make([]byte, 4<<20)
	cli := plain.Client{}
	_, err := cli.Call(t.Context(), vm, big)
	checkKind(t, err, wick.ErrUnknownOutcome)
}

// TestEnds guards against "not sent" for a call whose time ran out after the
// endpoint got it, and against a wait without end for a silent endpoint.
func TestEnds(t *testing.T) {
	silent := func(con *fake.RawConn) {
		con.Request()
		io.Copy(io.Discard, con)
	}
	t.Run("context", func(t *testing.T) {
		_, vm := start(t, silent)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		cli := plain.Client{}
		_, err := cli.Call(ctx, vm, call(http.MethodPost))
		checkKind(t, err, wick.ErrUnknownOutcome)
	})
	t.Run("silence", func(t *testing.T) {
		_, vm := start(t, silent)
		cli := plain.Client{ReplyTimeout: 100 * time.Millisecond}
		_, err := cli.Call(t.Context(), vm, call(http.MethodPost))
		checkKind(t, err, wick.ErrUnknownOutcome)
		if errors.Is(err, context.Canceled) {
			t.Errorf("error %v looks like a cancelled call", err)
		}
	})
}

// TestReused guards against net/http's transparent repeat of a call that fails
// on a reused connection. An Idempotency-Key or the method GET would allow it.
func TestReused(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run("closed after the second request/"+method, func(t *testing.T) {
			raw, vm := start(t, func(con *fake.RawConn) {
				con.Request()
				con.Send(okReply)
				con.Request()
			}, serve(okReply))
			cli := plain.Client{}
			_, err := cli.Call(t.Context(), vm, call(method))
			checkKind(t, err, nil)
			_, err = cli.Call(t.Context(), vm, call(method))
			checkKind(t, err, wick.ErrUnknownOutcome)
			if raw.Requests() != 2 {
				t.Errorf("%d requests, want 2", raw.Requests())
			}
		})
		t.Run("closed while idle/"+method, func(t *testing.T) {
			raw, vm := start(t, serve(okReply))
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

// TestLateReply guards against a second reply to one call that is taken for the
// reply to the next call on the connection.
func TestLateReply(t *testing.T) {
	_, vm := start(t, func(con *fake.RawConn) {
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
		one := call(http.MethodPost)
		one.Attempt = wick.NewAttemptID()
		rep, err := cli.Call(t.Context(), vm, one)
		if err == nil && string(rep.Body) != string(one.Attempt) {
			t.Fatalf("reply %s for attempt %s", rep.Body, one.Attempt)
		}
		if err != nil && !errors.Is(err, wick.ErrUnknownOutcome) && !errors.Is(err, wick.ErrNotSent) {
			t.Errorf("error %v", err)
		}
	}
}

// TestCancelAnyTime guards against a byte that is sent after the call was
// reported as not sent: calls are cancelled at random times.
func TestCancelAnyTime(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	_, vm := start(t, func(con *fake.RawConn) {
		for {
			req, err := con.Request()
			if err != nil {
				return
			}
			mu.Lock()
			seen[req.Header.Get(wire.HeaderAttempt)] = true
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
				one := call(http.MethodPost)
				one.Attempt = att
				_, err := cli.Call(ctx, vm, one)
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
		if seen[att] {
			t.Errorf("attempt %s was reported as not sent and arrived", att)
		}
	}
	t.Logf("%d of 2000 not sent, %d arrived", len(notSent), len(seen))
}
