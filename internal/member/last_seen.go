package member

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// LastSeen returns the time of the last heartbeat of a member, or the zero
// time if it is unknown.
func (viw *View) LastSeen(eid wick.EntryID) time.Time {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if mem, ok := viw.known[eid]; ok {
		return mem.lastSeen
	}
	return time.Time{}
}
