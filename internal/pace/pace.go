// Package pace estimates how fast each endpoint of a service generates events, relative to
// the others, and how often its streams stall, from what entries see of their streams. It
// does no I/O and receives the time as an argument.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// memory is the time constant with which samples are forgotten. Endpoints are slow
	// for moments of less than a second without being slow on the whole.
	memory = 15 * time.Second
	// minSamples is the number of samples that an estimate needs, and minEndpoints the
	// number of estimates from which their median is meaningful.
	minSamples   = 16.0
	minEndpoints = 4
	// refreshInterval is the time between two estimates.
	refreshInterval = time.Second
	// minDifference is the least difference of the logarithm of a factor from 0, and
	// spreadFactor the least one as a multiple of the median difference of all endpoints.
	// Smaller differences are noise: prompts of other requests lengthen the intervals at
	// random. An endpoint that differs does so until its difference is below keepShare of
	// these.
	minDifference = 0.45
	spreadFactor  = 5.0
	keepShare     = 0.6
	// minFactor and maxFactor bound a factor.
	minFactor = 0.25
	maxFactor = 4.0
)

// An Estimate is the pace of one endpoint. The zero value is unknown.
type Estimate struct {
	// Factor is the time that the endpoint takes as a multiple of that of the median
	// endpoint; 1 if it does not differ by more than noise.
	Factor float64
	// Stalls is the share of its streams with a longer gap than they should have, from 0
	// to 1.
	Stalls float64
}

// A Sample sums up streams of one endpoint. Its zero value has none.
type Sample struct {
	Count int `cbor:"1,keyasint"`
	// LogSum is the sum of the logarithms of the mean times between two events, in ms.
	LogSum float64 `cbor:"2,keyasint"`
	// Stalled counts the streams with a longer gap than they should have.
	Stalled int `cbor:"3,keyasint,omitempty"`
}

// minInterval is the least time between two events that a sample counts. Events that were
// delivered together have none.
const minInterval = 100 * time.Microsecond

// Add adds a stream with its mean time between two events.
func (smp *Sample) Add(interval time.Duration, stalled bool) {
	smp.Count++
	smp.LogSum += math.Log(float64(max(interval, minInterval)) / float64(time.Millisecond))
	if stalled {
		smp.Stalled++
	}
}

// Merge adds the streams of another sample.
func (smp *Sample) Merge(oth Sample) {
	smp.Count += oth.Count
	smp.LogSum += oth.LogSum
	smp.Stalled += oth.Stalled
}

// An endpoint is the record of one endpoint. The sums decay.
type endpoint struct {
	at                     time.Time
	count, logSum, stalled float64
	// differs is set while the pace differs from that of the others.
	differs bool
}

// A Tracker estimates the pace of the endpoints of one service. Its zero value is ready to
// use. It is not safe for concurrent use.
type Tracker struct {
	ends        map[wick.VMID]*endpoint
	refreshedAt time.Time
}

// Observe adds a sample of an endpoint. Malformed ones are ignored.
func (trk *Tracker) Observe(vid wick.VMID, smp Sample, now time.Time) {
	if smp.Count <= 0 || smp.Stalled < 0 || smp.Stalled > smp.Count || math.IsNaN(smp.LogSum) || math.IsInf(smp.LogSum, 0) {
		return
	}
	if trk.ends == nil {
		trk.ends = make(map[wick.VMID]*endpoint)
	}
	end := trk.ends[vid]
	if end == nil {
		end = &endpoint{at: now}
		trk.ends[vid] = end
	}
	end.decay(now)
	end.count += float64(smp.Count)
	end.logSum += smp.LogSum
	end.stalled += float64(smp.Stalled)
}

// Forget forgets an endpoint, since it has ended or started again.
func (trk *Tracker) Forget(vid wick.VMID) { delete(trk.ends, vid) }

func (end *endpoint) decay(now time.Time) {
	if passed := now.Sub(end.at); passed > 0 {
		keep := math.Exp(-passed.Seconds() / memory.Seconds())
		end.count *= keep
		end.logSum *= keep
		end.stalled *= keep
		end.at = now
	}
}

// known reports whether enough streams of the endpoint were seen.
func (end *endpoint) known() bool { return end.count >= minSamples }

// mean returns the mean logarithm of the time between two events.
func (end *endpoint) mean() float64 { return end.logSum / end.count }

// Refresh returns the estimates of all endpoints if they are due, else nil.
func (trk *Tracker) Refresh(now time.Time) map[wick.VMID]Estimate {
	if now.Sub(trk.refreshedAt) < refreshInterval {
		return nil
	}
	trk.refreshedAt = now
	means := make([]float64, 0, len(trk.ends))
	for _, end := range trk.ends {
		end.decay(now)
		if end.known() {
			means = append(means, end.mean())
		}
	}
	enough := len(means) >= minEndpoints
	med := median(means)
	for idx, val := range means {
		means[idx] = math.Abs(val - med)
	}
	least := max(minDifference, spreadFactor*median(means))
	out := make(map[wick.VMID]Estimate, len(trk.ends))
	for vid, end := range trk.ends {
		out[vid] = end.estimate(med, least, enough)
	}
	return out
}

// estimate returns the estimate of an endpoint by the median of all and the least
// difference that counts.
func (end *endpoint) estimate(med, least float64, enough bool) Estimate {
	if !end.known() || !enough {
		return Estimate{}
	}
	if end.differs {
		least *= keepShare
	}
	est := Estimate{Factor: 1, Stalls: end.stalled / end.count}
	diff := end.mean() - med
	if end.differs = math.Abs(diff) > least; end.differs {
		est.Factor = min(max(math.Exp(diff), minFactor), maxFactor)
	}
	return est
}

// median returns the median of vals, which it sorts, or 0 if there are none.
func median(vals []float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}
