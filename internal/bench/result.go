package bench

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A result is what one run gave.
type result struct {
	offered, answered, inTime, refused, failed, cut int
	prompt, cached, recomputed                      wick.Tokens
	hours, dollars                                  float64
	// first and between hold the times of answered requests.
	first, between []time.Duration
	// perCustomer counts requests and answers in time.
	perCustomer map[wick.Customer]*[2]int
	rollout     *rollout
}

func newResult() *result { return &result{perCustomer: make(map[wick.Customer]*[2]int)} }

// offer counts a request.
func (res *result) offer(jb *job) {
	res.offered++
	res.prompt += jb.inputTokens()
	if res.perCustomer[jb.customer] == nil {
		res.perCustomer[jb.customer] = new([2]int)
	}
	res.perCustomer[jb.customer][0]++
}

// refuse counts a request that was refused by admission.
func (res *result) refuse(*job, error) { res.refused++ }

// finish counts the end of a request that was admitted.
func (res *result) finish(jb *job, out wick.Outcome) {
	wkl := jb.ent.wld.wkl
	switch {
	case out.Cancelled:
		res.cut++
		return
	case out.Err != nil && jb.tokens == 0:
		// Nothing was sent, so that the caller gets a refusal.
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

// quantile returns a quantile in milliseconds.
func quantile(list []time.Duration, part float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return float64(list[int(part*float64(len(list)-1))]) / float64(time.Millisecond)
}

// Formats of figures.
const (
	percent = "%.2f"
	whole   = "%.0f"
)

// A figure is one line of a table.
type figure struct {
	name   string
	format string
	of     func(res *result) float64
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}

// figures are the lines of the tables for routing and admission.
var figures = []figure{
	{"requests offered", whole, func(res *result) float64 { return float64(res.offered) }},
	{"answers in time, % of offered", percent, func(res *result) float64 { return 100 * ratio(float64(res.inTime), float64(res.offered)) }},
	{"least of a customer, %", percent, leastCustomer},
	{"refused, %", percent, func(res *result) float64 { return 100 * ratio(float64(res.refused), float64(res.offered)) }},
	{"cut at the deadline, %", percent, func(res *result) float64 { return 100 * ratio(float64(res.cut), float64(res.offered)) }},
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

// leastCustomer is the worst share of answers in time of a customer.
func leastCustomer(res *result) float64 {
	least := math.Inf(1)
	for _, cnt := range res.perCustomer {
		least = min(least, 100*ratio(float64(cnt[1]), float64(cnt[0])))
	}
	return least
}

// spread returns the mean and the standard deviation over runs, without those
// that say nothing.
func spread(list []float64) (mean, dev float64) {
	list = slices.DeleteFunc(list, math.IsNaN)
	for _, val := range list {
		mean += val / float64(len(list))
	}
	for _, val := range list {
		dev += (val - mean) * (val - mean)
	}
	return mean, math.Sqrt(dev / float64(max(len(list)-1, 1)))
}
