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
	streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
	endMarker    = "data: [DONE]\n\n"
)

func tokenEvent(att string, idx int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"index\":%d,\"choices\":[{\"text\":%q}]}\n\n", idx, att, idx, text)
}

func finishEvent(att string, count int) string {
	return fmt.Sprintf("data: {\"attempt\":%q,\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d,\"prompt_tokens\":7}}\n\n", att, count)
}

// stream returns a chunked response without its last chunk. Each part is one
// chunk.
func stream(parts ...string) string {
	var bld strings.Builder
	bld.WriteString(streamHeader)
	for _, part := range parts {
		fmt.Fprintf(&bld, "%x\r\n%s\r\n", len(part), part)
	}
	return bld.String()
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

func serveReply(reply string) func(con *fake.RawConn) {
	return func(con *fake.RawConn) {
		for {
			if _, err := con.Request(); err != nil {
				return
			}
			con.Send(reply)
			if !strings.HasSuffix(reply, lastChunk) {
				return
			}
		}
	}
}

func checkSentinel(tb testing.TB, got, want error) {
	tb.Helper()
	for _, sentinel := range []error{wick.ErrNotSent, wick.ErrNotExecuted, wick.ErrTruncated, wick.ErrUnknownOutcome} {
		if errors.Is(got, sentinel) != (want != nil && errors.Is(want, sentinel)) {
			tb.Errorf("error %v: wraps %q is %v, want error %v", got, sentinel, errors.Is(got, sentinel), want)
		}
	}
	if (got == nil) != (want == nil) {
		tb.Errorf("error %v, want %v", got, want)
	}
}

// TestStream guards against a truncated answer that is reported as complete,
// and against tokens of other attempts in an answer.
func TestStream(t *testing.T) {
	whole := []string{tokenEvent("a", 2, "x"), tokenEvent("a", 3, "y"), finishEvent("a", 4), endMarker}
	tests := []struct {
		name  string
		reply string
		want  error
		text  string
	}{
		{"whole", stream(whole...) + lastChunk, nil, "xy"},
		{"comments and CRLF line ends", stream(": ping\n\n", strings.ReplaceAll(strings.Join(whole, ""), "\n", "\r\n")) + lastChunk, nil, "xy"},
		{"event split across chunks", stream(whole[0][:9], whole[0][9:], whole[1], whole[2], endMarker) + lastChunk, nil, "xy"},
		{"duplicate", stream(whole[0], whole[0], whole[1], whole[0], whole[2], endMarker) + lastChunk, nil, "xy"},
		{"other attempt", stream(tokenEvent("b", 2, "!"), whole[0], tokenEvent("b", 3, "!"), whole[1], finishEvent("b", 3), whole[2], endMarker) + lastChunk, nil, "xy"},
		{"events of another attempt only", stream(tokenEvent("b", 2, "!"), finishEvent("b", 3), endMarker) + lastChunk, wick.ErrTruncated, ""},
		{"no attempt id", stream(tokenEvent("", 2, "!"), finishEvent("", 3), endMarker) + lastChunk, wick.ErrTruncated, ""},
		{"gap", stream(whole[0], tokenEvent("a", 4, "!"), finishEvent("a", 5), endMarker) + lastChunk, wick.ErrTruncated, "x"},
		{"reordered", stream(whole[1], whole[0], whole[2], endMarker) + lastChunk, wick.ErrTruncated, ""},
		{"gap at the start", stream(tokenEvent("a", 3, "!"), finishEvent("a", 4), endMarker) + lastChunk, wick.ErrTruncated, ""},
		{"wrong token count", stream(whole[0], finishEvent("a", 4), endMarker) + lastChunk, wick.ErrTruncated, "x"},
		{"no end marker", stream(whole[0], whole[1], whole[2]) + lastChunk, wick.ErrTruncated, "xy"},
		{"end marker without finish", stream(whole[0], whole[1], endMarker) + lastChunk, wick.ErrTruncated, "xy"},
		{"unknown finish reason", stream(whole[0], strings.Replace(finishEvent("a", 3), "stop", "abort", 1), endMarker) + lastChunk, wick.ErrTruncated, "x"},
		{"connection lost", stream(whole[0]), wick.ErrTruncated, "x"},
		{"connection lost in a chunk", stream(whole[0]) + "ff\r\ndata: {", wick.ErrTruncated, "x"},
		{"connection lost within the end marker", stream(whole[0], whole[1], whole[2], "data: [DONE]\n"), wick.ErrTruncated, "xy"},
		{"connection lost after the end marker", stream(whole...), nil, "xy"},
		{"length and chunks", strings.Replace(stream(whole...)+lastChunk, "\r\n", "\r\nContent-Length: 9\r\n", 1), wick.ErrUnknownOutcome, ""},
		{"bytes that are no chunk", stream(whole[0], whole[1]) + "x\n" + whole[2], wick.ErrTruncated, "xy"},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", wick.ErrUnknownOutcome, ""},
		{"engine error", stream(whole[0], `data: {"attempt":"a","error":{"message":"oom"}}`+"\n\n") + lastChunk, wick.ErrTruncated, "x"},
		{"not JSON", stream("data: {\n\n") + lastChunk, wick.ErrTruncated, ""},
		{"event too long", stream("data: "+strings.Repeat("x", 300<<10)) + lastChunk, wick.ErrTruncated, ""},
		{"no reply", "", wick.ErrUnknownOutcome, ""},
		{"response to another attempt", "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n", wick.ErrUnknownOutcome, ""},
		{"failure", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", wick.ErrUnknownOutcome, ""},
		{"refused", "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nContent-Length: 17\r\n\r\n{\"executed\":\"no\"}", wick.ErrNotExecuted, ""},
		{"truncated refusal", "HTTP/1.1 503 x\r\nContent-Type: application/problem+json\r\nContent-Length: 18\r\n\r\n{\"executed\":\"no\"}", wick.ErrTruncated, ""},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			raw, vm := startServer(t, serveReply(tst.reply))
			text := ""
			cli := engine.Client{}
			out, err := cli.Generate(t.Context(), vm, wick.Generation{Attempt: "a", Continue: []string{"u", "v"}}, func(tkn wick.Token) error {
				text += tkn.Text
				return nil
			})
			checkSentinel(t, err, tst.want)
			if text != tst.text || raw.Requests() != 1 {
				t.Errorf("text %q, want %q; %d requests, want 1", text, tst.text, raw.Requests())
			}
			if err == nil && (out.Count != 4 || out.PromptTokens != 7 || out.Attempt != "a") {
				t.Errorf("result %+v", out)
			}
		})
	}
}

