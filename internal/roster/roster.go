// Package roster implements discovery of entries through the platform's store:
// each entry publishes one record about itself and reads those of the others.
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
	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/perf"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "roster")

// A Record is the state that one entry publishes about itself.
type Record struct {
	ID          wick.EntryID     `json:"id"`
	Incarnation wick.Incarnation `json:"incarnation"`
	Zone        wick.Zone        `json:"zone"`
	// Peer is the address "host:port" for messages from other entries, "" if
	// the entry accepts none.
	Peer string `json:"peer,omitempty"`
	// Beat is the heartbeat sequence number; it increases with every write of
	// an incarnation.
	Beat    uint64 `json:"beat"`
	Leaving bool   `json:"leaving,omitempty"`
	// Demand is each customer's demand, in units of its quota per second.
	Demand map[wick.Customer]float64 `json:"demand,omitempty"`
	// Started counts the requests that started to execute, by window and customer.
	Started map[uint64]map[wick.Customer]int `json:"began,omitempty"`
	// CompleteThrough is the last window whose counts of started requests are complete,
	// 0 if unknown.
	CompleteThrough uint64 `json:"through,omitempty"`
	// InitialEndpoints is the number of endpoints per service that the first holder of the
	// control duty found, as far as this entry knows them.
	InitialEndpoints map[wick.Service]int `json:"found,omitempty"`
	// Evidence holds the outcome counters of moves in progress.
	Evidence []canary.Evidence `json:"evidence,omitempty"`
	// Work is the endpoint time used by this entry's requests per service, in
	// seconds per second.
	Work map[wick.Service]float64 `json:"work,omitempty"`
	// Requests is the number of requests per second that this entry sends to
	// endpoints, per service.
	Requests map[wick.Service]float64 `json:"requests,omitempty"`
	// Engines is the performance of each service's endpoints as this entry
	// observed it.
	Engines map[wick.Service]perf.Engine `json:"engines,omitempty"`
	// Occupied is the share of their slots that this entry's requests occupy,
	// summed over the endpoints of each service.
	Occupied map[wick.Service]float64 `json:"occupied,omitempty"`
	// Crashes holds the parts of prompts that are blocked and this entry's last
	// evidence; nil if there is neither.
	Crashes *crash.News `json:"crashes,omitempty"`
}

// Member returns the entry as a peer.
func (rec *Record) Member() wick.Member {
	return wick.Member{ID: rec.ID, Incarnation: rec.Incarnation, Zone: rec.Zone, Address: rec.Peer, State: wick.EntryServing}
}

// IsNewer reports whether the record was published after another one of its entry.
func (rec *Record) IsNewer(old *Record) bool {
	if rec.Incarnation != old.Incarnation {
		return rec.Incarnation > old.Incarnation
	}
	return rec.Beat > old.Beat
}

// A document is the object that an entry publishes: its own record and those that it
// relays for other entries.
type document struct {
	Record
	Relayed []Record `json:"relayed,omitempty"`
}

// An observation is a record, the name of the object that it was read from, and the
// local time of its last change.
type observation struct {
	rec    Record
	source string
	at     time.Time
}

// A version is the revision of an object with the local time of its last change.
type version struct {
	rev wick.Revision
	at  time.Time
}

// A Roster caches the records of all entries. It is a feed.Handler.
type Roster struct {
	sto wick.Store
	key wick.ObjectKey

	mu      sync.Mutex
	records map[wick.EntryID]observation
	// objects holds the version of each object by name.
	objects map[string]version
	// era is the newest era of the objects' revisions.
	era wick.Era
	// rev is the revision of the entry's own object, 0 if unknown.
	rev wick.Revision
}

// New returns a roster for an entry.
func New(sto wick.Store, id wick.EntryID) *Roster {
	return &Roster{
		sto: sto, key: wick.ObjectKey{Kind: wick.KindMember, Name: string(id)},
		records: make(map[wick.EntryID]observation), objects: make(map[string]version),
	}
}

// Replace replaces all records by those of a list. Unchanged records keep the
// time of their last change. A record that was relayed stays until Purge, and so do those
// that a restore of the store has lost.
func (ros *Roster) Replace(objs []wick.Object) {
	listed := make(map[string]bool, len(objs))
	var era wick.Era
	for idx := range objs {
		listed[objs[idx].Key.Name] = true
		era = max(era, objs[idx].Revision.Era())
	}
	ros.mu.Lock()
	// An empty list lacks even this entry's record.
	restored := era > ros.era || len(objs) == 0
	ros.era = max(ros.era, era)
	for name := range ros.objects {
		switch {
		case listed[name]:
		case restored:
			delete(ros.objects, name)
		default:
			ros.remove(name)
		}
	}
	ros.mu.Unlock()
	for idx := range objs {
		ros.Change(objs[idx])
	}
}

// remove removes an object and the record of its own entry, if that was read from it.
// ros.mu must be held.
func (ros *Roster) remove(name string) {
	delete(ros.objects, name)
	if ros.records[wick.EntryID(name)].source == name {
		delete(ros.records, wick.EntryID(name))
	}
}

