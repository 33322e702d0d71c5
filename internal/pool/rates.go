package pool

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// WorkRate returns the estimated endpoint time that this entry's requests use at each
// service, in seconds per second.
func (pl *Pool) WorkRate(now time.Time) map[wick.Service]float64 {
	return pl.rates(func(grp *group) float64 {
		return grp.engine.Work(grp.modelRate.rate(now), grp.prefillRate.rate(now), grp.outputRate.rate(now))
	})
}

// RequestRate returns this entry's requests per second to each service.
func (pl *Pool) RequestRate(now time.Time) map[wick.Service]float64 {
	return pl.rates(func(grp *group) float64 { return grp.requestRate.rate(now) })
}

// Occupied returns the share of their slots that this entry's requests occupy,
// summed over the endpoints of each service.
func (pl *Pool) Occupied(now time.Time) map[wick.Service]float64 {
	return pl.rates(func(grp *group) float64 { return grp.occupiedRate.rate(now) })
}

// rates returns a rate of each service that is not 0.
func (pl *Pool) rates(rateOf func(grp *group) float64) map[wick.Service]float64 {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.Service]float64, len(pl.groups))
	for svc, grp := range pl.groups {
		grp.mu.Lock()
		if rate := rateOf(grp); rate > 0 {
			out[svc] = rate
		}
		grp.mu.Unlock()
	}
	return out
}
