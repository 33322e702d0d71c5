package roster

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
)

// TestRestoredStore guards against records that a restore of the store takes back: with
// them the parts of the quotas and the usage counts of live entries are lost.
func TestRestoredStore(t *testing.T) {
	t.Run("records that the copy lacks stay until they expire", func(t *testing.T) {
		sto := &fake.Store{}
		one, two := New(sto, "one"), New(sto, "two")
		publish(t, one, Record{ID: "one", Beat: 1})
		cpy := sto.Backup()
		publish(t, two, Record{ID: "two", Beat: 1})
		refresh(t, sto, one)
		for range 2 {
			sto.Restore(cpy)
			refresh(t, sto, one)
			refresh(t, sto, one)
			assertAlive(t, one, time.Now(), false, 2)
		}
		one.Purge(time.Now().Add(time.Minute), 30*time.Second)
		assertAlive(t, one, time.Now(), true, 1)
		publish(t, two, Record{ID: "two", Beat: 2})
		refresh(t, sto, one)
		assertBeat(t, one, "two", 2)
	})
	t.Run("a copy of nothing removes no records", func(t *testing.T) {
		sto := &fake.Store{}
		cpy := sto.Backup()
		one := New(sto, "one")
		publish(t, one, Record{ID: "one", Beat: 1})
		refresh(t, sto, one)
		sto.Restore(cpy)
		refresh(t, sto, one)
		assertAlive(t, one, time.Now(), false, 1)
	})
	t.Run("an older record does not replace a newer one", func(t *testing.T) {
		sto := &fake.Store{}
		one := New(sto, "one")
		publish(t, one, Record{ID: "one", Beat: 1})
		cpy := sto.Backup()
		publish(t, one, Record{ID: "one", Beat: 2})
		refresh(t, sto, one)
		sto.Restore(cpy)
		refresh(t, sto, one)
		assertBeat(t, one, "one", 2)
		publish(t, one, Record{ID: "one", Beat: 3})
		refresh(t, sto, one)
		assertBeat(t, one, "one", 3)
	})
	t.Run("a restore makes no ended entry alive", func(t *testing.T) {
		sto := &fake.Store{}
		one := New(sto, "one")
		publish(t, one, Record{ID: "one", Beat: 1})
		refresh(t, sto, one)
		time.Sleep(20 * time.Millisecond)
		restoredAt := time.Now()
		sto.Restore(sto.Backup())
		refresh(t, sto, one)
		if got := one.Alive(restoredAt.Add(20*time.Millisecond), 20*time.Millisecond, false); len(got) != 0 {
			t.Errorf("%d entries are alive, want none", len(got))
		}
	})
}
