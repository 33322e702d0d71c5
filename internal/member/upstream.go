package member

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Upstream returns the live members to pull from what the zone's watchers
// read, the best first. An entry asks a member before it in the order of
// watching, so that the first choices of all entries form trees below the
// watchers and never a circle. It chooses its own random one of them and keeps
// the watch candidates for last: with 146 entries in a zone all of which asked
// the watcher, that one alone would send 50 KB/s.
func (viw *View) Upstream(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	live := viw.live(now)
	zone := place.Rank(watchKey(viw.self.Zone), append(place.Within(viw.self.Zone, live), viw.self))
	pos := slices.IndexFunc(zone, func(mem wick.Member) bool { return mem.ID == viw.self.ID })
	before := zone[:pos]
	first := before[:min(watchers, len(before))]
	out := place.Rank(string(viw.self.ID), before[len(first):])
	out = append(out, first...)
	out = append(out, place.Rank(string(viw.self.ID), place.Outside(viw.self.Zone, live))...)
	return append(out, zone[pos+1:]...)
}
