package fake_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	longPrompt = wick.Prompt{Text: strings.Repeat("two pallets of grey granite setts for the station square. ", 40)}
	testVM     = wick.VM{ID: "vm-1", Versions: []wick.ModelVersion{"v1"}}
)

func generation(att wick.AttemptID) wick.Generation {
	return wick.Generation{Attempt: att, Version: "v1", Prompt: longPrompt}
}

// collect runs an attempt and returns its tokens.
func collect(tb testing.TB, eng wick.Engine, gen wick.Generation) ([]string, wick.Generated, error) {
	tb.Helper()
	var out []string
	end, err := eng.Generate(tb.Context(), testVM, gen, func(tkn wick.Token) error {
		out = append(out, tkn.Text)
		return nil
	})
	return out, end, err
}

func inProcess(engs ...*fake.Engine) *fake.Engines {
	out := &fake.Engines{}
	for _, eng := range engs {
		out.Add(eng)
	}
	return out
}

// TestResume guards against a resumed answer that differs from the whole one.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := &fake.Engine{Host: fake.Host{VM: testVM}}
		egs := inProcess(eng)
		want := eng.Answer(longPrompt, 0)
		whole, end, err := collect(t, egs, generation("whole"))
		if err != nil || !slices.Equal(whole, want) || end.Count != wick.Tokens(len(want)) || end.Finish != wick.FinishStop {
			t.Fatalf("%d tokens, end %+v, error %v", len(whole), end, err)
		}
		for _, cut := range []int{0, 1, len(want) / 2, len(want)} {
			gen := generation("resumed")
			gen.Continue = want[:cut]
			rest, end, err := collect(t, egs, gen)
			if err != nil || !slices.Equal(slices.Concat(want[:cut], rest), want) || end.Count != wick.Tokens(len(want)) {
				t.Errorf("from %d: %d tokens, end %+v, error %v", cut, len(rest), end, err)
			}
		}
		gen := generation("short")
		gen.MaxTokens = 5
		short, end, err := collect(t, egs, gen)
		if err != nil || !slices.Equal(short, want[:5]) || end.Finish != wick.FinishLength || end.CachedTokens == 0 {
			t.Errorf("%d tokens, end %+v, error %v", len(short), end, err)
		}
	})
}

// TestKVMigration guards against a KV import that saves no prefill, and against
// work that continues after a reclaim.
func TestKVMigration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &fake.Engine{Host: fake.Host{VM: testVM}}
		dst := &fake.Engine{Host: fake.Host{VM: wick.VM{ID: "vm-2", Versions: testVM.Versions}}}
		egs := inProcess(src, dst)
		var got []string
		var handle wick.KVHandle
		_, err := egs.Generate(t.Context(), testVM, generation("one"), func(tkn wick.Token) error {
			got = append(got, tkn.Text)
			if len(got) == 10 {
				src.Reclaim(fake.Reclaim{NoticeMillis: 100})
				var err error
				handle, err = egs.Export(t.Context(), testVM, "one")
				return err
			}
			return nil
		})
		if !errors.Is(err, wick.ErrTruncated) || !src.Terminated() || handle == "" {
			t.Fatalf("error %v, terminated %v, handle %q", err, src.Terminated(), handle)
		}
		if _, _, err := collect(t, egs, generation("two")); !errors.Is(err, wick.ErrNotSent) {
			t.Errorf("error %v after the reclaim, want not sent", err)
		}
		gen := generation("three")
		gen.Continue, gen.Import = got, handle
		_, err = egs.Generate(t.Context(), dst.VM, gen, func(tkn wick.Token) error {
			got = append(got, tkn.Text)
			return nil
		})
		if err != nil || !slices.Equal(got, dst.Answer(longPrompt, 0)) {
			t.Errorf("%d tokens, error %v", len(got), err)
		}
		if dst.Recomputed() > 100 {
			t.Errorf("%d tokens recomputed despite the import", dst.Recomputed())
		}
	})
}

