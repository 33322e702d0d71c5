package pool

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// historyRetention is how long an incarnation is remembered after its last signal. An
// endpoint that was removed from the registry may serve on for seconds and be listed again,
// and the store may be restored from a copy that shows it as ready.
const historyRetention = 10 * time.Minute

// An Incarnation is one start of an endpoint.
type Incarnation struct {
	ID wick.VMID
	// Born is the start time in Unix milliseconds, 0 if unknown.
	Born int64
}

// A record is what an incarnation of an endpoint has signalled.
type record struct {
	// leaving is never reset.
	leaving bool
	// pausedUntil is when the longest pause ends that it has asked this entry for.
	pausedUntil time.Time
	// at is when the record last changed.
	at time.Time
}

// A history remembers the signals of incarnations beyond their removal from the registry.
// Its zero value is ready to use, and it is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	records map[Incarnation]record
}

// update changes the record of an incarnation and forgets old ones. Endpoints without a
// start time are not remembered, since a restart of one can't be told apart.
func (his *history) update(inc Incarnation, now time.Time, change func(rec *record)) {
	if inc.Born == 0 {
		return
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	if his.records == nil {
		his.records = make(map[Incarnation]record)
	}
	for old, rec := range his.records {
		if now.Sub(rec.at) > historyRetention {
			delete(his.records, old)
		}
	}
	rec := his.records[inc]
	change(&rec)
	rec.at = now
	his.records[inc] = rec
}

// find returns the record of an incarnation, the zero record if there is none.
func (his *history) find(inc Incarnation) record {
	his.mu.Lock()
	defer his.mu.Unlock()
	return his.records[inc]
}

// left returns the incarnations that are known to leave or to have left.
func (his *history) left() []Incarnation {
	his.mu.Lock()
	defer his.mu.Unlock()
	var out []Incarnation
	for inc, rec := range his.records {
		if rec.leaving {
			out = append(out, inc)
		}
	}
	return out
}

// Left returns the incarnations of endpoints that are known to leave or to have left.
func (pl *Pool) Left() []Incarnation { return pl.history.left() }
