// Package load sends calls to running entries at a given rate and measures
// what comes back.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Plan says what to send. Calls start at the times that Rate gives, whether
// or not earlier calls have ended (open loop), so that a slow system can't
// hide its delay by slowing the load down.
type Plan struct {
	Client *client.Client
	// Rate is calls per second.
	Rate     float64
	Duration time.Duration
	// Model is the model service to call, or "".
	Model        wick.Service
	PromptTokens int
	MaxTokens    wick.Tokens
	// SharedPrefix is the share of a prompt that is common to all calls.
	SharedPrefix wick.Share
	// Plain is the plain service to call, or "".
	Plain  wick.Service
	Method string
	Path   string
	// PlainShare is the share of calls that go to Plain if both are set.
	PlainShare wick.Share
	// Keyed gives each plain call an idempotency key.
	Keyed bool
	// Deadline bounds each call; no bound if zero.
	Deadline time.Duration
	// Seed makes the mix of calls repeatable.
	Seed uint64
	// Direct lists addresses of endpoints. If it is not empty, every second
	// model call goes to one of them without an entry, so that both paths are
	// measured under the same load.
	Direct []string
	// Version is the model version that direct calls ask for.
	Version wick.ModelVersion
	// engine sends the direct calls.
	engine *engine.Client
}

// A Fate is what became of a call.
type Fate string

// Fates of a call.
const (
	Answered Fate = "answered"
	Refused  Fate = "refused"
	Unknown  Fate = "unknown"
	Broken   Fate = "broken"
)

// Limits of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// A Report is the result of a run.
type Report struct {
	mu sync.Mutex
	// Fates counts calls by fate.
	Fates map[Fate]int64
	// Reconnects counts resumed connections.
	Reconnects int64
	Tokens     wick.Tokens
	Elapsed    time.Duration
	// FirstToken, BetweenTokens and Whole hold microseconds.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Whole         *hdrhistogram.Histogram
	// Direct reports the calls without an entry; nil if there were none.
	Direct *Report
}

func newReport() *Report {
	return &Report{
		Fates:         make(map[Fate]int64),
		FirstToken:    hdrhistogram.New(lowestMicros, highestMicros, digits),
		BetweenTokens: hdrhistogram.New(lowestMicros, highestMicros, digits),
		Whole:         hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// Run sends the plan's calls and waits for all of them.
func Run(ctx context.Context, plan Plan) *Report {
	rep := newReport()
	if len(plan.Direct) > 0 {
		rep.Direct = newReport()
		plan.engine = &engine.Client{}
		defer plan.engine.Close()
	}
	rnd := rand.New(rand.NewPCG(plan.Seed, plan.Seed)) //nolint:gosec // a repeatable mix is wanted
	interval := time.Duration(float64(time.Second) / plan.Rate)
	started := time.Now()
	var wg sync.WaitGroup
	for num := 0; ; num++ {
		at := started.Add(time.Duration(num) * interval)
		if at.Sub(started) >= plan.Duration || !retry.Sleep(ctx, time.Until(at)) {
			break
		}
		usePlain := plan.Plain != "" && (plan.Model == "" || rnd.Float64() < float64(plan.PlainShare))
		prompt := plan.prompt(rnd)
		wg.Go(func() {
			callCtx, cancel := plan.bound(ctx)
			defer cancel()
			switch {
			case usePlain:
				plan.callPlain(callCtx, rep)
			case rep.Direct != nil && num%2 == 1:
				plan.direct(callCtx, rep.Direct, prompt, plan.Direct[num/2%len(plan.Direct)])
			default:
				plan.complete(callCtx, rep, prompt)
			}
		})
	}
	wg.Wait()
	rep.Elapsed = time.Since(started)
	if rep.Direct != nil {
		rep.Direct.Elapsed = rep.Elapsed
	}
	return rep
}

func (plan *Plan) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if plan.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, plan.Deadline)
}

// prompt returns a prompt whose first part is the same for all calls.
func (plan *Plan) prompt(rnd *rand.Rand) string {
	shared := int(float64(plan.PromptTokens) * float64(plan.SharedPrefix))
	words := make([]string, plan.PromptTokens)
	for idx := range words {
		if idx < shared {
			words[idx] = fmt.Sprintf("w%d", idx)
		} else {
			words[idx] = fmt.Sprintf("x%d", rnd.IntN(1_000_000))
		}
	}
	return strings.Join(words, " ")
}

