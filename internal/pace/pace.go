// Package pace estimates how fast each endpoint of a service generates events, relative to
// the others, and how often the runs there stall. It compares the progress of the runs in
// successive load reports. It does no I/O and receives the time as an argument.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// memory is the time constant with which observations are forgotten. Endpoints are
	// slow for moments of less than a second without being slow on the whole.
	memory = 8 * time.Second
	// minObserved is the time of runs that an estimate needs, in run-seconds.
	minObserved = 8.0
	// minEndpoints is the number of estimates from which their median is meaningful.
	minEndpoints = 4
	// maxReportGap is the time between two reports above which the runs are not compared.
	maxReportGap = 4 * time.Second
	// runShare is the fraction by which each run in a batch lengthens the steps of the
	// others. Intervals are compared as if each endpoint had one run.
	runShare = 0.027
	// minDifference is the least difference of the logarithm of a factor from 0, and
	// spreadFactor the least one as a multiple of the median difference of all endpoints.
	// Smaller differences are noise: prompts of other requests lengthen the intervals at
	// random.
	minDifference = 0.34
	spreadFactor  = 2.5
	// minFactor and maxFactor bound a factor, whatever an endpoint reports.
	minFactor = 0.25
	maxFactor = 4.0
)

// An Estimate is the pace of one endpoint.
type Estimate struct {
	// Factor is the time that the endpoint takes as a multiple of that of the median
	// endpoint; 1 if it does not differ by more than noise.
	Factor float64
	// Stalls is the share of the time for which its runs make no progress for longer than
	// they should, from 0 to 1.
	Stalls float64
}

// A run is the progress of a run in the last report.
type run struct {
	events int
	// progressAt is when events last rose.
	progressAt time.Time
}

// An endpoint is the record of one incarnation of an endpoint. The sums decay.
type endpoint struct {
	born int64
	at   time.Time
	runs map[wick.RequestID]run
	// events is the number of events generated, seconds the time of the runs that
	// generated them, stalled the part of it that was too long without progress, and
	// batch the sum of seconds times the number of runs.
	events, seconds, stalled, batch float64
}

// A Tracker estimates the pace of the endpoints of one service. Its zero value is ready to
// use. It is not safe for concurrent use.
type Tracker struct {
	ends map[wick.VMID]*endpoint
}

// Observe records a report of an endpoint. gap is the time without progress from which a
// run counts as stalled, 0 for none.
func (trk *Tracker) Observe(bke *wick.Backend, runs []wick.BackendRun, gap time.Duration, at time.Time) {
	if trk.ends == nil {
		trk.ends = make(map[wick.VMID]*endpoint)
	}
	end := trk.ends[bke.ID]
	if end == nil || end.born != bke.Born {
		end = &endpoint{born: bke.Born}
		trk.ends[bke.ID] = end
	}
	passed := at.Sub(end.at)
	compare := !end.at.IsZero() && passed > 0 && passed < maxReportGap
	if compare {
		end.decay(passed)
	}
	next := make(map[wick.RequestID]run, len(runs))
	for _, rep := range runs {
		old, ok := end.runs[rep.ID]
		now := run{events: rep.Events, progressAt: at}
		if ok && rep.Events == old.events {
			now.progressAt = old.progressAt
		}
		next[rep.ID] = now
		// Before its first event a run is in prefill or queued.
		if compare && ok && old.events > 0 && rep.Events >= old.events {
			end.add(rep.Events-old.events, passed.Seconds(), len(runs), gap > 0 && at.Sub(now.progressAt) > gap)
		}
	}
	end.runs, end.at = next, at
}

func (end *endpoint) decay(passed time.Duration) {
	keep := math.Exp(-passed.Seconds() / memory.Seconds())
	end.events *= keep
	end.seconds *= keep
	end.stalled *= keep
	end.batch *= keep
}

func (end *endpoint) add(events int, seconds float64, running int, stalled bool) {
	end.events += float64(events)
	end.seconds += seconds
	end.batch += seconds * float64(running)
	if stalled {
		end.stalled += seconds
	}
}

// interval returns the mean time between two events of a run, as if it ran alone, in
// seconds. It returns 0 if too little was observed.
func (end *endpoint) interval() float64 {
	if end.seconds < minObserved || end.events <= 0 {
		return 0
	}
	return end.seconds / end.events / (1 + runShare*(end.batch/end.seconds))
}

// Forget removes the endpoints that were not observed for a time.
func (trk *Tracker) Forget(age time.Duration, now time.Time) {
	for vid, end := range trk.ends {
		if now.Sub(end.at) > age {
			delete(trk.ends, vid)
		}
	}
}

// AddEstimates adds the endpoints whose pace is known and differs from that of the others,
// or whose runs stall.
func (trk *Tracker) AddEstimates(out map[wick.VMID]Estimate) {
	intervals := make([]float64, 0, len(trk.ends))
	for _, end := range trk.ends {
		if val := end.interval(); val > 0 {
			intervals = append(intervals, val)
		}
	}
	med := median(intervals)
	for idx, val := range intervals {
		intervals[idx] = math.Abs(math.Log(val / med))
	}
	least := max(minDifference, spreadFactor*median(intervals))
	for vid, end := range trk.ends {
		est := Estimate{Factor: 1}
		if val := end.interval(); val > 0 && len(intervals) >= minEndpoints && math.Abs(math.Log(val/med)) > least {
			est.Factor = min(max(val/med, minFactor), maxFactor)
		}
		if end.seconds >= minObserved {
			est.Stalls = end.stalled / end.seconds
		}
		if est != (Estimate{Factor: 1}) {
			out[vid] = est
		}
	}
}

// median returns the median of vals, which it sorts, or 0 if there are none.
func median(vals []float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}
