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
	// stateFree is the state after an attempt that did not run. It keeps the
	// owner of that attempt, so that a delayed duplicate of its claim is not
	// granted.
	stateFree claimState = "f"
)

type claimTrigger string

const (
	trgDone        claimTrigger = "done"
	trgUnknown     claimTrigger = "unknown"
	trgNotExecuted claimTrigger = "notExecuted"
	trgRegrant     claimTrigger = "again"
	// trgRegrantDedup grants a claim whose earlier call may have run, because
	// the endpoint deduplicates.
	trgRegrantDedup claimTrigger = "againDedup"
)

// claimContextKey is the context key of the claim that the state machine
// operates on.
type claimContextKey struct{}

// newMachine returns the state machine of claims. One machine serves all claims
// of a ledger; the claim is passed in the context of Fire.
func newMachine() *stateless.StateMachine {
	mac := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			clm, ok := ctx.Value(claimContextKey{}).(*claim)
			if !ok {
				return nil, eris.New("ledger: no claim in context")
			}
			return clm.State, nil
		},
		func(ctx context.Context, next stateless.State) error {
			clm, ok := ctx.Value(claimContextKey{}).(*claim)
			state, isState := next.(claimState)
			if !ok || !isState {
				return eris.New("ledger: no claim in context")
			}
			clm.State = state
			return nil
		}, stateless.FiringImmediate)
	mac.Configure(stateClaimed).
		Permit(trgDone, stateDone).Permit(trgUnknown, stateUnknown).Permit(trgNotExecuted, stateFree).
		PermitReentry(trgRegrantDedup)
	mac.Configure(stateUnknown).Permit(trgRegrantDedup, stateClaimed).Permit(trgDone, stateDone)
	mac.Configure(stateFree).Permit(trgRegrant, stateClaimed)
	mac.Configure(stateDone)
	return mac
}

// A decider applies requests to claims. It performs no I/O.
type decider struct {
	machine *stateless.StateMachine
	// runningFor is how long a claim without an outcome is reported as
	// running. After it, the outcome is reported as unknown.
	runningFor time.Duration
}

// decide returns the answer to a request, given the newest record of its key or
// nil, and the record to write, or nil if nothing changes. The answer is valid
// only once the record is durable.
func (dec *decider) decide(req *request, old *claim, now time.Time) (answer, *claim) {
	if old != nil && old.Fingerprint != req.fingerprint {
		return answer{err: wick.ErrKeyReused}, nil
	}
	if req.outcome != "" {
		return dec.record(req, old, now)
	}
	if old == nil {
		return dec.grant(req, claim{}, now)
	}
	switch old.State {
	case stateDone:
		return answer{state: wick.ClaimDone, claim: *old}, nil
	case stateFree:
		if old.Owner == req.owner {
			return answer{err: eris.Wrap(wick.ErrConflict, "ledger: attempt has already ended")}, nil
		}
		return dec.regrant(req, old, trgRegrant, now)
	case stateClaimed:
		if old.Owner == req.owner {
			return answer{state: wick.ClaimGranted, claim: *old}, nil
		}
		if now.Sub(time.Unix(old.GrantedAt, 0)) < dec.runningFor {
			return answer{state: wick.ClaimRunning, claim: *old}, nil
		}
	case stateUnknown:
	default:
		return answer{err: eris.Wrapf(wick.ErrInvalid, "ledger: unknown claim state %q", old.State)}, nil
	}
	if req.dedup {
		return dec.regrant(req, old, trgRegrantDedup, now)
	}
	return answer{state: wick.ClaimUnknown, claim: *old}, nil
}

func (dec *decider) grant(req *request, base claim, now time.Time) (answer, *claim) {
	base.Key, base.Fingerprint, base.Owner = req.key, req.fingerprint, req.owner
	base.State, base.GrantedAt = stateClaimed, unix(now)
	return answer{state: wick.ClaimGranted, claim: base}, &base
}

func (dec *decider) regrant(req *request, old *claim, trg claimTrigger, now time.Time) (answer, *claim) {
	next := *old
	if err := dec.fire(&next, trg); err != nil {
		return answer{err: err}, nil
	}
	next.MayHaveRun = next.MayHaveRun || trg == trgRegrantDedup
	return dec.grant(req, next, now)
}

func (dec *decider) record(req *request, old *claim, now time.Time) (answer, *claim) {
	if old == nil {
		if !req.dedup {
			return answer{err: eris.Wrap(wick.ErrNotFound, "ledger: no claim to record")}, nil
		}
		// The call was sent without a claim during an outage.
		_, old = dec.grant(req, claim{}, now)
	}
	// An endpoint that deduplicates returns the same reply to every attempt.
	anyOwner := req.dedup && req.outcome == wick.OutcomeDone
	if old.Owner != req.owner && !anyOwner {
		return answer{err: eris.Wrap(wick.ErrConflict, "ledger: claim belongs to another attempt")}, nil
	}
	trg, ok := outcomeTrigger(req.outcome, old.MayHaveRun)
	if !ok {
		return answer{err: eris.Wrapf(wick.ErrInvalid, "ledger: unknown outcome %q", req.outcome)}, nil
	}
	ended := old.State == stateDone || old.State == stateFree && old.Owner == req.owner
	if ended || old.State == stateUnknown && trg != trgDone {
		return answer{claim: *old}, nil
	}
	next := *old
	if old.State == stateFree {
		// Another attempt did not run, but this one did.
		next.State, next.Owner = stateClaimed, req.owner
	}
	if err := dec.fire(&next, trg); err != nil {
		return answer{err: err}, nil
	}
	if trg == trgDone {
		next.Owner, next.Reply, next.Stored = req.owner, req.reply, req.stored
	}
	return answer{claim: next}, &next
}

// outcomeTrigger returns the transition for an outcome. An attempt that did not
// run doesn't release the key if an earlier one may have run.
func outcomeTrigger(out wick.ClaimOutcomeState, mayHaveRun bool) (claimTrigger, bool) {
	switch {
	case out == wick.OutcomeDone:
		return trgDone, true
	case out == wick.OutcomeNotExecuted && !mayHaveRun:
		return trgNotExecuted, true
	case out == wick.OutcomeNotExecuted, out == wick.OutcomeUnknown:
		return trgUnknown, true
	default:
		return "", false
	}
}

func (dec *decider) fire(clm *claim, trg claimTrigger) error {
	err := dec.machine.FireCtx(context.WithValue(context.Background(), claimContextKey{}, clm), trg)
	return eris.Wrap(err, "ledger: claim transition")
}
