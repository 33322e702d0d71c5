package pool

import (
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// ejectBase is how long an endpoint is set aside after it can't be reached
	// or loses an answer; it doubles with each further failure in a row.
	ejectBase  = 400 * time.Millisecond
	ejectLimit = 5 * time.Second
	// refusalPause is how long an endpoint that refused a request as full is
	// avoided.
	refusalPause = 150 * time.Millisecond
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.1
	// maxParts bounds the prompt parts that are remembered for an endpoint.
	maxParts = 4096
)

// A Report is an endpoint's own account of its load.
type Report struct {
	// At is when the report was read.
	At   time.Time
	Load wick.BackendLoad
}

// An endpoint is the state of one endpoint. The group's lock guards it.
type endpoint struct {
	bke wick.Backend
	// missingUntil is set while the endpoint is missing from the list after an
	// outage; it serves as a last resort until then.
	missingUntil time.Time
	// leavesAt is when a leaving endpoint ends, if known.
	leavesAt time.Time
	inFlight int
	// prefill counts prompt tokens that were sent and whose request has not
	// begun to answer.
	prefill wick.Tokens
	// failures is the smoothed share of failed answers.
	failures float64
	// lost counts the requests in a row without an answer.
	lost int
	// avoidUntil is set while the endpoint is set aside.
	avoidUntil time.Time
	report     Report
	// parts holds when a cached prompt part was last used.
	parts map[string]time.Time
	// leaving is closed when the endpoint leaves or is removed.
	leaving  chan struct{}
	notified bool
}

func newEndpoint(bke wick.Backend) *endpoint {
	return &endpoint{bke: bke, parts: make(map[string]time.Time), leaving: make(chan struct{})}
}

func (end *endpoint) notifyLeaving() {
	if !end.notified {
		end.notified = true
		close(end.leaving)
	}
}

// A standing orders endpoints by whether they may be chosen.
type standing int

const (
	standsOut standing = iota // takes no requests
	standsMissing
	standsAvoided
	standsReady
)

func (end *endpoint) standing(now time.Time) standing {
	switch {
	case end.bke.Leaving:
		return standsOut
	case !end.missingUntil.IsZero() && now.After(end.missingUntil):
		return standsOut
	case !end.missingUntil.IsZero():
		return standsMissing
	case now.Before(end.avoidUntil):
		return standsAvoided
	default:
		return standsReady
	}
}

// cached returns how many leading tokens of the prompt the endpoint probably
// keeps.
func (end *endpoint) cached(parts []wick.PromptPart) wick.Tokens {
	var sum wick.Tokens
	for _, part := range parts {
		if _, ok := end.parts[part.ID]; !ok {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// remember notes that the endpoint has read the shared parts of a prompt.
func (end *endpoint) remember(parts []wick.PromptPart, now time.Time) {
	if len(end.parts) > maxParts {
		end.parts = make(map[string]time.Time)
	}
	for idx := 0; idx+1 < len(parts); idx++ {
		end.parts[parts[idx].ID] = now
	}
}

// A Fate is what became of a request at an endpoint.
type Fate int

// Fates.
const (
	// FateAnswered is a complete answer.
	FateAnswered Fate = iota
	// FateFailed is a complete answer that reports a failure.
	FateFailed
	// FateRefused is an explicit refusal.
	FateRefused
	// FateLost is no answer, or one that was cut off.
	FateLost
	// FateUnreached is no connection.
	FateUnreached
	// FateCancelled was ended by the caller or the entry.
	FateCancelled
)

// settle updates the endpoint's record after a request.
func (end *endpoint) settle(fate Fate, now time.Time) {
	switch fate {
	case FateAnswered:
		end.lost = 0
		end.failures *= 1 - failureWeight
	case FateFailed:
		end.lost = 0
		end.failures += failureWeight * (1 - end.failures)
	case FateRefused:
		end.avoidUntil = later(end.avoidUntil, now.Add(refusalPause))
	case FateLost, FateUnreached:
		pause := min(ejectBase<<min(end.lost, 8), ejectLimit)
		end.lost++
		end.failures += failureWeight * (1 - end.failures)
		end.avoidUntil = later(end.avoidUntil, now.Add(pause))
	case FateCancelled:
	}
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
