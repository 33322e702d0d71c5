// Package cost predicts the work of a request from the work of earlier ones: the tokens that
// a model request generates and the service time of a plain one. It does no I/O and receives
// the time as an argument.
package cost

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxKeys bounds the sample windows, each of which takes about 600 bytes. A service needs
	// one for each route, customer and shared prompt in use.
	maxKeys = 2048
	// minSamples is the number of samples of a service that an estimate needs.
	minSamples = 8
	// Some answers reach their declared bound if, of the ratios of events to the bound, the 0.9
	// quantile is above boundedRatio times the 0.95 quantile, and that is above boundedSpread
	// times the median. The second condition excludes answers that are all equally long.
	boundedRatio  = 0.95
	boundedSpread = 2.0
	// maxRatio bounds the ratio of actual to declared values, whatever callers declare.
	maxRatio = 256.0
)

// A Request has the properties of a request that are available before it is sent.
type Request struct {
	Service  wick.Service
	Route    wick.RouteName
	Customer wick.Customer
	// Part is the first part of a model request's prompt.
	Part wick.PartID
	// Model is set for requests that generate tokens.
	Model bool
	// Max is the declared bound of the tokens to generate, Hint the caller's estimate of
	// them; 0 if not given.
	Max, Hint wick.Tokens
}

// An Estimate is the probable work of a request, in tokens to generate, or in milliseconds of
// a plain service's time.
type Estimate struct {
	// Output is the mean, High the 0.9 quantile.
	Output, High float64
	// Samples is the number of recent samples, with old ones counted in part. If it is 0, the
	// estimate is the one that the caller declared.
	Samples int
	// PerEvent is the number of tokens in an event of a stream.
	PerEvent float64
}

// Remaining estimates the work that is left of a request of which a part is done. The closer
// that part is to the mean, the more the estimate follows High, since the request is then more
// probably a long one.
func (est *Estimate) Remaining(done float64) float64 {
	const leastShare = 0.25
	if est.Output <= 0 {
		return 0
	}
	long := min(done/est.Output, 1) * (est.High - done)
	return max(est.Output-done, long, leastShare*est.Output)
}

// A level is a group of requests, from general to specific, or a relation to what callers
// declare.
type level uint8

const (
	levelService level = iota
	levelRoute
	levelCustomer
	levelPart
	// levelMax has the ratios of events to declared bounds, levelHint and levelCustomerHint
	// those of events to hints.
	levelMax
	levelHint
	levelCustomerHint
)

// A key identifies a window of samples. Fields that its level lacks are empty.
type key struct {
	level    level
	model    bool
	service  wick.Service
	route    wick.RouteName
	customer wick.Customer
	part     wick.PartID
}

// key returns the key of a request's samples at a level.
func (req *Request) key(lvl level) key {
	out := key{level: lvl, model: req.Model, service: req.Service}
	switch lvl {
	case levelPart:
		out.route, out.customer, out.part = req.Route, req.Customer, req.Part
	case levelCustomer:
		out.route, out.customer = req.Route, req.Customer
	case levelRoute:
		out.route = req.Route
	case levelCustomerHint:
		out.customer = req.Customer
	default:
	}
	return out
}

// A Learner estimates the work of requests from the actual work of earlier ones. The work of
// model requests is learned in events, as streams show it, and predicted in tokens. Its zero
// value is ready to use, and it is safe for concurrent use.
type Learner struct {
	mu      sync.Mutex
	windows *simplelru.LRU[key, *window]
	// start is the time of the first sample, now that of the latest.
	start, now time.Time
}

// Record records the actual work of a completed request: the events of a model request's
// answer, or the milliseconds that a plain one took.
func (lrn *Learner) Record(req Request, actual float64, now time.Time) {
	if !(actual > 0) || math.IsInf(actual, 0) { // also if it is NaN
		return
	}
	lrn.mu.Lock()
	defer lrn.mu.Unlock()
	if lrn.windows == nil {
		lrn.windows, _ = simplelru.NewLRU[key, *window](maxKeys, nil) // fails for a size of 0 only
		lrn.start = now
	}
	if now.After(lrn.now) {
		lrn.now = now
	}
	lrn.add(req.key(levelService), actual)
	lrn.add(req.key(levelRoute), actual)
	lrn.add(req.key(levelCustomer), actual)
	if !req.Model {
		return
	}
	if req.Part != "" {
		lrn.add(req.key(levelPart), actual)
	}
	if req.Max > 0 {
		lrn.add(req.key(levelMax), ratio(actual, req.Max))
	}
	if req.Hint > 0 {
		lrn.add(req.key(levelHint), ratio(actual, req.Hint))
		lrn.add(req.key(levelCustomerHint), ratio(actual, req.Hint))
	}
}

