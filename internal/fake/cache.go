package fake

import (
	"container/list"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultCacheBlocks = 4096
	// maxCacheEvents bounds the event log; a reader that falls further behind
	// sees a gap in the sequence numbers.
	maxCacheEvents = 8192
	// maxEventsReply is the maximum number of events in one reply.
	maxEventsReply = 1000
)

// A prefixCache is a bounded LRU cache of prefix blocks. It is not safe for
// concurrent use.
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

// match returns the length in blocks of the longest cached prefix. The hash of
// a block covers all blocks before it, so one imported block represents its
// whole prefix.
func (pch *prefixCache) match(blocks []uint64) int {
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		if elm, ok := pch.items[blocks[idx]]; ok {
			pch.order.MoveToFront(elm)
			return idx + 1
		}
	}
	return 0
}

// store adds blocks and evicts the least recently used ones. omit reports for
// each event whether to leave it out of the log.
func (pch *prefixCache) store(blocks []uint64, omit func() bool) {
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
		pch.record(hash, true, omit)
		for len(pch.items) > limit {
			elm := pch.order.Back()
			evicted, ok := pch.order.Remove(elm).(uint64)
			if !ok {
				continue
			}
			delete(pch.items, evicted)
			pch.record(evicted, false, omit)
		}
	}
}

func (pch *prefixCache) record(hash uint64, stored bool, omit func() bool) {
	pch.seq++
	if omit() {
		return
	}
	pch.log = append(pch.log, loggedEvent{wick.CacheEvent{Seq: pch.seq, Hash: hash, Stored: stored}, time.Now()})
	if len(pch.log) > 2*maxCacheEvents {
		pch.log = append([]loggedEvent(nil), pch.log[len(pch.log)-maxCacheEvents:]...)
	}
}

// events returns the events after sequence number after whose age is at least
// lag.
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
