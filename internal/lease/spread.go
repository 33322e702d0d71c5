package lease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Place returns the serving member that should hold the duty: the highest
// rendezvous hash. Entries with the same view agree.
func Place(duty wick.Duty, mems []wick.Member) (wick.Member, bool) {
	var best wick.Member
	var top uint64
	found := false
	for _, mem := range mems {
		if mem.State != wick.EntryServing {
			continue
		}
		hash := xxhash.Sum64String(string(duty) + "\x00" + string(mem.ID))
		if !found || hash > top || hash == top && mem.ID < best.ID {
			best, top, found = mem, hash, true
		}
	}
	return best, found
}

// Spread returns the duties that Place gives to the entry.
func Spread(duties []wick.Duty, mems []wick.Member, id wick.EntryID) []wick.Duty {
	var out []wick.Duty
	for _, duty := range duties {
		if mem, ok := Place(duty, mems); ok && mem.ID == id {
			out = append(out, duty)
		}
	}
	return out
}
