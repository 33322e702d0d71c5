// Package load generates open-loop load on running entries and measures
// latencies and outcomes.
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

// A Plan configures a load test. Calls start at a constant rate whether or not
// earlier calls have ended (open loop). This avoids coordinated omission: a slow
// system cannot hide its latency by slowing the load down.
type Plan struct {
	Client *client.Client
	// Rate is the number of calls per second.
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
	// Keyed sends an idempotency key with each plain call and allows retries.
	Keyed bool
	// Deadline is the timeout of each call; none if zero.
	Deadline time.Duration
	// Seed makes the mix of calls reproducible.
	Seed uint64
	// Direct lists endpoint addresses. If it is not empty, every second model
	// call bypasses the entries and goes to one of them, so that both paths are
	// measured under the same load.
	Direct []string
	// Version is the model version that direct calls request.
	Version wick.ModelVersion
	// engine sends the direct calls.
	engine *engine.Client
}

// An Outcome is the outcome of a call.
type Outcome string

// Outcomes of a call.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
	Broken   Outcome = "broken"
)

// Range of the histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// A Report is the result of a run.
type Report struct {
	mu sync.Mutex
	// Outcomes counts calls by outcome.
	Outcomes map[Outcome]int64
	// Reconnects counts resumed connections.
	Reconnects int64
	Tokens     wick.Tokens
	Elapsed    time.Duration
	// FirstToken, BetweenTokens and Total are latencies in microseconds.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Total         *hdrhistogram.Histogram
	// Direct is the report of the calls that bypass the entries; nil without
	// Plan.Direct.
	Direct *Report
}

func newReport() *Report {
	return &Report{
		Outcomes:      make(map[Outcome]int64),
		FirstToken:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
		BetweenTokens: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Total:         hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Run starts calls as configured by plan until its duration has passed or ctx
// ends, and waits for all of them.
func Run(ctx context.Context, plan Plan) *Report {
	rep := newReport()
	if len(plan.Direct) > 0 {
		rep.Direct = newReport()
		plan.engine = &engine.Client{}
		defer plan.engine.Close()
	}
	rnd := rand.New(rand.NewPCG(plan.Seed, plan.Seed)) //nolint:gosec // the mix must be reproducible
	interval := time.Duration(float64(time.Second) / plan.Rate)
	started := time.Now()
	var wg sync.WaitGroup
	for num := 0; ; num++ {
		startAt := started.Add(time.Duration(num) * interval)
		if startAt.Sub(started) >= plan.Duration || !retry.Sleep(ctx, time.Until(startAt)) {
			break
		}
		usePlain := plan.Plain != "" && (plan.Model == "" || rnd.Float64() < float64(plan.PlainShare))
		prompt := plan.prompt(rnd)
		wg.Go(func() {
			callCtx, cancel := plan.withDeadline(ctx)
			defer cancel()
			switch {
			case usePlain:
				plan.callPlain(callCtx, rep)
			case rep.Direct != nil && num%2 == 1:
				plan.callDirect(callCtx, rep.Direct, prompt, plan.Direct[num/2%len(plan.Direct)])
			default:
				plan.callModel(callCtx, rep, prompt)
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

func (plan *Plan) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if plan.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, plan.Deadline)
}

// prompt returns a prompt whose prefix is the same for all calls.
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

func (plan *Plan) callModel(ctx context.Context, rep *Report, prompt string) {
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
	rep.count(OutcomeOf(err), ans.Reconnects, ans.Tokens)
	if err == nil {
		rep.record(rep.FirstToken, ans.FirstToken)
		rep.record(rep.Total, ans.Total)
	}
}

// callDirect calls an endpoint without an entry.
func (plan *Plan) callDirect(ctx context.Context, rep *Report, prompt, addr string) {
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
	rep.count(OutcomeOf(err), 0, out.Count)
	if err == nil {
		rep.record(rep.FirstToken, first)
		rep.record(rep.Total, time.Since(started))
	}
}

func (plan *Plan) callPlain(ctx context.Context, rep *Report) {
	call := client.Call{Service: plan.Plain, Method: plan.Method, Path: plan.Path}
	if plan.Keyed {
		call.Key = wick.IdempotencyKey(uuid.NewString())
		call.Retry = true
	}
	ans, err := plan.Client.Do(ctx, call)
	rep.count(OutcomeOf(err), max(ans.Attempts-1, 0), 0)
	if err == nil {
		rep.record(rep.Total, ans.Total)
	}
}

// OutcomeOf returns the outcome that corresponds to a client error.
func OutcomeOf(err error) Outcome {
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

func (rep *Report) count(fate Outcome, reconnects int, tokens wick.Tokens) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.Outcomes[fate]++
	rep.Reconnects += int64(reconnects)
	rep.Tokens += tokens
}

func (rep *Report) record(hist *hdrhistogram.Histogram, dur time.Duration) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	_ = hist.RecordValue(max(minMicros, min(maxMicros, dur.Microseconds())))
}

// Failed returns the number of calls that are broken or whose outcome is
// unknown, direct calls included.
func (rep *Report) Failed() int64 {
	failed := rep.Outcomes[Broken] + rep.Outcomes[Unknown]
	if rep.Direct != nil {
		failed += rep.Direct.Failed()
	}
	return failed
}

// Write prints the report with latencies in milliseconds.
func (rep *Report) Write(out io.Writer) {
	if rep.Direct != nil {
		fmt.Fprintln(out, "without an entry:")
		rep.Direct.Write(out)
		fmt.Fprintln(out, "through entries:")
	}
	total := int64(0)
	for _, num := range rep.Outcomes {
		total += num
	}
	secs := rep.Elapsed.Seconds()
	fmt.Fprintf(out, "calls %d in %.1f s: %.1f/s, tokens %.1f/s, reconnections %d\n",
		total, secs, float64(total)/secs, float64(rep.Tokens)/secs, rep.Reconnects)
	for _, fate := range []Outcome{Answered, Refused, Unknown, Broken} {
		fmt.Fprintf(out, "%-10s %d\n", fate, rep.Outcomes[fate])
	}
	fmt.Fprintf(out, "%-16s %10s %10s %10s %10s\n", "ms", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{
		{"first token", rep.FirstToken},
		{"between tokens", rep.BetweenTokens},
		{"whole answer", rep.Total},
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
