package member

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// LastHeard returns when a member was last heard of; zero for never.
func (viw *View) LastHeard(eid wick.EntryID) time.Time {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if mem, ok := viw.known[eid]; ok {
		return mem.heard
	}
	return time.Time{}
}
