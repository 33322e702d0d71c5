package logs

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// A Sampler limits the rate of log lines of one kind, so that they don't crowd
// out others. Use NewSampler.
type Sampler struct {
	mu  sync.Mutex
	lim *rate.Limiter
	// suppressed counts the lines suppressed since the last one that was allowed.
	suppressed int
}

// NewSampler returns a Sampler that allows perSecond lines per second with
// bursts of twice as many.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{lim: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
}

// Allow reports whether a line may be written. If so, it returns how many were
// suppressed since the last one.
func (smp *Sampler) Allow(now time.Time) (ok bool, suppressed int) {
	smp.mu.Lock()
	defer smp.mu.Unlock()
	if !smp.lim.AllowN(now, 1) {
		smp.suppressed++
		metrics.GetOrRegisterCounter("logs.leftOut", nil).Inc(1)
		return false, 0
	}
	suppressed, smp.suppressed = smp.suppressed, 0
	return true, suppressed
}
