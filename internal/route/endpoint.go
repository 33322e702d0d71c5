package route

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxReportAge is the age up to which a load report counts as fresh. No
	// attempt is assigned to an endpoint without a fresh report, so that one
	// whose leaving goes unreported receives no work for longer than that
	// (invar.NoWorkToLeaving).
	maxReportAge = 3 * time.Second
	// defaultPrefillRate, in tokens per second, applies until an endpoint's
	// own rate is measured.
	defaultPrefillRate = 8000
	// defaultServiceTime is the time that a call occupies a slot. It applies
	// until an endpoint's own mean is measured.
	defaultServiceTime = 2 * time.Second
	// ewmaWeight is the weight of a new sample in exponentially weighted
	// moving averages.
	ewmaWeight = 0.1
	// maxCallsPerSlot bounds the running and queued calls at an endpoint.
	maxCallsPerSlot = 2
	// suspectThreshold and ejectThreshold count consecutive failures.
	suspectThreshold = 2
	ejectThreshold   = 5
	minEjection      = 5 * time.Second
	maxEjection      = time.Minute
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 3200 * time.Millisecond
)

// An endpoint is the table's record of one endpoint. All fields but vid and shd
// are guarded by the lock of shd.
type endpoint struct {
	vid   wick.VMID
	shd   *shard
	vm    wick.VM
	state State
	// evacuation is closed when running attempts must migrate to another
	// endpoint.
	evacuation chan struct{}
	// inFlight counts this entry's attempts that have not ended.
	inFlight int
	// inFlightAtReport is the value of inFlight when the last report arrived.
	inFlightAtReport int
	// unreportedPrefill counts prefill tokens of attempts that were assigned
	// since the last report and have not ended.
	unreportedPrefill wick.Tokens
	// reportCount counts the load reports that were applied.
	reportCount uint64
	report      wick.LoadReport
	// reportAt is the latest time that the last report can describe. It is
	// zero before the first report.
	reportAt time.Time
	// listed is false when the last VM list lacked the VM.
	listed bool
	// goneSince is when the endpoint entered StateGone.
	goneSince time.Time

	failures     int
	ejectedUntil time.Time
	ejections    int
	refusals     int
	backoffUntil time.Time

	// prefillRate is in tokens per second. serviceTime is the mean time that
	// a call occupies a slot.
	prefillRate float64
	serviceTime time.Duration
	// hitAccuracy is the share of predicted prefix-hit tokens that were
	// actual cache hits.
	hitAccuracy float64
	// cacheSeq is the sequence number of the last cache event.
	cacheSeq uint64
}

func newEndpoint(shd *shard, vm wick.VM) *endpoint {
	return &endpoint{
		vid: vm.ID, shd: shd, vm: vm, state: StateLive, evacuation: make(chan struct{}), listed: true,
		prefillRate: defaultPrefillRate, serviceTime: defaultServiceTime, hitAccuracy: 1,
	}
}

// hasFreshReport reports whether the last report is at most maxReportAge old.
func (ep *endpoint) hasFreshReport(now time.Time) bool {
	return !ep.reportAt.IsZero() && now.Sub(ep.reportAt) <= maxReportAge
}

// usable reports whether a new attempt may be assigned to the endpoint.
func (ep *endpoint) usable(now time.Time) bool {
	switch ep.state {
	case StateLive:
	case StateSuspect:
		// After an ejection a single attempt at a time probes the endpoint.
		if ep.ejections > 0 && ep.inFlight > 0 {
			return false
		}
	default:
		return false
	}
	if !ep.hasFreshReport(now) || now.Before(ep.backoffUntil) {
		return false
	}
	return ep.report.Slots <= 0 || ep.load() < ep.report.Slots*maxCallsPerSlot
}

// load estimates the running and queued calls at the endpoint: the last report,
// corrected by the change of this entry's in-flight attempts since.
func (ep *endpoint) load() int {
	return max(ep.inFlight, ep.report.Running+ep.report.Waiting+ep.inFlight-ep.inFlightAtReport)
}

// wait predicts the queueing delay until a new call's prefill starts.
func (ep *endpoint) wait() time.Duration {
	tokens := float64(ep.report.PrefillTokens + ep.unreportedPrefill)
	wait := time.Duration(tokens / ep.prefillRate * float64(time.Second))
	if slots := ep.report.Slots; slots > 0 {
		if excess := ep.load() + 1 - slots; excess > 0 {
			wait += time.Duration(excess) * ep.serviceTime / time.Duration(slots)
		}
	}
	return wait
}

// prefillTime predicts the prefill time of a prompt with an expected prefix hit.
func (ep *endpoint) prefillTime(input, hit wick.Tokens) time.Duration {
	tokens := float64(input) - float64(hit)*ep.hitAccuracy
	return time.Duration(max(tokens, 0) / ep.prefillRate * float64(time.Second))
}

func ewma(old, sample, weight float64) float64 { return old + weight*(sample-old) }

// updateEstimates updates the moving averages from a complete answer.
func (ep *endpoint) updateEstimates(out wick.Outcome, serviceTime, predictedWait time.Duration, hit wick.Tokens) {
	ep.serviceTime = time.Duration(ewma(float64(ep.serviceTime), float64(serviceTime), ewmaWeight))
	uncached := out.PromptTokens - out.CachedTokens
	if prefillTime := out.FirstToken - predictedWait; uncached >= 64 && prefillTime > time.Millisecond {
		rate := float64(uncached) / prefillTime.Seconds()
		// Clamp the sample: a wrong prediction of the wait makes it an outlier.
		rate = min(max(rate, ep.prefillRate/4), ep.prefillRate*4)
		ep.prefillRate = max(ewma(ep.prefillRate, rate, ewmaWeight), 1)
	}
	if hit > 0 && out.PromptTokens > 0 {
		ep.hitAccuracy = ewma(ep.hitAccuracy, min(1, float64(out.CachedTokens)/float64(hit)), ewmaWeight)
	}
}

// signalEvacuation closes the evacuation channel if it is open.
func (ep *endpoint) signalEvacuation() {
	select {
	case <-ep.evacuation:
	default:
		close(ep.evacuation)
	}
}
