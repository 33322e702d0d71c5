package stream

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A simPlain is a fake plain service and ledger.
type simPlain struct {
	mu sync.Mutex
	// errs are the errors of the next calls; nil is a successful reply.
	errs    []error
	sent    int
	started int
	delay   time.Duration
	// claims maps keys to their claim state and reply.
	claims   map[wick.IdempotencyKey]wick.ClaimResult
	down     bool
	recorded []wick.ClaimOutcomeState
}

func (sim *simPlain) Call(ctx context.Context, _ wick.VM, _ wick.PlainCall) (wick.PlainReply, error) {
	sim.mu.Lock()
	sim.started++
	sim.mu.Unlock()
	if !wait(ctx, sim.delay) {
		return wick.PlainReply{}, wick.ErrUnknownOutcome
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.sent++
	if len(sim.errs) > 0 {
		err := sim.errs[0]
		sim.errs = sim.errs[1:]
		if err != nil {
			return wick.PlainReply{}, err
		}
	}
	return wick.PlainReply{Status: 201, Body: []byte("ok")}, nil
}

func (*simPlain) Load(context.Context, wick.VM) (wick.LoadReport, error) {
	return wick.LoadReport{}, nil
}

func (sim *simPlain) Claim(_ context.Context, que wick.ClaimQuery) (wick.ClaimResult, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.down {
		return wick.ClaimResult{}, wick.ErrUnavailable
	}
	res, ok := sim.claims[que.Key]
	if ok {
		return res, nil
	}
	sim.claims[que.Key] = wick.ClaimResult{State: wick.ClaimRunning}
	return wick.ClaimResult{State: wick.ClaimGranted}, nil
}

func (sim *simPlain) Record(_ context.Context, que wick.ClaimQuery, out wick.ClaimOutcome) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.recorded = append(sim.recorded, out.State)
	switch out.State {
	case wick.OutcomeDone:
		sim.claims[que.Key] = wick.ClaimResult{State: wick.ClaimDone, Reply: out.Reply}
	case wick.OutcomeUnknown:
		sim.claims[que.Key] = wick.ClaimResult{State: wick.ClaimUnknown}
	case wick.OutcomeNotExecuted:
		delete(sim.claims, que.Key)
	}
	return nil
}

// Guards against calls that run twice, and against failures that report "not
// executed" for a call that may have run (P4, P5).
func TestPlainCall(t *testing.T) {
	lost, unsent := wick.ErrUnknownOutcome, wick.ErrNotSent
	for name, tst := range map[string]struct {
		que      PlainQuery
		sim      *simPlain
		calls    int
		sent     int
		want     error
		executed Executed
		replayed bool
		recorded wick.ClaimOutcomeState
	}{
		"idempotent is retried":             {PlainQuery{Idempotent: true}, &simPlain{errs: []error{lost, lost}}, 1, 3, nil, "", false, ""},
		"idempotent, all attempts fail":     {PlainQuery{Idempotent: true}, &simPlain{errs: []error{lost, lost, lost}}, 1, 3, lost, ExecutedUnknown, false, ""},
		"idempotent never ran":              {PlainQuery{Idempotent: true}, &simPlain{errs: []error{unsent, unsent, unsent}}, 1, 3, unsent, ExecutedNo, false, ""},
		"no key is sent once":               {PlainQuery{}, &simPlain{errs: []error{lost}}, 1, 1, lost, ExecutedUnknown, false, ""},
		"no key, not sent, next endpoint":   {PlainQuery{}, &simPlain{errs: []error{unsent}}, 1, 2, nil, "", false, ""},
		"no key, not sent, then lost":       {PlainQuery{}, &simPlain{errs: []error{unsent, lost}}, 1, 2, lost, ExecutedUnknown, false, ""},
		"key is recorded":                   {PlainQuery{Key: "k"}, &simPlain{}, 1, 1, nil, "", false, wick.OutcomeDone},
		"key is replayed":                   {PlainQuery{Key: "k"}, &simPlain{}, 2, 1, nil, "", true, wick.OutcomeDone},
		"key, lost reply":                   {PlainQuery{Key: "k"}, &simPlain{errs: []error{lost}}, 2, 1, lost, ExecutedUnknown, false, wick.OutcomeUnknown},
		"key, never sent":                   {PlainQuery{Key: "k"}, &simPlain{errs: []error{unsent, unsent, unsent}}, 1, 3, unsent, ExecutedNo, false, wick.OutcomeNotExecuted},
		"key, ledger down":                  {PlainQuery{Key: "k"}, &simPlain{down: true}, 1, 0, wick.ErrUnavailable, ExecutedNo, false, ""},
		"key, ledger down, but deduplicate": {PlainQuery{Key: "k", Deduplicates: true}, &simPlain{down: true}, 1, 1, nil, "", false, ""},
		"key, running elsewhere": {
			PlainQuery{Key: "k"},
			&simPlain{claims: map[wick.IdempotencyKey]wick.ClaimResult{"k": {State: wick.ClaimRunning}}},
			1, 0, ErrClaimRunning, ExecutedUnknown, false, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wld, sim := newWorld(1, faults{}, ablation{}), tst.sim
				if sim.claims == nil {
					sim.claims = make(map[wick.IdempotencyKey]wick.ClaimResult)
				}
				tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Ledger: sim, Invar: &wld.chk})
				var ans PlainAnswer
				var err error
				for range tst.calls {
					ans, err = tab.Call(t.Context(), tst.que)
				}
				if !errors.Is(err, tst.want) || sim.sent != tst.sent || ans.Replayed != tst.replayed {
					t.Errorf("got %v, %d sent, replayed %v", err, sim.sent, ans.Replayed)
				}
				var fai *FailError
				if tst.want != nil && (!errors.As(err, &fai) || fai.Executed != tst.executed) {
					t.Errorf("executed: got %+v, want %q", fai, tst.executed)
				}
				if tst.recorded != "" && (len(sim.recorded) != 1 || sim.recorded[0] != tst.recorded) {
					t.Errorf("recorded %v, want %q", sim.recorded, tst.recorded)
				}
				if len(wld.violations) > 0 || wld.openAssignments != 0 {
					t.Errorf("violations %v, %d assignments open", wld.violations, wld.openAssignments)
				}
				for _, oth := range wld.entries {
					oth.kill()
				}
			})
		})
	}
}

