package member

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Upstream returns the live members to pull the platform state from, in order
// of preference. An entry pulls from members that precede it in the watch order
// of its zone, so that the first choices of all entries form trees rooted at
// the watchers, without cycles. Each entry ranks those members by its own
// rendezvous weights and puts the watch candidates after the others: if all
// 146 entries of a zone pulled from the watcher, it would send 50 KB/s.
func (viw *View) Upstream(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	live := viw.live(now)
	zone := place.Rank(watchKey(viw.self.Zone), append(place.Within(viw.self.Zone, live), viw.self))
	pos := slices.IndexFunc(zone, func(mem wick.Member) bool { return mem.ID == viw.self.ID })
	before := zone[:pos]
	first := before[:min(watchCandidates, len(before))]
	out := place.Rank(string(viw.self.ID), before[len(first):])
	out = append(out, first...)
	out = append(out, place.Rank(string(viw.self.ID), place.Outside(viw.self.Zone, live))...)
	return append(out, zone[pos+1:]...)
}
