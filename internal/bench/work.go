package bench

import (
	"math"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/perf"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	workEndpoints = 16
	// slowEvery is the number of endpoints of which one is slow, slowFactor the time that it
	// takes as a multiple of that of the others.
	slowEvery  = 4
	slowFactor = 2.2
	// workReportPeriod is the time between two load reports, as in internal/edge.
	workReportPeriod = 400 * time.Millisecond
	// progressEvents is the number of events between two calls of Generated, as in
	// internal/relay.
	progressEvents = 16
	// An answer is in time if its first token is, and the whole at the pace of a fast endpoint
	// with some load.
	workFirstTarget = 800 * time.Millisecond
	workTokenTarget = 32 * time.Millisecond
)

// workRates are those of an endpoint that is not slow.
var workRates = Rates{
	Slots: 8, MaxWaiting: 64, PrefillRate: 8000, DecodeTime: 20 * time.Millisecond,
	DecodeLoad: 500 * time.Microsecond, CacheBlocks: 1024, Lag: 200 * time.Millisecond,
}

// A predictor is the source from which an entry predicts the output length of a request.
type predictor string

// The columns of the work topic.
const (
	predictNothing  predictor = "counts only"
	predictDeclared predictor = "declared maximum"
	predictHint     predictor = "hint"
	predictLearned  predictor = "learned"
	predictExact    predictor = "perfect"
)

var predictors = []predictor{predictNothing, predictDeclared, predictHint, predictLearned, predictExact}

// A workEntry is an entry of the work topic. It runs the choice of the edge.
type workEntry struct {
	pool    *pool.Pool
	learner cost.Learner
}

// A workSimulation is one run of the work topic.
type workSimulation struct {
	timeline
	predictor predictor
	engines   []*engine
	byID      map[wick.VMID]*engine
	factors   map[wick.VMID]float64
	entries   []*workEntry
	res       *result
	// whole holds the times of complete answers relative to their targets, a second for the
	// target itself.
	whole []time.Duration
}

func newWorkSimulation(prd predictor) *workSimulation {
	sim := &workSimulation{
		timeline: timeline{now: time.Unix(0, 0)}, predictor: prd, res: newResult(), byID: make(map[wick.VMID]*engine), factors: make(map[wick.VMID]float64),
	}
	for range workEntries {
		sim.entries = append(sim.entries, &workEntry{pool: pool.New("a")})
	}
	for num := range workEndpoints {
		sim.addEndpoint(num)
	}
	for _, wen := range sim.entries {
		wen.pool.SetNewLimitShare(1.0 / workEntries)
		wen.pool.SetEngine(service, perf.Engine{PrefillRate: float64(workRates.PrefillRate) / 1000, StepMillis: 20})
	}
	sim.every(workReportPeriod, sim.report)
	return sim
}

func (sim *workSimulation) addEndpoint(num int) {
	vid, rts, factor := wick.VMID("e"+strconv.Itoa(num)), workRates, 1.0
	if num%slowEvery == 0 {
		factor = slowFactor
		rts.PrefillRate = wick.Tokens(float64(rts.PrefillRate) / factor)
		rts.DecodeTime = time.Duration(float64(rts.DecodeTime) * factor)
		rts.DecodeLoad = time.Duration(float64(rts.DecodeLoad) * factor)
	}
	eng := newEngine(&sim.timeline, wick.VM{ID: vid}, rts)
	sim.engines, sim.byID[vid], sim.factors[vid] = append(sim.engines, eng), eng, factor
	for _, wen := range sim.entries {
		wen.pool.Set(wick.Backend{ID: vid, Service: service, Zone: "a", Address: string(vid), Slots: rts.Slots}, sim.now)
	}
}

// report sends the loads of all endpoints to all entries, after a delay.
func (sim *workSimulation) report() {
	for _, eng := range sim.engines {
		load := wick.BackendLoad{Running: eng.running, Waiting: len(eng.waiting)}
		if load.Waiting > 0 {
			load.NextTokens = eng.waiting[0].tokens
		}
		sim.after(eng.Lag, func() {
			rep := pool.Report{At: sim.now, Load: load}
			for _, wen := range sim.entries {
				wen.pool.Report(eng.vm.ID, rep)
				wen.pool.SetPace(eng.vm.ID, pace.Estimate{Factor: sim.factors[eng.vm.ID]})
			}
		})
	}
}

