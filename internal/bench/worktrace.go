package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// The load of the work topics: answers are short or long, with a probability that depends on the
// prompt and changes in the middle of the run. One customer's hints are
// long for short answers and short for long ones.
const (
	workCustomers = 5
	workPrompts   = 4
	workEntries   = 6
	// misleadingCustomer is the customer with false hints.
	misleadingCustomer = 0
	// shortTokens and longTokens are the median lengths of answers, maxTokens the declared
	// bound of all.
	shortTokens, longTokens = 40.0, 600.0
	maxTokens               = wick.Tokens(1024)
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent = 4
)

// A workRequest is one request of the work topic.
type workRequest struct {
	at     time.Duration
	entry  int
	cost   cost.Request
	parts  []wick.PromptPart
	blocks []uint64
	answer wick.Tokens
}

// inputTokens returns the length of the prompt.
func (wrq *workRequest) inputTokens() wick.Tokens { return wrq.parts[0].Tokens + wrq.parts[1].Tokens }

// workTrace generates the requests for a seed, at a mean rate for some time.
func workTrace(seed uint64, perSecond float64, length time.Duration) []workRequest {
	rnd := rand.New(rand.NewPCG(seed, 17)) //nolint:gosec // the trace must be reproducible
	var out []workRequest
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= length {
			return out
		}
		out = append(out, newWorkRequest(rnd, at, at > length/2, len(out)))
	}
}

func newWorkRequest(rnd *rand.Rand, at time.Duration, changed bool, num int) workRequest {
	customer, prompt := rnd.IntN(workCustomers), rnd.IntN(workPrompts)
	// Half of a customer's prompts have mostly short answers and half mostly long ones, until
	// they change places.
	probability := 0.1
	if (prompt%2 == 0) == changed {
		probability = 0.6
	}
	median := shortTokens
	if rnd.Float64() < probability {
		median = longTokens
	}
	length := min(math.Exp(0.4*rnd.NormFloat64())*median, float64(maxTokens))
	hint := length * math.Exp(0.4*rnd.NormFloat64())
	// A tenth of the hints is far off.
	if rnd.IntN(10) == 0 {
		hint = length * math.Exp(2*rnd.NormFloat64())
	}
	if customer == misleadingCustomer {
		hint = shortTokens + longTokens - min(length, longTokens)
	}
	id := strconv.Itoa(customer) + "-" + strconv.Itoa(prompt)
	shared := wick.Tokens(800 + 300*prompt)
	wrq := workRequest{
		at: at, entry: rnd.IntN(workEntries), answer: wick.Tokens(max(length, 1)),
		parts: []wick.PromptPart{{ID: wick.PartID(id), Tokens: shared}, {ID: wick.PartID("own" + strconv.Itoa(num)), Tokens: 200}},
		cost: cost.Request{
			Service: service, Route: "chat", Customer: customerName(customer), Part: wick.PartID(id), Model: true,
			Max: maxTokens, Hint: wick.Tokens(max(hint, 1)),
		},
	}
	for idx := range int(shared) * bytesPerToken / wick.PrefixBlockBytes {
		wrq.blocks = append(wrq.blocks, uint64(customer*workPrompts+prompt)<<32|uint64(idx)) //nolint:gosec // small numbers
	}
	return wrq
}
