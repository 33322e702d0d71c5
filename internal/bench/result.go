package bench

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A result holds the metrics of one run.
type result struct {
	offered, answered, inTime, refused, failed, timedOut int
	prompt, cached, recomputed                           wick.Tokens
	hours, dollars                                       float64
	// first and between are the latencies of answered requests.
	first, between []time.Duration
	// perCustomer counts requests and answers within the latency targets.
	perCustomer map[wick.Customer]*[2]int
	rollout     *rollout
	// expected and actual are the sums of the estimated and the actual output of answers,
	// errs the sum of the logarithms of the factors between the two. Only work topics have
	// them.
	expected, actual, errs float64
}

func newResult() *result { return &result{perCustomer: make(map[wick.Customer]*[2]int)} }

// countOffered counts an offered request.
func (res *result) countOffered(jb *job) {
	res.offered++
	res.prompt += jb.inputTokens()
	if res.perCustomer[jb.customer] == nil {
		res.perCustomer[jb.customer] = new([2]int)
	}
	res.perCustomer[jb.customer][0]++
}

// countRefused counts a request rejected by admission.
func (res *result) countRefused(*job, error) { res.refused++ }

// countFinished counts the outcome of an admitted request.
func (res *result) countFinished(jb *job, out wick.Outcome) {
	wkl := jb.ent.sim.wkl
	switch {
	case out.Cancelled:
		res.timedOut++
		return
	case out.Err != nil && jb.tokens == 0:
		// No token was sent, so the caller receives a rejection.
		res.refused++
		return
	case out.Err != nil:
		res.failed++
		return
	}
	res.answered++
	first := jb.first.Sub(jb.began) + wkl.ClientDelay
	between := time.Duration(0)
	if jb.tokens > 1 {
		between = jb.last.Sub(jb.first) / time.Duration(jb.tokens-1)
		res.between = append(res.between, between)
	}
	res.first = append(res.first, first)
	if first <= wkl.FirstToken && between <= wkl.BetweenTokens {
		res.inTime++
		res.perCustomer[jb.customer][1]++
	}
}

// quantile returns a quantile in milliseconds, or NaN for an empty list.
func quantile(list []time.Duration, part float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return float64(list[int(part*float64(len(list)-1))]) / float64(time.Millisecond)
}

// Number formats of figures.
const (
	percent = "%.2f"
	whole   = "%.0f"
)

// A figure is one row of a result table.
type figure struct {
	name   string
	format string
	value  func(res *result) float64
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}

// figures are the rows of the tables without a rollout.
var figures = []figure{
	{"requests offered", whole, func(res *result) float64 { return float64(res.offered) }},
	{"answers in time, % of offered", percent, func(res *result) float64 { return 100 * ratio(float64(res.inTime), float64(res.offered)) }},
	{"least of a customer, %", percent, worstCustomer},
	{"refused, %", percent, func(res *result) float64 { return 100 * ratio(float64(res.refused), float64(res.offered)) }},
	{"cut at the deadline, %", percent, func(res *result) float64 { return 100 * ratio(float64(res.timedOut), float64(res.offered)) }},
	{"failed, %", "%.3f", func(res *result) float64 { return 100 * ratio(float64(res.failed), float64(res.offered)) }},
	{"VM hours / 1000 answers in time", "%.4f", func(res *result) float64 { return 1000 * ratio(res.hours, float64(res.inTime)) }},
	{"price / 1000 answers in time, $", "%.4f", func(res *result) float64 { return 1000 * ratio(res.dollars, float64(res.inTime)) }},
	{"tokens recomputed, % of prompts", percent, func(res *result) float64 { return 100 * ratio(float64(res.recomputed), float64(res.prompt)) }},
	{"first token p50, ms", whole, func(res *result) float64 { return quantile(res.first, 0.5) }},
	{"first token p95, ms", whole, func(res *result) float64 { return quantile(res.first, 0.95) }},
	{"first token p99, ms", whole, func(res *result) float64 { return quantile(res.first, 0.99) }},
	{"between tokens p50, ms", "%.1f", func(res *result) float64 { return quantile(res.between, 0.5) }},
	{"between tokens p95, ms", "%.1f", func(res *result) float64 { return quantile(res.between, 0.95) }},
	{"between tokens p99, ms", "%.1f", func(res *result) float64 { return quantile(res.between, 0.99) }},
}

// worstCustomer returns the lowest percentage of answers within the latency
// targets among customers.
func worstCustomer(res *result) float64 {
	lowest := math.Inf(1)
	for _, cnt := range res.perCustomer {
		lowest = min(lowest, 100*ratio(float64(cnt[1]), float64(cnt[0])))
	}
	return lowest
}

// meanStdDev returns the mean and the standard deviation over runs, ignoring
// NaN values.
func meanStdDev(list []float64) (mean, dev float64) {
	list = slices.DeleteFunc(list, math.IsNaN)
	for _, val := range list {
		mean += val / float64(len(list))
	}
	for _, val := range list {
		dev += (val - mean) * (val - mean)
	}
	return mean, math.Sqrt(dev / float64(max(len(list)-1, 1)))
}
