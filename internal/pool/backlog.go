package pool

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// minWorkFactor and maxWorkFactor bound the work of the requests in flight at an endpoint
// relative to that of as many average ones, whatever was learned.
const (
	minWorkFactor = 0.25
	maxWorkFactor = 4.0
)

// A backlog is the learned work that is left of this entry's requests in flight.
type backlog struct {
	// known is the number of requests whose work is known, work the sum of what is left.
	known int
	work  float64
}

// A job is the share of one request in the backlogs of its endpoint and group.
type job struct {
	// known is set if the work of the request has been learned, and left is what is left of it.
	est   cost.Estimate
	known bool
	left  float64
}

// addWork adds a request to the backlogs if its work has been learned. The group's lock must
// be held, as for all functions of this file but Generated.
func (asg *Assignment) addWork(est cost.Estimate) {
	if est.Samples == 0 {
		return
	}
	asg.job = job{est: est, known: true}
	asg.end.backlog.known++
	asg.grp.backlog.known++
	asg.setLeft(est.Output)
}

// setLeft sets the work that is left of the request.
func (asg *Assignment) setLeft(left float64) {
	diff := left - asg.job.left
	asg.job.left = left
	asg.end.backlog.work += diff
	asg.grp.backlog.work += diff
}

// removeWork removes the request from the backlogs.
func (asg *Assignment) removeWork() {
	if !asg.job.known {
		return
	}
	asg.setLeft(0)
	asg.job.known = false
	asg.end.backlog.known--
	asg.grp.backlog.known--
}

// Generated records the number of tokens of the answer that have been generated so far.
func (asg *Assignment) Generated(tokens float64) {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	if asg.job.known {
		asg.run.output = wick.Tokens(tokens)
		asg.setLeft(asg.job.est.Remaining(tokens))
	}
}

// weigh returns a number of requests in flight at an endpoint, with those of known work
// counted by what is left of it relative to the average of the service.
func (grp *group) weigh(end *endpoint, inFlight float64) float64 {
	if end.backlog.known == 0 || grp.backlog.work <= 0 {
		return inFlight
	}
	known := float64(end.backlog.known)
	factor := end.backlog.work / known * float64(grp.backlog.known) / grp.backlog.work
	return inFlight + known*(min(max(factor, minWorkFactor), maxWorkFactor)-1)
}

// slotMillis returns the time until an endpoint has a slot for one more request behind those that
// run or wait there: the work that is left of an average one, for each slot that must become
// free. It returns 0 while there are free slots, or the work is not known.
func (grp *group) slotMillis(end *endpoint, requests float64, slots int) float64 {
	missing := requests + 1 - float64(slots)
	if slots <= 0 || missing <= 0 || grp.backlog.known == 0 {
		return 0
	}
	left := grp.backlog.work / float64(grp.backlog.known) * grp.weigh(end, requests) / max(requests, 1)
	return missing / float64(slots) * grp.engine.DecodeMillis(left, float64(slots))
}

// countPick counts choices of an endpoint without a free slot or without free memory, which are
// made if all others cost more.
func (grp *group) countPick(end *endpoint, que *Query, preferred [2]*endpoint, zone wick.Zone) {
	if !que.Model {
		return
	}
	ctm := grp.cost(end, que, preferred, zone)
	if ctm.full {
		metrics.GetOrRegisterCounter("pool.picksWithoutSlot", nil).Inc(1)
	}
	if ctm.memory > 0 {
		metrics.GetOrRegisterCounter("pool.picksWithoutMemory", nil).Inc(1)
	}
}

// sends are this entry's requests to an endpoint since its last report.
type sends struct {
	// report numbers the reports.
	report int
	// count is the number of requests in flight, prefill their prompt tokens to process, and
	// memory the tokens that they need.
	count, prefill, memory float64
}

// A sent is the share of one request in its endpoint's sends. Its report is the one that was
// the latest when the request was sent; a later report includes the request.
type sent struct {
	report                 int
	count, prefill, memory float64
}

// addSend records a request that was sent.
func (asg *Assignment) addSend(que *Query) {
	snd := &asg.end.sends
	asg.sent = sent{snd.report, 1, float64(asg.prefill), que.memory()}
	snd.count++
	snd.prefill += asg.sent.prefill
	snd.memory += asg.sent.memory
}

// endSentPrefill removes the request's prefill from the sends.
func (asg *Assignment) endSentPrefill() {
	if snd := &asg.end.sends; asg.sent.report == snd.report {
		snd.prefill -= asg.sent.prefill
	}
	asg.sent.prefill = 0
}

// endSend records that the request has ended.
func (asg *Assignment) endSend() {
	asg.endSentPrefill()
	if snd := &asg.end.sends; asg.sent.report == snd.report {
		snd.count -= asg.sent.count
		snd.memory -= asg.sent.memory
	}
	asg.sent = sent{}
}

// herdFactor returns the expected number of requests that all entries have sent to an endpoint
// since its last report, for each one that this entry has sent. age is the age of the report and
// perSecond the mean rate of requests to an endpoint. The rate of a single endpoint is unknown
// and taken as gamma distributed with that mean and a shape of 1. The result is therefore lower
// than the inverse of this entry's share of the requests.
func (grp *group) herdFactor(age time.Duration, perSecond float64) float64 {
	const shape = 1.0
	mean := perSecond * age.Seconds()
	if mean <= 0 || grp.limitShare >= 1 {
		return 1
	}
	return 1 + (1-grp.limitShare)/(shape/mean+grp.limitShare)
}

// requestsPerEndpoint returns the requests per second that an endpoint of the service gets on
// average from all entries, by this entry's rate and share.
func (grp *group) requestsPerEndpoint(now time.Time) float64 {
	if grp.limitShare <= 0 || len(grp.all) == 0 {
		return 0
	}
	return grp.requestRate.rate(now) / grp.limitShare / float64(len(grp.all))
}
