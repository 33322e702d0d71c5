package pool

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// bornBackend returns an endpoint with a start time.
func bornBackend(born int64) wick.Backend {
	bke := backend(0, "a")
	bke.Born = born
	return bke
}

// TestSignalledLeaving guards against requests to an endpoint that has signalled in an
// answer that it leaves, whatever the registry says of it afterwards.
func TestSignalledLeaving(t *testing.T) {
	newLeaving := func() *Pool {
		pl := New("a")
		pl.Set(bornBackend(1), start)
		if !pl.MarkLeaving("e0", 1, start) || pl.MarkLeaving("e0", 1, start) {
			t.Error("the first signal, and only it, must be news")
		}
		return pl
	}
	t.Run("listed as ready", func(t *testing.T) {
		pl := newLeaving()
		pl.Set(bornBackend(1), start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("at another address", func(t *testing.T) {
		pl := newLeaving()
		bke := bornBackend(1)
		bke.Address = "10.0.0.9:80"
		pl.Set(bke, start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("removed and listed again", func(t *testing.T) {
		pl := newLeaving()
		pl.Remove("e0")
		pl.Set(bornBackend(1), start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("signalled before it is listed", func(t *testing.T) {
		pl := New("a")
		pl.MarkLeaving("e0", 1, start)
		pl.Set(bornBackend(1), start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("started again", func(t *testing.T) {
		pl := newLeaving()
		pl.Set(bornBackend(2), start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
	t.Run("late answer of the start before", func(t *testing.T) {
		pl := newLeaving()
		pl.Set(bornBackend(2), start)
		pl.MarkLeaving("e0", 1, start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
	t.Run("without a start time", func(t *testing.T) {
		pl := newPool("a")
		pl.MarkLeaving("e0", 0, start)
		pl.Remove("e0")
		pl.Set(backend(0, "a"), start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
	t.Run("forgotten", func(t *testing.T) {
		pl := newLeaving()
		pl.MarkLeaving("e1", 1, start.Add(historyRetention+time.Second))
		if len(pl.history.records) != 1 {
			t.Errorf("%d records, want that of e1 only", len(pl.history.records))
		}
	})
}
