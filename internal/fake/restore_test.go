package fake_test

import (
	"errors"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestStoreRestore guards against a fake that behaves unlike a store restored from a copy:
// tests with it would miss faults.
func TestStoreRestore(t *testing.T) {
	key := wick.ObjectKey{Kind: "k", Name: "n"}
	sto := new(fake.Store)
	first, err := sto.Put(t.Context(), key, []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	cpy := sto.Backup()
	lost, err := sto.Put(t.Context(), key, []byte("2"), first)
	if err != nil {
		t.Fatal(err)
	}
	sto.Restore(cpy)
	obj, err := sto.Get(t.Context(), key)
	if err != nil || string(obj.Data) != "1" || obj.Revision.Number() != first.Number() || obj.Revision <= lost {
		t.Errorf("after the restore: %q at %d, %v", obj.Data, obj.Revision, err)
	}
	if _, err := sto.Put(t.Context(), key, []byte("3"), lost); !errors.Is(err, wick.ErrConflict) {
		t.Errorf("write at a lost revision: %v", err)
	}
	if _, _, err := sto.Watch(t.Context(), "k", lost); !errors.Is(err, wick.ErrRevisionExpired) {
		t.Errorf("watch from a lost revision: %v", err)
	}
	again, err := sto.Put(t.Context(), key, []byte("3"), obj.Revision)
	if err != nil || again.Number() != lost.Number() {
		t.Errorf("next write at %d, %v, want number %d again", again, err, lost.Number())
	}
}