func ratio(actual float64, declared wick.Tokens) float64 {
	return min(max(actual/float64(declared), 1/maxRatio), maxRatio)
}

func (lrn *Learner) add(key key, val float64) {
	win, ok := lrn.windows.Get(key)
	if !ok {
		win = &window{}
		lrn.windows.Add(key, win)
	}
	win.add(val, lrn.now.Sub(lrn.start))
}

// find returns the statistics of a window, the zero value if there is none. It does not keep
// the window longer: predictions change nothing.
func (lrn *Learner) find(key key) stats {
	win, ok := lrn.windows.Peek(key)
	if !ok {
		return stats{}
	}
	return win.current(lrn.now.Sub(lrn.start))
}

// Predict returns the probable work of a request. Without enough samples of its service it is
// the work that the caller declared.
func (lrn *Learner) Predict(req Request) Estimate {
	lrn.mu.Lock()
	defer lrn.mu.Unlock()
	if lrn.windows == nil {
		return declared(&req)
	}
	base := lrn.find(req.key(levelService))
	if base.weight < minSamples {
		return declared(&req)
	}
	est := base
	for lvl := levelRoute; lvl <= levelPart; lvl++ {
		if lvl != levelPart || req.Part != "" {
			est = est.refine(lrn.find(req.key(lvl)))
		}
	}
	out := Estimate{Output: est.mean, High: est.high, Samples: int(base.weight), PerEvent: 1}
	if !req.Model {
		return out
	}
	if req.Hint > 0 {
		lrn.addHint(&out, &req, est.deviation)
	}
	out.PerEvent = lrn.perEvent(&req)
	out.Output, out.High = out.Output*out.PerEvent, out.High*out.PerEvent
	if req.Max > 0 {
		out.Output, out.High = min(out.Output, float64(req.Max)), min(out.High, float64(req.Max))
	}
	out.High = max(out.High, out.Output)
	return out
}

// declared returns the estimate without samples.
func declared(req *Request) Estimate {
	out := req.Max
	if req.Hint > 0 && (out <= 0 || req.Hint < out) {
		out = req.Hint
	}
	return Estimate{Output: float64(out), High: float64(max(req.Max, out)), PerEvent: 1}
}

// addHint combines an estimate in events with the calibrated hint of the caller, each weighted
// by how little the actual values deviate from it. deviation is that of the
// estimate, in which rare long answers have full weight, since hints predict them. For hints, the
// spread is used instead, in which rare errors have little weight.
func (lrn *Learner) addHint(est *Estimate, req *Request, deviation float64) {
	all := lrn.find(req.key(levelHint))
	if all.weight < minSamples {
		return
	}
	cal := all.refine(lrn.find(req.key(levelCustomerHint)))
	weight := 0.5
	if sum := deviation*deviation + cal.spread*cal.spread; sum > 0 {
		weight = deviation * deviation / sum
	}
	hint := float64(req.Hint)
	est.Output += weight * (cal.median*hint - est.Output)
	est.High += weight * (cal.high*hint - est.High)
}

// perEvent estimates the number of tokens in an event: the median ratio of hints to events, or
// the ratio of declared bounds to events if some answers reach their bound. It is the smaller one
// if both are available, 1 if none is, and at least 1.
func (lrn *Learner) perEvent(req *Request) float64 {
	out := math.Inf(1)
	bound := lrn.find(req.key(levelMax))
	if bound.weight >= minSamples && bound.high > boundedRatio*bound.top && bound.top > boundedSpread*bound.median {
		out = 1 / bound.top
	}
	if hint := lrn.find(req.key(levelHint)); hint.weight >= minSamples {
		out = min(out, 1/hint.median)
	}
	if math.IsInf(out, 1) {
		return 1
	}
	return max(out, 1)
}
