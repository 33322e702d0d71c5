// Package retry bounds the extra load that retries and hedges put on
// endpoints: a retry budget as a share of successes, jittered backoff, and
// hedging of idempotent calls.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Defaults of a Budget. A tenth bounds the load of retries to 1.1 times the
// load of first attempts; the reserve lets a quiet entry retry at all.
const (
	defaultShare   = 0.1
	defaultReserve = 20
)

// A Budget is a token bucket that successes fill and retries drain. Its zero
// value uses the defaults and starts full.
type Budget struct {
	// Share is the number of retries allowed per success; 0 is the default.
	Share float64
	// Reserve is the capacity of the bucket; 0 is the default.
	Reserve float64

	mu sync.Mutex
	// spent is how far the bucket is below its capacity, from 0 to Reserve.
	spent float64
}

func (bud *Budget) share() float64 {
	if bud.Share > 0 {
		return bud.Share
	}
	return defaultShare
}

func (bud *Budget) reserve() float64 {
	if bud.Reserve > 0 {
		return bud.Reserve
	}
	return defaultReserve
}

// SetReserve changes the capacity, in retries; it must be positive. What was
// spent stays spent.
func (bud *Budget) SetReserve(num float64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.Reserve = num
	bud.spent = min(bud.spent, num)
}

// Success adds the share of one success to the bucket.
func (bud *Budget) Success() {
	metrics.GetOrRegisterCounter("retry.successes", nil).Inc(1)
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.spent = max(0, bud.spent-bud.share())
}

// Left returns the retries that may be made at once.
func (bud *Budget) Left() float64 {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return max(bud.reserve()-bud.spent, 0)
}

// Take removes one retry from the bucket and reports whether there was one.
func (bud *Budget) Take() bool {
	bud.mu.Lock()
	ok := bud.spent+1 <= bud.reserve()
	if ok {
		bud.spent++
	}
	bud.mu.Unlock()
	if !ok {
		metrics.GetOrRegisterCounter("retry.refused", nil).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("retry.extra", nil).Inc(1)
	return true
}

// Amplification returns attempts divided by first attempts that succeeded, as
// counted in the metrics. It is 1 without retries.
func Amplification() float64 {
	first := metrics.GetOrRegisterCounter("retry.successes", nil).Count()
	extra := metrics.GetOrRegisterCounter("retry.extra", nil).Count()
	if first == 0 {
		return 1
	}
	return 1 + float64(extra)/float64(first)
}

// Backoff returns the delay before the given retry, counted from 0: full
// jitter over a base that doubles up to the limit.
func Backoff(retry int, base, limit time.Duration) time.Duration {
	for range min(retry, 30) {
		base *= 2
		if base >= limit {
			base = limit
			break
		}
	}
	return base/2 + rand.N(base/2+1) //nolint:gosec // jitter needs no cryptographic randomness
}

// Sleep waits for the duration or the end of ctx and reports whether ctx still
// holds.
func Sleep(ctx context.Context, dur time.Duration) bool {
	tim := time.NewTimer(dur)
	defer tim.Stop()
	select {
	case <-tim.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// A Hedge starts a second attempt of an idempotent call when the first one is
// slow. Its zero value is off.
type Hedge struct {
	// After is the delay of the second attempt; 0 is off.
	After time.Duration
	// Budget pays for the second attempt. It must not be nil if After is set.
	Budget *Budget
}

// Do runs call, and once more after the delay if the budget allows. The first
// nil error wins and ends the context of the other attempt; otherwise the last
// error is returned. Each call gets its number, 0 or 1, and Do waits for
// neither loser. Only idempotent calls may be hedged.
func (hed Hedge) Do(ctx context.Context, call func(ctx context.Context, num int) error) (int, error) {
	if hed.After <= 0 {
		return 0, call(ctx, 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		num int
		err error
	}
	results := make(chan result, 2)
	start := func(num int) { go func() { results <- result{num, call(ctx, num)} }() }
	start(0)
	running := 1
	tim := time.NewTimer(hed.After)
	defer tim.Stop()
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil || running == 0 {
				return res.num, res.err
			}
		case <-tim.C:
			if hed.Budget.Take() {
				metrics.GetOrRegisterCounter("retry.hedges", nil).Inc(1)
				start(1)
				running++
			}
		}
	}
}
