package edge

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// busyMaxAge is the age from which the load of a zone's endpoints is unknown.
	busyMaxAge = 3 * time.Second
	// saturatedShare is the share of busy endpoints above which the time for which they
	// are busy says little of the load, since more can hardly be.
	saturatedShare = 0.6
	// minUneven is the number of uneven endpoints from which the work of requests can't be
	// estimated from one engine.
	minUneven = 2
)

// zoneLoads holds the load that the poller of each availability zone has observed. Its zero
// value is ready to use.
type zoneLoads struct {
	mu    sync.Mutex
	zones map[wick.Zone]zoneLoad
}

type zoneLoad struct {
	loads map[wick.Service]busyLoad
	at    time.Time
}

// set records the load of a zone.
func (zls *zoneLoads) set(zone wick.Zone, loads map[wick.Service]busyLoad, now time.Time) {
	zls.mu.Lock()
	defer zls.mu.Unlock()
	if zls.zones == nil {
		zls.zones = make(map[wick.Zone]zoneLoad)
	}
	zls.zones[zone] = zoneLoad{loads, now}
}

// sum returns the load of a service over the zones that it has endpoints in, and false if
// that of one is unknown.
func (zls *zoneLoads) sum(svc wick.Service, zones []wick.Zone, now time.Time) (busyLoad, bool) {
	zls.mu.Lock()
	defer zls.mu.Unlock()
	var out busyLoad
	for _, zone := range zones {
		load, ok := zls.zones[zone].loads[svc]
		if !ok || now.Sub(zls.zones[zone].at) > busyMaxAge {
			return busyLoad{}, false
		}
		out.Busy += load.Busy
		out.Uneven += load.Uneven
	}
	return out, true
}

// measuredLoad returns the load of a service in busy endpoints as the pollers observe it,
// and false if the estimated work of its requests is to be used. That work is estimated as
// if all endpoints were equally fast, which uneven ones make several times too high: the
// slow ones dominate what is learned.
func (zls *zoneLoads) measuredLoad(svc wick.Service, live map[wick.Zone]int, now time.Time) (float64, bool) {
	zones, total := make([]wick.Zone, 0, len(live)), 0
	for zone, num := range live {
		if num > 0 {
			zones, total = append(zones, zone), total+num
		}
	}
	load, ok := zls.sum(svc, zones, now)
	if !ok || load.Uneven < minUneven || load.Busy > saturatedShare*float64(total) {
		return 0, false
	}
	return load.Busy, true
}
