package fake

import (
	"maps"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A StoreCopy is a copy of the contents of a Store.
type StoreCopy struct {
	rev     wick.Revision
	objects map[wick.ObjectKey]wick.Object
}

// Backup copies the contents.
func (sto *Store) Backup() StoreCopy {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return StoreCopy{rev: sto.rev, objects: maps.Clone(sto.objects)}
}

// Restore replaces the contents by a copy and begins a new era. The numbers of the
// revisions since the copy are assigned again, and watches from them expire.
func (sto *Store) Restore(cpy StoreCopy) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	era := sto.rev.Era() + 1
	sto.rev = era.Revision(cpy.rev.Number())
	sto.objects = make(map[wick.ObjectKey]wick.Object, len(cpy.objects))
	for key, obj := range cpy.objects {
		obj.Revision = era.Revision(obj.Revision.Number())
		sto.objects[key] = obj
	}
	sto.previous, sto.previousRev = nil, 0
	if sto.changed != nil {
		close(sto.changed)
		sto.changed = nil
	}
}
