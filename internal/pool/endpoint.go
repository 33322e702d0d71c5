package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/recent"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// minEjection is the ejection period of an endpoint that can't be reached
	// or whose answer is lost. It doubles with each consecutive failure of
	// this kind, up to maxEjection.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// refusalBackoff is the backoff from an endpoint that refused a request
	// because it is full.
	refusalBackoff = 150 * time.Millisecond
	// ewmaWeight is the weight of one answer in the exponentially weighted
	// moving average of failures.
	ewmaWeight = 0.1
	// maxCachedParts bounds the prompt parts that are tracked per endpoint.
	maxCachedParts = 4096
)

// A Report is a load report of an endpoint.
type Report struct {
	// At is when the report was read.
	At   time.Time
	Load wick.BackendLoad
	// MemoryShort is set if little of the endpoint's memory is free: FreeMemory tokens.
	MemoryShort bool
	FreeMemory  wick.Tokens
}

// An endpoint is the record of one endpoint. It is guarded by the group's lock.
type endpoint struct {
	bke wick.Backend
	// hash is the endpoint's position on the ring.
	hash uint64
	// removed is set once the endpoint is no longer in the group's lists.
	removed bool
	// graceUntil is set while the endpoint is not listed after an outage of the
	// store. Until then it is chosen only as a last resort.
	graceUntil time.Time
	// goneUntil is until when the endpoint counts as removed from the registry,
	// although this entry has not read the removal yet.
	goneUntil time.Time
	// region is that of the endpoint's availability zone, "" if unknown. evacuated is set
	// while no requests may be sent to the zone's endpoints.
	region    wick.Region
	evacuated bool
	// leavesAt is when a leaving endpoint terminates, if known.
	leavesAt time.Time
	inFlight int
	// pendingPrefill estimates the tokens to prefill for requests in flight
	// whose answer has not begun.
	pendingPrefill wick.Tokens
	backlog        backlog
	sends          sends
	// failureRate is the moving average of failed answers, from 0 to 1.
	failureRate float64
	// consecutiveLosses counts consecutive requests without a complete answer.
	consecutiveLosses int
	// backoffUntil is the end of the endpoint's ejection or refusal backoff.
	backoffUntil time.Time
	report       Report
	// pace is the endpoint's estimated pace, and sample sums up this entry's streams that
	// were not passed on yet.
	pace   pace.Estimate
	sample pace.Sample
	limit  limiter
	cold   coldState
	// coldListed is the end of the cold time by the registry record, also if the service
	// has no policy yet.
	coldListed time.Time
	pause      pause
	// cachedParts holds the prompt parts that are probably cached.
	cachedParts recent.Parts
	// leaving is closed when the endpoint leaves, is removed or is replaced.
	leaving  chan struct{}
	notified bool
}

func newEndpoint(bke wick.Backend) *endpoint {
	return &endpoint{bke: bke, hash: xxhash.Sum64String(string(bke.ID)), cachedParts: recent.Parts{Limit: maxCachedParts}, leaving: make(chan struct{}), pause: newPause(time.Time{})}
}

func (end *endpoint) notifyLeaving() {
	if !end.notified {
		end.notified = true
		close(end.leaving)
	}
}

// An availability ranks endpoints for selection: those of a lower rank are
// chosen only when none of a higher rank matches.
type availability int

const (
	unavailable availability = iota // never chosen
	availableInGrace
	availableInBackoff
	available
)

func (end *endpoint) availability(now time.Time) availability {
	switch {
	case end.bke.Leaving, end.evacuated, now.Before(end.goneUntil), end.pause.active(now):
		return unavailable
	case !end.graceUntil.IsZero() && now.After(end.graceUntil):
		return unavailable
	case !end.graceUntil.IsZero():
		return availableInGrace
	case now.Before(end.backoffUntil), end.pause.ramping(now):
		return availableInBackoff
	default:
		return available
	}
}

// cachedTokens returns the number of leading tokens of the prompt that the
// endpoint has probably cached.
func (end *endpoint) cachedTokens(parts []wick.PromptPart) wick.Tokens {
	var sum wick.Tokens
	for _, part := range parts {
		if _, ok := end.cachedParts.At(part.ID); !ok {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// recordPrompt marks the shared parts of a prompt as cached at the endpoint.
func (end *endpoint) recordPrompt(parts []wick.PromptPart, now time.Time) {
	for idx := 0; idx+1 < len(parts); idx++ {
		end.cachedParts.Put(parts[idx].ID, now)
	}
}

// A Result is the result of a request at an endpoint.
type Result int

// Results of a request.
const (
	// ResultAnswered is a complete answer.
	ResultAnswered Result = iota
	// ResultFailed is a complete answer that reports a failure.
	ResultFailed
	// ResultRefused is an explicit refusal.
	ResultRefused
	// ResultIncomplete is a missing or truncated answer.
	ResultIncomplete
	// ResultUnreachable is a failed connection.
	ResultUnreachable
	// ResultCancelled is a cancellation by the caller or the entry.
	ResultCancelled
	// ResultStalled is a cancellation after the endpoint had made no progress for
	// long.
	ResultStalled
)

// recordResult updates the endpoint's failure rate and backoff after a request.
func (end *endpoint) recordResult(res Result, now time.Time) {
	switch res {
	case ResultAnswered:
		end.consecutiveLosses = 0
		end.failureRate *= 1 - ewmaWeight
	case ResultStalled:
		end.failureRate += ewmaWeight * (1 - end.failureRate)
	case ResultFailed:
		end.consecutiveLosses = 0
		end.failureRate += ewmaWeight * (1 - end.failureRate)
	case ResultRefused:
		end.backoffUntil = later(end.backoffUntil, now.Add(refusalBackoff))
	case ResultIncomplete, ResultUnreachable:
		backoff := min(minEjection<<min(end.consecutiveLosses, 8), maxEjection)
		end.consecutiveLosses++
		end.failureRate += ewmaWeight * (1 - end.failureRate)
		end.backoffUntil = later(end.backoffUntil, now.Add(backoff))
	case ResultCancelled:
	}
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
