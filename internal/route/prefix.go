package route

import (
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxBlocks bounds the indexed part of a prompt, 32 KiB of text.
	maxBlocks = 128
	// maxHolders bounds the endpoints that are indexed for a block.
	maxHolders = 4
	// defaultPrefixBlocks bounds the blocks in the index.
	defaultPrefixBlocks = 1 << 17
	prefixShards        = 16
)

// holders are endpoints that probably cache a block, the most recent first.
type holders [maxHolders]*endpoint

func (hol *holders) add(ep *endpoint) {
	pos := maxHolders - 1
	for idx, holder := range hol {
		if holder == ep || holder == nil {
			pos = idx
			break
		}
	}
	copy(hol[1:pos+1], hol[:pos])
	hol[0] = ep
}

func (hol *holders) remove(ep *endpoint) {
	for idx, holder := range hol {
		if holder == ep {
			copy(hol[idx:], hol[idx+1:])
			hol[maxHolders-1] = nil
			return
		}
	}
}

func (hol *holders) has(ep *endpoint) bool {
	for _, holder := range hol {
		if holder == ep {
			return true
		}
	}
	return false
}

// A prefixShard approximates an LRU cache of blocks by two generations. When the
// current generation is full it replaces the previous one, which drops blocks
// that were not accessed in the meantime.
type prefixShard struct {
	mu                sync.Mutex
	current, previous map[uint64]holders
}

// A prefixIndex estimates which endpoints cache a prefix. Its size is bounded,
// and it may have both false positives and false negatives.
type prefixIndex struct {
	shards [prefixShards]prefixShard
	// generationCap bounds the blocks in one generation of one shard.
	generationCap int
}

func newPrefixIndex(blocks int) *prefixIndex {
	return &prefixIndex{generationCap: max(blocks/prefixShards/2, 1)}
}

// get returns the holders of a block and moves the block to the current
// generation.
func (pix *prefixIndex) get(hash uint64) (holders, bool) {
	shd := &pix.shards[hash%prefixShards]
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if hol, ok := shd.current[hash]; ok {
		return hol, true
	}
	hol, ok := shd.previous[hash]
	if ok {
		pix.put(shd, hash, hol)
	}
	return hol, ok
}

// put stores holders in the current generation. The caller holds the shard's
// lock.
func (pix *prefixIndex) put(shd *prefixShard, hash uint64, hol holders) {
	if _, ok := shd.current[hash]; !ok && len(shd.current) >= pix.generationCap {
		shd.previous, shd.current = shd.current, nil
	}
	if shd.current == nil {
		shd.current = make(map[uint64]holders)
	}
	shd.current[hash] = hol
}

// set adds an endpoint as holder of a block if stored is true, and removes it
// otherwise.
func (pix *prefixIndex) set(hash uint64, ep *endpoint, stored bool) {
	shd := &pix.shards[hash%prefixShards]
	shd.mu.Lock()
	defer shd.mu.Unlock()
	hol, ok := shd.current[hash]
	if !ok {
		hol, ok = shd.previous[hash]
	}
	switch {
	case stored:
		hol.add(ep)
	case ok:
		hol.remove(ep)
	default:
		return
	}
	if hol == (holders{}) {
		delete(shd.current, hash)
		delete(shd.previous, hash)
		return
	}
	pix.put(shd, hash, hol)
}

// A hit is an indexed prefix of a prompt: its length in blocks and the endpoints
// that probably cache it.
type hit struct {
	holders holders
	blocks  int
}

// lookup appends indexed prefixes of a prompt to dst, the longest last. A binary
// search finds the longest with few accesses, because every prefix of a cached
// prefix is cached as well.
func (pix *prefixIndex) lookup(hashes []uint64, dst []hit) []hit {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high + 1) / 2
		hol, ok := pix.get(hashes[mid-1])
		if !ok || hol[0] == nil {
			high = mid - 1
			continue
		}
		dst = append(dst, hit{holders: hol, blocks: mid})
		low = mid
	}
	return dst
}

// hitTokens converts a number of blocks to tokens of the query's prompt.
func hitTokens(query *wick.RouteQuery, blocks int) wick.Tokens {
	if len(query.Input) == 0 {
		return 0
	}
	share := float64(blocks*wick.PrefixBlockBytes) / float64(len(query.Input))
	return wick.Tokens(share * float64(query.InputTokens))
}
