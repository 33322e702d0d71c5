package member

import (
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Owner returns the entry to which a key is assigned: the one of the highest
// weight among the members that serve and the listed entries that the bounded
// view does not hold. With the view alone, 300 entries named 20 owners of one
// key.
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

// Estimate returns how many of the listed entries serve, by the share of the
// view that does.
func (viw *View) Estimate(listed int, now time.Time) int {
	serving, known := len(viw.Serving(now)), len(viw.Others())+1
	return max((listed*serving+known-1)/known, serving, 1)
}
