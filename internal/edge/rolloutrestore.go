package edge

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// rewriteDelay is how long the holder of the control duty has to write back a state that a
// restore of the store discarded. After that, every entry that knows it does.
const rewriteDelay = 2 * time.Second

// setOrder adopts the order as it was read in an era of the store. The state of an ended
// order stays if a restored store has an earlier one.
func (rol *rollout) setOrder(ord wick.VersionOrder, era wick.Era, now time.Time) {
	if era > rol.readIn {
		// What was written may be lost.
		rol.readIn, rol.reported = era, ""
	}
	if rol.ord.Ended() && !ord.Ended() && era > rol.era {
		if rol.goneBack.IsZero() {
			rol.goneBack = now
		}
		ord.State = rol.ord.State
		rol.ord = ord
		return
	}
	rol.ord, rol.goneBack = ord, time.Time{}
	rol.era = max(rol.era, era)
}

// setRecord adopts the move's record as it was read in an era of the store, unless a
// restored store has an earlier one.
func (rol *rollout) setRecord(rec move.Record, era wick.Era) {
	if era > rol.recordEra && move.Latest(rol.rec, rec).WriteID != rec.WriteID {
		return
	}
	rol.rec, rol.recordEra = rec, era
}

// rewriteStates writes the states of ended orders again that a restore of the store
// discarded. An ended order's state is final, so any entry may write it.
func (rls *rollouts) rewriteStates(ctx context.Context, now time.Time) {
	_, holds := rls.edg.controlFence(now)
	for _, rol := range rls.discarded() {
		if !holds && now.Sub(rol.goneBack) < rewriteDelay {
			continue
		}
		wctx, cancel := context.WithTimeout(ctx, storeTimeout)
		rls.writeState(wctx, &rol, rol.ord.State)
		cancel()
	}
}

// discarded returns copies of the current rollouts whose state a restored store lacks and
// this entry has not written since.
func (rls *rollouts) discarded() []rollout {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	var out []rollout
	for _, rol := range rls.orders {
		if !rol.goneBack.IsZero() && rol.reported != rol.ord.State {
			out = append(out, *rol)
		}
	}
	return out
}
