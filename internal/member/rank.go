package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// weight is the rendezvous weight of an entry for a key.
func weight(key string, eid wick.EntryID) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	dig.WriteString(key)         //nolint:errcheck // never fails
	dig.Write([]byte{0})         //nolint:errcheck // never fails
	dig.WriteString(string(eid)) //nolint:errcheck // never fails
	return dig.Sum64()
}

// Rank returns the members in rendezvous order for a key, the highest weight
// first. All entries that pass the same members get the same order.
func Rank(key string, mbs []wick.Member) []wick.Member {
	type weighted struct {
		mem wick.Member
		wgt uint64
	}
	all := make([]weighted, len(mbs))
	for idx, mem := range mbs {
		all[idx] = weighted{mem, weight(key, mem.ID)}
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

// Outside returns the members that are not in a zone, in the same order.
func Outside(zone wick.Zone, mbs []wick.Member) []wick.Member {
	return slices.DeleteFunc(slices.Clone(mbs), func(mem wick.Member) bool { return mem.Zone == zone })
}

// Within returns the members in a zone, in the same order.
func Within(zone wick.Zone, mbs []wick.Member) []wick.Member {
	return slices.DeleteFunc(slices.Clone(mbs), func(mem wick.Member) bool { return mem.Zone != zone })
}
