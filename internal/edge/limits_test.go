package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A coldSite is an entry whose service has one endpoint that is cold for a minute.
type coldSite struct {
	*testing.T
	edg *Edge
	sto *fake.Store
}

func newColdSite(t *testing.T) *coldSite {
	t.Helper()
	sto := &fake.Store{}
	edg := newIdleEdge(sto)
	edg.pool.SetColdPolicies(map[wick.Service]pool.ColdPolicy{"s": {Start: time.Minute, Rate: 5, Bound: 12.5}}, time.Now())
	edg.pool.Set(wick.Backend{ID: "i-1", Service: "s", Zone: "z", Slots: 8, Born: 1, ColdFor: time.Minute}, time.Now())
	return &coldSite{t, edg, sto}
}

// publish writes the record of an entry.
func (sit *coldSite) publish(rec roster.Record) {
	sit.Helper()
	data, err := json.Marshal(rec)
	if err != nil {
		sit.Fatal(err)
	}
	if _, err := sit.sto.Put(sit.Context(), wick.ObjectKey{Kind: wick.KindMember, Name: string(rec.ID)}, data, 0); err != nil {
		sit.Fatal(err)
	}
}

// sent returns the requests that the entry may send to the endpoint in some seconds.
func (sit *coldSite) sent(seconds int) int {
	num := 0
	for range seconds * 10 {
		sit.edg.shareLimits(time.Now())
		if _, err := sit.edg.pool.Pick(pool.Query{Service: "s", Now: time.Now()}); err == nil {
			num++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return num
}

// TestColdShareInOutage guards against entries that each use the whole rate of a cold
// endpoint while the store can't be read, and just after it, since the records of the others
// have expired.
func TestColdShareInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, most = 10, 4
		sit := newColdSite(t)
		for num := range entries {
			sit.publish(roster.Record{ID: wick.EntryID(fmt.Sprint("edge", num)), Beat: minSharedBeat, Requests: map[wick.Service]float64{"s": 1}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go sit.edg.members.Run(ctx)
		time.Sleep(time.Second)
		sit.sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		time.Sleep(memberTimeout + time.Second)
		if num := sit.sent(2); num > most {
			t.Errorf("one of %d entries sends %d requests in 2 s while the store is down", entries, num)
		}
		sit.sto.SetFaults(fake.StoreFaults{}, 1)
		time.Sleep(time.Second)
		if num := sit.sent(2); num > most {
			t.Errorf("one of %d entries sends %d requests in 2 s after the outage", entries, num)
		}
		cancel()
		synctest.Wait()
	})
}

// TestColdShareAtStart guards against an entry that has just started and uses a part of a
// cold endpoint's rate that the others haven't left to it yet, and against one that drains
// and still uses a part of the rate that others have.
func TestColdShareAtStart(t *testing.T) {
	for name, tst := range map[string]struct {
		rec            roster.Record
		draining, some bool
	}{
		"none published": {roster.Record{ID: "edge1", Incarnation: 2, Beat: 9}, false, false},
		"an earlier one": {roster.Record{ID: "edge0", Incarnation: 1, Beat: 9}, false, false},
		"just published": {roster.Record{ID: "edge0", Incarnation: 2, Beat: 1}, false, false},
		"established":    {roster.Record{ID: "edge0", Incarnation: 2, Beat: minSharedBeat}, false, true},
		"draining":       {roster.Record{ID: "edge0", Incarnation: 2, Beat: minSharedBeat}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sit := newColdSite(t)
				sit.edg.cfg.Incarnation = 2
				sit.edg.ready.draining.Store(tst.draining)
				data, err := json.Marshal(tst.rec)
				if err != nil {
					t.Fatal(err)
				}
				sit.edg.roster.Change(wick.Object{Key: wick.ObjectKey{Name: string(tst.rec.ID)}, Revision: 1, Data: data})
				if num := sit.sent(2); (num > 0) != tst.some {
					t.Errorf("%d requests are sent", num)
				}
			})
		})
	}
}
