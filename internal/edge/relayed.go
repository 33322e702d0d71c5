package edge

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// relayedRecords holds the records of other entries that this one publishes with its
// own. Its zero value is ready to use.
type relayedRecords struct {
	mu      sync.Mutex
	records map[wick.EntryID]relayedRecord
}

// A relayedRecord is the newest record of an entry.
type relayedRecord struct {
	rec roster.Record
	// receivedAt is when rec was received or restored.
	receivedAt time.Time
	// confirmed is the last record that the store has confirmed.
	confirmed recordReply
}

// add keeps a record and returns the last one of its entry that the store has
// confirmed.
func (rrs *relayedRecords) add(rec roster.Record, now time.Time) recordReply {
	rrs.mu.Lock()
	defer rrs.mu.Unlock()
	if rrs.records == nil {
		rrs.records = make(map[wick.EntryID]relayedRecord)
	}
	old := rrs.records[rec.ID]
	if old.rec.ID == "" || rec.IsNewer(&old.rec) {
		old.rec, old.receivedAt = rec, now
		rrs.records[rec.ID] = old
	}
	return old.confirmed
}

// restore keeps the records that an earlier process of this entry relayed.
func (rrs *relayedRecords) restore(recs []roster.Record, now time.Time) {
	for idx := range recs {
		rrs.add(recs[idx], now)
	}
}

// count returns the number of records.
func (rrs *relayedRecords) count() int {
	rrs.mu.Lock()
	defer rrs.mu.Unlock()
	return len(rrs.records)
}

// collect returns the records to publish. Those of entries that have ended are published
// for as long as their counts may be needed.
func (rrs *relayedRecords) collect(now time.Time) []roster.Record {
	rrs.mu.Lock()
	defer rrs.mu.Unlock()
	out := make([]roster.Record, 0, len(rrs.records))
	for id, rel := range rrs.records {
		if now.Sub(rel.receivedAt) > recordTTL {
			delete(rrs.records, id)
			continue
		}
		out = append(out, rel.rec)
	}
	return out
}

// published records that the store has confirmed records.
func (rrs *relayedRecords) published(recs []roster.Record) {
	rrs.mu.Lock()
	defer rrs.mu.Unlock()
	for idx := range recs {
		rec := &recs[idx]
		if rel, ok := rrs.records[rec.ID]; ok {
			rel.confirmed = recordReply{rec.Incarnation, rec.Beat}
			rrs.records[rec.ID] = rel
		}
	}
}
