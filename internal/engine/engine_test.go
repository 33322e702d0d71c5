package engine_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	head    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastEnd = "0\r\n\r\n"
	done    = "data: [DONE]\n\n"
)

func tok(att string, idx int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"index\":%d,\"choices\":[{\"text\":%q}]}\n\n", idx, att, idx, text)
}

func fin(att string, count int) string {
	return fmt.Sprintf("data: {\"attempt\":%q,\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d,\"prompt_tokens\":7}}\n\n", att, count)
}

// stream returns a chunked reply; each part is one chunk.
func stream(parts ...string) string {
	var bld strings.Builder
	bld.WriteString(head)
	for _, part := range parts {
		fmt.Fprintf(&bld, "%x\r\n%s\r\n", len(part), part)
	}
	return bld.String()
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

func serve(reply string) func(con *fake.RawConn) {
	return func(con *fake.RawConn) {
		for {
			if _, err := con.Request(); err != nil {
				return
			}
			con.Send(reply)
			if !strings.HasSuffix(reply, lastEnd) {
				return
			}
		}
	}
}

func checkKind(tb testing.TB, got, want error) {
	tb.Helper()
	for _, kind := range []error{wick.ErrNotSent, wick.ErrNotExecuted, wick.ErrTruncated, wick.ErrUnknownOutcome} {
		if errors.Is(got, kind) != (want != nil && errors.Is(want, kind)) {
			tb.Errorf("error %v: wraps %q is %v, want error %v", got, kind, errors.Is(got, kind), want)
		}
	}
	if (got == nil) != (want == nil) {
		tb.Errorf("error %v, want %v", got, want)
	}
}

// TestStream guards against an answer that is reported as complete without
// being so, and against tokens of other attempts in it.
func TestStream(t *testing.T) {
	whole := []string{tok("a", 2, "x"), tok("a", 3, "y"), fin("a", 4), done}
	tests := []struct {
		name  string
		reply string
		want  error
		text  string
	}{
		{"whole", stream(whole...) + lastEnd, nil, "xy"},
		{"comments and CRLF", stream(": ping\n\n", strings.ReplaceAll(strings.Join(whole, ""), "\n", "\r\n")) + lastEnd, nil, "xy"},
		{"split within an event", stream(whole[0][:9], whole[0][9:], whole[1], whole[2], done) + lastEnd, nil, "xy"},
		{"duplicate", stream(whole[0], whole[0], whole[1], whole[0], whole[2], done) + lastEnd, nil, "xy"},
		{"other attempt", stream(tok("b", 2, "!"), whole[0], tok("b", 3, "!"), whole[1], fin("b", 3), whole[2], done) + lastEnd, nil, "xy"},
		{"only another attempt", stream(tok("b", 2, "!"), fin("b", 3), done) + lastEnd, wick.ErrTruncated, ""},
		{"no attempt", stream(tok("", 2, "!"), fin("", 3), done) + lastEnd, wick.ErrTruncated, ""},
		{"gap", stream(whole[0], tok("a", 4, "!"), fin("a", 5), done) + lastEnd, wick.ErrTruncated, "x"},
		{"reordered", stream(whole[1], whole[0], whole[2], done) + lastEnd, wick.ErrTruncated, ""},
		{"gap at the start", stream(tok("a", 3, "!"), fin("a", 4), done) + lastEnd, wick.ErrTruncated, ""},
		{"wrong count", stream(whole[0], fin("a", 4), done) + lastEnd, wick.ErrTruncated, "x"},
		{"no end marker", stream(whole[0], whole[1], whole[2]) + lastEnd, wick.ErrTruncated, "xy"},
		{"end marker without finish", stream(whole[0], whole[1], done) + lastEnd, wick.ErrTruncated, "xy"},
		{"finish for length of others", stream(whole[0], strings.Replace(fin("a", 3), "stop", "abort", 1), done) + lastEnd, wick.ErrTruncated, "x"},
		{"connection lost", stream(whole[0]), wick.ErrTruncated, "x"},
		{"connection lost in a chunk", stream(whole[0]) + "ff\r\ndata: {", wick.ErrTruncated, "x"},
		{"connection lost before the marker ends", stream(whole[0], whole[1], whole[2], "data: [DONE]\n"), wick.ErrTruncated, "xy"},
		{"connection lost after the marker", stream(whole...), nil, "xy"},
		{"engine error", stream(whole[0], `data: {"attempt":"a","error":{"message":"oom"}}`+"\n\n") + lastEnd, wick.ErrTruncated, "x"},
		{"not JSON", stream("data: {\n\n") + lastEnd, wick.ErrTruncated, ""},
		{"event too long", stream("data: "+strings.Repeat("x", 300<<10)) + lastEnd, wick.ErrTruncated, ""},
		{"no reply", "", wick.ErrUnknownOutcome, ""},
		{"reply of another attempt", "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n", wick.ErrUnknownOutcome, ""},
		{"failure", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", wick.ErrUnknownOutcome, ""},
		{"refused", "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nContent-Length: 17\r\n\r\n{\"executed\":\"no\"}", wick.ErrNotExecuted, ""},
		{"half a refusal", "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nContent-Length: 18\r\n\r\n{\"executed\":\"no\"}", wick.ErrTruncated, ""},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			raw, vm := start(t, serve(tst.reply))
			text := ""
			cli := engine.Client{}
			out, err := cli.Generate(t.Context(), vm, wick.Generation{Attempt: "a", Continue: []string{"u", "v"}}, func(tkn wick.Token) error {
				text += tkn.Text
				return nil
			})
			checkKind(t, err, tst.want)
			if text != tst.text || raw.Requests() != 1 {
				t.Errorf("text %q, want %q; %d requests", text, tst.text, raw.Requests())
			}
			if err == nil && (out.Count != 4 || out.PromptTokens != 7 || out.Attempt != "a") {
				t.Errorf("end %+v", out)
			}
		})
	}
}

