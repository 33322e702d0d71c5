package replay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/site"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// ErrUnmet reports that an expectation of a trace was not met.
var ErrUnmet = errors.New("expectation not met")

const (
	startTimeout = 20 * time.Second
	callTimeout  = 30 * time.Second
)

// A Result is the result of a replay.
type Result struct {
	mu sync.Mutex
	// Fates counts calls by fate.
	Fates map[load.Outcome]int
	// keys holds the fates of calls with an idempotency key, by
	// "customer/key", the form that endpoints receive.
	keys map[wick.IdempotencyKey][]load.Outcome
	// Unmet describes the expectations that were not met.
	Unmet []string
}

func (res *Result) unmetf(format string, args ...any) {
	res.mu.Lock()
	defer res.mu.Unlock()
	res.Unmet = append(res.Unmet, fmt.Sprintf(format, args...))
}

// A runner replays one trace.
type runner struct {
	trc     Trace
	sit     *site.Site
	engines map[wick.VMID]*fake.Engine
	plains  map[wick.VMID]*fake.Plain
	clients map[wick.Customer]*client.Client
	res     *Result
	out     io.Writer
	// outMu guards out.
	outMu sync.Mutex
	wg    sync.WaitGroup
}

// Run replays a trace on a dedicated site and prints the fate of every call.
// The error wraps ErrUnmet when an expectation is not met.
func Run(ctx context.Context, trc Trace, out io.Writer) (*Result, error) {
	run := &runner{
		trc: trc, out: out,
		engines: make(map[wick.VMID]*fake.Engine),
		plains:  make(map[wick.VMID]*fake.Plain),
		clients: make(map[wick.Customer]*client.Client),
		res:     &Result{Fates: make(map[load.Outcome]int), keys: make(map[wick.IdempotencyKey][]load.Outcome)},
	}
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	defer run.sit.Close()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go run.watchMoves(watchCtx)
	if err := run.runSteps(ctx); err != nil {
		return nil, err
	}
	run.wg.Wait()
	run.checkOutcome(ctx)
	if len(run.res.Unmet) > 0 {
		return run.res, eris.Wrapf(ErrUnmet, "%s", strings.Join(run.res.Unmet, "; "))
	}
	return run.res, nil
}

func (run *runner) start(ctx context.Context) error {
	hdr := &run.trc.Header
	pln := site.Plan{Entries: hdr.Entries}
	for _, edp := range hdr.Engines {
		eng := &fake.Engine{Host: fake.Host{VM: edp.vm()}, DecodeTime: edp.DecodeMillis.Duration()}
		run.engines[edp.ID] = eng
		pln.Engines = append(pln.Engines, eng)
	}
	for _, edp := range hdr.Plains {
		pla := &fake.Plain{Host: fake.Host{VM: edp.vm()}, ServiceTime: edp.ServiceMillis.Duration()}
		run.plains[edp.ID] = pla
		pln.Plains = append(pln.Plains, pla)
	}
	for idx := range hdr.Bundle.Customers {
		cus := &hdr.Bundle.Customers[idx]
		if key, ok := hdr.Keys[cus.Name]; ok && cus.KeyHash == "" {
			sum := sha256.Sum256([]byte(key))
			cus.KeyHash = hex.EncodeToString(sum[:])
		}
	}
	sit, err := site.Start(pln)
	if err != nil {
		return err
	}
	run.sit = sit
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = sit.Roll(ctx, hdr.Bundle)
	if err == nil {
		err = sit.WaitVersion(ctx, hdr.Bundle.Version)
	}
	if err != nil {
		sit.Close()
		return err
	}
	for cus, key := range hdr.Keys {
		run.clients[cus] = sit.Client(key)
	}
	return nil
}

func (edp Endpoint) vm() wick.VM {
	return wick.VM{ID: edp.ID, Zone: edp.Zone, Class: edp.Class, Service: edp.Service, Versions: edp.Versions}
}

// runSteps runs each step at its scheduled time. Calls run concurrently; other
// events run in order.
func (run *runner) runSteps(ctx context.Context) error {
	startTime := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for idx := range run.trc.Steps {
		stp := &run.trc.Steps[idx]
		if !retry.Sleep(ctx, time.Until(startTime.Add(stp.At.Duration()))) {
			return ctx.Err()
		}
		if stp.Complete == nil && stp.Call == nil {
			if err := run.runEvent(ctx, stp); err != nil {
				return err
			}
			continue
		}
		wg.Go(func() {
			for num := range max(stp.Repeat, 1) {
				if !retry.Sleep(ctx, time.Until(startTime.Add(stp.At.Duration()+time.Duration(num)*stp.Every.Duration()))) {
					return
				}
				run.wg.Go(func() { run.send(ctx, stp, num) })
			}
		})
	}
	return nil
}

// printf prints one line.
func (run *runner) printf(format string, args ...any) {
	run.outMu.Lock()
	defer run.outMu.Unlock()
	fmt.Fprintf(run.out, format+"\n", args...)
}

// watchMoves prints state changes of moves until ctx ends.
func (run *runner) watchMoves(ctx context.Context) {
	printed := make(map[string]string)
	for retry.Sleep(ctx, movePollInterval) {
		states, err := run.sit.Moves(ctx)
		if err != nil {
			continue
		}
		for name, state := range states {
			if printed[name] != state {
				run.printf("move      %s is %s", name, state)
				printed[name] = state
			}
		}
	}
}

