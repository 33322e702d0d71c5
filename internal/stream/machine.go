package stream

import (
	"context"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
)

// A State is the state of an accepted request on one entry. A replica is queued
// until this entry takes over the request.
type State string

// States of a request.
const (
	StateQueued     State = "queued"
	StateRunning    State = "running"
	StateHandedOver State = "handedOver"
	StateDone       State = "done"
	StateFailed     State = "failed"
)

// final reports whether the state is terminal.
func (sta State) final() bool { return sta == StateDone || sta == StateFailed }

type trigger string

const (
	trgStart    trigger = "start"
	trgHandOver trigger = "handOver"
	// trgCopy turns a request that was handed over back into a replica.
	trgCopy   trigger = "copy"
	trgFinish trigger = "finish"
	trgFail   trigger = "fail"
)

type requestKey struct{}

// machine is shared by all requests, since a state machine per request would
// cost several kilobytes each. The state is stored in the request that the
// context carries.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	mac := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return requestOf(ctx).state, nil
		},
		func(ctx context.Context, sta stateless.State) error {
			next, ok := sta.(State)
			if !ok {
				return eris.Errorf("stream: unknown state %v", sta)
			}
			requestOf(ctx).state = next
			return nil
		},
		stateless.FiringImmediate,
	)
	mac.Configure(StateQueued).
		Permit(trgStart, StateRunning).
		Permit(trgHandOver, StateHandedOver).
		Permit(trgFinish, StateDone).
		Permit(trgFail, StateFailed)
	// A handover that no peer accepted restarts the request.
	mac.Configure(StateRunning).
		PermitReentry(trgStart).
		Permit(trgHandOver, StateHandedOver).
		Permit(trgFinish, StateDone).
		Permit(trgFail, StateFailed)
	mac.Configure(StateHandedOver).
		Permit(trgStart, StateRunning).
		Permit(trgCopy, StateQueued).
		Permit(trgFinish, StateDone).
		Permit(trgFail, StateFailed)
	mac.Configure(StateDone)
	mac.Configure(StateFailed)
	return mac
}

func requestOf(ctx context.Context) *Request {
	req, ok := ctx.Value(requestKey{}).(*Request)
	if !ok {
		return &Request{}
	}
	return req
}

// fire applies a state transition. The caller holds req.mu.
func (req *Request) fire(trg trigger) error {
	ctx := context.WithValue(context.Background(), requestKey{}, req)
	return eris.Wrap(machine.FireCtx(ctx, trg), "stream: request state")
}
