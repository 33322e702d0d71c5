// Package move decides how a move of traffic from one version to another goes
// on. Only keeper.go does I/O.
package move

import (
	"context"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A State is the state of a move.
type State string

// States of a move. Undone is final. Done becomes undone within the watch
// period only.
const (
	StatePending  State = "pending"
	StateProving  State = "proving"
	StateRamping  State = "ramping"
	StateWatching State = "watching"
	StateDone     State = "done"
	StateUndone   State = "undone"
)

type trigger string

const (
	trigReady  trigger = "ready"
	trigProved trigger = "proved"
	trigFull   trigger = "full"
	trigWatch  trigger = "watched"
	trigUndo   trigger = "undo"
)

const (
	// maxStep bounds the time between two steps of the ramp, so that a far
	// deadline does not keep two versions for longer than evidence needs.
	maxStep = 30 * time.Second
	// minStep is the least time per step of the ramp: one window of evidence.
	minStep = 10 * time.Second
	// rampFactor is the growth of the share per step.
	rampFactor = 2
	// wantedProof is the number of candidate answers that a proof needs with
	// some reserve; the least share follows from it.
	wantedProof = 80
	minShare    = 0.005
	// waitShare is the share of a proved version that waits for Input.JumpAt.
	waitShare = 0.005
	// provePart of the time to the deadline is for the proof.
	provePart = 0.4
)

// A Record is the object of a move.
type Record struct {
	Move    wick.MoveID       `json:"move"`
	Service wick.Service      `json:"service"`
	From    wick.ModelVersion `json:"from"`
	To      wick.ModelVersion `json:"to"`
	State   State             `json:"state"`
	// Share of requests that To gets.
	Share wick.Share `json:"share"`
	// Since is when the state began, StepAt when the share last changed.
	Since  time.Time `json:"since"`
	StepAt time.Time `json:"stepAt"`
	// WatchUntil is the end of the watch period; zero before it.
	WatchUntil time.Time `json:"watchUntil,omitzero"`
	// Deadline is that of the move.
	Deadline time.Time `json:"deadline,omitzero"`
	// Reason tells operators why the state is as it is.
	Reason   string       `json:"reason"`
	Evidence string       `json:"evidence,omitempty"`
	Holder   wick.EntryID `json:"holder"`
	Fence    wick.Fence   `json:"fence"`
	WriteID  wick.WriteID `json:"writeId"`
}

// Proved reports whether the bound on requests in flight is lifted.
func (rec *Record) Proved() bool {
	return rec.State == StateRamping || rec.State == StateWatching || rec.State == StateDone
}

// Final reports whether nothing can change any more at a time.
func (rec *Record) Final(now time.Time) bool {
	return rec.State == StateUndone || rec.State == StateDone && now.After(rec.WatchUntil)
}

// An Input is what a step decides by.
type Input struct {
	Now  time.Time
	Move wick.Move
	// Ready is set when endpoints of the new version report.
	Ready bool
	// Stop is why the version is bad, or "".
	Stop string
	// Proved is the verdict of the sequential test.
	Proved bool
	// Level is the value of the sequential test and StopLevel its limit.
	// Suspicion holds the ramp.
	Level, StopLevel float64
	Evidence         string
	// PerSecond is the service's requests per second over all entries.
	PerSecond float64
	// MinStep replaces the least time per step of the ramp, and ProveFor is the
	// least time of the proof. Zero is the default and no least time.
	MinStep, ProveFor time.Duration
	// JumpAt replaces the ramp by one step to all traffic at a time, unless it
	// is zero. It is for orders that bound the requests at an unproven version
	// up to their deadline.
	JumpAt time.Time
	// Exhausted is set once no more requests may be spent on the proof.
	Exhausted bool
}

// minStep returns the least time per step of the ramp.
func (inp *Input) minStep() time.Duration {
	if inp.MinStep > 0 {
		return inp.MinStep
	}
	return minStep
}

// New returns the record of a move that has not begun.
func New(mid wick.MoveID, mov wick.Move, now time.Time) Record {
	return Record{
		Move: mid, Service: mov.Service, From: mov.From, To: mov.To, State: StatePending,
		Since: now, StepAt: now, Deadline: mov.Deadline, Reason: "waits for endpoints of the new version",
	}
}

// machine returns the state machine over a record.
func machine(rec *Record, now time.Time) *stateless.StateMachine {
	mac := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return rec.State, nil },
		func(_ context.Context, next stateless.State) error {
			if state, ok := next.(State); ok {
				rec.State = state
				rec.Since = now
			}
			return nil
		}, stateless.FiringImmediate)
	mac.Configure(StatePending).Permit(trigReady, StateProving).Permit(trigUndo, StateUndone)
	mac.Configure(StateProving).Permit(trigProved, StateRamping).Permit(trigUndo, StateUndone)
	mac.Configure(StateRamping).Permit(trigFull, StateWatching).Permit(trigUndo, StateUndone)
	mac.Configure(StateWatching).Permit(trigWatch, StateDone).Permit(trigUndo, StateUndone)
	mac.Configure(StateDone).Permit(trigUndo, StateUndone, func(context.Context, ...any) bool {
		return !now.After(rec.WatchUntil)
	})
	mac.Configure(StateUndone)
	return mac
}

