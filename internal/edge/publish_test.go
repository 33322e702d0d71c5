package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// objectRevision returns the revision of an entry's own object.
func (sit *site) objectRevision(num int) wick.Revision {
	sit.Helper()
	obj, err := sit.sto.Get(sit.Context(), wick.ObjectKey{Kind: wick.KindMember, Name: string(sit.edges[num].cfg.ID)})
	if err != nil {
		sit.Fatal(err)
	}
	return obj.Revision
}

// beat returns an entry's beat as another one knows it.
func (sit *site) beat(reader, num int) uint64 {
	rec, _ := sit.edges[reader].roster.Find(sit.edges[num].cfg.ID)
	return rec.Beat
}

// TestRelay guards against a number of writes to the store that grows with that of the
// entries, and against entries that are not published when the one that relays their
// records ends.
func TestRelay(t *testing.T) {
	const entries = relayMinEntries
	sit := newSite(t, entries, wick.Quota{})
	var poller, reader, relayed int
	sit.await("one entry relays the others' records", func() bool {
		for num, edg := range sit.edges {
			if edg.isLoadPoller() && edg.relayed.count() >= entries-1 {
				poller, reader, relayed = num, (num+1)%entries, (num+2)%entries
				return true
			}
		}
		return false
	})
	var rev wick.Revision
	sit.await("an entry stops writing its record", func() bool {
		before := rev
		rev = sit.objectRevision(relayed)
		time.Sleep(2500 * time.Millisecond)
		return before == rev
	})
	beat := sit.beat(reader, relayed)
	sit.await("its records reach the others", func() bool { return sit.beat(reader, relayed) > beat+1 })
	sit.stops[poller]()
	<-sit.exited[poller]
	beat = sit.beat(reader, relayed)
	sit.await("its records reach the others after the relaying entry ended", func() bool {
		return sit.beat(reader, relayed) > beat+1
	})
}

// TestRelayedRecords guards against counts that are lost with the process that relays
// them, and against a confirmation of records that the store does not have.
func TestRelayedRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	var rrs relayedRecords
	rrs.restore([]roster.Record{{ID: "old", Beat: 3}}, now)
	if got := rrs.add(roster.Record{ID: "e1", Incarnation: 1, Beat: 1}, now); got != (recordReply{}) {
		t.Errorf("confirmed before a publication: %+v", got)
	}
	assertRecords := func(after time.Duration, want string) []roster.Record {
		t.Helper()
		recs := rrs.collect(now.Add(after))
		beats := make(map[wick.EntryID]uint64)
		for idx := range recs {
			beats[recs[idx].ID] = recs[idx].Beat
		}
		if got := fmt.Sprint(beats); got != want {
			t.Errorf("records after %v: %s, want %s", after, got, want)
		}
		return recs
	}
	recs := assertRecords(0, "map[e1:1 old:3]")
	rrs.add(roster.Record{ID: "e1", Incarnation: 1, Beat: 2}, now)
	rrs.published(recs)
	if got := rrs.add(roster.Record{ID: "e1", Incarnation: 1, Beat: 3}, now.Add(time.Second)); got != (recordReply{1, 1}) {
		t.Errorf("confirmed %+v, want beat 1", got)
	}
	rrs.add(roster.Record{ID: "e1", Incarnation: 1, Beat: 2}, now.Add(2*time.Second))
	assertRecords(recordTTL+time.Second, "map[e1:3]")
	assertRecords(recordTTL+2*time.Second, "map[]")
}
