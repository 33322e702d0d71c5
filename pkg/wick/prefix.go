package wick

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of one block of the engines' prefix caches:
// 64 tokens at about 4 bytes each.
const PrefixBlockBytes = 256

// Input returns the whole prompt as one text. Engines hash it for their prefix
// caches, so routing must use the same text.
func (pro Prompt) Input() string {
	if len(pro.Messages) == 0 {
		return pro.Text
	}
	var bld strings.Builder
	for _, msg := range pro.Messages {
		bld.WriteString(msg.Role)
		bld.WriteString("\n")
		bld.WriteString(msg.Content)
		bld.WriteString("\n\n")
	}
	return bld.String()
}

// PrefixBlocks returns the hashes of all whole prefix blocks of the text.
func PrefixBlocks(text string) []uint64 {
	num := len(text) / PrefixBlockBytes
	return AppendPrefixHashes(make([]uint64, 0, num), text, num)
}

// AppendPrefixHashes appends the hashes of the first whole blocks of input, at
// most limit of them, as in CacheEvent.Hash. Each hash covers the input from
// its start to the end of its block.
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
