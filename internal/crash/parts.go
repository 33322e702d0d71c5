package crash

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxListed is the number of parts up to which a set is searched and sent to other entries as
// it is. Longer sets are sorted, and are sent as a sample and a digest.
const maxListed = 32

// Parts is a set of parts of prompts. One with more than maxListed parts is sorted and has
// each part once.
type Parts []wick.PartID

// has reports whether the set has a part.
func (prt Parts) has(part wick.PartID) bool {
	if len(prt) <= maxListed {
		return slices.Contains(prt, part)
	}
	_, ok := slices.BinarySearch(prt, part)
	return ok
}

// includes reports whether the set has all parts of another one.
func (prt Parts) includes(other Parts) bool {
	for _, part := range other {
		if !prt.has(part) {
			return false
		}
	}
	return true
}

// intersect returns the parts that both sets have.
func (prt Parts) intersect(other Parts) Parts {
	var out Parts
	for _, part := range prt {
		if other.has(part) {
			out = append(out, part)
		}
	}
	return out
}

// without returns the parts that another set does not have.
func (prt Parts) without(other Parts) Parts {
	var out Parts
	for _, part := range prt {
		if !other.has(part) {
			out = append(out, part)
		}
	}
	return out
}

// sample returns the set, or maxListed parts of it if it has more. Which ones depends on the
// parts alone, and is unrelated to their order in prompts.
func (prt Parts) sample() Parts {
	if len(prt) <= maxListed {
		return prt
	}
	type hashed struct {
		part wick.PartID
		hash uint64
	}
	all := make([]hashed, len(prt))
	for idx, part := range prt {
		all[idx] = hashed{part, xxhash.Sum64String(string(part))}
	}
	slices.SortFunc(all, func(one, two hashed) int {
		return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.part, two.part))
	})
	out := make(Parts, maxListed)
	for idx := range out {
		out[idx] = all[idx].part
	}
	return out
}

// key returns a string that is equal for equal sets.
func (prt Parts) key() string {
	names := make([]string, len(prt))
	for idx, part := range prt {
		names[idx] = string(part)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
