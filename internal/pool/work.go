package pool

import (
	"math"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// rateTimeConstant is the time constant of the decay of a meter.
const rateTimeConstant = 5 * time.Second

// A meter measures a rate by an exponentially decaying sum.
type meter struct {
	// sum is the decayed sum as of updatedAt.
	sum       float64
	updatedAt time.Time
}

func (mtr *meter) add(val float64, now time.Time) {
	mtr.sum = mtr.decayed(now) + val
	mtr.updatedAt = now
}

func (mtr *meter) decayed(now time.Time) float64 {
	if mtr.updatedAt.IsZero() {
		return 0
	}
	return mtr.sum * math.Exp(-now.Sub(mtr.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// rate returns the rate per second.
func (mtr *meter) rate(now time.Time) float64 { return mtr.decayed(now) / rateTimeConstant.Seconds() }

const (
	midLoadRatio  = 0.5
	highLoadRatio = 0.9
)

// loadBand classifies the load of an endpoint by this entry's requests in flight
// and the last load report.
func loadBand(end *endpoint) wick.LoadBand {
	slots := float64(max(end.bke.Slots, 1))
	load := float64(max(end.inFlight, end.report.Load.Running)) / slots
	switch {
	case load < midLoadRatio:
		return wick.BandLow
	case load < highLoadRatio:
		return wick.BandMid
	default:
		return wick.BandHigh
	}
}
