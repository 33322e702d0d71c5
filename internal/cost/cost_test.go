package cost

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Unix(1000, 0)

// tokensPerEvent is that of the answers in the tests.
const tokensPerEvent = 8.0

// A feed records requests, one each 100 ms.
type feed struct {
	Learner
	now time.Time
	rnd *rand.Rand
}

func newFeed() *feed {
	return &feed{now: start, rnd: rand.New(rand.NewPCG(1, 2))} //nolint:gosec // need not be unpredictable
}

// record records an answer of a number of tokens, at most the declared bound.
func (fed *feed) record(req Request, tokens float64) {
	fed.now = fed.now.Add(100 * time.Millisecond)
	fed.Record(req, math.Ceil(min(tokens, float64(req.Max))/tokensPerEvent), fed.now)
}

// vary returns a value that is within a fifth of another one.
func (fed *feed) vary(val float64) float64 { return val * (0.8 + 0.4*fed.rnd.Float64()) }

func request(customer wick.Customer, part wick.PartID) Request {
	return Request{Service: "s", Route: "r", Customer: customer, Part: part, Model: true, Max: 800}
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.3*want {
		t.Errorf("%s: %.1f, want about %.1f", what, got, want)
	}
}

// tokens returns an estimate in tokens if the number of tokens in an event can't be learned from
// the answers of the test.
func tokens(est Estimate) float64 { return est.Output / est.PerEvent * tokensPerEvent }

// TestPredict guards against estimates that mix kinds of requests with different outputs,
// that count in events, or that leave out the rare long answers.
func TestPredict(t *testing.T) {
	fed := newFeed()
	for num := range 300 {
		fed.record(request("a", "short"), fed.vary(40))
		fed.record(request("a", "long"), fed.vary(600))
		length := 80.0
		if num%2 == 0 {
			length = 5000 // ends at the declared bound
		}
		fed.record(request("b", "both"), length)
	}
	short, long := fed.Predict(request("a", "short")), fed.Predict(request("a", "long"))
	assertNear(t, "short", short.Output, 40)
	assertNear(t, "long", long.Output, 600)
	assertNear(t, "tokens per event", short.PerEvent, tokensPerEvent)
	both := fed.Predict(request("b", "both"))
	assertNear(t, "bimodal", both.Output, 440)
	assertNear(t, "bimodal, high", both.High, 800)
	assertNear(t, "left of a long one", both.Remaining(400), 400)
	bounded := request("a", "long")
	bounded.Max = 100
	if got := fed.Predict(bounded).High; got > 100 {
		t.Errorf("high estimate %.0f above the declared bound of 100", got)
	}
}

// TestFalseHints guards against trust in hints that do not say anything, or that are off by a
// factor, and against one customer's false hints that spoil those of the others.
func TestFalseHints(t *testing.T) {
	fed := newFeed()
	hinted := func(customer wick.Customer, hint float64) Request {
		req := request(customer, "")
		req.Hint = wick.Tokens(max(hint, 1))
		return req
	}
	for range 400 {
		length := math.Exp(3 + 3.5*fed.rnd.Float64())
		fed.record(hinted("right", fed.vary(length)), length)
		fed.record(hinted("right", fed.vary(length)), length)
		fed.record(hinted("fifth", fed.vary(length)/5), length)
		fed.record(hinted("random", math.Exp(7*fed.rnd.Float64())), 60)
	}
	assertNear(t, "right", fed.Predict(hinted("right", 400)).Output, 400)
	assertNear(t, "a fifth", fed.Predict(hinted("fifth", 80)).Output, 400)
	assertNear(t, "random", fed.Predict(hinted("random", 700)).Output, 60)
}

// TestForgets guards against estimates from a load that has changed a minute ago.
func TestForgets(t *testing.T) {
	fed := newFeed()
	for range 200 {
		fed.record(request("a", "p"), 600)
	}
	for range 600 {
		fed.record(request("a", "p"), 40)
	}
	assertNear(t, "after a change", tokens(fed.Predict(request("a", "p"))), 40)
	fed.Record(Request{Service: "other", Model: true}, 1, fed.now.Add(2*retention))
	if est := fed.Predict(request("a", "p")); est.Samples != 0 {
		t.Errorf("%d samples after two minutes without any", est.Samples)
	}
}

// TestNoSamples guards against estimates of an entry that has just started, or of values that
// no answer can have, and against a customer without samples that is not predicted by others.
func TestNoSamples(t *testing.T) {
	var lrn Learner
	req := request("a", "p")
	req.Hint = 300
	for range 20 {
		for _, val := range []float64{0, -1, math.NaN(), math.Inf(1)} {
			lrn.Record(req, val, start)
		}
	}
	if est := lrn.Predict(req); est.Output != 300 || est.High != 800 || est.Samples != 0 {
		t.Errorf("%+v, want what the caller declared", est)
	}
	fed := newFeed()
	for range 100 {
		fed.record(request("a", "p"), 100)
	}
	assertNear(t, "unknown customer", tokens(fed.Predict(request("new", "q"))), 100)
}

// TestBounded guards against memory that grows with the prompts and customers that callers
// name, and against the loss of what is in use by that.
func TestBounded(t *testing.T) {
	fed := newFeed()
	for num := range 4 * maxKeys {
		fed.record(request(wick.Customer(strconv.Itoa(num)), wick.PartID(strconv.Itoa(num))), 100)
	}
	if num := fed.windows.Len(); num > maxKeys {
		t.Errorf("%d windows are kept", num)
	}
	assertNear(t, "unknown customer", tokens(fed.Predict(request("new", "q"))), 100)
}

// TestPlain guards against plain requests that are counted in tokens.
func TestPlain(t *testing.T) {
	fed := newFeed()
	for range 50 {
		fed.now = fed.now.Add(100 * time.Millisecond)
		fed.Record(Request{Service: "s", Route: "fast"}, fed.vary(2), fed.now)
		fed.Record(Request{Service: "s", Route: "slow"}, fed.vary(80), fed.now)
	}
	assertNear(t, "fast", fed.Predict(Request{Service: "s", Route: "fast"}).Output, 2)
	assertNear(t, "slow", fed.Predict(Request{Service: "s", Route: "slow"}).Output, 80)
}

// BenchmarkPredict measures one prediction for a request with a hint.
func BenchmarkPredict(b *testing.B) {
	fed := newFeed()
	req := request("a", "p")
	req.Hint = 100
	for range 200 {
		fed.record(req, fed.vary(100))
	}
	b.ReportAllocs()
	for b.Loop() {
		fed.Predict(req)
	}
}