func (plan *Plan) complete(ctx context.Context, rep *Report, prompt string) {
	var last time.Time
	ans, err := plan.Client.Complete(ctx, client.Completion{
		Model:     plan.Model,
		Prompt:    prompt,
		MaxTokens: plan.MaxTokens,
		Deadline:  plan.Deadline,
	}, func(string) {
		now := time.Now()
		if !last.IsZero() {
			rep.record(rep.BetweenTokens, now.Sub(last))
		}
		last = now
	})
	rep.count(FateOf(err), ans.Reconnects, ans.Tokens)
	if err == nil {
		rep.record(rep.FirstToken, ans.FirstToken)
		rep.record(rep.Whole, ans.Total)
	}
}

// direct calls an endpoint without an entry.
func (plan *Plan) direct(ctx context.Context, rep *Report, prompt, addr string) {
	started := time.Now()
	var last time.Time
	var first time.Duration
	out, err := plan.engine.Generate(ctx, wick.VM{Address: addr}, wick.Generation{
		Attempt: wick.AttemptID(uuid.NewString()), Service: plan.Model, Version: plan.Version,
		Prompt: wick.Prompt{Text: prompt}, MaxTokens: plan.MaxTokens,
	}, func(wick.Token) error {
		now := time.Now()
		if last.IsZero() {
			first = now.Sub(started)
		} else {
			rep.record(rep.BetweenTokens, now.Sub(last))
		}
		last = now
		return nil
	})
	rep.count(FateOf(err), 0, out.Count)
	if err == nil {
		rep.record(rep.FirstToken, first)
		rep.record(rep.Whole, time.Since(started))
	}
}

func (plan *Plan) callPlain(ctx context.Context, rep *Report) {
	call := client.Call{Service: plan.Plain, Method: plan.Method, Path: plan.Path}
	if plan.Keyed {
		call.Key = wick.IdempotencyKey(uuid.NewString())
		call.Retry = true
	}
	ans, err := plan.Client.Do(ctx, call)
	rep.count(FateOf(err), max(ans.Tries-1, 0), 0)
	if err == nil {
		rep.record(rep.Whole, ans.Total)
	}
}

// FateOf returns the fate that an error of the client means.
func FateOf(err error) Fate {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, wick.ErrNotExecuted):
		return Refused
	case errors.Is(err, wick.ErrUnknownOutcome):
		return Unknown
	default:
		return Broken
	}
}

func (rep *Report) count(fate Fate, reconnects int, tokens wick.Tokens) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.Fates[fate]++
	rep.Reconnects += int64(reconnects)
	rep.Tokens += tokens
}

func (rep *Report) record(hist *hdrhistogram.Histogram, dur time.Duration) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	_ = hist.RecordValue(max(lowestMicros, min(highestMicros, dur.Microseconds())))
}

// Failed counts the calls that broke or whose outcome is unknown.
func (rep *Report) Failed() int64 {
	failed := rep.Fates[Broken] + rep.Fates[Unknown]
	if rep.Direct != nil {
		failed += rep.Direct.Failed()
	}
	return failed
}

// Write prints the report. Times are in milliseconds.
func (rep *Report) Write(out io.Writer) {
	if rep.Direct != nil {
		fmt.Fprintln(out, "without an entry:")
		rep.Direct.Write(out)
		fmt.Fprintln(out, "through entries:")
	}
	total := int64(0)
	for _, num := range rep.Fates {
		total += num
	}
	secs := rep.Elapsed.Seconds()
	fmt.Fprintf(out, "calls %d in %.1f s: %.1f/s, tokens %.1f/s, reconnections %d\n",
		total, secs, float64(total)/secs, float64(rep.Tokens)/secs, rep.Reconnects)
	for _, fate := range []Fate{Answered, Refused, Unknown, Broken} {
		fmt.Fprintf(out, "%-10s %d\n", fate, rep.Fates[fate])
	}
	fmt.Fprintf(out, "%-16s %10s %10s %10s %10s\n", "ms", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{
		{"first token", rep.FirstToken},
		{"between tokens", rep.BetweenTokens},
		{"whole answer", rep.Whole},
	} {
		if row.hist.TotalCount() == 0 {
			continue
		}
		fmt.Fprintf(out, "%-16s %10.2f %10.2f %10.2f %10.2f\n", row.name,
			millis(row.hist.ValueAtQuantile(50)), millis(row.hist.ValueAtQuantile(95)),
			millis(row.hist.ValueAtQuantile(99)), millis(row.hist.Max()))
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
