package pool

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// historyRetention is how long an incarnation is remembered after its last signal. An
// endpoint that was removed from the registry may serve on for seconds and be listed again.
const historyRetention = 10 * time.Minute

// An incarnation identifies one start of an endpoint.
type incarnation struct {
	id   wick.VMID
	born int64
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
	records map[incarnation]record
}

// update changes the record of an incarnation and forgets old ones. Endpoints without a
// start time are not remembered, since a restart of one can't be told apart.
func (his *history) update(inc incarnation, now time.Time, change func(rec *record)) {
	if inc.born == 0 {
		return
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	if his.records == nil {
		his.records = make(map[incarnation]record)
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
func (his *history) find(inc incarnation) record {
	his.mu.Lock()
	defer his.mu.Unlock()
	return his.records[inc]
}