// TestConnections guards against an attempt that is sent twice, and against
// streams that never return their connection to the pool.
func TestConnections(t *testing.T) {
	reply := stream(tokenEvent("a", 0, "x"), finishEvent("a", 1), endMarker) + lastChunk
	gen := wick.Generation{Attempt: "a"}
	discard := func(wick.Token) error { return nil }
	t.Run("reused", func(t *testing.T) {
		raw, vm := startServer(t, serveReply(reply))
		cli := engine.Client{}
		for range 5 {
			_, err := cli.Generate(t.Context(), vm, gen, discard)
			checkSentinel(t, err, nil)
		}
		if raw.Conns() != 1 {
			t.Errorf("%d connections, want 1", raw.Conns())
		}
	})
	t.Run("reused connection closed", func(t *testing.T) {
		raw, vm := startServer(t, func(con *fake.RawConn) {
			con.Request()
			con.Send(reply)
			con.Request()
		}, serveReply(reply))
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, discard)
		checkSentinel(t, err, nil)
		_, err = cli.Generate(t.Context(), vm, gen, discard)
		checkSentinel(t, err, wick.ErrUnknownOutcome)
		if raw.Requests() != 2 {
			t.Errorf("%d requests, want 2", raw.Requests())
		}
	})
	// A faulty engine writes an earlier refusal once more.
	for id, want := range map[string]error{"": wick.ErrUnknownOutcome, "X-Attempt-Id: a\r\n": wick.ErrNotExecuted, "X-Attempt-Id: b\r\n": wick.ErrUnknownOutcome} {
		t.Run("refusal on a reused connection "+id, func(t *testing.T) {
			_, vm := startServer(t, func(con *fake.RawConn) {
				con.Request()
				con.Send(reply)
				con.Request()
				con.Send("HTTP/1.1 503 x\r\n" + id + "Content-Type: application/problem+json\r\nContent-Length: 17\r\n\r\n{\"executed\":\"no\"}")
			})
			cli := engine.Client{}
			_, err := cli.Generate(t.Context(), vm, gen, discard)
			checkSentinel(t, err, nil)
			_, err = cli.Generate(t.Context(), vm, gen, discard)
			checkSentinel(t, err, want)
		})
	}
	t.Run("dial refused", func(t *testing.T) {
		raw, vm := startServer(t, serveReply(reply))
		raw.Close()
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, discard)
		checkSentinel(t, err, wick.ErrNotSent)
	})
}

