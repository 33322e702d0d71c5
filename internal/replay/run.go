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

// ErrMissed reports that a stated outcome was missed.
var ErrMissed = errors.New("stated outcome missed")

const (
	startTimeout = 20 * time.Second
	callTimeout  = 30 * time.Second
)

// A Result is what came of a trace.
type Result struct {
	mu sync.Mutex
	// Fates counts calls by fate.
	Fates map[load.Fate]int
	// keys holds the fates of calls with an idempotency key, by
	// "customer/key" as the endpoints get it.
	keys map[wick.IdempotencyKey][]load.Fate
	// Missed lists the stated outcomes that were missed.
	Missed []string
}

func (res *Result) missf(format string, args ...any) {
	res.mu.Lock()
	defer res.mu.Unlock()
	res.Missed = append(res.Missed, fmt.Sprintf(format, args...))
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

// Run replays a trace on a site of its own and prints the fate of every call.
// The error wraps ErrMissed when a stated outcome is missed.
func Run(ctx context.Context, trc Trace, out io.Writer) (*Result, error) {
	run := &runner{
		trc: trc, out: out,
		engines: make(map[wick.VMID]*fake.Engine),
		plains:  make(map[wick.VMID]*fake.Plain),
		clients: make(map[wick.Customer]*client.Client),
		res:     &Result{Fates: make(map[load.Fate]int), keys: make(map[wick.IdempotencyKey][]load.Fate)},
	}
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	defer run.sit.Close()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go run.watchMoves(watch)
	if err := run.steps(ctx); err != nil {
		return nil, err
	}
	run.wg.Wait()
	run.judge(ctx)
	if len(run.res.Missed) > 0 {
		return run.res, eris.Wrapf(ErrMissed, "%s", strings.Join(run.res.Missed, "; "))
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

// steps runs the steps at their times.
func (run *runner) steps(ctx context.Context) error {
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for idx := range run.trc.Steps {
		stp := &run.trc.Steps[idx]
		if !retry.Sleep(ctx, time.Until(began.Add(stp.At.Duration()))) {
			return ctx.Err()
		}
		if stp.Complete == nil && stp.Call == nil {
			if err := run.event(ctx, stp); err != nil {
				return err
			}
			continue
		}
		wg.Go(func() {
			for num := range max(stp.Repeat, 1) {
				if !retry.Sleep(ctx, time.Until(began.Add(stp.At.Duration()+time.Duration(num)*stp.Every.Duration()))) {
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

// watchMoves prints changes of moves until ctx ends.
func (run *runner) watchMoves(ctx context.Context) {
	known := make(map[string]string)
	for retry.Sleep(ctx, settlePoll) {
		states, err := run.sit.Moves(ctx)
		if err != nil {
			continue
		}
		for name, state := range states {
			if known[name] != state {
				run.printf("move      %s is %s", name, state)
				known[name] = state
			}
		}
	}
}

// event runs a step that is not a call.
func (run *runner) event(ctx context.Context, stp *Step) error {
	if stp.Note != "" {
		run.printf("event     %s", stp.Note)
	}
	switch {
	case stp.Store != nil:
		run.sit.Store.SetFaults(stp.Store.Faults, stp.Store.Seed)
	case stp.Cloud != nil:
		run.sit.Cloud.SetFaults(*stp.Cloud)
	case stp.Endpoint != nil:
		return run.endpointFault(stp.Endpoint)
	case stp.Drain != nil:
		run.wg.Go(func() {
			if err := run.sit.DrainEntry(stp.Drain.Entry, stp.Drain.NoticeMillis.Duration()); err != nil {
				run.res.missf("drain of %s: %v", stp.Drain.Entry, err)
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

func (run *runner) endpointFault(flt *EndpointFault) error {
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

// roll brings the next bundle version with new moves into force.
func (run *runner) roll(ctx context.Context, moves []Move) error {
	bnd := &run.trc.Header.Bundle
	bnd.Replaces, bnd.Version, bnd.WriteID = bnd.Version, bnd.Version+1, ""
	bnd.Moves = nil
	for _, mov := range moves {
		// A move begins at the version that serves now.
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

// send runs one call of a step and checks its fate.
func (run *runner) send(ctx context.Context, stp *Step, num int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	var err error
	var what string
	if stp.Complete != nil {
		what = fmt.Sprintf("complete %s", stp.Complete.Model)
		err = run.complete(ctx, stp.Complete, num)
	} else {
		key := wick.IdempotencyKey(numbered(string(stp.Call.Key), num))
		what = fmt.Sprintf("%s %s%s %s", stp.Call.Method, stp.Call.Service, numbered(stp.Call.Path, num), key)
		err = run.call(ctx, stp.Call, key, num)
	}
	took := time.Since(began)
	run.finish(stp, what, err, took)
}

func (run *runner) finish(stp *Step, what string, err error, took time.Duration) {
	fate := load.FateOf(err)
	text := ""
	if err != nil {
		text = ": " + err.Error()
	}
	run.printf("%-9s %s in %d ms%s", fate, what, took.Milliseconds(), text)
	run.res.mu.Lock()
	run.res.Fates[fate]++
	run.res.mu.Unlock()
	if !allowed(stp.Expect, fate) {
		run.res.missf("%s was %s%s", what, fate, text)
	}
	if limit := stp.WithinMillis.Duration(); limit > 0 && took > limit {
		run.res.missf("%s took %v, allowed are %v", what, took, limit)
	}
}

func allowed(fates []load.Fate, fate load.Fate) bool {
	if len(fates) == 0 {
		return fate == load.Answered
	}
	for _, one := range fates {
		if one == fate {
			return true
		}
	}
	return false
}

// numbered replaces "{n}" by the number of the run.
func numbered(text string, num int) string {
	return strings.ReplaceAll(text, "{n}", strconv.Itoa(num))
}

// complete runs a model call and checks its text: the stand-in's answer is a
// function of the prompt.
func (run *runner) complete(ctx context.Context, com *Complete, num int) error {
	prompt := numbered(com.Prompt, num)
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
		run.res.missf("answer %s differs from the uninterrupted one", ans.Request)
	}
	return nil
}

func (run *runner) call(ctx context.Context, cal *Call, key wick.IdempotencyKey, num int) error {
	_, err := run.clients[cal.Customer].Do(ctx, client.Call{
		Service: cal.Service, Method: cal.Method, Path: numbered(cal.Path, num), Key: key,
		Body: []byte(numbered(cal.Body, num)), Retry: cal.Retry,
	})
	if key != "" {
		run.res.mu.Lock()
		scoped := wick.IdempotencyKey(cal.Customer) + "/" + key
		run.res.keys[scoped] = append(run.res.keys[scoped], load.FateOf(err))
		run.res.mu.Unlock()
	}
	return err
}
