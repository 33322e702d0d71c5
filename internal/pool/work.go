package pool

import (
	"math"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// decodeMillis is the time that one generated token adds to a batch.
	decodeMillis = 0.16
	// requestMillis is the time that a request takes beside its tokens.
	requestMillis = 8.0
	// workWindow smooths the work of an entry.
	workWindow = 5 * time.Second
)

// workOf estimates the time that an endpoint spends on a request.
func workOf(prefill, output wick.Tokens) time.Duration {
	millis := requestMillis + float64(prefill)/prefillRate + decodeMillis*float64(output)
	return time.Duration(millis * float64(time.Millisecond))
}

// A meter is a rate that decays exponentially.
type meter struct {
	// sum is the decayed sum as of at.
	sum float64
	at  time.Time
}

func (mtr *meter) add(val float64, now time.Time) {
	mtr.sum = mtr.decayed(now) + val
	mtr.at = now
}

func (mtr *meter) decayed(now time.Time) float64 {
	if mtr.at.IsZero() {
		return 0
	}
	return mtr.sum * math.Exp(-now.Sub(mtr.at).Seconds()/workWindow.Seconds())
}

// rate returns the sum per second.
func (mtr *meter) rate(now time.Time) float64 { return mtr.decayed(now) / workWindow.Seconds() }

const (
	midLoad  = 0.5
	highLoad = 0.9
)

// bandOf classes the load of an endpoint as this entry sees it.
func bandOf(end *endpoint) wick.LoadBand {
	slots := float64(max(end.bke.Slots, 1))
	load := float64(max(end.inFlight, end.report.Load.Running)) / slots
	switch {
	case load < midLoad:
		return wick.BandLow
	case load < highLoad:
		return wick.BandMid
	default:
		return wick.BandHigh
	}
}
