package bench

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// bytesPerToken estimates tokens as the stream package and the fakes do.
const bytesPerToken = 4

// A Kind is one kind of request of a workload.
type Kind struct {
	Name string
	// Share is the kind's part of the requests, in any unit.
	Share float64
	// Docs is how many shared prefixes each customer has, of least to most
	// tokens. Popular ones are asked for more often.
	Docs        int
	Least, Most int
	// Own is the number of prompt tokens that no other request shares.
	Own int
	// Answer is the mean length of answers, which vary by half of it.
	Answer int
}

// A ZoneSize is one availability zone of a workload.
type ZoneSize struct {
	Name    wick.Zone
	Engines int
	Price   wick.Price
}

// A Workload is one column of section 1.3 of the design page.
type Workload struct {
	Name        string
	Zones       []ZoneSize
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Entries     int
	Rates       Rates
	Kinds       []Kind
	// PerSecond is the mean rate of requests outside of bursts. Bursts of
	// one customer multiply that customer's rate by Burst.
	PerSecond float64
	Burst     float64
	// Customers holds the customers' parts of the requests.
	Customers []float64
	Duration  time.Duration
	// FirstToken and BetweenTokens are the latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Reclaims is the number of waves that take a zone, after Notice. The
	// replacements start Replace later with an empty cache.
	Reclaims        int
	Notice, Replace time.Duration
}

// Workloads holds both workloads at their current sizes. Delays and numbers are
// those of the page; rates, prices, lengths and targets are assumptions, the
// targets those of the target scale.
var Workloads = []Workload{
	{
		Name:      "Lachance",
		Zones:     []ZoneSize{{"qc-a", 3, 2.0}, {"qc-b", 3, 2.2}, {"qc-c", 3, 2.4}, {"qc-d", 3, 2.6}},
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, Entries: 5,
		Rates: Rates{
			Slots: 8, MaxWaiting: 32, PrefillRate: 8000, DecodeTime: 20 * time.Millisecond,
			DecodeLoad: 500 * time.Microsecond, CacheBlocks: 1024, Lag: 200 * time.Millisecond,
		},
		Kinds: []Kind{
			{Name: "plan", Share: 3, Docs: 12, Least: 2000, Most: 5500, Own: 150, Answer: 120},
			{Name: "quote", Share: 4, Docs: 4, Least: 1000, Most: 2000, Own: 200, Answer: 90},
			{Name: "answer", Share: 3, Docs: 1, Least: 400, Most: 600, Own: 80, Answer: 50},
		},
		PerSecond: 20, Burst: 3, Customers: []float64{5, 3, 1, 0.5, 0.5}, Duration: 2 * time.Minute,
		FirstToken: 790 * time.Millisecond, BetweenTokens: 35 * time.Millisecond,
		Reclaims: 1, Notice: 10 * time.Second, Replace: 30 * time.Second,
	},
	{
		Name:      "Association",
		Zones:     []ZoneSize{{"ro-a", 3, 1.8}, {"ro-b", 2, 2.0}, {"ro-c", 2, 2.1}, {"ro-d", 2, 2.3}},
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, Entries: 5,
		Rates: Rates{
			Slots: 8, MaxWaiting: 32, PrefillRate: 8000, DecodeTime: 20 * time.Millisecond,
			DecodeLoad: 500 * time.Microsecond, CacheBlocks: 1024, Lag: 200 * time.Millisecond,
		},
		Kinds: []Kind{
			{Name: "history", Share: 2, Docs: 20, Least: 1500, Most: 4000, Own: 120, Answer: 110},
			{Name: "note", Share: 3, Docs: 3, Least: 600, Most: 1200, Own: 300, Answer: 40},
			{Name: "label", Share: 5, Docs: 1, Least: 200, Most: 300, Own: 50, Answer: 8},
		},
		PerSecond: 28, Burst: 3, Customers: []float64{5, 3, 1, 0.5, 0.5}, Duration: 2 * time.Minute,
		FirstToken: 790 * time.Millisecond, BetweenTokens: 35 * time.Millisecond,
		Reclaims: 1, Notice: 10 * time.Second, Replace: 30 * time.Second,
	},
}

