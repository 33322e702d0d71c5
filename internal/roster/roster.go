// Package roster lets the entries know of each other through the platform's
// store: each writes one record about itself and reads those of the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "roster")

// A Record is what one entry says of itself.
type Record struct {
	ID          wick.EntryID     `json:"id"`
	Incarnation wick.Incarnation `json:"incarnation"`
	Zone        wick.Zone        `json:"zone"`
	// Peer is the address "host:port" for messages of other entries, "" if
	// the entry takes none.
	Peer string `json:"peer,omitempty"`
	// Beat grows with every write of an incarnation.
	Beat    uint64 `json:"beat"`
	Leaving bool   `json:"leaving,omitempty"`
	// Demand of each customer in its quota's units a second.
	Demand map[wick.Customer]float64 `json:"demand,omitempty"`
	// Began counts the requests that began to run, by window and customer.
	Began map[uint64]map[wick.Customer]int `json:"began,omitempty"`
	// Through is the last window whose counts in Began are final, 0 if unknown.
	Through uint64 `json:"through,omitempty"`
	// Found is, on the holder of the control duty, the number of endpoints of
	// each service that the first holder found.
	Found map[wick.Service]int `json:"found,omitempty"`
	// Evidence counts the outcomes of versions that are being moved to.
	Evidence []canary.Evidence `json:"evidence,omitempty"`
	// Work is the endpoints' time that this entry's requests take, in seconds
	// a second.
	Work map[wick.Service]float64 `json:"work,omitempty"`
	// Requests are this entry's sends a second.
	Requests map[wick.Service]float64 `json:"requests,omitempty"`
}

// Member returns the entry as a peer.
func (rec *Record) Member() wick.Member {
	return wick.Member{ID: rec.ID, Incarnation: rec.Incarnation, Zone: rec.Zone, Address: rec.Peer, State: wick.EntryServing}
}

// A seen is a record with the time at which it last changed here.
type seen struct {
	rec Record
	rev wick.Revision
	at  time.Time
}

// A Roster holds the records of all entries. It is a feed.Handler.
type Roster struct {
	sto wick.Store
	key wick.ObjectKey

	mu      sync.Mutex
	records map[string]seen
	// rev is the revision of the entry's own record, 0 if unknown.
	rev wick.Revision
}

// New returns a roster for an entry.
func New(sto wick.Store, id wick.EntryID) *Roster {
	return &Roster{
		sto: sto, key: wick.ObjectKey{Kind: wick.KindMember, Name: string(id)},
		records: make(map[string]seen),
	}
}

// Replace takes all records.
func (ros *Roster) Replace(objs []wick.Object) {
	ros.mu.Lock()
	old := ros.records
	ros.records = make(map[string]seen, len(objs))
	for name, sen := range old {
		for idx := range objs {
			if objs[idx].Key.Name == name {
				ros.records[name] = sen
			}
		}
	}
	ros.mu.Unlock()
	for idx := range objs {
		ros.Change(objs[idx])
	}
}

// Change takes one record.
func (ros *Roster) Change(obj wick.Object) {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	if obj.Deleted {
		delete(ros.records, obj.Key.Name)
		return
	}
	var rec Record
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		log.WithError(err).WithField("record", obj.Key.Name).Warn("roster: record can't be read")
		return
	}
	if sen, ok := ros.records[obj.Key.Name]; ok && sen.rev >= obj.Revision {
		return
	}
	ros.records[obj.Key.Name] = seen{rec: rec, rev: obj.Revision, at: time.Now()}
}

// Settled does nothing: each record stands for itself.
func (ros *Roster) Settled() {}

// Publish writes the entry's own record.
func (ros *Roster) Publish(ctx context.Context, rec Record) error {
	data, err := json.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "roster: encode")
	}
	ros.mu.Lock()
	rev := ros.rev
	ros.mu.Unlock()
	next, err := ros.sto.Put(ctx, ros.key, data, rev)
	if errors.Is(err, wick.ErrConflict) || errors.Is(err, wick.ErrNotFound) {
		// An earlier incarnation's record, or a write whose answer was lost.
		next, err = ros.overwrite(ctx, data)
	}
	if err != nil {
		return eris.Wrap(err, "roster: publish")
	}
	ros.mu.Lock()
	defer ros.mu.Unlock()
	ros.rev = next
	return nil
}

// Own reads the record that an earlier process of this entry has written. The
// error wraps wick.ErrNotFound if there is none.
func (ros *Roster) Own(ctx context.Context) (Record, error) {
	obj, err := ros.sto.Get(ctx, ros.key)
	if err != nil {
		return Record{}, eris.Wrap(err, "roster: read")
	}
	var rec Record
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return Record{}, eris.Wrapf(wick.ErrInvalid, "roster: own record: %v", err)
	}
	ros.mu.Lock()
	defer ros.mu.Unlock()
	ros.rev = obj.Revision
	return rec, nil
}

func (ros *Roster) overwrite(ctx context.Context, data []byte) (wick.Revision, error) {
	obj, err := ros.sto.Get(ctx, ros.key)
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		return 0, err //nolint:wrapcheck // wick.Store's errors are ours
	}
	return ros.sto.Put(ctx, ros.key, data, obj.Revision) //nolint:wrapcheck // wick.Store's errors are ours
}

// Alive returns the records that changed within a time. With frozen, while the
// store can't be read, all records count.
func (ros *Roster) Alive(now time.Time, within time.Duration, frozen bool) []Record {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	out := make([]Record, 0, len(ros.records))
	for _, sen := range ros.records {
		if frozen || now.Sub(sen.at) < within {
			out = append(out, sen.rec)
		}
	}
	return out
}

// Members returns the entries whose records changed within a time and that are
// not leaving.
func (ros *Roster) Members(now time.Time, within time.Duration) []wick.Member {
	var out []wick.Member
	for _, rec := range ros.Alive(now, within, false) {
		if !rec.Leaving {
			out = append(out, rec.Member())
		}
	}
	return out
}

// All returns all records, also those of entries that have ended.
func (ros *Roster) All() []Record {
	return ros.Alive(time.Time{}, 0, true)
}

// Stale returns the keys and revisions of records that have not changed for a
// time.
func (ros *Roster) Stale(now time.Time, age time.Duration) map[wick.ObjectKey]wick.Revision {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	out := make(map[wick.ObjectKey]wick.Revision)
	for name, sen := range ros.records {
		if now.Sub(sen.at) > age {
			out[wick.ObjectKey{Kind: wick.KindMember, Name: name}] = sen.rev
		}
	}
	return out
}
