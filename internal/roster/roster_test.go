package roster

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func publish(t *testing.T, ros *Roster, rec Record) {
	t.Helper()
	if err := ros.Publish(t.Context(), rec); err != nil {
		t.Error(err)
	}
}

func refresh(t *testing.T, sto *fake.Store, ros *Roster) {
	t.Helper()
	objs, _, err := sto.List(t.Context(), wick.KindMember)
	if err != nil {
		t.Fatal(err)
	}
	ros.Replace(objs)
}

func assertAlive(t *testing.T, ros *Roster, now time.Time, frozen bool, want int) {
	t.Helper()
	if got := ros.Alive(now, time.Second, frozen); len(got) != want {
		t.Errorf("%d entries are alive, want %d", len(got), want)
	}
}

// TestRoster guards against entries that count as alive long after their end, or
// as dead while the store is unavailable.
func TestRoster(t *testing.T) {
	sto := &fake.Store{}
	one, two := New(sto, "one"), New(sto, "two")
	publish(t, one, Record{ID: "one", Beat: 1})
	publish(t, two, Record{ID: "two", Beat: 1})
	refresh(t, sto, one)
	now := time.Now()
	assertAlive(t, one, now, false, 2)
	assertAlive(t, one, now.Add(time.Minute), false, 0)
	assertAlive(t, one, now.Add(time.Minute), true, 2)
	if got := len(one.Stale(now.Add(time.Minute), 30*time.Second)); got != 2 {
		t.Errorf("%d stale records, want 2", got)
	}
}

// TestRestart guards against an entry that fails to publish its record because
// an earlier incarnation has published one.
func TestRestart(t *testing.T) {
	sto := &fake.Store{}
	publish(t, New(sto, "one"), Record{ID: "one", Beat: 9})
	restarted := New(sto, "one")
	publish(t, restarted, Record{ID: "one", Incarnation: 2, Beat: 1})
	publish(t, restarted, Record{ID: "one", Incarnation: 2, Beat: 2})
	refresh(t, sto, restarted)
	if all := restarted.All(); len(all) != 1 || all[0].Incarnation != 2 || all[0].Beat != 2 {
		t.Errorf("records %+v", all)
	}
}

// TestMalformedRecord guards against a malformed record that prevents other
// records from being applied.
func TestMalformedRecord(t *testing.T) {
	ros := New(&fake.Store{}, "one")
	ros.Change(wick.Object{Key: wick.ObjectKey{Name: "x"}, Revision: 1, Data: []byte("{")})
	ros.Change(wick.Object{Key: wick.ObjectKey{Name: "y"}, Revision: 2, Data: []byte(`{"id":"y"}`)})
	ros.Change(wick.Object{Key: wick.ObjectKey{Name: "y"}, Deleted: true})
	if got := len(ros.All()); got != 0 {
		t.Errorf("%d records, want 0", got)
	}
}

func assertBeat(t *testing.T, ros *Roster, id wick.EntryID, want uint64) {
	t.Helper()
	if rec, ok := ros.Find(id); !ok || rec.Beat != want {
		t.Errorf("record of %s: %+v (%v), want beat %d", id, rec, ok, want)
	}
}

// TestRelayed guards against records of other entries that hide newer ones, are lost with
// the entry's own old object, or count as changes although they have not.
func TestRelayed(t *testing.T) {
	sto := &fake.Store{}
	one, two := New(sto, "one"), New(sto, "two")
	publish(t, two, Record{ID: "two", Beat: 1})
	refresh(t, sto, one)
	assertBeat(t, one, "two", 1)

	relay := func(beat, relayed uint64) {
		t.Helper()
		if err := one.Publish(t.Context(), Record{ID: "one", Beat: beat}, Record{ID: "two", Beat: relayed}); err != nil {
			t.Fatal(err)
		}
		refresh(t, sto, one)
	}
	relay(1, 4)
	assertBeat(t, one, "two", 4)
	relay(2, 3)
	assertBeat(t, one, "two", 4)
	if obj, err := sto.Get(t.Context(), wick.ObjectKey{Kind: wick.KindMember, Name: "two"}); err != nil {
		t.Fatal(err)
	} else if err := sto.Delete(t.Context(), obj.Key, obj.Revision); err != nil {
		t.Fatal(err)
	}
	relay(3, 4)
	assertBeat(t, one, "two", 4)
	publish(t, two, Record{ID: "two", Beat: 6})
	refresh(t, sto, one)
	assertBeat(t, one, "two", 6)

	t.Run("own and relayed after a restart", func(t *testing.T) {
		own, relayed, err := New(sto, "one").ReadOwn(t.Context())
		if err != nil || own.Beat != 3 || len(relayed) != 1 || relayed[0].Beat != 4 {
			t.Errorf("%+v, %+v, %v", own, relayed, err)
		}
	})
	t.Run("ended", func(t *testing.T) {
		relay(4, 9)
		now := time.Now()
		one.Purge(now, time.Minute)
		assertBeat(t, one, "two", 9)
		one.Purge(now.Add(2*time.Minute), time.Minute)
		if _, ok := one.Find("two"); ok {
			t.Error("a record that has not changed for long is kept")
		}
		assertBeat(t, one, "one", 4)
	})
}

// TestRelayedAge guards against an entry that counts as alive because its last record is
// published again and again.
func TestRelayedAge(t *testing.T) {
	sto := &fake.Store{}
	one := New(sto, "one")
	for beat := range uint64(5) {
		if err := one.Publish(t.Context(), Record{ID: "one", Beat: beat + 1}, Record{ID: "two", Beat: 7}); err != nil {
			t.Fatal(err)
		}
		refresh(t, sto, one)
		if beat == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if got := one.Alive(time.Now(), 15*time.Millisecond, false); len(got) != 1 || got[0].ID != "one" {
		t.Errorf("alive: %+v, want one only", got)
	}
}
