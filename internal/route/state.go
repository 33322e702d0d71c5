package route

import (
	"context"
	"errors"

	"github.com/qmuntal/stateless"
)

// A State is the state of an endpoint.
type State string

// States of an endpoint. StateGone is final, and StateLeaving leads only to
// StateGone.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateEjected State = "ejected"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

type trigger string

const (
	trigFailed          trigger = "failed"
	trigEject           trigger = "eject"
	trigEjectionExpired trigger = "retry"
	trigSucceeded       trigger = "worked"
	trigLeaving         trigger = "leaving"
	trigGone            trigger = "gone"
)

type endpointKey struct{}

var errNoEndpoint = errors.New("no endpoint in context")

// newMachine returns the state machine that all endpoints of a table share. The
// endpoint is passed in the context, because a machine per endpoint would use
// several kilobytes each.
func newMachine() *stateless.StateMachine {
	mac := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			ep, ok := ctx.Value(endpointKey{}).(*endpoint)
			if !ok {
				return nil, errNoEndpoint
			}
			return ep.state, nil
		},
		func(ctx context.Context, next stateless.State) error {
			ep, ok := ctx.Value(endpointKey{}).(*endpoint)
			state, isState := next.(State)
			if !ok || !isState {
				return errNoEndpoint
			}
			ep.state = state
			return nil
		},
		stateless.FiringImmediate,
	)
	mac.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	mac.Configure(StateLive).
		Permit(trigFailed, StateSuspect).
		Permit(trigLeaving, StateLeaving).
		Permit(trigGone, StateGone)
	mac.Configure(StateSuspect).
		Permit(trigSucceeded, StateLive).
		Permit(trigEject, StateEjected).
		Permit(trigLeaving, StateLeaving).
		Permit(trigGone, StateGone)
	mac.Configure(StateEjected).
		Permit(trigEjectionExpired, StateSuspect).
		Permit(trigLeaving, StateLeaving).
		Permit(trigGone, StateGone)
	mac.Configure(StateLeaving).
		Permit(trigGone, StateGone)
	mac.Configure(StateGone)
	return mac
}

// fire applies a trigger to an endpoint. A trigger that the state does not
// permit has no effect. The caller holds the lock of the endpoint's shard.
func (tab *Table) fire(ep *endpoint, trig trigger) {
	// FireCtx fails only for a context without an endpoint.
	_ = tab.machine.FireCtx(context.WithValue(context.Background(), endpointKey{}, ep), trig)
}
