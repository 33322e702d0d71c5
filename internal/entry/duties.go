package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Duties that are held by lease.
const (
	// dutyRollout is the duty to decide moves.
	dutyRollout wick.Duty = "rollout"
	// dutyFleet is the duty to decide which endpoints to hold.
	dutyFleet wick.Duty = "fleet"
)

func (ent *Entry) wireDuties() {
	ent.duties = make(map[wick.Duty]*duty)
	serving := func() []wick.Member { return ent.view.Serving(time.Now()) }
	ent.leases = lease.NewKeeper(ent.store, ent.self.ID, ent.self.Incarnation, serving, ent.wants,
		lease.WithHooks(lease.Hooks{Start: ent.startDuty, Stop: ent.stopDuty}))
}

// wants returns the duties that this entry should hold.
func (ent *Entry) wants(mems []wick.Member) []wick.Duty {
	return lease.Spread([]wick.Duty{dutyRollout, dutyFleet}, mems, ent.self.ID)
}

// A duty is the work of a duty that this entry holds.
type duty struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startDuty begins the work of a duty. The keeper calls it and stopDuty from
// one goroutine.
func (ent *Entry) startDuty(name wick.Duty, fence wick.Fence) {
	logrus.WithFields(logrus.Fields{"duty": name, "fence": fence}).Info("entry: duty taken")
	ctx, cancel := context.WithCancel(context.Background())
	dut := &duty{cancel: cancel, done: make(chan struct{})}
	ent.duties[name] = dut
	go func() {
		defer close(dut.done)
		switch name {
		case dutyRollout:
			ent.rollout(ctx, fence)
		case dutyFleet:
			ent.holdFleet(ctx, fence)
		}
	}()
}

func (ent *Entry) stopDuty(name wick.Duty, fence wick.Fence) {
	dut, ok := ent.duties[name]
	if !ok {
		return
	}
	logrus.WithFields(logrus.Fields{"duty": name, "fence": fence}).Info("entry: duty given up")
	dut.cancel()
	<-dut.done
	delete(ent.duties, name)
}