// Guards against hedges of calls that are not idempotent, and against hedges
// whose second assignment is never released.
func TestPlainHedge(t *testing.T) {
	for name, tst := range map[string]struct {
		que  PlainQuery
		sent int
	}{
		"idempotent": {PlainQuery{Idempotent: true}, 1},
		"other":      {PlainQuery{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wld, sim := newWorld(1, faults{}, ablation{}), &simPlain{delay: 10 * time.Second}
				tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Invar: &wld.chk, HedgeAfter: time.Second})
				if _, err := tab.Call(t.Context(), tst.que); err != nil {
					t.Error(err)
				}
				tab.Close()
				time.Sleep(time.Minute)
				// The slower attempt is cancelled.
				if sim.sent != tst.sent || sim.started != map[bool]int{true: 2, false: 1}[tst.que.Idempotent] {
					t.Errorf("%d started, %d sent", sim.started, sim.sent)
				}
				if len(wld.violations) > 0 || wld.openAssignments != 0 {
					t.Errorf("violations %v, %d assignments open", wld.violations, wld.openAssignments)
				}
				for _, oth := range wld.entries {
					oth.kill()
				}
			})
		})
	}
}

// Guards against a call that is cancelled, or whose outcome is not recorded,
// because its caller disconnects after it was sent.
func TestPlainCallOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		sim := &simPlain{delay: 10 * time.Second, claims: make(map[wick.IdempotencyKey]wick.ClaimResult)}
		tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Ledger: sim, Invar: &wld.chk})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := tab.Call(ctx, PlainQuery{Key: "k"}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Minute)
		tab.Close()
		if len(sim.recorded) != 1 || sim.recorded[0] != wick.OutcomeDone {
			t.Errorf("recorded %v", sim.recorded)
		}
		for _, oth := range wld.entries {
			oth.kill()
		}
	})
}

// Guards against checks of P4 that do not detect a missing mechanism: without
// attempt phases, a call whose reply was lost is reported as not executed
// although it ran.
func TestLostReplyNeedsPhases(t *testing.T) {
	for name, tst := range map[string]struct {
		disabled ablation
		want     Executed
	}{
		"phases": {ablation{}, ExecutedUnknown}, "no phases": {ablation{phases: true}, ExecutedNo},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wld := newWorld(1, faults{}, ablation{})
				sim := &simPlain{errs: []error{wick.ErrUnknownOutcome, wick.ErrUnknownOutcome, wick.ErrUnknownOutcome}}
				tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Ledger: sim, Invar: &wld.chk})
				tab.disabled = tst.disabled
				_, err := tab.Call(t.Context(), PlainQuery{Idempotent: true})
				var fai *FailError
				if !errors.As(err, &fai) || fai.Executed != tst.want || sim.sent == 0 {
					t.Errorf("got %v after %d executions, want executed %q", err, sim.sent, tst.want)
				}
				for _, oth := range wld.entries {
					oth.kill()
				}
			})
		})
	}
}
