package edge

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A planHandler adopts plans.
type planHandler struct{ edg *Edge }

// Replace takes the objects of the kind, of which there is one.
func (hdl *planHandler) Replace(objs []wick.Object) {
	for idx := range objs {
		hdl.Change(objs[idx])
	}
}

// Change adopts a plan. A plan that can't be read leaves the old one in force.
func (hdl *planHandler) Change(obj wick.Object) {
	if obj.Deleted {
		return
	}
	pln, err := hdl.edg.cfg.Catalog.Plan(obj)
	if err != nil {
		log.WithError(err).WithField("object", obj.Key.Name).Error("edge: plan can't be read")
		return
	}
	if !hdl.edg.plans.Adopt(pln) {
		return
	}
	hdl.edg.ready.notePlan()
	go hdl.edg.spreadPlan(context.Background(), pln.Version)
	log.WithFields(logrus.Fields{"plan": pln.Version, "routes": len(pln.Routes)}).Info(logs.MsgPlan)
}

// Settled does nothing: there is one plan.
func (hdl *planHandler) Settled() {}

// outageMemory is how long after an outage of the store a missing entry is
// ascribed to it.
const outageMemory = 1500 * time.Millisecond

// A backendHandler keeps the pool up to date.
type backendHandler struct {
	edg *Edge
	// news are endpoints that the other entries may not know to leave.
	news []leavingEndpoint
}

// afterOutage reports whether entries may be missing because they lapsed while
// the store was away.
func (hdl *backendHandler) afterOutage(now time.Time) bool {
	fol := hdl.edg.backends
	return !fol.FailingSince().IsZero() || now.Sub(fol.RecoveredAt()) < outageMemory
}

// Replace takes the list of endpoints.
func (hdl *backendHandler) Replace(objs []wick.Object) {
	now := time.Now()
	bkes := make([]wick.Backend, 0, len(objs))
	for idx := range objs {
		if bke, ok := hdl.decode(objs[idx]); ok {
			bkes = append(bkes, bke)
		}
	}
	hdl.edg.pool.Replace(bkes, hdl.afterOutage(now), now)
	hdl.edg.ready.noteBackends()
}

// Change takes one endpoint.
func (hdl *backendHandler) Change(obj wick.Object) {
	now := time.Now()
	if obj.Deleted {
		lapsed := hdl.afterOutage(now)
		hdl.edg.pool.Drop(wick.VMID(obj.Key.Name), lapsed, now)
		log.WithFields(logrus.Fields{logs.FieldEndpoint: obj.Key.Name, "revision": obj.Revision, "lapsed": lapsed}).Info(logs.MsgGone)
		return
	}
	bke, ok := hdl.decode(obj)
	if !ok {
		hdl.edg.pool.Remove(wick.VMID(obj.Key.Name))
		return
	}
	if bke.Leaving && hdl.edg.pool.Leave(bke.ID, bke.Born) {
		hdl.news = append(hdl.news, leavingEndpoint{ID: bke.ID, Born: bke.Born})
		log.WithFields(logrus.Fields{logs.FieldEndpoint: bke.ID, "revision": obj.Revision, "leavesIn": bke.LeavesIn.String()}).Info(logs.MsgLeaves)
	}
	hdl.edg.pool.Set(bke, now)
}

// Settled tells the other entries what was new in a batch of changes.
func (hdl *backendHandler) Settled() {
	if len(hdl.news) > 0 {
		go hdl.edg.spreadLeaving(context.Background(), hdl.news)
		hdl.news = nil
	}
}

// decode reads an entry. An entry of another writer names no endpoint.
func (hdl *backendHandler) decode(obj wick.Object) (wick.Backend, bool) {
	bke, err := hdl.edg.cfg.Catalog.Backend(obj)
	if err != nil {
		metrics.GetOrRegisterCounter("edge.badEntries", nil).Inc(1)
		log.WithError(err).WithField(logs.FieldEndpoint, obj.Key.Name).Debug("edge: entry passed over")
		return wick.Backend{}, false
	}
	return bke, true
}
