package route

import (
	"sync"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxBlocks bounds the indexed part of a prompt, 32 KiB of text.
	maxBlocks = 128
	// maxHolders bounds the endpoints that are remembered for a block.
	maxHolders = 4
	// defaultPrefixBlocks bounds the blocks in the index.
	defaultPrefixBlocks = 1 << 17
	prefixShards        = 16
)

// holders are endpoints that probably cache a block, the newest first.
type holders [maxHolders]*endpoint

func (hol *holders) add(ep *endpoint) {
	pos := maxHolders - 1
	for idx, held := range hol {
		if held == ep || held == nil {
			pos = idx
			break
		}
	}
	copy(hol[1:pos+1], hol[:pos])
	hol[0] = ep
}

func (hol *holders) remove(ep *endpoint) {
	for idx, held := range hol {
		if held == ep {
			copy(hol[idx:], hol[idx+1:])
			hol[maxHolders-1] = nil
			return
		}
	}
}

func (hol *holders) has(ep *endpoint) bool {
	for _, held := range hol {
		if held == ep {
			return true
		}
	}
	return false
}

// A prefixShard holds two generations of blocks. When the young one is full it
// becomes the old one, and blocks that nobody asked for since are dropped.
type prefixShard struct {
	mu         sync.Mutex
	young, old map[uint64]holders
}

// A prefixIndex guesses which endpoints cache a prefix. It is bounded, and it
// may be wrong in both directions.
type prefixIndex struct {
	shards [prefixShards]prefixShard
	// half is the bound of one generation of one shard.
	half int
}

func newPrefixIndex(blocks int) *prefixIndex {
	return &prefixIndex{half: max(blocks/prefixShards/2, 1)}
}

// get returns the holders of a block and keeps the block in the index.
func (pix *prefixIndex) get(hash uint64) (holders, bool) {
	shd := &pix.shards[hash%prefixShards]
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if hol, ok := shd.young[hash]; ok {
		return hol, true
	}
	hol, ok := shd.old[hash]
	if ok {
		pix.put(shd, hash, hol)
	}
	return hol, ok
}

// put stores holders in the young generation. The caller holds the lock.
func (pix *prefixIndex) put(shd *prefixShard, hash uint64, hol holders) {
	if _, ok := shd.young[hash]; !ok && len(shd.young) >= pix.half {
		shd.old, shd.young = shd.young, nil
	}
	if shd.young == nil {
		shd.young = make(map[uint64]holders)
	}
	shd.young[hash] = hol
}

// set adds or removes an endpoint as holder of a block.
func (pix *prefixIndex) set(hash uint64, ep *endpoint, stored bool) {
	shd := &pix.shards[hash%prefixShards]
	shd.mu.Lock()
	defer shd.mu.Unlock()
	hol, ok := shd.young[hash]
	if !ok {
		hol, ok = shd.old[hash]
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
		delete(shd.young, hash)
		delete(shd.old, hash)
		return
	}
	pix.put(shd, hash, hol)
}

// A hit is the deepest known block of a prompt at some endpoints.
type hit struct {
	holders holders
	blocks  int
}

// find returns known prefixes of a prompt, the deepest last. A prefix of a
// cached block is cached as well, so that a binary search finds the deepest
// with few lookups.
func (pix *prefixIndex) find(hashes []uint64, dst []hit) []hit {
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

// hitTokens converts blocks to tokens of a prompt.
func hitTokens(query *wick.RouteQuery, blocks int) wick.Tokens {
	if len(query.Input) == 0 {
		return 0
	}
	share := float64(blocks*wick.PrefixBlockBytes) / float64(len(query.Input))
	return wick.Tokens(share * float64(query.InputTokens))
}