// fire moves the record if its state permits it.
func fire(rec *Record, now time.Time, trig trigger, share wick.Share, reason string) bool {
	if machine(rec, now).Fire(trig) != nil {
		return false
	}
	rec.Share, rec.StepAt, rec.Reason = share, now, reason
	return true
}

// steps returns how many steps a ramp from a share needs.
func steps(share wick.Share) int {
	num := 0
	for ; share < 1; share *= rampFactor {
		num++
	}
	return num
}

// proofShare returns the share during the proof: enough for the proof in its
// part of the time, at most the operators' limit.
func proofShare(inp *Input, since time.Time) wick.Share {
	limit := inp.Move.MaxShareBeforeProof
	left := inp.Move.Deadline.Sub(since).Seconds() * provePart
	if inp.PerSecond <= 0 || left <= 0 {
		return limit
	}
	return min(limit, max(minShare, wick.Share(wantedProof/(inp.PerSecond*left))))
}

// stepTime returns the time between two steps.
func stepTime(inp *Input, rec *Record) time.Duration {
	left := inp.Move.Deadline.Sub(inp.Now)
	return min(max(left/time.Duration(steps(rec.Share)+1), inp.minStep()), maxStep)
}

// unmet returns why the deadline can't be met, or "".
func unmet(inp *Input, rec *Record) string {
	if !inp.JumpAt.IsZero() {
		unproved := rec.State != StateRamping
		switch {
		case unproved && inp.Now.After(inp.JumpAt):
			return "not proved in time"
		case unproved && inp.Exhausted && !inp.Proved:
			return "not proved within the requests that an unproved version may get"
		}
		return ""
	}
	share := rec.Share
	if share == 0 {
		share = proofShare(inp, inp.Now)
	}
	need := time.Duration(steps(share)) * inp.minStep()
	if rec.State == StateRamping {
		// The step in progress has begun already.
		need -= min(inp.Now.Sub(rec.StepAt), inp.minStep())
	}
	if left := inp.Move.Deadline.Sub(inp.Now); left < need {
		return fmt.Sprintf("deadline can't be met: the ramp from share %.3f needs %s, %s left", share, need, max(left, 0).Round(time.Second))
	}
	return ""
}

// Step returns the record after a decision. It returns false when nothing has
// changed.
func Step(rec Record, inp Input) (Record, bool) {
	if inp.Stop != "" {
		changed := rec.State != StateUndone && fire(&rec, inp.Now, trigUndo, 0, inp.Stop)
		if changed {
			rec.Evidence = inp.Evidence
		}
		return rec, changed
	}
	next := rec
	changed := false
	switch rec.State {
	case StatePending, StateProving, StateRamping:
		if why := unmet(&inp, &rec); why != "" {
			changed = fire(&next, inp.Now, trigUndo, 0, why)
			break
		}
		changed = advance(&next, &inp)
	case StateWatching:
		if inp.Now.After(rec.WatchUntil) {
			changed = fire(&next, inp.Now, trigWatch, 1, "all traffic moved and the watch period passed")
		}
	default:
	}
	if changed {
		next.Evidence = inp.Evidence
	}
	return next, changed
}

// advance makes the next step forward if it is time.
func advance(rec *Record, inp *Input) bool {
	switch {
	case rec.State == StatePending && inp.Ready:
		return fire(rec, inp.Now, trigReady, proofShare(inp, inp.Now), "collects evidence")
	case rec.State == StateProving && inp.Proved && inp.Now.Sub(rec.Since) >= inp.ProveFor:
		share := rec.Share
		if !inp.JumpAt.IsZero() {
			share = min(share, waitShare)
		}
		return fire(rec, inp.Now, trigProved, share, "proved, share grows")
	case rec.State == StateRamping:
		return rec.ramp(inp)
	default:
		return false
	}
}

// ramp raises the share if it is time.
func (rec *Record) ramp(inp *Input) bool {
	share, at := min(rec.Share*rampFactor, 1), rec.StepAt.Add(stepTime(inp, rec))
	if !inp.JumpAt.IsZero() {
		share, at = 1, inp.JumpAt
	}
	if inp.Now.Before(at) || inp.Level >= suspicion(inp) {
		return false
	}
	rec.Share, rec.StepAt = share, inp.Now
	rec.Reason = fmt.Sprintf("share %.3f", rec.Share)
	if rec.Share >= 1 {
		rec.full(inp)
	}
	return true
}

// full begins the watch period with all traffic moved.
func (rec *Record) full(inp *Input) {
	rec.WatchUntil = inp.Now.Add(inp.Move.WatchMillis.Duration())
	fire(rec, inp.Now, trigFull, 1, "all traffic moved, watched until "+rec.WatchUntil.UTC().Format(time.RFC3339))
}

// suspicion is the level of the test above which the ramp waits: a tenth of a
// stop.
func suspicion(inp *Input) float64 {
	if inp.StopLevel <= 0 {
		return 1
	}
	return inp.StopLevel / 10
}
