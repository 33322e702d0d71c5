package stream

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A benchEngine emits all its tokens without a delay.
type benchEngine struct {
	*simEntry
	tokens int
}

func (ben benchEngine) Generate(
	_ context.Context, _ wick.VM, gen wick.Generation, sink func(wick.Token) error,
) (wick.Generated, error) {
	for idx := range ben.tokens {
		if err := sink(wick.Token{Index: wick.Tokens(idx), Text: "token"}); err != nil {
			return wick.Generated{}, err
		}
	}
	return wick.Generated{Attempt: gen.Attempt, Count: wick.Tokens(ben.tokens), Finish: wick.FinishStop}, nil
}

type benchRouter struct{ *world }

func (benchRouter) Pick(wick.RouteQuery) (wick.Assignment, error) {
	return wick.Assignment{VM: wick.VM{ID: "vm0"}, Done: func(wick.Outcome) {}}, nil
}

func (benchRouter) Evacuation(wick.VMID) <-chan struct{} { return nil }

func benchTable(tokens int) *Table {
	logrus.SetOutput(io.Discard)
	wld := &world{}
	return New(Config{
		Self: "e1", Router: benchRouter{wld}, Admitter: wld, Engine: benchEngine{tokens: tokens},
		MaxRequests: 1 << 30, MaxBytes: 1 << 40,
	})
}

// BenchmarkRequest measures a request of one token from Accept to completion.
func BenchmarkRequest(b *testing.B) {
	tab := benchTable(1)
	b.ReportAllocs()
	for b.Loop() {
		req, err := tab.Accept(b.Context(), Head{Prompt: wick.Prompt{Text: "prompt"}, MaxTokens: 10})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAll(b.Context(), req.Attach(Cursor{})); err != nil {
			b.Fatal(err)
		}
		tab.remove(req)
		tab.dirty.reqs = nil
	}
}

// BenchmarkLogToken measures appending one token to the log and reading it with
// one reader.
func BenchmarkLogToken(b *testing.B) {
	tab := benchTable(1)
	b.ReportAllocs()
	var req *Request
	var cur Cursor
	idx := 4096
	for b.Loop() {
		if idx == 4096 {
			req = newRequest(tab, Head{MaxTokens: 4096})
			req.owned, req.state = true, StateRunning
			req.begin(0, "att", wick.VM{})
			idx, cur = 0, Cursor{}
			tab.dirty.reqs = nil
		}
		if err := req.accept("att", wick.Token{Index: wick.Tokens(idx), Text: "token"}); err != nil {
			b.Fatal(err)
		}
		idx++
		if _, _, err := req.eventsAfter(&cur); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeld measures the memory of finished requests during their
// retention, in bytes per request.
func BenchmarkHeld(b *testing.B) {
	for _, tokens := range []int{1, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			tab := benchTable(tokens)
			tab.disabled.replica = true
			const num = 2000
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				reqs := make([]*Request, num)
				for idx := range reqs {
					req, err := tab.Accept(b.Context(), Head{Prompt: wick.Prompt{Text: "prompt"}, MaxTokens: 1000})
					if err != nil {
						b.Fatal(err)
					}
					reqs[idx] = req
				}
				tab.wg.Wait()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/num, "B/request")
				for _, req := range reqs {
					tab.remove(req)
				}
			}
		})
	}
}
