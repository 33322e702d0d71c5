package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Duties that an entry owns by lease.
const (
	// dutyRollout steps the moves.
	dutyRollout wick.Duty = "rollout"
	// dutyFleet scales the fleet of endpoints.
	dutyFleet wick.Duty = "fleet"
)

func (ent *Entry) wireDuties() {
	ent.duties = make(map[wick.Duty]*duty)
	serving := func() []wick.Member { return ent.view.Serving(time.Now()) }
	ent.leases = lease.NewKeeper(ent.store, ent.self.ID, ent.self.Incarnation, serving, ent.wantedDuties,
		lease.WithHooks(lease.Hooks{Start: ent.startDuty, Stop: ent.stopDuty}))
}

// wantedDuties returns the duties that this entry should acquire.
func (ent *Entry) wantedDuties(mems []wick.Member) []wick.Duty {
	return lease.AssignedDuties([]wick.Duty{dutyRollout, dutyFleet}, mems, ent.self.ID)
}

// A duty is the running task of a duty that this entry owns.
type duty struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startDuty starts the task of an acquired duty. The lease keeper calls
// startDuty and stopDuty from one goroutine.
func (ent *Entry) startDuty(name wick.Duty, fence wick.Fence) {
	logrus.WithFields(logrus.Fields{"duty": name, "fence": fence}).Info("entry: duty acquired")
	ctx, cancel := context.WithCancel(context.Background())
	dut := &duty{cancel: cancel, done: make(chan struct{})}
	ent.duties[name] = dut
	go func() {
		defer close(dut.done)
		switch name {
		case dutyRollout:
			ent.rollout(ctx, fence)
		case dutyFleet:
			ent.runFleet(ctx, fence)
		}
	}()
}

func (ent *Entry) stopDuty(name wick.Duty, fence wick.Fence) {
	dut, ok := ent.duties[name]
	if !ok {
		return
	}
	logrus.WithFields(logrus.Fields{"duty": name, "fence": fence}).Info("entry: duty released")
	dut.cancel()
	<-dut.done
	delete(ent.duties, name)
}