// TestConnections guards against a second transmission of an attempt, and
// against streams that never give their connection back.
func TestConnections(t *testing.T) {
	reply := stream(tok("a", 0, "x"), fin("a", 1), done) + lastEnd
	gen := wick.Generation{Attempt: "a"}
	ignore := func(wick.Token) error { return nil }
	t.Run("reused", func(t *testing.T) {
		raw, vm := start(t, serve(reply))
		cli := engine.Client{}
		for range 5 {
			_, err := cli.Generate(t.Context(), vm, gen, ignore)
			checkKind(t, err, nil)
		}
		if raw.Conns() != 1 {
			t.Errorf("%d connections, want 1", raw.Conns())
		}
	})
	t.Run("closed on reuse", func(t *testing.T) {
		raw, vm := start(t, func(con *fake.RawConn) {
			con.Request()
			con.Send(reply)
			con.Request()
		}, serve(reply))
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, ignore)
		checkKind(t, err, nil)
		_, err = cli.Generate(t.Context(), vm, gen, ignore)
		checkKind(t, err, wick.ErrUnknownOutcome)
		if raw.Requests() != 2 {
			t.Errorf("%d requests, want 2", raw.Requests())
		}
	})
	t.Run("dial refused", func(t *testing.T) {
		raw, vm := start(t, serve(reply))
		raw.Close()
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, ignore)
		checkKind(t, err, wick.ErrNotSent)
	})
}