// TestPriorityQueue guards against a queue that ignores priorities or has no bound,
// and against load reports without the configured lag.
func TestPriorityQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := &fake.Engine{Host: fake.Host{VM: testVM, Slots: 1, MaxWaiting: 2, LoadLag: 500 * time.Millisecond}}
		egs := inProcess(eng)
		var mu sync.Mutex
		var order []wick.AttemptID
		var wgr sync.WaitGroup
		for idx, att := range []wick.AttemptID{"first", "low", "high", "refused"} {
			wgr.Go(func() {
				gen := generation(att)
				gen.Priority = wick.Priority(idx)
				_, _, err := collect(t, egs, gen)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					order = append(order, att)
				} else if !errors.Is(err, wick.ErrNotExecuted) || !errors.Is(err, wick.ErrBusy) {
					t.Errorf("%s: error %v", att, err)
				}
			})
			synctest.Wait()
		}
		if rep, err := eng.Load(t.Context()); err != nil || rep.Running != 0 {
			t.Errorf("report %+v, error %v before the lag", rep, err)
		}
		time.Sleep(600 * time.Millisecond)
		if rep, err := eng.Load(t.Context()); err != nil || rep.Running != 1 || rep.Waiting != 2 {
			t.Errorf("report %+v, error %v after the lag", rep, err)
		}
		wgr.Wait()
		if !slices.Equal(order, []wick.AttemptID{"first", "high", "low"}) {
			t.Errorf("order %v", order)
		}
	})
}

// TestOrderFencing guards against stale orders that are executed by engines that
// check fencing tokens, or rejected by those that do not.
func TestOrderFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		eng := &fake.Engine{Host: fake.Host{VM: testVM}, ChecksFence: checks}
		fresh := eng.Order(t.Context(), wick.Order{Kind: wick.OrderLoad, Version: "v2", Fence: 7})
		stale := eng.Order(t.Context(), wick.Order{Kind: wick.OrderUnload, Version: "v2", Fence: 6})
		rep, err := eng.Load(t.Context())
		if fresh != nil || err != nil || errors.Is(stale, wick.ErrStaleFence) != checks || slices.Contains(rep.Versions, "v2") != checks {
			t.Errorf("checks %v: errors %v, %v, %v; versions %v", checks, fresh, stale, err, rep.Versions)
		}
	}
}

// TestCacheEvents guards against cache events that are visible before CacheLag,
// and against an unbounded cache.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := &fake.Engine{Host: fake.Host{VM: testVM}, CacheBlocks: 4, CacheLag: time.Minute, CacheEventLoss: 0.3}
		if _, _, err := collect(t, inProcess(eng), generation("one")); err != nil {
			t.Fatal(err)
		}
		early, err := eng.CacheEvents(t.Context(), 0)
		if err != nil || len(early) != 0 {
			t.Errorf("%d events before the lag, error %v", len(early), err)
		}
		time.Sleep(time.Minute)
		evts, err := eng.CacheEvents(t.Context(), 0)
		if err != nil || len(evts) == 0 {
			t.Fatalf("%d events, error %v", len(evts), err)
		}
		last := evts[len(evts)-1].Seq
		if last <= uint64(len(evts)) {
			t.Errorf("%d events up to %d, want gaps", len(evts), last)
		}
		if !slices.ContainsFunc(evts, func(evt wick.CacheEvent) bool { return !evt.Stored }) {
			t.Error("no block was evicted from a cache of 4 blocks")
		}
	})
}

