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

// PrefixBlocks returns the hashes of the text's whole prefix blocks, as in
// CacheEvent.Hash. Each hash covers the text from its start to the block's end.
func PrefixBlocks(text string) []uint64 {
	out := make([]uint64, 0, len(text)/PrefixBlockBytes)
	dig := xxhash.New()
	for end := PrefixBlockBytes; end <= len(text); end += PrefixBlockBytes {
		// A digest's WriteString never fails.
		_, _ = dig.WriteString(text[end-PrefixBlockBytes : end])
		out = append(out, dig.Sum64())
	}
	return out
}