// predict returns an entry's estimate of the output of a request.
func (sim *workSimulation) predict(wen *workEntry, wrq *workRequest) cost.Estimate {
	known := func(output, high wick.Tokens) cost.Estimate {
		return cost.Estimate{Output: float64(output), High: float64(high), Samples: 1, PerEvent: tokensPerEvent}
	}
	switch sim.predictor {
	case predictNothing:
		return cost.Estimate{}
	case predictDeclared:
		return known(wrq.cost.Max, wrq.cost.Max)
	case predictHint:
		return known(min(wrq.cost.Hint, wrq.cost.Max), wrq.cost.Max)
	case predictExact:
		return known(wrq.answer, wrq.answer)
	default:
		return wen.learner.Predict(wrq.cost)
	}
}

// arrive sends a request to the endpoint that its entry chooses.
func (sim *workSimulation) arrive(wrq *workRequest) {
	wen := sim.entries[wrq.entry]
	sim.res.offered++
	began := sim.now
	est := sim.predict(wen, wrq)
	asg, err := wen.pool.Pick(pool.Query{
		Service: service, Model: true, Parts: wrq.parts, InputTokens: wrq.inputTokens(), OutputTokens: wrq.cost.Hint, Expected: est, Now: sim.now,
	})
	if err != nil {
		sim.res.refused++
		return
	}
	var first time.Time
	cll := &call{tokens: wrq.inputTokens(), blocks: wrq.blocks, count: wrq.answer}
	cll.onToken = func() {
		if first.IsZero() {
			first = sim.now
			asg.AnswerStarted(first)
		}
		if cll.next%(progressEvents*tokensPerEvent) == 0 {
			asg.Generated(float64(cll.next) / tokensPerEvent * est.PerEvent)
		}
	}
	cll.onEnd = func(error) {
		asg.Done(pool.ResultAnswered, sim.now)
		events := (wrq.answer + tokensPerEvent - 1) / tokensPerEvent
		wen.learner.Record(wrq.cost, float64(events), sim.now)
		sim.answered(wrq, first.Sub(began), sim.now.Sub(began))
		if est.Output > 0 {
			sim.res.countEstimate(est.Output, float64(wrq.answer))
		}
	}
	if err := sim.byID[asg.Backend.ID].start(cll); err != nil {
		sim.res.refused++
		asg.Done(pool.ResultRefused, sim.now)
	}
}

// countEstimate counts the estimate of an answer's tokens.
func (res *result) countEstimate(expected, actual float64) {
	res.expected += expected
	res.actual += actual
	res.errs += math.Abs(math.Log(expected / actual))
}

// answered counts a complete answer.
func (sim *workSimulation) answered(wrq *workRequest, first, whole time.Duration) {
	sim.res.answered++
	sim.res.first = append(sim.res.first, first)
	target := workFirstTarget + time.Duration(wrq.answer)*workTokenTarget
	sim.whole = append(sim.whole, time.Duration(float64(whole)/float64(target)*float64(time.Second)))
	if first <= workFirstTarget && whole <= target {
		sim.res.inTime++
	}
}

// replay runs a trace of some length to completion.
func (sim *workSimulation) replay(trc []workRequest, length time.Duration) *result {
	for idx := range trc {
		wrq := &trc[idx]
		sim.after(wrq.at, func() { sim.arrive(wrq) })
	}
	sim.run(sim.now.Add(length + time.Minute))
	sim.res.between = sim.whole
	return sim.res
}

// workFigures are the rows of the table of the work topic.
var workFigures = []figure{
	figures[0], figures[1],
	{"answered, %", percent, func(res *result) float64 { return 100 * ratio(float64(res.answered), float64(res.offered)) }},
	{"sum of estimates, % of all tokens", percent, func(res *result) float64 { return 100 * ratio(res.expected, res.actual) }},
	{"estimate is off by a factor of, mean", percent, func(res *result) float64 { return math.Exp(ratio(res.errs, float64(res.answered))) }},
	{"first token p50, ms", whole, func(res *result) float64 { return quantile(res.first, 0.5) }},
	{"first token p99, ms", whole, func(res *result) float64 { return quantile(res.first, 0.99) }},
	{"whole answer p50, % of its target", percent, func(res *result) float64 { return quantile(res.between, 0.5) / 10 }},
	{"whole answer p99, % of its target", percent, func(res *result) float64 { return quantile(res.between, 0.99) / 10 }},
}
