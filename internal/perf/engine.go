// Package perf models how fast the engines of a service process requests, and
// learns the model from the times of answered requests. It does no I/O and
// receives the time as an argument.
package perf

import "github.com/wagtailwick/wagtailwick/pkg/wick"

// Assumptions about an engine until its answers have been observed.
const (
	// priorPrefillRate is in prompt tokens per millisecond.
	priorPrefillRate = 36.0
	// priorStepMillis is the duration of a step of a batch.
	priorStepMillis = 6.0
)

const (
	// requestMillis is the fixed engine time of a request.
	requestMillis = 8.0
	// sequenceShare is the fraction by which each sequence in a batch lengthens
	// its steps.
	sequenceShare = 0.027
	// delayedSteps is the number of steps of another request that a running one
	// lengthens on average.
	delayedSteps = 25
	// queuedTokens is the assumed prompt length of a queued request.
	queuedTokens wick.Tokens = 2160
)

// An Engine is the performance of the engines of a service. A rate that is 0 is
// unknown, and a prior applies.
type Engine struct {
	// PrefillRate is the number of prompt tokens processed per millisecond.
	PrefillRate float64 `json:"prefillRate,omitempty"`
	// StepMillis is the duration of a step, which generates one token of each
	// sequence in the batch, in milliseconds.
	StepMillis float64 `json:"stepMillis,omitempty"`
}

func (eng Engine) prefillRate() float64 {
	if eng.PrefillRate <= 0 {
		return priorPrefillRate
	}
	return eng.PrefillRate
}

// decodeMillis returns the time that one generated token adds to its batch.
func (eng Engine) decodeMillis() float64 {
	if eng.StepMillis <= 0 {
		return sequenceShare * priorStepMillis
	}
	return sequenceShare * eng.StepMillis
}

// PrefillMillis returns the time to process prompt tokens, in milliseconds.
func (eng Engine) PrefillMillis(tokens wick.Tokens) float64 {
	return float64(tokens) / eng.prefillRate()
}

// Work returns the engine time of a number of requests with their prompt tokens to
// process and tokens to generate, in seconds. The time that the requests of a batch
// share is excluded.
func (eng Engine) Work(requests, prefill, output float64) float64 {
	return (requests*requestMillis + prefill/eng.prefillRate() + eng.decodeMillis()*output) / 1000
}

// Known reports whether the prefill rate has been observed.
func (eng Engine) Known() bool { return eng.PrefillRate > 0 }

// RunningMillis returns the delay that running requests cause for another one, in
// milliseconds.
func (eng Engine) RunningMillis(running float64) float64 {
	return delayedSteps * eng.decodeMillis() * running
}

// DecodeMillis returns the time in which a run in a batch generates a number of tokens, in
// milliseconds.
func (eng Engine) DecodeMillis(tokens, batch float64) float64 {
	step := eng.StepMillis
	if step <= 0 {
		step = priorStepMillis
	}
	return step * (1 + sequenceShare*batch) * tokens
}

// WaitingMillis returns the time until queued requests have been admitted, in
// milliseconds.
func (eng Engine) WaitingMillis(waiting int) float64 {
	return eng.PrefillMillis(queuedTokens) * float64(waiting)
}
