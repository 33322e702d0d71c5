package fake

import (
	"container/list"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultCacheBlocks = 4096
	// maxCacheEvents bounds the events kept for late readers; a reader that
	// falls further behind sees a gap.
	maxCacheEvents = 8192
	// maxEventsReply bounds the events of one reply.
	maxEventsReply = 1000
)

// A prefixCache is a bounded cache of prefix blocks that drops the block that
// was unused for longest. The caller synchronizes.
type prefixCache struct {
	max   int
	order list.List
	items map[uint64]*list.Element
	seq   uint64
	log   []loggedEvent
}

type loggedEvent struct {
	evt wick.CacheEvent
	at  time.Time
}

// match returns how many of the blocks, from the start, are covered by the
// longest cached prefix. A block's hash covers everything before it, so that
// one imported block stands for its whole prefix.
func (pch *prefixCache) match(blocks []uint64) int {
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		if elm, ok := pch.items[blocks[idx]]; ok {
			pch.order.MoveToFront(elm)
			return idx + 1
		}
	}
	return 0
}

// store adds blocks and drops old ones. lost decides for each event whether
// it is left out of the log.
func (pch *prefixCache) store(blocks []uint64, lost func() bool) {
	if pch.items == nil {
		pch.items = make(map[uint64]*list.Element)
	}
	limit := pch.max
	if limit == 0 {
		limit = defaultCacheBlocks
	}
	for _, hash := range blocks {
		if elm, ok := pch.items[hash]; ok {
			pch.order.MoveToFront(elm)
			continue
		}
		pch.items[hash] = pch.order.PushFront(hash)
		pch.note(hash, true, lost)
		for len(pch.items) > limit {
			elm := pch.order.Back()
			old, ok := pch.order.Remove(elm).(uint64)
			if !ok {
				continue
			}
			delete(pch.items, old)
			pch.note(old, false, lost)
		}
	}
}

func (pch *prefixCache) note(hash uint64, stored bool, lost func() bool) {
	pch.seq++
	if lost() {
		return
	}
	pch.log = append(pch.log, loggedEvent{wick.CacheEvent{Seq: pch.seq, Hash: hash, Stored: stored}, time.Now()})
	if len(pch.log) > 2*maxCacheEvents {
		pch.log = append([]loggedEvent(nil), pch.log[len(pch.log)-maxCacheEvents:]...)
	}
}

// events returns the events after seq that are at least lag old.
func (pch *prefixCache) events(after uint64, lag time.Duration) []wick.CacheEvent {
	var out []wick.CacheEvent
	now := time.Now()
	for _, log := range pch.log {
		if log.evt.Seq > after && now.Sub(log.at) >= lag && len(out) < maxEventsReply {
			out = append(out, log.evt)
		}
	}
	return out
}