// TestStops guards against an attempt that goes on after its caller ended it.
func TestStops(t *testing.T) {
	closed := make(chan struct{}, 2)
	hang := func(con *fake.RawConn) {
		con.Request()
		con.Send(stream(tok("a", 0, "x")))
		con.Request()
		closed <- struct{}{}
	}
	gen := wick.Generation{Attempt: "a"}
	t.Run("sink error", func(t *testing.T) {
		_, vm := start(t, hang)
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, func(wick.Token) error { return wick.ErrStopped })
		checkKind(t, err, wick.ErrTruncated)
		if !errors.Is(err, wick.ErrStopped) {
			t.Errorf("error %v, want that of the sink", err)
		}
		<-closed
	})
	t.Run("context", func(t *testing.T) {
		_, vm := start(t, hang)
		ctx, cancel := context.WithCancel(t.Context())
		cli := engine.Client{}
		_, err := cli.Generate(ctx, vm, gen, func(wick.Token) error { cancel(); return nil })
		checkKind(t, err, wick.ErrTruncated)
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want cancelled", err)
		}
		<-closed
	})
	t.Run("silence", func(t *testing.T) {
		_, vm := start(t, hang)
		cli := engine.Client{TokenTimeout: 100 * time.Millisecond}
		_, err := cli.Generate(t.Context(), vm, gen, func(wick.Token) error { return nil })
		checkKind(t, err, wick.ErrTruncated)
		if errors.Is(err, context.Canceled) {
			t.Errorf("error %v looks like a cancelled attempt", err)
		}
		<-closed
	})
}

// TestChecker guards against any mix of lost, repeated, swapped and foreign
// events that yields an answer other than the engine's.
func TestChecker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const want = "abcdef"
		var evts []engine.Event
		for idx, chr := range want {
			evts = append(evts, engine.Event{Attempt: "a", Index: wick.Tokens(idx), Choices: []engine.Choice{{Text: string(chr)}}})
		}
		evts = append(evts, engine.Event{
			Attempt: "a", Choices: []engine.Choice{{FinishReason: wick.FinishStop}},
			Usage: &engine.Usage{CompletionTokens: wick.Tokens(len(want))},
		})
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			idx := rapid.IntRange(0, len(evts)-1).Draw(t, "event")
			switch rapid.SampledFrom([]string{"lose", "repeat", "swap", "foreign"}).Draw(t, "fault") {
			case "lose":
				if len(evts) > 1 {
					evts = slices.Delete(evts, idx, idx+1)
				}
			case "repeat":
				evts = slices.Insert(evts, rapid.IntRange(0, len(evts)).Draw(t, "at"), evts[idx])
			case "swap":
				oth := rapid.IntRange(0, len(evts)-1).Draw(t, "with")
				evts[idx], evts[oth] = evts[oth], evts[idx]
			default:
				foreign := evts[idx]
				foreign.Attempt = "b"
				evts = slices.Insert(evts, idx, foreign)
			}
		}
		got := ""
		chk := engine.Checker{Attempt: "a", Sink: func(tkn wick.Token) error { got += tkn.Text; return nil }}
		for _, evt := range evts {
			if chk.Event(evt) != nil {
				return
			}
		}
		if _, err := chk.End(); err == nil && got != want {
			t.Errorf("complete answer %q, want %q", got, want)
		}
		if !strings.HasPrefix(want, got) {
			t.Errorf("tokens %q, want a prefix of %q", got, want)
		}
	})
}

// TestFailedImport guards against an attempt that fails because KV cache could
// not be imported.
func TestFailedImport(t *testing.T) {
	paths := make(chan string, 2)
	answer := func(reply string) func(con *fake.RawConn) {
		return func(con *fake.RawConn) {
			if req, err := con.Request(); err == nil {
				paths <- req.URL.Path
				con.Send(reply)
			}
		}
	}
	raw, vm := start(t, answer("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"), answer(stream(fin("a", 0), done)+lastEnd))
	cli := engine.Client{}
	_, err := cli.Generate(t.Context(), vm, wick.Generation{Attempt: "a", Import: "kv"}, nil)
	checkKind(t, err, nil)
	if raw.Requests() != 2 {
		t.Fatalf("%d requests, want 2", raw.Requests())
	}
	if imp, gen := <-paths, <-paths; imp != "/kv/import" || gen != "/v1/completions" {
		t.Errorf("paths %s, %s", imp, gen)
	}
}
