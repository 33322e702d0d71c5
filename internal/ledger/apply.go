package ledger

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A claimState is the state of a claim in a segment. A granted claim counts as
// sent, because its sender may send at any time.
type claimState string

const (
	stateClaimed claimState = "c"
	stateDone    claimState = "d"
	stateUnknown claimState = "u"
	// stateFree keeps the owner of an attempt that did not run, so that a
	// late copy of its claim is not granted.
	stateFree claimState = "f"
)

type claimTrigger string

const (
	trgDone        claimTrigger = "done"
	trgUnknown     claimTrigger = "unknown"
	trgNotExecuted claimTrigger = "notExecuted"
	trgAgain       claimTrigger = "again"
	// trgAgainDedup grants a claim again whose call may have run.
	trgAgainDedup claimTrigger = "againDedup"
)

// claimKey is the context key of the claim that the machine works on.
type claimKey struct{}

// newMachine returns the transitions of claims. One machine serves all claims
// of a ledger; the claim travels in the context of Fire.
func newMachine() *stateless.StateMachine {
	mac := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			clm, ok := ctx.Value(claimKey{}).(*claim)
			if !ok {
				return nil, eris.New("ledger: no claim")
			}
			return clm.State, nil
		},
		func(ctx context.Context, next stateless.State) error {
			clm, ok := ctx.Value(claimKey{}).(*claim)
			state, isState := next.(claimState)
			if !ok || !isState {
				return eris.New("ledger: no claim")
			}
			clm.State = state
			return nil
		}, stateless.FiringImmediate)
	mac.Configure(stateClaimed).
		Permit(trgDone, stateDone).Permit(trgUnknown, stateUnknown).Permit(trgNotExecuted, stateFree).
		PermitReentry(trgAgainDedup)
	mac.Configure(stateUnknown).Permit(trgAgainDedup, stateClaimed).Permit(trgDone, stateDone)
	mac.Configure(stateFree).Permit(trgAgain, stateClaimed)
	mac.Configure(stateDone)
	return mac
}

// A judge decides requests. It performs no I/O.
type judge struct {
	machine *stateless.StateMachine
	// runningFor is how long a claim without an outcome is reported as
	// running. After it, the outcome is reported as unknown.
	runningFor time.Duration
}

// decide returns the answer to a request, given the newest record of its key
// or nil, and the record to write, or nil if nothing changes. The answer holds
// only once the record is durable.
func (jud *judge) decide(req *request, old *claim, now time.Time) (answer, *claim) {
	if old != nil && old.Print != req.print {
		return answer{err: wick.ErrKeyReused}, nil
	}
	if req.outcome != "" {
		return jud.record(req, old, now)
	}
	if old == nil {
		return jud.grant(req, claim{}, now)
	}
	switch old.State {
	case stateDone:
		return answer{state: wick.ClaimDone, claim: *old}, nil
	case stateFree:
		if old.Owner == req.owner {
			return answer{err: eris.Wrap(wick.ErrConflict, "ledger: attempt has ended")}, nil
		}
		return jud.again(req, old, trgAgain, now)
	case stateClaimed:
		if old.Owner == req.owner {
			return answer{state: wick.ClaimGranted, claim: *old}, nil
		}
		if now.Sub(time.Unix(old.At, 0)) < jud.runningFor {
			return answer{state: wick.ClaimRunning, claim: *old}, nil
		}
	case stateUnknown:
	default:
		return answer{err: eris.Wrapf(wick.ErrInvalid, "ledger: claim state %q", old.State)}, nil
	}
	if req.dedup {
		return jud.again(req, old, trgAgainDedup, now)
	}
	return answer{state: wick.ClaimUnknown, claim: *old}, nil
}

func (jud *judge) grant(req *request, base claim, now time.Time) (answer, *claim) {
	base.Key, base.Print, base.Owner = req.key, req.print, req.owner
	base.State, base.At = stateClaimed, unix(now)
	return answer{state: wick.ClaimGranted, claim: base}, &base
}

func (jud *judge) again(req *request, old *claim, trg claimTrigger, now time.Time) (answer, *claim) {
	next := *old
	if err := jud.fire(&next, trg); err != nil {
		return answer{err: err}, nil
	}
	next.Doubt = next.Doubt || trg == trgAgainDedup
	return jud.grant(req, next, now)
}

func (jud *judge) record(req *request, old *claim, now time.Time) (answer, *claim) {
	if old == nil {
		if !req.dedup {
			return answer{err: eris.Wrap(wick.ErrNotFound, "ledger: no claim to record")}, nil
		}
		// The call was sent without a claim during an outage.
		_, old = jud.grant(req, claim{}, now)
	}
	// An endpoint that deduplicates gives every attempt the same reply.
	anyOwner := req.dedup && req.outcome == wick.OutcomeDone
	if old.Owner != req.owner && !anyOwner {
		return answer{err: eris.Wrap(wick.ErrConflict, "ledger: claim belongs to another attempt")}, nil
	}
	trg, ok := outcomeTrigger(req.outcome, old.Doubt)
	if !ok {
		return answer{err: eris.Wrapf(wick.ErrInvalid, "ledger: outcome %q", req.outcome)}, nil
	}
	ended := old.State == stateDone || old.State == stateFree && old.Owner == req.owner
	if ended || old.State == stateUnknown && trg != trgDone {
		return answer{claim: *old}, nil
	}
	next := *old
	if old.State == stateFree {
		// Another attempt did not run, this one did.
		next.State, next.Owner = stateClaimed, req.owner
	}
	if err := jud.fire(&next, trg); err != nil {
		return answer{err: err}, nil
	}
	if trg == trgDone {
		next.Owner, next.Reply, next.Stored = req.owner, req.reply, req.stored
	}
	return answer{claim: next}, &next
}

// outcomeTrigger returns the transition for an outcome. An attempt that did
// not run doesn't make the key free if an earlier one may have run.
func outcomeTrigger(out wick.ClaimOutcomeState, doubt bool) (claimTrigger, bool) {
	switch {
	case out == wick.OutcomeDone:
		return trgDone, true
	case out == wick.OutcomeNotExecuted && !doubt:
		return trgNotExecuted, true
	case out == wick.OutcomeNotExecuted, out == wick.OutcomeUnknown:
		return trgUnknown, true
	default:
		return "", false
	}
}

func (jud *judge) fire(clm *claim, trg claimTrigger) error {
	err := jud.machine.FireCtx(context.WithValue(context.Background(), claimKey{}, clm), trg)
	return eris.Wrap(err, "ledger: claim transition")
}
