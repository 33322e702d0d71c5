// Package retry bounds the extra load that retries and hedges put on
// endpoints: a retry budget proportional to successes, jittered exponential
// backoff, and hedging of idempotent calls.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Defaults of a Budget. The ratio bounds the total load to 1.1 times that of first
// attempts; the capacity allows retries at low traffic.
const (
	defaultRatio    = 0.1
	defaultCapacity = 20
)

// A Budget is a token bucket that successes refill and retries drain. Its zero
// value uses the defaults and starts full.
type Budget struct {
	// Ratio is the number of retries allowed per success; 0 means the default.
	Ratio float64
	// Capacity is the capacity of the bucket; 0 means the default.
	Capacity float64

	mu sync.Mutex
	// spent is the capacity less the tokens in the bucket. It is at least 0 and
	// at most the capacity.
	spent float64
}

func (bud *Budget) ratio() float64 {
	if bud.Ratio > 0 {
		return bud.Ratio
	}
	return defaultRatio
}

func (bud *Budget) capacity() float64 {
	if bud.Capacity > 0 {
		return bud.Capacity
	}
	return defaultCapacity
}

// SetCapacity changes the capacity of the bucket, which must be positive. Tokens
// that were spent stay spent.
func (bud *Budget) SetCapacity(num float64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.Capacity = num
	bud.spent = min(bud.spent, num)
}

// Success refills the bucket for one successful call.
func (bud *Budget) Success() {
	metrics.GetOrRegisterCounter("retry.successes", nil).Inc(1)
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.spent = max(0, bud.spent-bud.ratio())
}

// Available returns the number of tokens in the bucket.
func (bud *Budget) Available() float64 {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return max(bud.capacity()-bud.spent, 0)
}

// Take spends one token on a retry and reports whether there was one.
func (bud *Budget) Take() bool {
	bud.mu.Lock()
	ok := bud.spent+1 <= bud.capacity()
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

// Backoff returns the delay before the given retry, counted from 0: an exponential
// backoff that doubles from base up to limit, of which the upper half is jitter.
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

// Sleep waits for the duration or until ctx is done, and reports whether the full
// duration has passed.
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
// slow. Its zero value is disabled.
type Hedge struct {
	// After is the delay before the second attempt; 0 disables hedging.
	After time.Duration
	// Budget is charged for the second attempt. It must not be nil if After is
	// set.
	Budget *Budget
}

// Do runs call, and runs it again after the delay if the budget allows. The first
// attempt to succeed cancels the context of the other one; if all fail, the last
// error is returned. Do passes each attempt its number, 0 or 1, and returns that of
// the attempt whose result it returns. It does not wait for a cancelled attempt.
// Only idempotent calls may be hedged.
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
