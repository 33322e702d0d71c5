package slope

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	loadEngines = 4
	// loadRate keeps two entries, the stand-ins and the load tool below the
	// capacity of a small machine.
	loadRate  = 20
	loadTime  = 10 * time.Second
	loadSlots = 512
	// decodeTime is the inter-token latency of the target, because the entry
	// batches the events of 50 ms.
	decodeTime   = 35 * time.Millisecond
	loadPrompt   = 200
	bookEntries  = 5
	bookDuration = 8 * time.Second
)

// answers are the lengths of answers; 371 tokens is the target's mean, 13
// million tokens/s over 35,000 requests/s.
var answers = []wick.Tokens{8, 64, 128, 256, 371}

// bookRates are bookings per second.
var bookRates = []float64{2, 5, 10, 20, 40, 80, 160}

// cpu returns the processor time of all entries and their resident memory.
func (sit *site) totals() (cpu, resident float64, err error) {
	for _, prc := range sit.entries {
		usg, err := readUsage(prc.cmd.Process.Pid)
		if err != nil {
			return 0, 0, err
		}
		cpu += usg.cpu
		resident += usg.resident
	}
	return cpu, resident, nil
}

// idle returns the processor time per second of all entries without calls.
func (sit *site) idle(ctx context.Context) (float64, error) {
	before, _, err := sit.totals()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if !pause(ctx, sit.run.Window) {
		return 0, ctx.Err()
	}
	after, _, err := sit.totals()
	return (after - before) / time.Since(began).Seconds(), err
}

// settled starts a site, waits until it is at rest and returns its processor
// time per second at rest.
func (run *Run) settled(ctx context.Context, pln plan) (*site, float64, error) {
	sit, err := run.startSite(ctx, pln)
	if err != nil {
		return nil, 0, err
	}
	if !pause(ctx, run.Settle) {
		sit.close()
		return nil, 0, ctx.Err()
	}
	idle, err := sit.idle(ctx)
	if err != nil {
		sit.close()
		return nil, 0, err
	}
	return sit, idle, nil
}

// measureLoad measures processor time per request over the tokens of an
// answer. Both entries count, the one that accepts and the one that holds the
// replica, because every node does both at the target.
func (run *Run) measureLoad(ctx context.Context) error {
	sit, idle, err := run.settled(ctx, plan{entries: 2, engines: loadEngines, endpoints: loadEngines, slots: loadSlots, decodeTime: decodeTime})
	if err != nil {
		return err
	}
	defer sit.close()
	for _, tokens := range answers {
		for range run.Repeat {
			if err := run.answered(ctx, sit, idle, tokens); err != nil {
				return err
			}
		}
	}
	return nil
}

func (run *Run) answered(ctx context.Context, sit *site, idle float64, tokens wick.Tokens) error {
	before, rest, err := sit.totals()
	if err != nil {
		return err
	}
	began := time.Now()
	peak := make(chan float64, 1)
	go func() {
		pause(ctx, loadTime)
		_, resident, err := sit.totals()
		if err != nil {
			resident = rest
		}
		peak <- resident
	}()
	rep := load.Run(ctx, load.Plan{
		Client: sit.client(), Rate: loadRate, Duration: loadTime, Model: modelService,
		PromptTokens: loadPrompt, SharedPrefix: 0.5, MaxTokens: tokens, Deadline: time.Minute, Seed: uint64(tokens), //nolint:gosec // positive
	})
	after, _, err := sit.totals()
	if err != nil {
		return err
	}
	used := after - before - idle*time.Since(began).Seconds()
	calls := float64(rep.Fates[load.Answered])
	if calls == 0 {
		run.logf("load: no answers: %v", rep.Fates)
		return nil
	}
	perCall := 1000 * used / calls
	run.rep.add("load-cpu", "tokens per request", "ms of CPU per request", float64(rep.Tokens)/calls, perCall)
	// By Little's law, as long as answers end within loadTime.
	held := min(float64(rep.Tokens)/calls*decodeTime.Seconds(), loadTime.Seconds()) * loadRate
	resident := <-peak
	run.rep.add("load-memory", "requests held at once", "MB resident, both entries", held, resident/(1<<20))
	run.logf("load: %d tokens, fates %v, %.3f ms per request, first token p95 %d us, between tokens p95 %d us, memory %.0f MB",
		tokens, rep.Fates, perCall, rep.FirstToken.ValueAtQuantile(95), rep.BetweenTokens.ValueAtQuantile(95), resident/(1<<20))
	return nil
}

// measureBookings measures platform calls and processor time over bookings.
func (run *Run) measureBookings(ctx context.Context) error {
	sit, idle, err := run.settled(ctx, plan{entries: bookEntries, engines: 1, plains: 2, endpoints: 1, slots: loadSlots, decodeTime: decodeTime})
	if err != nil {
		return err
	}
	defer sit.close()
	for _, rate := range bookRates {
		for range run.Repeat {
			if err := run.booked(ctx, sit, idle, rate); err != nil {
				return err
			}
		}
	}
	return nil
}

func (run *Run) booked(ctx context.Context, sit *site, idle, rate float64) error {
	const axis = "bookings/s"
	calls, began := sit.store.Calls(), time.Now()
	before, _, err := sit.totals()
	if err != nil {
		return err
	}
	rep := load.Run(ctx, load.Plan{
		Client: sit.client(), Rate: rate, Duration: bookDuration, Plain: plainService, Method: "POST", Path: "/book",
		Keyed: true, Deadline: 20 * time.Second, Seed: uint64(rate),
	})
	after, _, err := sit.totals()
	if err != nil {
		return err
	}
	now, secs := sit.store.Calls(), time.Since(began).Seconds()
	done := float64(rep.Fates[load.Answered])
	if done == 0 {
		run.logf("bookings: no answers: %v", rep.Fates)
		return nil
	}
	run.rep.add("bookings-writes", axis, "store writes/s", done/secs, float64(now.Writes-calls.Writes)/secs)
	run.rep.add("bookings-reads", axis, "store reads/s", done/secs, float64(now.Reads-calls.Reads)/secs)
	run.rep.add("bookings-cpu", axis, "ms of CPU/s, all entries", done/secs, 1000*((after-before)/secs-idle))
	run.logf("bookings: %.1f/s, fates %v, writes %.1f/s, reads %.1f/s, whole answer p95 %d us", done/secs, rep.Fates,
		float64(now.Writes-calls.Writes)/secs, float64(now.Reads-calls.Reads)/secs, rep.Whole.ValueAtQuantile(95))
	return nil
}