// TestEngineFaults guards against faults that the client reports as the wrong
// error. Each runs in process and over HTTP with the real client.
func TestEngineFaults(t *testing.T) {
	tests := []struct {
		name  string
		flt   fake.Faults
		want  error
		calls int64
	}{
		{"none", fake.Faults{}, nil, 1},
		{"duplicates", fake.Faults{Duplicate: 0.5}, nil, 1},
		{"reordered", fake.Faults{Reorder: 0.2}, wick.ErrTruncated, 1},
		{"other attempt", fake.Faults{OtherAttempt: 0.2}, wick.ErrTruncated, 1},
		{"truncated", fake.Faults{Truncate: 1}, wick.ErrTruncated, 1},
		{"response lost", fake.Faults{LoseReplies: 1}, wick.ErrUnknownOutcome, 1},
		{"refused", fake.Faults{Refuse: 1}, wick.ErrNotExecuted, 0},
		{"partition", fake.Faults{Partition: true}, wick.ErrUnknownOutcome, 0},
		{"down", fake.Faults{Down: true}, wick.ErrUnknownOutcome, 0},
		{"bad version", fake.Faults{Bad: []fake.BadVersion{{Version: "v1", Fail: 1}}}, wick.ErrUnknownOutcome, 1},
		{"bad other version", fake.Faults{Bad: []fake.BadVersion{{Version: "v2", Fail: 1}}}, nil, 1},
		{"bad route", fake.Faults{Bad: []fake.BadVersion{{Route: "/v1/comp", Fail: 1}}}, wick.ErrUnknownOutcome, 1},
		{"bad other route", fake.Faults{Bad: []fake.BadVersion{{Route: "/v1/chat", Fail: 1}}}, nil, 1},
		{"bad under load", fake.Faults{Bad: []fake.BadVersion{{UnderLoad: 2, Fail: 1}}}, nil, 1},
		{"bad after calls", fake.Faults{Bad: []fake.BadVersion{{AfterCalls: 1, Fail: 1}}}, nil, 1},
	}
	for _, tst := range tests {
		check := func(t *testing.T, eng *fake.Engine, cli wick.Engine) {
			t.Helper()
			eng.SetFaults(tst.flt)
			got, _, err := collect(t, cli, generation("one"))
			if !errors.Is(err, tst.want) || err == nil && !slices.Equal(got, eng.Answer(longPrompt, 0)) {
				t.Errorf("%d tokens, error %v, want %v", len(got), err, tst.want)
			}
			if calls := eng.Calls()["v1"]; calls != tst.calls {
				t.Errorf("%d calls run, want %d", calls, tst.calls)
			}
		}
		t.Run(tst.name+"/in process", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng := &fake.Engine{Host: fake.Host{VM: testVM}}
				check(t, eng, inProcess(eng))
			})
		})
		t.Run(tst.name+"/HTTP", func(t *testing.T) {
			eng := &fake.Engine{Host: fake.Host{VM: testVM}, DecodeTime: time.Millisecond, AnswerTokens: 40}
			srv, err := fake.ServeEngine("127.0.0.1:0", eng)
			if err != nil {
				t.Fatal(err)
			}
			defer srv.Close()
			cli := &engine.Client{}
			defer cli.Close()
			check(t, eng, fixedAddrEngine{cli, srv.Addr()})
		})
	}
}

// TestBadVersionConditions guards against version faults that apply too early or
// never: only under load, only after some calls, or slow instead of failing.
func TestBadVersionConditions(t *testing.T) {
	newEngine := func(bad fake.BadVersion) *fake.Engine {
		eng := &fake.Engine{Host: fake.Host{VM: testVM}, AnswerTokens: 10}
		eng.SetFaults(fake.Faults{Bad: []fake.BadVersion{bad}, LatencyMillis: 5})
		return eng
	}
	synctest.Test(t, func(t *testing.T) {
		egs := inProcess(newEngine(fake.BadVersion{AfterCalls: 2, Fail: 1}))
		for idx := range 4 {
			if _, _, err := collect(t, egs, generation("one")); (err != nil) != (idx >= 2) {
				t.Errorf("call %d: error %v", idx, err)
			}
		}
		egs = inProcess(newEngine(fake.BadVersion{UnderLoad: 2, Fail: 1}))
		var failed atomic.Int64
		var wgr sync.WaitGroup
		for _, att := range []wick.AttemptID{"one", "two"} {
			wgr.Go(func() {
				if _, _, err := collect(t, egs, generation(att)); err != nil {
					failed.Add(1)
				}
			})
		}
		wgr.Wait()
		if failed.Load() != 1 {
			t.Errorf("%d of 2 concurrent calls failed, want 1", failed.Load())
		}
		begin := time.Now()
		if _, _, err := collect(t, inProcess(newEngine(fake.BadVersion{})), generation("one")); err != nil {
			t.Error(err)
		}
		good := time.Since(begin)
		begin = time.Now()
		if _, _, err := collect(t, inProcess(newEngine(fake.BadVersion{SlowMillis: 30})), generation("one")); err != nil {
			t.Error(err)
		}
		if got, want := time.Since(begin)-good, 11*30*time.Millisecond; got != want {
			t.Errorf("slow version took %v longer, want %v", got, want)
		}
	})
}

// fixedAddrEngine sends every attempt to a fixed address.
type fixedAddrEngine struct {
	*engine.Client
	addr string
}

func (fae fixedAddrEngine) Generate(ctx context.Context, vm wick.VM, gen wick.Generation, sink func(wick.Token) error) (wick.Generated, error) {
	vm.Address = fae.addr
	return fae.Client.Generate(ctx, vm, gen, sink)
}