// Change applies a change to one object. It ignores malformed objects and stale
// revisions.
func (ros *Roster) Change(obj wick.Object) {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	name := obj.Key.Name
	if obj.Deleted {
		ros.remove(name)
		return
	}
	var doc document
	if err := json.Unmarshal(obj.Data, &doc); err != nil {
		log.WithError(err).WithField("record", name).Warn("roster: cannot decode record")
		return
	}
	if ver, ok := ros.objects[name]; ok && ver.rev >= obj.Revision {
		return
	}
	now := time.Now()
	ros.objects[name] = version{obj.Revision, now}
	ros.observe(&doc.Record, name, now)
	for idx := range doc.Relayed {
		ros.observe(&doc.Relayed[idx], name, now)
	}
}

// observe applies a record unless a newer one of its entry is known. The same record, seen
// again after a restore of the store, is no sign of life. ros.mu must be held.
func (ros *Roster) observe(rec *Record, source string, now time.Time) {
	if rec.ID == "" {
		return
	}
	old, ok := ros.records[rec.ID]
	switch {
	case !ok || rec.IsNewer(&old.rec):
	case old.rec.IsNewer(rec) || old.source != source || string(rec.ID) != source:
		return
	default:
		now = old.at
	}
	ros.records[rec.ID] = observation{rec: *rec, source: source, at: now}
}

// Find returns the record of an entry, and false if there is none.
func (ros *Roster) Find(id wick.EntryID) (Record, bool) {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	obs, ok := ros.records[id]
	return obs.rec, ok
}

// Purge removes relayed and lost records that have not changed for longer than age. Others
// are removed with their objects.
func (ros *Roster) Purge(now time.Time, age time.Duration) {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	for id, obs := range ros.records {
		_, stored := ros.objects[string(id)]
		if (obs.source != string(id) || !stored) && now.Sub(obs.at) > age {
			delete(ros.records, id)
		}
	}
}

// Settled does nothing, as records are independent of each other.
func (ros *Roster) Settled() {}

// Publish writes the entry's own record and those that it relays.
func (ros *Roster) Publish(ctx context.Context, rec Record, relayed ...Record) error {
	data, err := json.Marshal(document{rec, relayed})
	if err != nil {
		return eris.Wrap(err, "roster: encode")
	}
	ros.mu.Lock()
	rev := ros.rev
	ros.mu.Unlock()
	next, err := ros.sto.Put(ctx, ros.key, data, rev)
	if errors.Is(err, wick.ErrConflict) || errors.Is(err, wick.ErrNotFound) {
		// The record is of an earlier incarnation or of a write whose response
		// was lost.
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

// ReadOwn reads the record that the entry's previous process published, and those that
// it relayed. The error wraps wick.ErrNotFound if there is none.
func (ros *Roster) ReadOwn(ctx context.Context) (own Record, relayed []Record, err error) {
	obj, err := ros.sto.Get(ctx, ros.key)
	if err != nil {
		return Record{}, nil, eris.Wrap(err, "roster: read")
	}
	var doc document
	if err := json.Unmarshal(obj.Data, &doc); err != nil {
		return Record{}, nil, eris.Wrapf(wick.ErrInvalid, "roster: own record: %v", err)
	}
	ros.mu.Lock()
	defer ros.mu.Unlock()
	ros.rev = obj.Revision
	return doc.Record, doc.Relayed, nil
}

func (ros *Roster) overwrite(ctx context.Context, data []byte) (wick.Revision, error) {
	obj, err := ros.sto.Get(ctx, ros.key)
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		return 0, err //nolint:wrapcheck // wick.Store returns errors of this module
	}
	return ros.sto.Put(ctx, ros.key, data, obj.Revision) //nolint:wrapcheck // wick.Store returns errors of this module
}

// Alive returns the records that changed less than within ago. While the store
// can't be read, frozen suspends the expiry and all records are returned.
func (ros *Roster) Alive(now time.Time, within time.Duration, frozen bool) []Record {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	out := make([]Record, 0, len(ros.records))
	for _, obs := range ros.records {
		if frozen || now.Sub(obs.at) < within {
			out = append(out, obs.rec)
		}
	}
	return out
}

// Members returns the entries whose records changed less than within ago and
// that are not leaving.
func (ros *Roster) Members(now time.Time, within time.Duration) []wick.Member {
	var out []wick.Member
	for _, rec := range ros.Alive(now, within, false) {
		if !rec.Leaving {
			out = append(out, rec.Member())
		}
	}
	return out
}

// All returns all records, including those of entries that have terminated.
func (ros *Roster) All() []Record {
	return ros.Alive(time.Time{}, 0, true)
}

// Stale returns the keys and revisions of objects that have not changed for
// longer than age.
func (ros *Roster) Stale(now time.Time, age time.Duration) map[wick.ObjectKey]wick.Revision {
	ros.mu.Lock()
	defer ros.mu.Unlock()
	out := make(map[wick.ObjectKey]wick.Revision)
	for name, ver := range ros.objects {
		if now.Sub(ver.at) > age {
			out[wick.ObjectKey{Kind: wick.KindMember, Name: name}] = ver.rev
		}
	}
	return out
}
