package wick

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of the blocks by which prompt prefixes are
// identified in cache events.
const PrefixBlockBytes = 512

// AppendPrefixHashes appends the hashes of the first whole blocks of input, at
// most limit of them. Each hash covers the input from its start to the end of
// its block.
func AppendPrefixHashes(dst []uint64, input string, limit int) []uint64 {
	dig := xxhash.New()
	for num := 0; num < limit && len(input) >= PrefixBlockBytes; num++ {
		// A Digest's WriteString never fails.
		_, _ = dig.WriteString(input[:PrefixBlockBytes])
		input = input[PrefixBlockBytes:]
		dst = append(dst, dig.Sum64())
	}
	return dst
}
