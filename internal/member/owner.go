package member

import (
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Owner returns the entry to which rendezvous hashing assigns a key. Candidates
// are the serving members and the listed entries outside the bounded view; with
// the view alone, 300 entries computed 20 different owners of one key.
func (viw *View) Owner(key string, listed []wick.Member, now time.Time) (wick.Member, bool) {
	mems := viw.Serving(now)
	viw.mu.Lock()
	defer viw.mu.Unlock()
	for _, mem := range listed {
		if viw.known[mem.ID] == nil && mem.ID != viw.self.ID {
			mems = append(mems, mem)
		}
	}
	return place.First(key, mems)
}

// EstimateServing returns the estimated number of listed entries that serve,
// extrapolated from the serving share of the view.
func (viw *View) EstimateServing(listed int, now time.Time) int {
	serving, known := len(viw.Serving(now)), len(viw.Others())+1
	return max((listed*serving+known-1)/known, serving, 1)
}
