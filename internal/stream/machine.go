package stream

import (
	"context"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
)

// A State is the state of an accepted request on one entry. A replica is
// queued until this entry takes the request over.
type State string

// States of a request.
const (
	StateQueued     State = "queued"
	StateRunning    State = "running"
	StateHandedOver State = "handedOver"
	StateDone       State = "done"
	StateFailed     State = "failed"
)

// final reports whether the state never changes again.
func (sta State) final() bool { return sta == StateDone || sta == StateFailed }

type trigger string

const (
	trgStart    trigger = "start"
	trgHandOver trigger = "handOver"
	// trgCopy makes a replica of a request that was handed over before.
	trgCopy   trigger = "copy"
	trgFinish trigger = "finish"
	trgFail   trigger = "fail"
)

type requestKey struct{}

// machine is shared by all requests, since a machine of its own would cost
// each request several kilobytes. The state is in the request of the context.
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
	// A handover that no peer took starts the request again.
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

// fire changes the state. The caller holds req.mu.
func (req *Request) fire(trg trigger) error {
	ctx := context.WithValue(context.Background(), requestKey{}, req)
	return eris.Wrap(machine.FireCtx(ctx, trg), "stream: request state")
}
