// Package pace estimates how fast each endpoint of a service generates events, relative to
// the others, and how often its streams stall, from the times of the events of streams. It
// does no I/O and receives the time as an argument.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// period is the time over which samples are accumulated. An estimate covers one to two
	// periods, so that a short slow phase of an endpoint doesn't determine its pace.
	period = 8 * time.Second
	// minSamples is the number of streams that an estimate needs, and minEndpoints the
	// number of estimates from which their median is meaningful.
	minSamples   = 4
	minEndpoints = 4
	// refreshInterval is the time between two estimates.
	refreshInterval = time.Second
	// An endpoint's pace differs from that of the others if the absolute logarithm of its
	// factor exceeds both minDifference and spreadFactor times the median of the endpoints'
	// absolute logarithms. Smaller differences are noise, since the prefill of other requests
	// lengthens the intervals at random. The difference ends below keepShare of that threshold.
	minDifference = 0.45
	spreadFactor  = 4.0
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
	// Stalls is the share of its streams with a gap above the target of their route, from 0
	// to 1.
	Stalls float64
}

// A Sample sums up streams of one endpoint. Its zero value has none.
type Sample struct {
	Count int `cbor:"1,keyasint"`
	// Least is the least of the streams' mean times between two events, in ms. The prefill of
	// other requests has delayed that stream the least.
	Least float64 `cbor:"2,keyasint"`
	// Stalled counts the streams with a gap above the target of their route.
	Stalled int `cbor:"3,keyasint,omitempty"`
}

// Add adds a stream with its mean time between two events.
func (smp *Sample) Add(interval time.Duration, stalled bool) {
	one := Sample{Count: 1, Least: float64(interval) / float64(time.Millisecond)}
	if stalled {
		one.Stalled = 1
	}
	smp.Merge(one)
}

// Merge adds the streams of another sample.
func (smp *Sample) Merge(oth Sample) {
	if smp.Count == 0 || oth.Count > 0 && oth.Least < smp.Least {
		smp.Least = oth.Least
	}
	smp.Count += oth.Count
	smp.Stalled += oth.Stalled
}

// valid reports whether a sample that another entry has sent is plausible.
func (smp *Sample) valid() bool {
	return smp.Count > 0 && smp.Least > 0 && !math.IsInf(smp.Least, 0) && smp.Stalled >= 0 && smp.Stalled <= smp.Count
}

// An endpoint is the record of one endpoint.
type endpoint struct {
	// current sums up the streams since startedAt, previous those of the period before.
	current, previous Sample
	startedAt         time.Time
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
	if !smp.valid() {
		return
	}
	if trk.ends == nil {
		trk.ends = make(map[wick.VMID]*endpoint)
	}
	end := trk.ends[vid]
	if end == nil {
		end = &endpoint{startedAt: now}
		trk.ends[vid] = end
	}
	end.rotate(now)
	end.current.Merge(smp)
}

// Forget removes the samples of an endpoint that has ended or restarted.
func (trk *Tracker) Forget(vid wick.VMID) { delete(trk.ends, vid) }

// rotate begins a new period if the current one is over.
func (end *endpoint) rotate(now time.Time) {
	passed := now.Sub(end.startedAt)
	if passed < period {
		return
	}
	end.previous, end.current, end.startedAt = end.current, Sample{}, now
	if passed >= 2*period {
		end.previous = Sample{}
	}
}

// sample returns the sum of both periods, and false if it has too few streams.
func (end *endpoint) sample() (Sample, bool) {
	sum := end.previous
	sum.Merge(end.current)
	return sum, sum.Count >= minSamples
}

// Refresh returns the estimates of all endpoints if they are due, else nil.
func (trk *Tracker) Refresh(now time.Time) map[wick.VMID]Estimate {
	if now.Sub(trk.refreshedAt) < refreshInterval {
		return nil
	}
	trk.refreshedAt = now
	paces := make([]float64, 0, len(trk.ends))
	for _, end := range trk.ends {
		end.rotate(now)
		if smp, ok := end.sample(); ok {
			paces = append(paces, math.Log(smp.Least))
		}
	}
	enough := len(paces) >= minEndpoints
	med := median(paces)
	for idx, val := range paces {
		paces[idx] = math.Abs(val - med)
	}
	least := max(minDifference, spreadFactor*median(paces))
	out := make(map[wick.VMID]Estimate, len(trk.ends))
	for vid, end := range trk.ends {
		if enough {
			out[vid] = end.estimate(med, least)
		}
	}
	return out
}

// estimate returns the estimate of an endpoint by the median of all and the least
// difference that counts.
func (end *endpoint) estimate(med, least float64) Estimate {
	smp, ok := end.sample()
	if !ok {
		return Estimate{}
	}
	if end.differs {
		least *= keepShare
	}
	est := Estimate{Factor: 1, Stalls: float64(smp.Stalled) / float64(smp.Count)}
	diff := math.Log(smp.Least) - med
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
