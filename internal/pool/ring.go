package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringWindow is the number of endpoints after a key's position among which it is
// assigned by rendezvous hashing. It evens out the distances on the ring.
const ringWindow = 32

// A ringPoint is the position of an endpoint.
type ringPoint struct {
	hash uint64
	end  *endpoint
}

// A ring assigns keys to endpoints by consistent hashing. Entries with the same
// endpoints compute the same assignment, and an endpoint that joins or leaves moves
// only keys near it. The points are in ascending order of hash, then id. The zero
// value is empty.
type ring []ringPoint

func comparePoints(one, two ringPoint) int {
	return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.end.bke.ID, two.end.bke.ID))
}

// with returns the ring with an endpoint added. It may use the same memory.
func (rng ring) with(end *endpoint) ring {
	pnt := ringPoint{end.hash, end}
	idx, _ := slices.BinarySearchFunc(rng, pnt, comparePoints)
	return slices.Insert(rng, idx, pnt)
}

// without returns the ring without an endpoint. It may use the same memory.
func (rng ring) without(end *endpoint) ring {
	idx, ok := slices.BinarySearchFunc(rng, ringPoint{end.hash, end}, comparePoints)
	if !ok {
		return rng
	}
	return slices.Delete(rng, idx, idx+1)
}

// preferred returns the first and the second endpoint for a key among those that
// allowed accepts. Either is nil if there are too few.
func (rng ring) preferred(key string, allowed func(end *endpoint) bool) [2]*endpoint {
	var out [2]*endpoint
	var weights [2]uint64
	hash := xxhash.Sum64String(key)
	at, _ := slices.BinarySearchFunc(rng, hash, func(pnt ringPoint, hash uint64) int { return cmp.Compare(pnt.hash, hash) })
	for step, seen := 0, 0; step < len(rng) && seen < ringWindow; step++ {
		end := rng[(at+step)%len(rng)].end
		if !allowed(end) {
			continue
		}
		seen++
		wgt := mix(hash ^ end.hash)
		switch {
		case out[0] == nil || wgt > weights[0]:
			out[1], weights[1] = out[0], weights[0]
			out[0], weights[0] = end, wgt
		case out[1] == nil || wgt > weights[1]:
			out[1], weights[1] = end, wgt
		}
	}
	return out
}

// mix returns a well distributed hash of a number (the finalizer of SplitMix64).
func mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	return val ^ val>>31
}
