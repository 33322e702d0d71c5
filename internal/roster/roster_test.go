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
