package edge

import (
	"context"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A planHandler adopts new versions of the plan.
type planHandler struct{ edg *Edge }

// Replace handles a list of the kind, which has one object.
func (hdl *planHandler) Replace(objs []wick.Object) {
	for idx := range objs {
		hdl.Change(objs[idx])
	}
}

// Change adopts a plan. A malformed plan is rejected and the old one stays in
// force.
func (hdl *planHandler) Change(obj wick.Object) {
	if obj.Deleted {
		return
	}
	if hdl.edg.plans.Load() == nil {
		hdl.edg.catchUpAtStart(context.Background())
	}
	hdl.edg.adoptPlan(obj)
}

// adoptPlan adopts the plan in an object of the store if it is newer than the one in force.
func (edg *Edge) adoptPlan(obj wick.Object) {
	pln, err := edg.cfg.Catalog.Plan(obj)
	if err != nil {
		log.WithError(err).WithField("object", obj.Key.Name).Error("edge: malformed plan rejected")
		return
	}
	if !edg.plans.Adopt(pln) {
		return
	}
	edg.planObject.set(pln.Version, obj)
	edg.setColdPolicies(&pln)
	edg.ready.setPlanLoaded()
	go edg.gossipPlan(context.Background(), pln.Version)
	log.WithFields(logrus.Fields{"plan": pln.Version, "routes": len(pln.Routes)}).Info(logs.MsgPlanAdopted)
}

// Settled does nothing: plan changes are not batched.
func (hdl *planHandler) Settled() {}

// A memberHandler applies changes of the entries' records.
type memberHandler struct {
	*roster.Roster
	edg *Edge
}

// Settled adopts what the other entries tell in their records. Only then may callers come:
// they could send prompts that the others have blocked.
func (hdl *memberHandler) Settled() {
	hdl.edg.crashes.adoptRecords(time.Now())
	hdl.edg.ready.setMembersLoaded()
}

// outageGracePeriod is how long after an outage of the store a missing record is
// attributed to the outage, in which the endpoint could not renew it.
const outageGracePeriod = 1500 * time.Millisecond

// A backendHandler applies changes of the registry to the pool.
type backendHandler struct {
	edg *Edge
	// newlyLeaving are the leaving and removed endpoints to notify the other entries
	// of.
	newlyLeaving []leavingEndpoint
	// era is the newest era of the records' revisions, listed is set by the first list.
	era    wick.Era
	listed bool
	// gone holds the endpoints that were removed without having been listed as leaving,
	// with the time of that.
	gone map[pool.Incarnation]time.Time
}

const (
	// goneRetention is the age up to which the store may be restored from a copy that
	// lists a removed endpoint.
	goneRetention = time.Minute
	// restoredGoneTime is how long a removed endpoint that a restore lists again gets no
	// requests. The store removes it within that time, unless it is alive.
	restoredGoneTime = 5 * time.Second
)

// markRestored withholds requests from the endpoints that only a restore of the store lists
// again.
func (hdl *backendHandler) markRestored(bkes []wick.Backend, now time.Time) {
	for idx := range bkes {
		inc := pool.Incarnation{ID: bkes[idx].ID, Born: bkes[idx].Born}
		if at, ok := hdl.gone[inc]; ok && now.Sub(at) < goneRetention {
			hdl.edg.pool.MarkGone(inc.ID, inc.Born, now.Add(restoredGoneTime))
		}
	}
}

// recordGone records that an endpoint was removed, unless it is known as leaving.
func (hdl *backendHandler) recordGone(vid wick.VMID, now time.Time) {
	born, ok := hdl.edg.pool.Incarnation(vid)
	if !ok {
		return
	}
	hdl.newlyLeaving = append(hdl.newlyLeaving, leavingEndpoint{ID: vid, Born: born, Gone: true})
	if hdl.gone == nil {
		hdl.gone = make(map[pool.Incarnation]time.Time)
	}
	maps.DeleteFunc(hdl.gone, func(_ pool.Incarnation, at time.Time) bool { return now.Sub(at) > goneRetention })
	hdl.gone[pool.Incarnation{ID: vid, Born: born}] = now
}

// afterOutage reports whether records may be missing because they expired during
// an outage of the store.
func (hdl *backendHandler) afterOutage(now time.Time) bool {
	fol := hdl.edg.backends
	return !fol.FailingSince().IsZero() || now.Sub(fol.RecoveredAt()) < outageGracePeriod
}

// Replace handles a list of all endpoints.
func (hdl *backendHandler) Replace(objs []wick.Object) {
	now := time.Now()
	bkes := make([]wick.Backend, 0, len(objs))
	var era wick.Era
	for idx := range objs {
		era = max(era, objs[idx].Revision.Era())
		if bke, ok := hdl.decode(objs[idx]); ok {
			bkes = append(bkes, bke)
		}
	}
	hdl.edg.pool.Replace(bkes, hdl.afterOutage(now), now)
	hdl.edg.rollouts.versions.list(bkes, now)
	if hdl.listed && era > hdl.era {
		hdl.markRestored(bkes, now)
		hdl.edg.noteRestored()
		go hdl.edg.catchUp(context.Background(), hdl.edg.randomPeers())
	}
	hdl.era, hdl.listed = max(hdl.era, era), true
	hdl.edg.ready.setBackendsLoaded()
}

// Change handles a change of one endpoint.
func (hdl *backendHandler) Change(obj wick.Object) {
	now := time.Now()
	if obj.Deleted {
		lapsed := hdl.afterOutage(now)
		vid := wick.VMID(obj.Key.Name)
		if !lapsed {
			hdl.recordGone(vid, now)
		}
		hdl.edg.pool.Unlist(vid, lapsed, now)
		log.WithFields(logrus.Fields{logs.FieldEndpoint: obj.Key.Name, "revision": obj.Revision, "lapsed": lapsed}).Info(logs.MsgEndpointGone)
		return
	}
	bke, ok := hdl.decode(obj)
	if !ok {
		hdl.edg.pool.Remove(wick.VMID(obj.Key.Name))
		return
	}
	if bke.Leaving && hdl.edg.pool.MarkLeaving(bke.ID, bke.Born, now) {
		hdl.newlyLeaving = append(hdl.newlyLeaving, leavingEndpoint{ID: bke.ID, Born: bke.Born})
		log.WithFields(logrus.Fields{logs.FieldEndpoint: bke.ID, "revision": obj.Revision, "leavesIn": bke.LeavesIn.String()}).Info(logs.MsgEndpointLeaving)
	}
	if !bke.Leaving {
		hdl.edg.informants.returned(bke.ID)
		delete(hdl.gone, pool.Incarnation{ID: bke.ID, Born: bke.Born})
	}
	hdl.edg.pool.Set(bke, now)
	hdl.edg.rollouts.versions.add(&bke, now)
}

// Settled notifies the other entries of the endpoints that a batch of changes
// marked as leaving or removed.
func (hdl *backendHandler) Settled() {
	if len(hdl.newlyLeaving) > 0 {
		hdl.edg.informants.left(hdl.newlyLeaving, time.Now())
		go hdl.edg.broadcastLeaving(context.Background(), hdl.newlyLeaving)
		hdl.newlyLeaving = nil
	}
}

// decode decodes a record. It returns false for an invalid one, such as a record
// of another writer.
func (hdl *backendHandler) decode(obj wick.Object) (wick.Backend, bool) {
	bke, err := hdl.edg.cfg.Catalog.Backend(obj)
	if err != nil {
		metrics.GetOrRegisterCounter("edge.badEntries", nil).Inc(1)
		log.WithError(err).WithField(logs.FieldEndpoint, obj.Key.Name).Debug("edge: malformed registry record ignored")
		return wick.Backend{}, false
	}
	return bke, true
}
