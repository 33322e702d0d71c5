package edge

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// storedAuthority returns the object of the authority; its data is empty if there is none.
func (sit *site) storedAuthority() wick.Object {
	obj, err := sit.sto.Get(sit.Context(), authorityKey)
	if err != nil {
		return wick.Object{}
	}
	return obj
}

// TestRestoredAuthority guards against entries that can't call each other because a restore
// of the store has lost the authority of their certificates.
func TestRestoredAuthority(t *testing.T) {
	sit := newSite(t, 2, wick.Quota{})
	sit.awaitPeer(0)
	sit.awaitPeer(1)
	before := sit.storedAuthority()
	awaitOriginal := func() {
		t.Helper()
		sit.await("the authority is back", func() bool { return string(sit.storedAuthority().Data) == string(before.Data) })
	}
	t.Run("lost", func(*testing.T) {
		if err := sit.sto.Delete(t.Context(), authorityKey, before.Revision); err != nil {
			t.Fatal(err)
		}
		sit.sto.Restore(sit.sto.Backup())
		awaitOriginal()
	})
	// replace stores an authority that was created at a time.
	replace := func(created time.Time) {
		t.Helper()
		aut, err := certs.NewAuthority(created)
		if err != nil {
			t.Fatal(err)
		}
		if err := sit.edges[0].writeAuthority(t.Context(), aut, sit.storedAuthority().Revision); err != nil {
			t.Fatal(err)
		}
		sit.sto.Restore(sit.sto.Backup())
	}
	t.Run("created again by an entry that starts", func(*testing.T) {
		replace(time.Now().Add(time.Hour))
		awaitOriginal()
	})
	t.Run("older than that of the entries", func(t *testing.T) {
		old := []any{sit.edges[0].peers.Load(), sit.edges[1].peers.Load()}
		replace(time.Now().Add(-time.Hour))
		for num := range old {
			sit.await("the entry adopts it", func() bool {
				trn := sit.edges[num].peers.Load()
				return trn != nil && any(trn) != old[num]
			})
		}
		sit.await("the entries reach each other", func() bool {
			mem := sit.edges[1].roster.Members(time.Now(), memberTimeout)
			var rep catchUpReply
			for idx := range mem {
				trn := sit.edges[0].peers.Load()
				if mem[idx].ID == "edge1" && trn != nil && trn.Call(t.Context(), mem[idx], wick.MsgCatchUp, catchUpRequest{}, &rep) == nil {
					return true
				}
			}
			return false
		})
	})
}
