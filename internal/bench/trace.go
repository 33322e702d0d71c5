package bench

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// bytesPerToken estimates token counts, as in the stream and fake packages.
const bytesPerToken = 4

// A Kind is one kind of request of a workload.
type Kind struct {
	Name string
	// Share is the relative weight of the kind.
	Share float64
	// Docs is the number of shared prefixes per customer, each of MinTokens to
	// MaxTokens tokens. Their popularity is skewed.
	Docs                 int
	MinTokens, MaxTokens int
	// UniqueTokens is the number of prompt tokens not shared with other requests.
	UniqueTokens int
	// AnswerTokens is the mean answer length; lengths vary by ±50%.
	AnswerTokens int
}

// A ZoneSize is one availability zone of a workload.
type ZoneSize struct {
	Name    wick.Zone
	Engines int
	Price   wick.Price
}

// A Workload is the load and the VMs of one column of section 1.3 of the design
// page.
type Workload struct {
	Name        string
	Zones       []ZoneSize
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Entries     int
	Rates       Rates
	Kinds       []Kind
	// PerSecond is the mean request rate outside of bursts. A burst multiplies
	// the rate of one customer by Burst.
	PerSecond float64
	Burst     float64
	// Customers holds the relative request rate of each customer.
	Customers []float64
	Duration  time.Duration
	// FirstToken and BetweenTokens are the latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Reclaims is the number of zone-wide reclaims, each with a notice period of
	// Notice. The replacements start with a cold cache ReplaceDelay after the
	// announcement.
	Reclaims             int
	Notice, ReplaceDelay time.Duration
}

// Workloads holds both workloads at their current sizes, with the delays and
// counts of the design page and the latency targets of the target scale.
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
			{Name: "plan", Share: 3, Docs: 12, MinTokens: 2000, MaxTokens: 5500, UniqueTokens: 150, AnswerTokens: 120},
			{Name: "quote", Share: 4, Docs: 4, MinTokens: 1000, MaxTokens: 2000, UniqueTokens: 200, AnswerTokens: 90},
			{Name: "answer", Share: 3, Docs: 1, MinTokens: 400, MaxTokens: 600, UniqueTokens: 80, AnswerTokens: 50},
		},
		PerSecond: 20, Burst: 3, Customers: []float64{5, 3, 1, 0.5, 0.5}, Duration: 2 * time.Minute,
		FirstToken: 790 * time.Millisecond, BetweenTokens: 35 * time.Millisecond,
		Reclaims: 1, Notice: 10 * time.Second, ReplaceDelay: 30 * time.Second,
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
			{Name: "history", Share: 2, Docs: 20, MinTokens: 1500, MaxTokens: 4000, UniqueTokens: 120, AnswerTokens: 110},
			{Name: "note", Share: 3, Docs: 3, MinTokens: 600, MaxTokens: 1200, UniqueTokens: 300, AnswerTokens: 40},
			{Name: "label", Share: 5, Docs: 1, MinTokens: 200, MaxTokens: 300, UniqueTokens: 50, AnswerTokens: 8},
		},
		PerSecond: 28, Burst: 3, Customers: []float64{5, 3, 1, 0.5, 0.5}, Duration: 2 * time.Minute,
		FirstToken: 790 * time.Millisecond, BetweenTokens: 35 * time.Millisecond,
		Reclaims: 1, Notice: 10 * time.Second, ReplaceDelay: 30 * time.Second,
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
	// faultDraw is a uniform random number in [0, 1) that decides whether a
	// faulty version fails the request.
	faultDraw float64
	// deadline is the timeout of the caller.
	deadline time.Duration
}

// A reclaim is the reclaim of a zone.
type reclaim struct {
	at   time.Duration
	zone wick.Zone
}

// A trace is the input of one run.
type trace struct {
	requests []request
	reclaims []reclaim
}

// text returns random text with the given number of tokens.
func text(rnd *rand.Rand, tokens int) string {
	var bld strings.Builder
	for bld.Len() < tokens*bytesPerToken {
		bld.WriteString(strconv.FormatUint(rnd.Uint64(), 36))
	}
	return bld.String()[:tokens*bytesPerToken]
}

// generate returns the trace for a seed.
func (wkl *Workload) generate(seed uint64) *trace {
	rnd := rand.New(rand.NewPCG(seed, 11)) //nolint:gosec // the trace must be reproducible
	trc := &trace{}
	docs := make(map[string][]string)
	sum := 0.0
	for num, part := range wkl.Customers {
		sum += part
		for _, knd := range wkl.Kinds {
			key := knd.Name + strconv.Itoa(num)
			for range knd.Docs {
				docs[key] = append(docs[key], text(rnd, knd.MinTokens+rnd.IntN(knd.MaxTokens-knd.MinTokens+1)))
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

// arrivals generates a Poisson process with bursts of 5 s that occur about every
// 40 s.
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
	// Squaring skews the popularity towards the first documents.
	pick := rnd.Float64()
	doc := list[int(pick*pick*float64(len(list)))]
	answer := wick.Tokens(max(1, knd.AnswerTokens/2+rnd.IntN(knd.AnswerTokens+1)))
	return request{
		at: at, entry: rnd.IntN(wkl.Entries), customer: customerName(num), kind: knd.Name,
		input: doc + text(rnd, knd.UniqueTokens), answer: answer, faultDraw: rnd.Float64(),
		deadline: wkl.FirstToken + time.Duration(answer)*wkl.BetweenTokens + time.Second,
	}
}

func customerName(num int) wick.Customer { return wick.Customer("customer" + strconv.Itoa(num+1)) }
