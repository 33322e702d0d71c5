package lease

import (
	"slices"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Assignee returns the serving member that should hold the duty, and whether there
// is one. Entries with the same membership view choose the same member.
func Assignee(duty wick.Duty, mems []wick.Member) (wick.Member, bool) {
	return place.First(string(duty), slices.DeleteFunc(slices.Clone(mems), func(mem wick.Member) bool {
		return mem.State != wick.EntryServing
	}))
}

// AssignedDuties returns the duties that Assignee assigns to the entry.
func AssignedDuties(duties []wick.Duty, mems []wick.Member, id wick.EntryID) []wick.Duty {
	var out []wick.Duty
	for _, duty := range duties {
		if mem, ok := Assignee(duty, mems); ok && mem.ID == id {
			out = append(out, duty)
		}
	}
	return out
}
