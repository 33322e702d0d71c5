// Package move implements the state machine of a move, the progressive rollout
// that shifts a service's traffic from one version to another. Only keeper.go
// does I/O.
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

// States of a move. Undone is final. Done can become undone only within the
// watch period.
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
	trigReady   trigger = "ready"
	trigProved  trigger = "proved"
	trigFull    trigger = "full"
	trigWatched trigger = "watched"
	trigUndo    trigger = "undo"
)

const (
	// maxStep bounds the time between two steps of the ramp, so that with a
	// distant deadline two versions don't run for longer than the evidence
	// requires.
	maxStep = 30 * time.Second
	// minStep is the minimum time per step of the ramp: one window of evidence.
	minStep = 10 * time.Second
	// rampFactor is the growth factor of the share per step.
	rampFactor = 2
	// proofSamples is the number of candidate responses that a proof needs,
	// with a margin. proofShare derives the share from it.
	proofSamples = 80
	// minProofShare is the lower bound of the share during the proof.
	minProofShare = 0.005
	// preCutoverShare is the share of a proved version before the cutover.
	preCutoverShare = 0.005
	// proofTimeFraction is the fraction of the time to the deadline that is
	// planned for the proof.
	proofTimeFraction = 0.4
)

// A Record is the persisted state of a move.
type Record struct {
	Move    wick.MoveID       `json:"move"`
	Service wick.Service      `json:"service"`
	From    wick.ModelVersion `json:"from"`
	To      wick.ModelVersion `json:"to"`
	State   State             `json:"state"`
	// Share is the fraction of requests routed to To.
	Share wick.Share `json:"share"`
	// Since is the time of the last state transition, StepAt that of the last
	// change of Share.
	Since  time.Time `json:"since"`
	StepAt time.Time `json:"stepAt"`
	// WatchUntil is the end of the watch period; zero before it.
	WatchUntil time.Time `json:"watchUntil,omitzero"`
	// Deadline is the time by which all traffic must have moved.
	Deadline time.Time `json:"deadline,omitzero"`
	// Reason explains the state to operators.
	Reason   string       `json:"reason"`
	Evidence string       `json:"evidence,omitempty"`
	Holder   wick.EntryID `json:"holder"`
	Fence    wick.Fence   `json:"fence"`
	WriteID  wick.WriteID `json:"writeId"`
}

// Proved reports whether the version is proved, which lifts the bound on
// requests in flight.
func (rec *Record) Proved() bool {
	return rec.State == StateRamping || rec.State == StateWatching || rec.State == StateDone
}

// Final reports whether the record can't change any more at the time now.
func (rec *Record) Final(now time.Time) bool {
	return rec.State == StateUndone || rec.State == StateDone && now.After(rec.WatchUntil)
}

// An Input holds the observations on which Step decides.
type Input struct {
	Now  time.Time
	Move wick.Move
	// Ready is set if endpoints of the new version are reporting.
	Ready bool
	// Stop is the reason why the version is bad, or "".
	Stop string
	// Proved is the verdict of the sequential test.
	Proved bool
	// Level is the value of the sequential test and StopLevel its threshold. A
	// tenth of the threshold pauses the ramp.
	Level, StopLevel float64
	Evidence         string
	// RequestsPerSecond is the service's request rate over all entries.
	RequestsPerSecond float64
	// The minimum time per step of the ramp, by default 10 s, and the minimum
	// duration of the proof, by default none.
	MinStep, MinProofTime time.Duration
	// CutoverAt, unless zero, replaces the ramp by a cutover of all traffic at
	// this time. It is for orders that bound the requests to an unproved
	// version until their deadline.
	CutoverAt time.Time
	// Exhausted is set once the request budget of the proof is used up.
	Exhausted bool
}

// minStep returns the minimum time per step of the ramp.
func (inp *Input) minStep() time.Duration {
	if inp.MinStep > 0 {
		return inp.MinStep
	}
	return minStep
}

// New returns the record of a pending move.
func New(mid wick.MoveID, mov wick.Move, now time.Time) Record {
	return Record{
		Move: mid, Service: mov.Service, From: mov.From, To: mov.To, State: StatePending,
		Since: now, StepAt: now, Deadline: mov.Deadline, Reason: "waits for endpoints of the new version",
	}
}

// machine returns the state machine that operates on rec.
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
	mac.Configure(StateWatching).Permit(trigWatched, StateDone).Permit(trigUndo, StateUndone)
	mac.Configure(StateDone).Permit(trigUndo, StateUndone, func(context.Context, ...any) bool {
		return !now.After(rec.WatchUntil)
	})
	mac.Configure(StateUndone)
	return mac
}

