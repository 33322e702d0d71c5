package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestRestoredStore guards against a follower that goes on in the history that a restore
// has discarded, or that takes what the copy lacks for removed.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		key := wick.ObjectKey{Kind: "kind", Name: "n"}
		rev, err := sto.Put(t.Context(), key, []byte("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		cpy := sto.Backup()
		if _, err := sto.Put(t.Context(), key, []byte("2"), rev); err != nil {
			t.Fatal(err)
		}
		rec := &recorder{}
		fol := &Follower{Store: sto, Kind: "kind", Handler: rec}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fol.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		for range 2 {
			sto.Restore(cpy)
			restoredAt := time.Now()
			time.Sleep(time.Second)
			if fol.RecoveredAt().Before(restoredAt) {
				t.Error("the store does not count as recovered after a restore")
			}
		}
		cancel()
		<-done
		if len(rec.got) != 3 {
			t.Errorf("handler got %q, want a list at the start and after each restore", rec.got)
		}
	})
}
