package logs

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// A Sampler bounds how many lines of one kind are written a second, so that
// they leave room for others. Use NewSampler.
type Sampler struct {
	mu  sync.Mutex
	lim *rate.Limiter
	// leftOut counts the lines since the last one that was written.
	leftOut int
}

// NewSampler returns a Sampler that lets perSecond lines through, and twice as
// many at once.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{lim: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
}

// Allow reports whether a line may be written. If so, it returns how many were
// left out since the last one.
func (smp *Sampler) Allow(now time.Time) (ok bool, leftOut int) {
	smp.mu.Lock()
	defer smp.mu.Unlock()
	if !smp.lim.AllowN(now, 1) {
		smp.leftOut++
		metrics.GetOrRegisterCounter("logs.leftOut", nil).Inc(1)
		return false, 0
	}
	leftOut, smp.leftOut = smp.leftOut, 0
	return true, leftOut
}
