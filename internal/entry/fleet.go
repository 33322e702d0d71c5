package entry

import (
	"context"

	"github.com/wagtailwick/wagtailwick/internal/fleet"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// runFleet scales the fleet of endpoints while this entry owns the fleet duty.
func (ent *Entry) runFleet(ctx context.Context, fence wick.Fence) {
	run := fleet.New(fleet.Config{
		Store: ent.store, Cloud: ent.cloud, Engine: ent.engine, Self: ent.self.ID, Fence: fence, Checker: ent.invar,
		Bundle: func() (*bundle.Bundle, bool) {
			act, ok := ent.config.Active()
			if !ok {
				return nil, false
			}
			return &act.Bundle, act.Confirmed
		},
	})
	ent.fleet.Store(run)
	defer ent.fleet.Store(nil)
	run.Run(ctx)
}

// dumpFleet returns the state of the fleet duty, or nil if this entry
// does not own it.
func (ent *Entry) dumpFleet() any {
	run := ent.fleet.Load()
	if run == nil {
		return nil
	}
	return run.Dump()
}