// A request is one request of a trace.
type request struct {
	at       time.Duration
	entry    int
	customer wick.Customer
	kind     string
	input    string
	answer   wick.Tokens
	// dice decides whether a bad version fails the request, from 0 to 1.
	dice float64
	// deadline is the caller's, target when the answer is in time.
	deadline time.Duration
}

// A reclaim is one wave of a trace.
type reclaim struct {
	at   time.Duration
	zone wick.Zone
}

// A trace is what happens in one run.
type trace struct {
	requests []request
	reclaims []reclaim
}

// text returns random text of a number of tokens.
func text(rnd *rand.Rand, tokens int) string {
	var bld strings.Builder
	for bld.Len() < tokens*bytesPerToken {
		bld.WriteString(strconv.FormatUint(rnd.Uint64(), 36))
	}
	return bld.String()[:tokens*bytesPerToken]
}

// generate returns the trace of a seed.
func (wkl *Workload) generate(seed uint64) *trace {
	rnd := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // a repeatable trace is wanted
	trc := &trace{}
	docs := make(map[string][]string)
	sum := 0.0
	for num, part := range wkl.Customers {
		sum += part
		for _, knd := range wkl.Kinds {
			key := knd.Name + strconv.Itoa(num)
			for range knd.Docs {
				docs[key] = append(docs[key], text(rnd, knd.Least+rnd.IntN(knd.Most-knd.Least+1)))
			}
		}
	}
	for num, part := range wkl.Customers {
		wkl.arrivals(rnd, wkl.PerSecond*part/sum, func(at time.Duration) {
			trc.requests = append(trc.requests, wkl.request(rnd, num, at, docs))
		})
	}
	for range wkl.Reclaims {
		zone := wkl.Zones[rnd.IntN(len(wkl.Zones))].Name
		at := wkl.Duration/4 + time.Duration(rnd.Int64N(int64(wkl.Duration/2)))
		trc.reclaims = append(trc.reclaims, reclaim{at, zone})
	}
	return trc
}

// arrivals draws a Poisson process whose rate is higher in bursts of 5 s, about
// one in 40 s.
func (wkl *Workload) arrivals(rnd *rand.Rand, perSecond float64, emit func(at time.Duration)) {
	next := func(mean float64) time.Duration { return time.Duration(rnd.ExpFloat64() * mean * float64(time.Second)) }
	burst := next(40)
	for at := time.Duration(0); ; {
		rate := perSecond
		if at > burst+5*time.Second {
			burst = at + next(40)
		} else if at > burst {
			rate *= wkl.Burst
		}
		at += next(1 / rate)
		if at >= wkl.Duration {
			return
		}
		emit(at)
	}
}

func (wkl *Workload) request(rnd *rand.Rand, num int, at time.Duration, docs map[string][]string) request {
	sum := 0.0
	for _, knd := range wkl.Kinds {
		sum += knd.Share
	}
	knd := wkl.Kinds[0]
	draw := rnd.Float64() * sum
	for _, knd = range wkl.Kinds {
		if draw -= knd.Share; draw < 0 {
			break
		}
	}
	list := docs[knd.Name+strconv.Itoa(num)]
	// The square makes the first documents popular.
	pick := rnd.Float64()
	doc := list[int(pick*pick*float64(len(list)))]
	answer := wick.Tokens(max(1, knd.Answer/2+rnd.IntN(knd.Answer+1)))
	return request{
		at: at, entry: rnd.IntN(wkl.Entries), customer: customerName(num), kind: knd.Name,
		input: doc + text(rnd, knd.Own), answer: answer, dice: rnd.Float64(),
		deadline: wkl.FirstToken + time.Duration(answer)*wkl.BetweenTokens + time.Second,
	}
}

func customerName(num int) wick.Customer { return wick.Customer("customer" + strconv.Itoa(num+1)) }
