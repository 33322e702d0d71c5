package slope

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	loadEngines = 4
	// loadRate, in requests per second, keeps two entries, the fakes and the load
	// generator below the capacity of a small machine.
	loadRate     = 20
	loadDuration = 10 * time.Second
	loadSlots    = 512
	// decodeTime is the inter-token latency of the target. It affects the result
	// because the entry batches the events of 50 ms.
	decodeTime       = 35 * time.Millisecond
	loadPromptTokens = 200
	bookingEntries   = 5
	bookingDuration  = 8 * time.Second
)

// answerLengths are the answer lengths to measure at. 371 tokens is the target's
// mean: 13 million tokens/s over 35,000 requests/s.
var answerLengths = []wick.Tokens{8, 64, 128, 256, 371}

// bookingRates are in bookings per second.
var bookingRates = []float64{2, 5, 10, 20, 40, 80, 160}

// totalUsage returns the CPU seconds and the resident bytes of all entries.
func (sit *site) totalUsage() (cpu, resident float64, err error) {
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

// idleCPU returns the CPU time per second of all entries without calls.
func (sit *site) idleCPU(ctx context.Context) (float64, error) {
	before, _, err := sit.totalUsage()
	if err != nil {
		return 0, err
	}
	startTime := time.Now()
	if !sleep(ctx, sit.run.Window) {
		return 0, ctx.Err()
	}
	after, _, err := sit.totalUsage()
	return (after - before) / time.Since(startTime).Seconds(), err
}

// startSettled starts a site, waits for the settling time and returns the site
// with its idle CPU time per second.
func (run *Run) startSettled(ctx context.Context, pln plan) (*site, float64, error) {
	sit, err := run.startSite(ctx, pln)
	if err != nil {
		return nil, 0, err
	}
	if !sleep(ctx, run.Settle) {
		sit.close()
		return nil, 0, ctx.Err()
	}
	idle, err := sit.idleCPU(ctx)
	if err != nil {
		sit.close()
		return nil, 0, err
	}
	return sit, idle, nil
}

// measureLoad measures CPU time per request as a function of the answer length.
// It includes both entries, the one that accepts the request and the one that
// stores the replica, because every node does both at the target.
func (run *Run) measureLoad(ctx context.Context) error {
	sit, idle, err := run.startSettled(ctx, plan{entries: 2, engines: loadEngines, endpoints: loadEngines, slots: loadSlots, decodeTime: decodeTime})
	if err != nil {
		return err
	}
	defer sit.close()
	for _, tokens := range answerLengths {
		for range run.Repeat {
			if err := run.measureAnswers(ctx, sit, idle, tokens); err != nil {
				return err
			}
		}
	}
	return nil
}

func (run *Run) measureAnswers(ctx context.Context, sit *site, idle float64, tokens wick.Tokens) error {
	before, residentBefore, err := sit.totalUsage()
	if err != nil {
		return err
	}
	startTime := time.Now()
	peak := make(chan float64, 1)
	go func() {
		sleep(ctx, loadDuration)
		_, resident, err := sit.totalUsage()
		if err != nil {
			resident = residentBefore
		}
		peak <- resident
	}()
	rep := load.Run(ctx, load.Plan{
		Client: sit.client(), Rate: loadRate, Duration: loadDuration, Model: modelService,
		PromptTokens: loadPromptTokens, SharedPrefix: 0.5, MaxTokens: tokens, Deadline: time.Minute, Seed: uint64(tokens), //nolint:gosec // positive
	})
	after, _, err := sit.totalUsage()
	if err != nil {
		return err
	}
	used := after - before - idle*time.Since(startTime).Seconds()
	calls := float64(rep.Outcomes[load.Answered])
	if calls == 0 {
		run.logf("load: no answers: %v", rep.Outcomes)
		return nil
	}
	perCall := 1000 * used / calls
	run.rep.add("load-cpu", "tokens per request", "ms of CPU per request", float64(rep.Tokens)/calls, perCall)
	// Little's law; answers that take longer than loadDuration are capped to it.
	inFlight := min(float64(rep.Tokens)/calls*decodeTime.Seconds(), loadDuration.Seconds()) * loadRate
	resident := <-peak
	run.rep.add("load-memory", "requests held at once", "MB resident, both entries", inFlight, resident/(1<<20))
	run.logf("load: %d tokens, fates %v, %.3f ms per request, first token p95 %d us, between tokens p95 %d us, memory %.0f MB",
		tokens, rep.Outcomes, perCall, rep.FirstToken.ValueAtQuantile(95), rep.BetweenTokens.ValueAtQuantile(95), resident/(1<<20))
	return nil
}

// measureBookings measures store calls and CPU time as a function of the booking
// rate.
func (run *Run) measureBookings(ctx context.Context) error {
	sit, idle, err := run.startSettled(ctx, plan{entries: bookingEntries, engines: 1, plains: 2, endpoints: 1, slots: loadSlots, decodeTime: decodeTime})
	if err != nil {
		return err
	}
	defer sit.close()
	for _, rate := range bookingRates {
		for range run.Repeat {
			if err := run.measureBookingRate(ctx, sit, idle, rate); err != nil {
				return err
			}
		}
	}
	return nil
}

func (run *Run) measureBookingRate(ctx context.Context, sit *site, idle, rate float64) error {
	const axis = "bookings/s"
	callsBefore, startTime := sit.store.Calls(), time.Now()
	before, _, err := sit.totalUsage()
	if err != nil {
		return err
	}
	rep := load.Run(ctx, load.Plan{
		Client: sit.client(), Rate: rate, Duration: bookingDuration, Plain: plainService, Method: "POST", Path: "/book",
		Keyed: true, Deadline: 20 * time.Second, Seed: uint64(rate),
	})
	after, _, err := sit.totalUsage()
	if err != nil {
		return err
	}
	callsAfter, secs := sit.store.Calls(), time.Since(startTime).Seconds()
	done := float64(rep.Outcomes[load.Answered])
	if done == 0 {
		run.logf("bookings: no answers: %v", rep.Outcomes)
		return nil
	}
	run.rep.add("bookings-writes", axis, "store writes/s", done/secs, float64(callsAfter.Writes-callsBefore.Writes)/secs)
	run.rep.add("bookings-reads", axis, "store reads/s", done/secs, float64(callsAfter.Reads-callsBefore.Reads)/secs)
	run.rep.add("bookings-cpu", axis, "ms of CPU/s, all entries", done/secs, 1000*((after-before)/secs-idle))
	run.logf("bookings: %.1f/s, fates %v, writes %.1f/s, reads %.1f/s, whole answer p95 %d us", done/secs, rep.Outcomes,
		float64(callsAfter.Writes-callsBefore.Writes)/secs, float64(callsAfter.Reads-callsBefore.Reads)/secs, rep.Total.ValueAtQuantile(95))
	return nil
}
