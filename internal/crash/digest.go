package crash

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// digestBytes is the size of the digest of one prompt. With 1,300 parts it takes one other
	// part in 30,000 for one that it has.
	digestBytes = 8 << 10
	// mergedBytes is the size of the digest of several prompts. With 20,000 parts it takes one
	// other part in 200 for one that it has.
	mergedBytes = 32 << 10
	// digestHashes is the number of bits that represent a part.
	digestHashes = 4
)

// A Digest is a Bloom filter of parts: it stands for a set of any size in a message of a fixed
// size. It has each part that was added, and may seem to have a few others. It has digestBytes
// or mergedBytes bytes; one of another length has no parts.
type Digest []byte

// newDigest returns a digest of one prompt's parts.
func newDigest(prt Parts) Digest {
	dig := make(Digest, digestBytes)
	dig.add(prt)
	return dig
}

// isValid reports whether the digest has the length of one.
func (dig Digest) isValid() bool { return len(dig) == digestBytes || len(dig) == mergedBytes }

// add adds parts.
func (dig Digest) add(prt Parts) {
	for _, part := range prt {
		hash := hashPart(part)
		for num := range uint64(digestHashes) {
			bit := hash.bit(num, len(dig))
			dig[bit/8] |= 1 << (bit % 8)
		}
	}
}

// merge adds the parts of another digest, which is not longer. Each position in the shorter
// one is the remainder of that in the longer one.
func (dig Digest) merge(other Digest) {
	if !other.isValid() || len(other) > len(dig) {
		return
	}
	for idx := range dig {
		dig[idx] |= other[idx%len(other)]
	}
}

// has reports whether a part was added. It may be wrong in rare cases.
func (dig Digest) has(part wick.PartID) bool { return dig.hasHash(hashPart(part)) }

// hasHash is has for the hash of a part.
func (dig Digest) hasHash(hash partHash) bool {
	if !dig.isValid() {
		return false
	}
	for num := range uint64(digestHashes) {
		bit := hash.bit(num, len(dig))
		if dig[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// A partHash is the hash of a part.
type partHash uint64

func hashPart(part wick.PartID) partHash { return partHash(xxhash.Sum64String(string(part))) }

// bit returns the position of one of the bits that represent the part in a digest of a length
// in bytes.
func (hsh partHash) bit(num uint64, length int) uint64 {
	low, high := uint64(hsh)&0xffffffff, uint64(hsh)>>32
	return (low + num*(high|1)) % uint64(length*8) //nolint:gosec // is positive
}

// isFull reports whether so many parts were added that the digest seems to have any other one
// too often to be evidence.
func (dig Digest) isFull() bool {
	num := 0
	for _, octet := range dig {
		num += bits.OnesCount8(octet)
	}
	return num > len(dig)*8/2
}