// TestGenerateAborted guards against an attempt that keeps running after its
// sink failed, its context was cancelled or its idle timeout passed.
func TestGenerateAborted(t *testing.T) {
	closed := make(chan struct{}, 2)
	stallAfterToken := func(con *fake.RawConn) {
		con.Request()
		con.Send(stream(tokenEvent("a", 0, "x")))
		con.Request()
		closed <- struct{}{}
	}
	gen := wick.Generation{Attempt: "a"}
	t.Run("sink error", func(t *testing.T) {
		_, vm := startServer(t, stallAfterToken)
		cli := engine.Client{}
		_, err := cli.Generate(t.Context(), vm, gen, func(wick.Token) error { return wick.ErrStopped })
		checkSentinel(t, err, wick.ErrTruncated)
		if !errors.Is(err, wick.ErrStopped) {
			t.Errorf("error %v, want the error of the sink", err)
		}
		<-closed
	})
	t.Run("context", func(t *testing.T) {
		_, vm := startServer(t, stallAfterToken)
		ctx, cancel := context.WithCancel(t.Context())
		cli := engine.Client{}
		_, err := cli.Generate(ctx, vm, gen, func(wick.Token) error { cancel(); return nil })
		checkSentinel(t, err, wick.ErrTruncated)
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want cancelled", err)
		}
		<-closed
	})
	t.Run("silence", func(t *testing.T) {
		_, vm := startServer(t, stallAfterToken)
		cli := engine.Client{TokenTimeout: 100 * time.Millisecond}
		_, err := cli.Generate(t.Context(), vm, gen, func(wick.Token) error { return nil })
		checkSentinel(t, err, wick.ErrTruncated)
		if errors.Is(err, context.Canceled) {
			t.Errorf("error %v wraps context.Canceled after an idle timeout", err)
		}
		<-closed
	})
}

// TestChecker guards against a complete answer that differs from the engine's
// after events were lost, duplicated, reordered or mixed with those of another
// attempt.
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
			if chk.HandleEvent(evt) != nil {
				return
			}
		}
		if _, err := chk.Result(); err == nil && got != want {
			t.Errorf("complete answer %q, want %q", got, want)
		}
		if !strings.HasPrefix(want, got) {
			t.Errorf("tokens %q, want a prefix of %q", got, want)
		}
	})
}

// TestFailedImport guards against an attempt that fails because its KV cache
// import failed.
func TestFailedImport(t *testing.T) {
	paths := make(chan string, 2)
	replyOnce := func(reply string) func(con *fake.RawConn) {
		return func(con *fake.RawConn) {
			if req, err := con.Request(); err == nil {
				paths <- req.URL.Path
				con.Send(reply)
			}
		}
	}
	raw, vm := startServer(t, replyOnce("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"), replyOnce(stream(finishEvent("a", 0), endMarker)+lastChunk))
	cli := engine.Client{}
	_, err := cli.Generate(t.Context(), vm, wick.Generation{Attempt: "a", Import: "kv"}, nil)
	checkSentinel(t, err, nil)
	if raw.Requests() != 2 {
		t.Fatalf("%d requests, want 2", raw.Requests())
	}
	if imp, gen := <-paths, <-paths; imp != "/kv/import" || gen != "/v1/completions" {
		t.Errorf("request paths %s, %s; want /kv/import, /v1/completions", imp, gen)
	}
}
