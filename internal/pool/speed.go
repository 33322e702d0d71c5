package pool

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// setPace sets the pace of the endpoint, and logs and counts when it begins or ceases to
// differ from that of the others.
func (end *endpoint) setPace(est pace.Estimate) {
	before := end.factor()
	end.pace = est
	if (before == 1) == (end.factor() == 1) {
		return
	}
	metrics.GetOrRegisterCounter("pool.speedChanges", nil).Inc(1)
	log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "factor": end.factor(), "stalls": est.Stalls}).Info(logs.MsgEndpointSpeed)
}

// SetPace sets the pace of an endpoint until its next estimate.
func (pl *Pool) SetPace(vid wick.VMID, est pace.Estimate) {
	pl.withEndpoint(vid, func(_ *group, end *endpoint) { end.setPace(est) })
}

// factor returns the time that the endpoint takes as a multiple of that of the median
// endpoint, 1 if it is unknown.
func (end *endpoint) factor() float64 {
	if end.pace.Factor <= 0 {
		return 1
	}
	return end.pace.Factor
}

// A Stream describes the events of a complete stream.
type Stream struct {
	// Events is the number of events, Took the time from the first to the last.
	Events int
	Took   time.Duration
	// Stalled is set if a gap between two events exceeded the target of the route.
	Stalled bool
}

// minPaceEvents is the least number of events of a stream from which a pace is sampled.
const minPaceEvents = 6

// Streamed records a stream of the assigned endpoint.
func (asg *Assignment) Streamed(stm Stream) {
	if stm.Events < minPaceEvents {
		return
	}
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	asg.end.sample.Add(stm.Took/time.Duration(stm.Events-1), stm.Stalled)
}

// TakePaces returns the samples of this entry's streams since the last call, and removes them.
func (pl *Pool) TakePaces() map[wick.VMID]pace.Sample {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.VMID]pace.Sample)
	for _, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.all {
			if end.sample.Count > 0 {
				out[end.bke.ID] = end.sample
				end.sample = pace.Sample{}
			}
		}
		grp.mu.Unlock()
	}
	return out
}

// AddPaces records samples of endpoints, and updates the paces of all endpoints if new estimates
// are due.
func (pl *Pool) AddPaces(samples map[wick.VMID]pace.Sample, now time.Time) {
	for vid, smp := range samples {
		pl.withEndpoint(vid, func(grp *group, _ *endpoint) { grp.tracker.Observe(vid, smp, now) })
	}
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	for _, grp := range pl.groups {
		grp.mu.Lock()
		for vid, est := range grp.tracker.Refresh(now) {
			if end := grp.eps[vid]; end != nil {
				end.setPace(est)
			}
		}
		grp.mu.Unlock()
	}
}
