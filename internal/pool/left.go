package pool

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// leftRetention is how long a leaving incarnation of an endpoint is known after it was last
// reported. The store may be restored from a copy that shows it as ready.
const leftRetention = 2 * time.Minute

// An Incarnation is one start of an endpoint.
type Incarnation struct {
	ID   wick.VMID
	Born int64
}

// leftIncarnations holds the leaving incarnations of endpoints, listed or not, with the time
// of the last report. It only grows until they expire: an incarnation that leaves never
// returns to service.
type leftIncarnations map[Incarnation]time.Time

// add records an incarnation unless its start is unknown.
func (lft leftIncarnations) add(inc Incarnation, now time.Time) {
	if inc.Born == 0 {
		return
	}
	if _, ok := lft[inc]; !ok {
		for old, at := range lft {
			if now.Sub(at) > leftRetention {
				delete(lft, old)
			}
		}
	}
	lft[inc] = now
}

// Left returns the incarnations of endpoints that are known to leave or to have left.
func (pl *Pool) Left() []Incarnation {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make([]Incarnation, 0, len(pl.left))
	for inc := range pl.left {
		out = append(out, inc)
	}
	return out
}

// RecordLeft records that an incarnation leaves or has left, whether it is listed or not. It
// gets no requests if it is listed as ready later.
func (pl *Pool) RecordLeft(inc Incarnation, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.left.add(inc, now)
}