// runEvent runs a step that is not a call.
func (run *runner) runEvent(ctx context.Context, stp *Step) error {
	if stp.Note != "" {
		run.printf("event     %s", stp.Note)
	}
	switch {
	case stp.Store != nil:
		run.sit.Store.SetFaults(stp.Store.Faults, stp.Store.Seed)
	case stp.Cloud != nil:
		run.sit.Cloud.SetFaults(*stp.Cloud)
	case stp.Endpoint != nil:
		return run.setEndpointFaults(stp.Endpoint)
	case stp.Drain != nil:
		run.wg.Go(func() {
			if err := run.sit.DrainEntry(stp.Drain.Entry, stp.Drain.NoticeMillis.Duration()); err != nil {
				run.res.unmetf("drain of %s: %v", stp.Drain.Entry, err)
			}
		})
	case stp.Kill != "":
		run.sit.KillEntry(stp.Kill)
	case stp.Start != nil:
		return run.sit.StartEntry(stp.Start.Entry, stp.Start.Zone)
	case len(stp.Roll) > 0:
		return run.roll(ctx, stp.Roll)
	default:
		return eris.Wrapf(wick.ErrInvalid, "replay: step at %d has no event", stp.At)
	}
	return nil
}

func (run *runner) setEndpointFaults(flt *EndpointFault) error {
	if eng, ok := run.engines[flt.ID]; ok {
		eng.SetFaults(flt.Faults)
		return nil
	}
	if pla, ok := run.plains[flt.ID]; ok {
		pla.SetFaults(flt.Faults)
		return nil
	}
	return eris.Wrapf(wick.ErrInvalid, "replay: no endpoint %s", flt.ID)
}

// roll submits and signs the next bundle version with new moves.
func (run *runner) roll(ctx context.Context, moves []Move) error {
	bnd := &run.trc.Header.Bundle
	bnd.Replaces, bnd.Version, bnd.WriteID = bnd.Version, bnd.Version+1, ""
	bnd.Moves = nil
	for _, mov := range moves {
		// The active version must be the one that the move starts from.
		for idx := range bnd.Services {
			if bnd.Services[idx].Name == mov.Service {
				bnd.Services[idx].Active = mov.From
			}
		}
		mov.Deadline = time.Now().Add(mov.DeadlineMillis.Duration())
		bnd.Moves = append(bnd.Moves, mov.Move)
	}
	return run.sit.Roll(ctx, *bnd)
}

// send runs one call of a step and records its result.
func (run *runner) send(ctx context.Context, stp *Step, num int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startTime := time.Now()
	var err error
	var target string
	if stp.Complete != nil {
		target = fmt.Sprintf("complete %s", stp.Complete.Model)
		err = run.complete(ctx, stp.Complete, num)
	} else {
		key := wick.IdempotencyKey(expandIndex(string(stp.Call.Key), num))
		target = fmt.Sprintf("%s %s%s %s", stp.Call.Method, stp.Call.Service, expandIndex(stp.Call.Path, num), key)
		err = run.call(ctx, stp.Call, key, num)
	}
	elapsed := time.Since(startTime)
	run.record(stp, target, err, elapsed)
}

// record prints and counts the fate of a call and checks it against the
// expectations of its step.
func (run *runner) record(stp *Step, target string, err error, elapsed time.Duration) {
	fate := load.OutcomeOf(err)
	text := ""
	if err != nil {
		text = ": " + err.Error()
	}
	run.printf("%-9s %s in %d ms%s", fate, target, elapsed.Milliseconds(), text)
	run.res.mu.Lock()
	run.res.Fates[fate]++
	run.res.mu.Unlock()
	if !allowed(stp.Expect, fate) {
		run.res.unmetf("%s was %s%s", target, fate, text)
	}
	if limit := stp.WithinMillis.Duration(); limit > 0 && elapsed > limit {
		run.res.unmetf("%s took %v, want at most %v", target, elapsed, limit)
	}
}

// allowed reports whether a fate is among the expected ones.
func allowed(fates []load.Outcome, fate load.Outcome) bool {
	if len(fates) == 0 {
		return fate == load.Answered
	}
	for _, expected := range fates {
		if expected == fate {
			return true
		}
	}
	return false
}

// expandIndex replaces "{n}" by the index of the repetition.
func expandIndex(text string, num int) string {
	return strings.ReplaceAll(text, "{n}", strconv.Itoa(num))
}

// complete runs a model call and checks its text, which the fake engine derives
// from the prompt alone.
func (run *runner) complete(ctx context.Context, com *Completion, num int) error {
	prompt := expandIndex(com.Prompt, num)
	ans, err := run.clients[com.Customer].Complete(ctx, client.Completion{
		Model: com.Model, Prompt: prompt, MaxTokens: com.Tokens,
	}, nil)
	if err != nil {
		return err
	}
	var want strings.Builder
	for idx := range ans.Tokens {
		want.WriteString(fake.TokenText(prompt, idx))
	}
	if ans.Text != want.String() || ans.Finish == "length" && ans.Tokens != com.Tokens {
		run.res.unmetf("text of answer %s differs from that of an uninterrupted stream", ans.Request)
	}
	return nil
}

func (run *runner) call(ctx context.Context, cal *Call, key wick.IdempotencyKey, num int) error {
	_, err := run.clients[cal.Customer].Do(ctx, client.Call{
		Service: cal.Service, Method: cal.Method, Path: expandIndex(cal.Path, num), Key: key,
		Body: []byte(expandIndex(cal.Body, num)), Retry: cal.Retry,
	})
	if key != "" {
		run.res.mu.Lock()
		scoped := wick.IdempotencyKey(cal.Customer) + "/" + key
		run.res.keys[scoped] = append(run.res.keys[scoped], load.OutcomeOf(err))
		run.res.mu.Unlock()
	}
	return err
}
