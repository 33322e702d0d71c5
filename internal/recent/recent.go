// Package recent remembers which parts of prompts were last used, in bounded memory.
package recent

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Parts maps parts of prompts to times. It keeps at least the Limit/2 and at most the Limit
// parts that were put last, and forgets the others. Limit must be set before the first Put.
type Parts struct {
	// Limit bounds the number of parts.
	Limit int
	// current holds the parts that were put since previous was full.
	current, previous map[wick.PartID]time.Time
	forgotten         uint64
}

// At returns the time of a part, and false if it was never put or is forgotten.
func (prt *Parts) At(part wick.PartID) (time.Time, bool) {
	if at, ok := prt.current[part]; ok {
		return at, true
	}
	at, ok := prt.previous[part]
	return at, ok
}

// Put sets the time of a part.
func (prt *Parts) Put(part wick.PartID, at time.Time) {
	if _, ok := prt.current[part]; ok {
		prt.current[part] = at
		return
	}
	if len(prt.current) >= prt.Limit/2 {
		prt.forgotten += uint64(len(prt.previous))
		prt.previous, prt.current = prt.current, nil
	}
	if prt.current == nil {
		prt.current = make(map[wick.PartID]time.Time)
	}
	prt.current[part] = at
	delete(prt.previous, part)
}

// Len returns the number of parts.
func (prt *Parts) Len() int { return len(prt.current) + len(prt.previous) }

// Forgotten returns how many parts were forgotten since their bound was reached.
func (prt *Parts) Forgotten() uint64 { return prt.forgotten }
