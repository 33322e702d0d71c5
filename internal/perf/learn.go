package perf

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// window is the number of latest samples that an estimate is based on.
	window = 96
	// minSamples is the number of samples that an estimate needs.
	minSamples = 24
	// minPairs is the number of pairs of samples of different length that an
	// estimate from their slopes needs.
	minPairs = 96
	// minTokenSpread is the least difference in prompt tokens of two samples that
	// are compared: closer ones differ by queueing more than by their length.
	minTokenSpread wick.Tokens = 400
	// refreshInterval is the time between two estimates.
	refreshInterval = 500 * time.Millisecond
	// minOutput is the least number of generated tokens of a sample of the step
	// duration: the first event, with which the time begins, has some of them.
	minOutput wick.Tokens = 64
	// stepQuantile is the quantile of the observed time per token that is taken
	// for the duration of a step: prompts of other requests lengthen the rest.
	stepQuantile = 0.25
)

// Bounds of plausible estimates. An estimate outside them is ignored.
const (
	minPrefillRate = 1.0
	maxPrefillRate = 2000.0
	minStepMillis  = 0.2
	maxStepMillis  = 200.0
)

// A Start is the observed start of an answer.
type Start struct {
	// Prefill is the number of prompt tokens that the engine had to process.
	Prefill wick.Tokens
	// Took is the time from the dispatch to the first token.
	Took time.Duration
}

// A Learner estimates the performance of an engine from the latest answers. The
// prefill rate is a Theil-Sen estimate, the median of the slopes between pairs of
// samples, which a minority of slow or wrongly described answers does not move.
// Its zero value is ready to use. It is not safe for concurrent use.
type Learner struct {
	starts []Start
	steps  []float64
	// nextStart and nextStep are the positions of the oldest samples once the
	// windows are full.
	nextStart, nextStep int
	engine              Engine
	refreshedAt         time.Time
}

// AddStart records the start of an answer.
func (lrn *Learner) AddStart(smp Start) {
	if len(lrn.starts) < window {
		lrn.starts = append(lrn.starts, smp)
		return
	}
	lrn.starts[lrn.nextStart] = smp
	lrn.nextStart = (lrn.nextStart + 1) % window
}

// AddTokens records how long an answer took from its first to its last token.
func (lrn *Learner) AddTokens(output wick.Tokens, took time.Duration) {
	if output < minOutput {
		return
	}
	step := float64(took) / float64(time.Millisecond) / float64(output)
	if len(lrn.steps) < window {
		lrn.steps = append(lrn.steps, step)
		return
	}
	lrn.steps[lrn.nextStep] = step
	lrn.nextStep = (lrn.nextStep + 1) % window
}

// Engine returns the current estimate. Rates without enough samples are 0.
func (lrn *Learner) Engine(now time.Time) Engine {
	if now.Sub(lrn.refreshedAt) < refreshInterval {
		return lrn.engine
	}
	lrn.refreshedAt = now
	if rate := lrn.prefillRate(); rate >= minPrefillRate && rate <= maxPrefillRate {
		lrn.engine.PrefillRate = rate
	}
	if len(lrn.steps) >= minSamples {
		if step := quantile(slices.Clone(lrn.steps), stepQuantile); step >= minStepMillis && step <= maxStepMillis {
			lrn.engine.StepMillis = step
		}
	}
	return lrn.engine
}

// prefillRate returns the Theil-Sen estimate of the prefill rate, or 0 if the
// samples are too few or too similar.
func (lrn *Learner) prefillRate() float64 {
	var slopes []float64
	for idx, one := range lrn.starts {
		for _, two := range lrn.starts[idx+1:] {
			spread := one.Prefill - two.Prefill
			if max(spread, -spread) < minTokenSpread {
				continue
			}
			slopes = append(slopes, float64(one.Took-two.Took)/float64(time.Millisecond)/float64(spread))
		}
	}
	if len(slopes) < minPairs {
		return lrn.meanRate()
	}
	slope := quantile(slopes, 0.5)
	if slope <= 0 {
		return 0
	}
	return 1 / slope
}

// meanRate returns the median rate of prompts of similar length. It is less than
// the prefill rate, since it includes the fixed time of a request.
func (lrn *Learner) meanRate() float64 {
	if len(lrn.starts) < minSamples {
		return 0
	}
	rates := make([]float64, 0, len(lrn.starts))
	for _, smp := range lrn.starts {
		if smp.Took > 0 {
			rates = append(rates, float64(smp.Prefill)*float64(time.Millisecond)/float64(smp.Took))
		}
	}
	return quantile(rates, 0.5)
}

// Median returns the medians of the known rates of several estimates, which a
// minority of them does not move.
func Median(engs []Engine) Engine {
	var rates, steps []float64
	for _, eng := range engs {
		if eng.PrefillRate > 0 {
			rates = append(rates, eng.PrefillRate)
		}
		if eng.StepMillis > 0 {
			steps = append(steps, eng.StepMillis)
		}
	}
	return Engine{PrefillRate: quantile(rates, 0.5), StepMillis: quantile(steps, 0.5)}
}

// quantile sorts vals and returns a quantile of them, or 0 if there are none.
func quantile(vals []float64, share float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[min(int(share*float64(len(vals))), len(vals)-1)]
}
