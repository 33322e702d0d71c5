package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/feed"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// evacuations follows the operators' evacuations of availability zones: an object named
// by a zone exists as long as the zone's endpoints get no requests. It is a feed.Handler.
type evacuations struct {
	edg *Edge
	fol feed.Follower
	// enabled is set where operators may evacuate zones.
	enabled bool
	// recoveredAt is that of the follower.
	recoveredAt func() time.Time
	// applied holds the zones that the pool was last given.
	applied []wick.Zone

	mu sync.Mutex
	// zones holds the evacuated zones. The value is true for one that is in the store,
	// false for one that a restore of the store may have lost.
	zones map[wick.Zone]bool
	// heldUntil is the end of the time for which this entry keeps zones that another one
	// has reported, since a restore of the store may have lost them.
	heldUntil time.Time
	// differsSince is when the zones of another entry first differed from these. Entries
	// that agree are missing.
	differsSince map[wick.EntryID]time.Time
}

// init sets the fields that depend on the entry.
func (evc *evacuations) init(edg *Edge) {
	evc.edg = edg
	evc.zones, evc.differsSince = make(map[wick.Zone]bool), make(map[wick.EntryID]time.Time)
	evc.recoveredAt = evc.fol.RecoveredAt
	evc.enabled = edg.cfg.Bounds.Evacuation > 0
	if evc.enabled {
		// Requests may arrive before a readiness check has failed, since the load balancer
		// still regards an entry that restarts at the same address as ready.
		edg.pool.AwaitEvacuated()
	}
	evc.fol.Store, evc.fol.Kind, evc.fol.Handler = edg.cfg.Store, edg.cfg.Kinds.Evacuation, evc
}

// run follows the evacuations where operators may evacuate zones.
func (evc *evacuations) run(ctx context.Context) {
	if evc.enabled {
		evc.fol.Run(ctx)
	}
}

// Replace handles a list of all evacuations. A zone that is missing from it after a
// restore of the store, or after an outage, stays evacuated for rewriteTime: the operator
// writes a lost object again within that time.
func (evc *evacuations) Replace(objs []wick.Object) {
	listed := make(map[wick.Zone]bool, len(objs))
	for idx := range objs {
		listed[wick.Zone(objs[idx].Key.Name)] = true
	}
	evc.mu.Lock()
	defer evc.mu.Unlock()
	wait := evc.holdTime(time.Now())
	if missing := evc.unlisted(listed); wait > 0 && len(missing) > 0 {
		maps.Copy(listed, missing)
		time.AfterFunc(wait, evc.fol.Relist)
	}
	for zone := range evc.zones {
		if _, ok := listed[zone]; !ok {
			evc.logChange(zone, false)
		}
	}
	for zone := range listed {
		if _, ok := evc.zones[zone]; !ok {
			evc.logChange(zone, true)
		}
	}
	evc.zones = listed
}

// holdTime returns how much longer zones stay evacuated that are not listed. evc.mu must be
// held.
func (evc *evacuations) holdTime(now time.Time) time.Duration {
	return max(rewriteTime-now.Sub(evc.recoveredAt()), evc.heldUntil.Sub(now))
}

// held returns the zones that a restore of the store may have lost and how much longer they
// stay evacuated.
func (evc *evacuations) held(now time.Time) ([]wick.Zone, time.Duration) {
	evc.mu.Lock()
	defer evc.mu.Unlock()
	var out []wick.Zone
	for zone, listed := range evc.zones {
		if !listed {
			out = append(out, zone)
		}
	}
	return out, evc.holdTime(now)
}

// adoptHeld keeps zones evacuated that another entry read before a restore of the store. An
// entry that has started since the restore can't read them from the store.
func (evc *evacuations) adoptHeld(zones []wick.Zone, length time.Duration, now time.Time) {
	if !evc.enabled || len(zones) == 0 || length <= 0 {
		return
	}
	evc.mu.Lock()
	for _, zone := range zones {
		if _, ok := evc.zones[zone]; !ok {
			evc.zones[zone] = false
			evc.logChange(zone, true)
		}
	}
	evc.heldUntil = now.Add(min(length, rewriteTime))
	evc.mu.Unlock()
	evc.fol.Relist()
}

// unlisted returns the evacuated zones that are not listed, with the value false. evc.mu
// must be held.
func (evc *evacuations) unlisted(listed map[wick.Zone]bool) map[wick.Zone]bool {
	out := make(map[wick.Zone]bool)
	for zone := range evc.zones {
		if !listed[zone] {
			out[zone] = false
		}
	}
	return out
}

// Change handles a change of one evacuation. Its content does not matter.
func (evc *evacuations) Change(obj wick.Object) {
	zone := wick.Zone(obj.Key.Name)
	evc.mu.Lock()
	defer evc.mu.Unlock()
	if _, ok := evc.zones[zone]; ok == obj.Deleted {
		evc.logChange(zone, !obj.Deleted)
	}
	if obj.Deleted {
		delete(evc.zones, zone)
	} else {
		evc.zones[zone] = true
	}
}

// Settled applies the evacuations to the pool. The entry isn't ready before.
func (evc *evacuations) Settled() {
	zones := evc.list()
	for _, zone := range evc.applied {
		if !slices.Contains(zones, zone) {
			evc.edg.pool.MarkZoneCold(zone, time.Now())
		}
	}
	evc.edg.pool.SetEvacuated(zones)
	evc.applied = zones
	evc.edg.ready.setEvacuationsLoaded()
}

// logChange logs and counts the start or the end of an evacuation.
func (evc *evacuations) logChange(zone wick.Zone, begun bool) {
	msg, name := logs.MsgZoneEvacuated, "edge.evacuationsBegun"
	if !begun {
		msg, name = logs.MsgZoneReturned, "edge.evacuationsEnded"
	}
	metrics.GetOrRegisterCounter(name, nil).Inc(1)
	log.WithField("zone", zone).Info(msg)
}

// list returns the evacuated zones in ascending order.
func (evc *evacuations) list() []wick.Zone {
	evc.mu.Lock()
	defer evc.mu.Unlock()
	return slices.Sorted(maps.Keys(evc.zones))
}

// evacuationLag is how long the evacuated zones of two entries may differ before a watch
// counts as dead: the watch of a sound connection shows a change sooner.
const evacuationLag = time.Second

// compare lists the evacuations again if another entry has had different ones for
// evacuationLag.
func (evc *evacuations) compare(from wick.EntryID, zones []wick.Zone, now time.Time) {
	if !evc.enabled || !evc.differs(from, zones, now) {
		return
	}
	log.WithFields(logrus.Fields{logs.FieldFrom: from, "zones": zones}).Info("edge: another entry has other evacuations")
	evc.fol.Relist()
}

// differs reports whether another entry's zones have differed for evacuationLag. If so, it
// restarts the measurement for all entries.
func (evc *evacuations) differs(from wick.EntryID, zones []wick.Zone, now time.Time) bool {
	own := evc.list()
	evc.mu.Lock()
	defer evc.mu.Unlock()
	if slices.Equal(own, zones) {
		delete(evc.differsSince, from)
		return false
	}
	since, ok := evc.differsSince[from]
	if !ok {
		evc.differsSince[from] = now
	}
	if !ok || now.Sub(since) < evacuationLag {
		return false
	}
	clear(evc.differsSince)
	return true
}
