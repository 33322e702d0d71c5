// Package place assigns keys to entries by rendezvous hashing. Entries with the
// same members compute the same assignment, and a member that joins or leaves
// moves only its own keys.
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Weight returns the rendezvous weight of an entry for a key.
func Weight(key string, eid wick.EntryID) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	dig.WriteString(key)         //nolint:errcheck // never fails
	dig.Write([]byte{0})         //nolint:errcheck // never fails
	dig.WriteString(string(eid)) //nolint:errcheck // never fails
	return dig.Sum64()
}

// Rank returns the members in rendezvous order for a key, the highest weight
// first. The order does not depend on the order of mbs.
func Rank(key string, mbs []wick.Member) []wick.Member {
	type weighted struct {
		mem wick.Member
		wgt uint64
	}
	all := make([]weighted, len(mbs))
	for idx, mem := range mbs {
		all[idx] = weighted{mem, Weight(key, mem.ID)}
	}
	slices.SortFunc(all, func(one, two weighted) int {
		return cmp.Or(cmp.Compare(two.wgt, one.wgt), cmp.Compare(one.mem.ID, two.mem.ID))
	})
	out := make([]wick.Member, len(all))
	for idx := range all {
		out[idx] = all[idx].mem
	}
	return out
}

// First returns the member with the highest weight for a key, without sorting.
// It returns false if there are no members.
func First(key string, mbs []wick.Member) (wick.Member, bool) {
	var best wick.Member
	var top uint64
	for idx := range mbs {
		mem := &mbs[idx]
		wgt := Weight(key, mem.ID)
		if best.ID == "" || wgt > top || wgt == top && mem.ID < best.ID {
			best, top = *mem, wgt
		}
	}
	return best, best.ID != ""
}

// Outside returns the members outside a zone, in the same order.
func Outside(zone wick.Zone, mbs []wick.Member) []wick.Member {
	return slices.DeleteFunc(slices.Clone(mbs), func(mem wick.Member) bool { return mem.Zone == zone })
}

// Within returns the members in a zone, in the same order.
func Within(zone wick.Zone, mbs []wick.Member) []wick.Member {
	return slices.DeleteFunc(slices.Clone(mbs), func(mem wick.Member) bool { return mem.Zone != zone })
}
