package pool

import (
	"slices"
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// places holds the regions of the availability zones and which zones are evacuated. Its zero
// value has no zones, and it is safe for concurrent use. No other lock is taken while its own is held.
type places struct {
	mu        sync.RWMutex
	regions   map[wick.Zone]wick.Region
	evacuated map[wick.Zone]bool
	// unread is set until the evacuated zones have been read. All zones count as evacuated
	// until then.
	unread bool
}

// find returns the region of an availability zone and whether it is evacuated.
func (plc *places) find(zone wick.Zone) (wick.Region, bool) {
	plc.mu.RLock()
	defer plc.mu.RUnlock()
	return plc.regions[zone], plc.unread || plc.evacuated[zone]
}

// SetRegions sets the region of each availability zone.
func (pl *Pool) SetRegions(regions map[wick.Zone]wick.Region) {
	pl.places.mu.Lock()
	pl.places.regions = regions
	pl.places.mu.Unlock()
	pl.updatePlaces()
}

// AwaitEvacuated keeps requests from all endpoints until SetEvacuated is called.
func (pl *Pool) AwaitEvacuated() {
	pl.places.mu.Lock()
	pl.places.unread = true
	pl.places.mu.Unlock()
	pl.updatePlaces()
}

// SetEvacuated sets the availability zones whose endpoints get no requests. Runs in
// progress there may continue.
func (pl *Pool) SetEvacuated(zones []wick.Zone) {
	evacuated := make(map[wick.Zone]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	pl.places.mu.Lock()
	pl.places.evacuated, pl.places.unread = evacuated, false
	pl.places.mu.Unlock()
	pl.updatePlaces()
}

// updatePlaces applies a change of the places to all endpoints.
func (pl *Pool) updatePlaces() {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	for _, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.all {
			end.region, end.evacuated = grp.places.find(end.bke.Zone)
		}
		grp.mu.Unlock()
	}
}

// Evacuated reports whether the assigned endpoint's availability zone is evacuated.
func (asg *Assignment) Evacuated() bool {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return asg.end.evacuated
}

// allowsRegion reports whether a list of allowed regions, which is empty if all are,
// contains a region.
func allowsRegion(allowed []wick.Region, region wick.Region) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
