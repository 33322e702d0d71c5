package edge

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/feed"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// rewriteTime is how long after a restore of the store the operator's order may be written
// again without being a new one.
const rewriteTime = 10 * time.Second

// An orderRead is an order as it was read.
type orderRead struct {
	ord wick.VersionOrder
	// repeated is set if the order had ended and was written again without a change, which
	// makes it a new one.
	repeated bool
	// restoredAt is when the order was first read after a restore of the store, the zero
	// time if it has none.
	restoredAt time.Time
}

// next returns the order as it was read after rdr.
func (rdr orderRead) next(ord wick.VersionOrder, now time.Time) orderRead {
	prev := &rdr.ord
	out := orderRead{ord: ord, restoredAt: rdr.restoredAt}
	if ord.Revision.Era() != prev.Revision.Era() {
		out.restoredAt = now
	}
	unchanged := ord.IsSame(prev) && ord.State == prev.State && ord.Revision.Era() == prev.Revision.Era()
	rewritten := ord.Revision > prev.Revision && (out.restoredAt.IsZero() || now.Sub(out.restoredAt) > rewriteTime)
	out.repeated = unchanged && ord.Ended() && (rdr.repeated || rewritten)
	return out
}

// moveID returns the id of an order's move, which is the same at all entries. It has the
// length of the service's name, because names may contain dashes; the order's number, because
// a version may be ordered twice; and its time limit, because two orders have the same number
// if a restore of the store has discarded the state of the first one.
func moveID(ord wick.VersionOrder) wick.MoveID {
	return wick.MoveID(fmt.Sprintf("%s-%s-%d-%d-%d", ord.Service, ord.Target, len(ord.Service), ord.Number, ord.Within.Milliseconds()))
}

// handleOrder handles a change of a version order.
func (rls *rollouts) handleOrder(obj wick.Object) {
	rls.mu.Lock()
	rls.newest = max(rls.newest, obj.Revision)
	rls.mu.Unlock()
	ord, err := rls.edg.cfg.Catalog.VersionOrder(obj)
	if err != nil || ord.Service == "" || ord.Target == "" {
		log.WithError(err).WithField("order", obj.Key.Name).Warn("edge: malformed version order ignored")
		return
	}
	rls.setOrder(ord, obj.Revision.Era(), time.Now())
}

// newestRevision returns the highest revision of an order that was read.
func (rls *rollouts) newestRevision() wick.Revision {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	return rls.newest
}

// newestMoveRevision returns the highest revision of a move's record that was read.
func (rls *rollouts) newestMoveRevision() wick.Revision {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	return rls.newestMove
}

// An orderHandler handles changes of version orders.
type orderHandler struct {
	feed.Each
	edg *Edge
}

// Settled makes the entry ready: before it knows the orders, it would send requests to
// versions that are not proved.
func (hdl *orderHandler) Settled() { hdl.edg.ready.setOrdersLoaded() }

// setOrder stores an order that was read in an era of the store, and starts its rollout if
// it is new.
func (rls *rollouts) setOrder(ord wick.VersionOrder, era wick.Era, now time.Time) {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	read := rls.reads[ord.Service].next(ord, now)
	rls.reads[ord.Service] = read
	if read.repeated {
		ord = ord.Repeated()
	}
	rls.withhold(&ord, era)
	rol := rls.known[moveID(ord)]
	if rol == nil {
		rol = &rollout{receivedAt: now, era: era, readIn: era, place: len(rls.known)}
		rls.known[moveID(ord)] = rol
	}
	rol.unrecorded = false
	rls.orders[ord.Service] = rol
	if rol.ord.State != ord.State || rol.ord.Target != ord.Target {
		log.WithFields(logrus.Fields{logs.FieldService: ord.Service, "version": ord.Target, "state": ord.State, "within": ord.Within.String()}).Info("edge: version order changed")
	}
	rol.setOrder(ord, era, now)
	rls.updateJudge(rol)
}

// withhold corrects the versions that the order withholds by what this entry has read. The
// object knows all orders for which a state was recorded, also those whose end this entry
// has missed, but not those that were replaced before, or whose states a restore of the
// store has discarded: their numbers are given out again.
func (rls *rollouts) withhold(ord *wick.VersionOrder, era wick.Era) {
	current := moveID(*ord)
	latest := make(map[wick.ModelVersion]*rollout)
	for mid, rol := range rls.known {
		if rol.ord.Service != ord.Service || mid == current {
			continue
		}
		if last := latest[rol.ord.Target]; last == nil || rol.follows(last) {
			latest[rol.ord.Target] = rol
		}
	}
	for ver, last := range latest {
		last.unrecorded = last.unrecorded || last.ord.Number >= ord.Number
		switch {
		case last.ord.State == wick.OrderDone:
			if last.unrecorded || last.era < era {
				ord.Prove(ver)
			}
		case last.unrecorded && last.ord.State != "", !slices.Contains(ord.Proved, ver):
			ord.Withhold(ver)
		}
	}
}

// follows reports whether the rollout decides on its version rather than oth, another one
// of the same version. One without a state leaves the version as it was.
func (rol *rollout) follows(oth *rollout) bool {
	if (rol.ord.State == "") != (oth.ord.State == "") {
		return oth.ord.State == ""
	}
	return rol.place > oth.place
}

// unproved returns the versions that are not in force: the order's own and those that are
// withheld.
func unproved(ord *wick.VersionOrder) []wick.ModelVersion {
	return append(slices.Clip(ord.Withheld), ord.Target)
}
