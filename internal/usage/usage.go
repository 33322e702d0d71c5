// Package usage counts the requests of each customer in fixed time windows, and
// reports the sums over all entries once per window.
package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// retainedWindows is the number of past windows whose counts are retained.
const retainedWindows = 6

// A Tally counts the requests of one entry.
type Tally struct {
	// Window is the length of one window. It must be set before the first call.
	Window time.Duration

	mu     sync.Mutex
	counts map[uint64]map[wick.Customer]int
}

// WindowOf returns the number of the window that contains a time.
func WindowOf(at time.Time, window time.Duration) uint64 {
	return uint64(at.UnixMilli()) / uint64(window.Milliseconds()) //nolint:gosec // positive after 1970
}

// EndOf returns when a window ends.
func EndOf(num uint64, window time.Duration) time.Time {
	return time.UnixMilli(int64(num+1) * window.Milliseconds()) //nolint:gosec // far below the limit
}

// countDelay is the longest delay between the start of a request and its count:
// a request with a non-streaming response is counted when the response arrives.
const countDelay = 1600 * time.Millisecond

// FinalThrough returns the last window whose counts are final, 0 if window is not
// positive.
func FinalThrough(now time.Time, window time.Duration) uint64 {
	if window <= 0 {
		return 0
	}
	return WindowOf(now.Add(-countDelay), window) - 1
}

// CountStarted counts a request in the window of its start time.
func (tal *Tally) CountStarted(cus wick.Customer, at time.Time) {
	num := WindowOf(at, tal.Window)
	tal.mu.Lock()
	defer tal.mu.Unlock()
	if tal.counts == nil {
		tal.counts = make(map[uint64]map[wick.Customer]int)
	}
	if tal.counts[num] == nil {
		tal.counts[num] = make(map[wick.Customer]int)
		for old := range tal.counts {
			if old+retainedWindows < num {
				delete(tal.counts, old)
			}
		}
	}
	tal.counts[num][cus]++
}

// Restore adds the counts that an earlier process of this entry published. It
// must be called only once.
func (tal *Tally) Restore(old map[uint64]map[wick.Customer]int) {
	tal.mu.Lock()
	defer tal.mu.Unlock()
	if tal.counts == nil {
		tal.counts = make(map[uint64]map[wick.Customer]int)
	}
	for num, counts := range old {
		if tal.counts[num] == nil {
			tal.counts[num] = make(map[wick.Customer]int)
		}
		for cus, cnt := range counts {
			tal.counts[num][cus] += cnt
		}
	}
}

// Counts returns a copy of the counts by window and customer.
func (tal *Tally) Counts() map[uint64]map[wick.Customer]int {
	tal.mu.Lock()
	defer tal.mu.Unlock()
	out := make(map[uint64]map[wick.Customer]int, len(tal.counts))
	for num, cnt := range tal.counts {
		out[num] = maps.Clone(cnt)
	}
	return out
}
