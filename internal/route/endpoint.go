package route

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxReportAge is the bound of P6: nothing is sent to an endpoint whose
	// last report is older.
	maxReportAge = 3 * time.Second
	// defaultPrefillRate is used until an endpoint's own rate was measured,
	// in tokens a second.
	defaultPrefillRate = 8000
	// defaultHold is how long a call occupies a slot until it was measured.
	defaultHold = 2 * time.Second
	// rateWeight is the weight of a new sample in moving averages.
	rateWeight = 0.1
	// queueFactor bounds the work at an endpoint: slots times this factor.
	queueFactor = 2
	// suspectAfter and ejectAfter are consecutive failures.
	suspectAfter = 2
	ejectAfter   = 5
	firstEject   = 5 * time.Second
	longestEject = time.Minute
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 3200 * time.Millisecond
)

// An endpoint is one endpoint as the entry knows it. All fields but vid and shd
// are guarded by the lock of shd.
type endpoint struct {
	vid   wick.VMID
	shd   *shard
	vm    wick.VM
	state State
	// moving is closed when running work must leave.
	moving chan struct{}
	// own counts the entry's attempts that have not ended.
	own int
	// ownAtReport is own when the last report was asked for.
	ownAtReport int
	// ownTokens are prefill tokens of attempts that were sent since the last
	// report and have not ended.
	ownTokens wick.Tokens
	// reports counts load reports.
	reports uint64
	report  wick.LoadReport
	// reportAt is when the last report was true at the latest; zero if none
	// came.
	reportAt time.Time
	// listed is false when the last list did not show the VM.
	listed bool
	// goneSince is when the VM went to gone.
	goneSince time.Time

	failures     int
	ejectedUntil time.Time
	ejections    int
	refusals     int
	backoffUntil time.Time

	// prefillRate is in tokens a second, hold is the mean time in a slot.
	prefillRate float64
	hold        time.Duration
	// trust is the share of expected prefix hits that came true.
	trust float64
	// cacheSeq is the sequence number of the last cache event.
	cacheSeq uint64
}

func newEndpoint(shd *shard, vm wick.VM) *endpoint {
	return &endpoint{
		vid: vm.ID, shd: shd, vm: vm, state: StateLive, moving: make(chan struct{}), listed: true,
		prefillRate: defaultPrefillRate, hold: defaultHold, trust: 1,
	}
}

// fresh reports whether the last report is recent enough to send work.
func (ep *endpoint) fresh(now time.Time) bool {
	return !ep.reportAt.IsZero() && now.Sub(ep.reportAt) <= maxReportAge
}

// usable reports whether a new attempt may go to the endpoint.
func (ep *endpoint) usable(now time.Time) bool {
	switch ep.state {
	case StateLive:
	case StateSuspect:
		// One trial at a time shows whether the endpoint works again.
		if ep.ejections > 0 && ep.own > 0 {
			return false
		}
	default:
		return false
	}
	if !ep.fresh(now) || now.Before(ep.backoffUntil) {
		return false
	}
	return ep.report.Slots <= 0 || ep.load() < ep.report.Slots*queueFactor
}

// load estimates the calls at the endpoint: the last report, corrected by what
// the entry sent and finished since.
func (ep *endpoint) load() int {
	return max(ep.own, ep.report.Running+ep.report.Waiting+ep.own-ep.ownAtReport)
}

// wait predicts the time until a new call's prefill starts.
func (ep *endpoint) wait() time.Duration {
	tokens := float64(ep.report.PrefillTokens + ep.ownTokens)
	wait := time.Duration(tokens / ep.prefillRate * float64(time.Second))
	if slots := ep.report.Slots; slots > 0 {
		if over := ep.load() + 1 - slots; over > 0 {
			wait += time.Duration(over) * ep.hold / time.Duration(slots)
		}
	}
	return wait
}

// prefill predicts the prefill time of a prompt with an expected prefix hit.
func (ep *endpoint) prefill(input, hit wick.Tokens) time.Duration {
	tokens := float64(input) - float64(hit)*ep.trust
	return time.Duration(max(tokens, 0) / ep.prefillRate * float64(time.Second))
}

func average(old, sample, weight float64) float64 { return old + weight*(sample-old) }

// learn updates averages from a complete answer.
func (ep *endpoint) learn(out wick.Outcome, hold, predictedWait time.Duration, hit wick.Tokens) {
	ep.hold = time.Duration(average(float64(ep.hold), float64(hold), rateWeight))
	fresh := out.PromptTokens - out.CachedTokens
	if spent := out.FirstToken - predictedWait; fresh >= 64 && spent > time.Millisecond {
		rate := float64(fresh) / spent.Seconds()
		// A prediction that was off must not throw the rate far away.
		rate = min(max(rate, ep.prefillRate/4), ep.prefillRate*4)
		ep.prefillRate = max(average(ep.prefillRate, rate, rateWeight), 1)
	}
	if hit > 0 && out.PromptTokens > 0 {
		ep.trust = average(ep.trust, min(1, float64(out.CachedTokens)/float64(hit)), rateWeight)
	}
}

// closeMoving tells running work to leave.
func (ep *endpoint) closeMoving() {
	select {
	case <-ep.moving:
	default:
		close(ep.moving)
	}
}