// fire applies a trigger to the record and reports whether the state permits it.
func fire(rec *Record, now time.Time, trig trigger, share wick.Share, reason string) bool {
	if machine(rec, now).Fire(trig) != nil {
		return false
	}
	rec.Share, rec.StepAt, rec.Reason = share, now, reason
	return true
}

// steps returns the number of steps of a ramp from share to all traffic.
func steps(share wick.Share) int {
	num := 0
	for ; share < 1; share *= rampFactor {
		num++
	}
	return num
}

// proofShare returns the share during the proof: enough to collect proofSamples
// in the time planned for the proof, at most the operators' limit.
func proofShare(inp *Input, since time.Time) wick.Share {
	limit := inp.Move.MaxShareBeforeProof
	left := inp.Move.Deadline.Sub(since).Seconds() * proofTimeFraction
	if inp.RequestsPerSecond <= 0 || left <= 0 {
		return limit
	}
	return min(limit, max(minProofShare, wick.Share(proofSamples/(inp.RequestsPerSecond*left))))
}

// stepTime returns the time between two steps: the time left, spread evenly and
// clamped.
func stepTime(inp *Input, rec *Record) time.Duration {
	left := inp.Move.Deadline.Sub(inp.Now)
	return min(max(left/time.Duration(steps(rec.Share)+1), inp.minStep()), maxStep)
}

// deadlineMiss returns the reason why the deadline can't be met, or "".
func deadlineMiss(inp *Input, rec *Record) string {
	if !inp.CutoverAt.IsZero() {
		unproved := rec.State != StateRamping
		switch {
		case unproved && inp.Now.After(inp.CutoverAt):
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
		// The elapsed part of the current step counts.
		need -= min(inp.Now.Sub(rec.StepAt), inp.minStep())
	}
	if left := inp.Move.Deadline.Sub(inp.Now); left < need {
		return fmt.Sprintf("deadline can't be met: the ramp from share %.3f needs %s, %s left", share, need, max(left, 0).Round(time.Second))
	}
	return ""
}

// Step returns the record that follows from the input, and false if it is
// unchanged.
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
		if reason := deadlineMiss(&inp, &rec); reason != "" {
			changed = fire(&next, inp.Now, trigUndo, 0, reason)
			break
		}
		changed = advance(&next, &inp)
	case StateWatching:
		if inp.Now.After(rec.WatchUntil) {
			changed = fire(&next, inp.Now, trigWatched, 1, "all traffic moved and the watch period passed")
		}
	default:
	}
	if changed {
		next.Evidence = inp.Evidence
	}
	return next, changed
}

// advance performs the next transition or step if its condition is met.
func advance(rec *Record, inp *Input) bool {
	switch {
	case rec.State == StatePending && inp.Ready:
		return fire(rec, inp.Now, trigReady, proofShare(inp, inp.Now), "collects evidence")
	case rec.State == StateProving && inp.Proved && inp.Now.Sub(rec.Since) >= inp.MinProofTime:
		share := rec.Share
		if !inp.CutoverAt.IsZero() {
			share = min(share, preCutoverShare)
		}
		return fire(rec, inp.Now, trigProved, share, "proved, share grows")
	case rec.State == StateRamping:
		return rec.ramp(inp)
	default:
		return false
	}
}

// ramp raises the share if the step is due and the test level is low.
func (rec *Record) ramp(inp *Input) bool {
	share, at := min(rec.Share*rampFactor, 1), rec.StepAt.Add(stepTime(inp, rec))
	if !inp.CutoverAt.IsZero() {
		share, at = 1, inp.CutoverAt
	}
	if inp.Now.Before(at) || inp.Level >= pauseLevel(inp) {
		return false
	}
	rec.Share, rec.StepAt = share, inp.Now
	rec.Reason = fmt.Sprintf("share %.3f", rec.Share)
	if rec.Share >= 1 {
		rec.startWatch(inp)
	}
	return true
}

// startWatch starts the watch period after all traffic has moved.
func (rec *Record) startWatch(inp *Input) {
	rec.WatchUntil = inp.Now.Add(inp.Move.WatchMillis.Duration())
	fire(rec, inp.Now, trigFull, 1, "all traffic moved, watched until "+rec.WatchUntil.UTC().Format(time.RFC3339))
}

// pauseLevel returns the test level from which the ramp pauses: a tenth of
// StopLevel, or 1 if that is unset.
func pauseLevel(inp *Input) float64 {
	if inp.StopLevel <= 0 {
		return 1
	}
	return inp.StopLevel / 10
}
