package bench

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A callResult is what the caller of an engine observes.
type callResult struct {
	first, end time.Duration
	cached     wick.Tokens
	refused    bool
}

// A plannedCall is one call of a comparison.
type plannedCall struct {
	at    time.Duration
	input string
	count wick.Tokens
}

// generateCalls generates bursty calls with shared prefixes. Inputs end with a
// complete block, so that answers add nothing to the cache of the fake.
func generateCalls(seed uint64) []plannedCall {
	rnd := rand.New(rand.NewPCG(seed, 3))
	docs := make([]string, 8)
	for idx := range docs {
		docs[idx] = text(rnd, 64*(1+rnd.IntN(20)))
	}
	out := make([]plannedCall, 200)
	at := time.Duration(0)
	for idx := range out {
		// Odd times avoid simultaneous events of different calls.
		at += time.Duration(rnd.Int64N(int64(60*time.Millisecond)))*2 + 1
		if rnd.IntN(40) == 0 {
			at += 5 * time.Second
		}
		out[idx] = plannedCall{at, docs[rnd.IntN(len(docs))] + text(rnd, 64), wick.Tokens(1 + rnd.IntN(8))}
	}
	return out
}

// runModel also returns the time of the first two simultaneous events, whose
// order is undefined in the fake.
func runModel(calls []plannedCall, rts Rates) (out []callResult, tieAt time.Duration) {
	tml := &timeline{now: time.Unix(0, 0)}
	eng := newEngine(tml, wick.VM{}, rts)
	out = make([]callResult, len(calls))
	for idx, pln := range calls {
		tml.after(pln.at, func() {
			cll := &call{tokens: wick.Tokens(len(pln.input) / bytesPerToken), blocks: wick.PrefixBlocks(pln.input), count: pln.count}
			cll.onToken = func() {
				if out[idx].first == 0 {
					out[idx].first = tml.now.Sub(time.Unix(0, 0))
				}
			}
			cll.onEnd = func(error) { out[idx].end, out[idx].cached = tml.now.Sub(time.Unix(0, 0)), cll.cached }
			out[idx].refused = eng.start(cll) != nil
		})
	}
	tieAt = time.Hour
	for len(tml.events) > 0 {
		next := tml.events[0].at
		for idx := 1; idx < min(len(tml.events), 3); idx++ {
			if tml.events[idx].at.Equal(next) {
				tieAt = min(tieAt, next.Sub(time.Unix(0, 0)))
			}
		}
		tml.run(next)
	}
	return out, tieAt
}

func runFake(calls []plannedCall, rts Rates) []callResult {
	eng := &fake.Engine{
		Host:        fake.Host{VM: wick.VM{ID: "x", Versions: []wick.ModelVersion{version}}, Slots: rts.Slots, MaxWaiting: rts.MaxWaiting},
		PrefillRate: rts.PrefillRate, DecodeTime: rts.DecodeTime, DecodeLoad: rts.DecodeLoad,
		CacheBlocks: rts.CacheBlocks, AnswerTokens: 100,
	}
	var egs fake.Engines
	egs.Add(eng)
	began := time.Now()
	out := make([]callResult, len(calls))
	var grp sync.WaitGroup
	for idx, pln := range calls {
		grp.Go(func() {
			time.Sleep(pln.at)
			gen := wick.Generation{
				Attempt: wick.AttemptID(strconv.Itoa(idx)), Version: version, Prompt: wick.Prompt{Text: pln.input}, MaxTokens: pln.count,
			}
			res, err := egs.Generate(context.Background(), eng.VM, gen, func(wick.Token) error {
				if out[idx].first == 0 {
					out[idx].first = time.Since(began)
				}
				return nil
			})
			if out[idx].refused = errors.Is(err, wick.ErrBusy); !out[idx].refused {
				out[idx].end, out[idx].cached = time.Since(began), res.CachedTokens
			}
		})
	}
	grp.Wait()
	return out
}

// TestModelMatchesFake guards against a model that is faster or slower than
// fake.Engine: slots, queue, prefill, decode under load, and prefix cache
// eviction. Calls are compared up to the first two simultaneous events.
func TestModelMatchesFake(t *testing.T) {
	rts := Rates{
		// Odd rates avoid simultaneous events.
		Slots: 4, MaxWaiting: 6, PrefillRate: 7919, DecodeTime: 20_013_701 * time.Nanosecond,
		DecodeLoad: 3_001_103 * time.Nanosecond, CacheBlocks: 60,
	}
	compared, refused, cached := 0, 0, 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			calls := generateCalls(seed)
			got, tieAt := runModel(calls, rts)
			want := runFake(calls, rts)
			for idx := range want {
				if max(calls[idx].at, got[idx].end) >= tieAt {
					continue
				}
				compared++
				if got[idx] != want[idx] {
					t.Fatalf("seed %d call %d: model %+v, fake %+v", seed, idx, got[idx], want[idx])
				}
				if want[idx].refused {
					refused++
				}
				if want[idx].cached > 0 {
					cached++
				}
			}
		})
	}
	if compared < 2000 || refused < 50 || cached < 500 {
		t.Errorf("%d calls compared, %d refused, %d with cached tokens", compared, refused, cached)
	}
	t.Logf("%d calls compared, %d refused, %d with cached tokens", compared, refused, cached)
}
