package edge

import (
	"time"

	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// retirementTime is how long after a completed rollout the endpoints of other versions may be
// stopped. One that still runs then was not.
const retirementTime = 10 * time.Second

// IsRetired reports whether the last completed rollout of a service has replaced a version just
// now, so that the platform stops its endpoints. A version that a later order brings in again is
// not retired.
func (rls *rollouts) IsRetired(svc wick.Service, ver wick.ModelVersion) bool {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	newest := rls.orders[svc]
	if newest == nil || newest.ord.Target == ver {
		return false
	}
	var last *rollout
	for _, rol := range rls.known {
		if rol.ord.Service == svc && rol.isCompleted() && (last == nil || rol.place > last.place) {
			last = rol
		}
	}
	return last != nil && last.ord.Target != ver && time.Since(last.completedAt) < retirementTime
}

// isCompleted reports whether the rollout has completed. The record of its move states this
// before the order does.
func (rol *rollout) isCompleted() bool {
	return rol.ord.State == wick.OrderDone || rol.rec.State == move.StateDone
}

// noteCompletion records when the rollout was first known to have completed.
func (rol *rollout) noteCompletion(now time.Time) {
	if rol.completedAt.IsZero() && rol.isCompleted() {
		rol.completedAt = now
	}
}
