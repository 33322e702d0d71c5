package fake

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	// errDropped marks failures for which the HTTP servers close the
	// connection before or during the reply.
	errDropped = eris.New("fake: connection dropped")
	// errDown marks failures caused by an outage.
	errDown = eris.New("fake: down")
	// errOtherAttempt marks replies that name another attempt.
	errOtherAttempt = eris.New("fake: reply of another attempt")
	// errBadVersion marks failures caused by a bad version.
	errBadVersion = eris.New("fake: bad version")
)

// Faults are the faults injected into an engine or a plain service. The zero
// value injects none.
type Faults struct {
	// Down makes every call fail with status 500 and without effect.
	Down bool `json:"down,omitempty"`
	// Partition drops the connection of every call, load reports included.
	Partition bool `json:"partition,omitempty"`
	// LatencyMillis delays every call.
	LatencyMillis wick.Millis `json:"latencyMillis,omitempty"`
	// Refuse is the share of calls rejected explicitly as not executed.
	Refuse wick.Share `json:"refuse,omitempty"`
	// LoseReplies is the share of calls that run but whose reply is lost.
	LoseReplies wick.Share `json:"loseAnswers,omitempty"`
	// Truncate is the share of replies that are truncated.
	Truncate wick.Share `json:"truncate,omitempty"`
	// Duplicate and Reorder are the shares of stream events that are sent
	// twice, or after the next event.
	Duplicate wick.Share `json:"duplicate,omitempty"`
	Reorder   wick.Share `json:"reorder,omitempty"`
	// OtherAttempt is the share of replies or events that name another attempt.
	OtherAttempt wick.Share `json:"otherAttempt,omitempty"`
	// Bad lists bad versions; the first match applies.
	Bad []BadVersion `json:"bad,omitempty"`
	// Reclaim triggers one reclaim when the faults are set.
	Reclaim *Reclaim `json:"reclaim,omitempty"`
	// Seed makes random faults reproducible.
	Seed uint64 `json:"seed,omitempty"`
}

// A BadVersion specifies when and how a version misbehaves. It applies if all
// conditions that are set are met.
type BadVersion struct {
	// Version is the bad version; "" matches every version.
	Version wick.ModelVersion `json:"version,omitempty"`
	// Route is the path prefix that is affected.
	Route string `json:"route,omitempty"`
	// UnderLoad is the minimum number of running calls.
	UnderLoad int `json:"underLoad,omitempty"`
	// AfterCalls is the number of initial calls of the version that are not
	// affected.
	AfterCalls int64 `json:"afterCalls,omitempty"`
	// Fail is the share of calls that fail.
	Fail wick.Share `json:"fail,omitempty"`
	// SlowMillis is added to the latency of each call, and of each token of an
	// engine.
	SlowMillis wick.Millis `json:"slowMillis,omitempty"`
}

// A Reclaim is the termination of a VM by the cloud.
type Reclaim struct {
	// NoticeMillis is the notice period before the VM terminates.
	NoticeMillis wick.Millis `json:"noticeMillis,omitempty"`
	// Silent reclaims without announcing it.
	Silent bool `json:"silent,omitempty"`
}

// A faultSampler decides randomly whether a fault occurs. Its zero value uses
// seed 0.
type faultSampler struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func (fsa *faultSampler) seed(seed uint64) {
	fsa.mu.Lock()
	defer fsa.mu.Unlock()
	fsa.rnd = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults need a reproducible generator
}

// sample returns true with the given probability.
func (fsa *faultSampler) sample(prob wick.Share) bool {
	if prob <= 0 {
		return false
	}
	fsa.mu.Lock()
	defer fsa.mu.Unlock()
	if fsa.rnd == nil {
		fsa.rnd = rand.New(rand.NewPCG(0, 0)) //nolint:gosec // faults need a reproducible generator
	}
	return fsa.rnd.Float64() < float64(prob)
}

// badFor returns the version fault that applies to a call, or the zero value.
func (flt *Faults) badFor(version wick.ModelVersion, route string, running int, calls int64) BadVersion {
	for _, bad := range flt.Bad {
		if (bad.Version == "" || bad.Version == version) && strings.HasPrefix(route, bad.Route) &&
			running >= bad.UnderLoad && calls > bad.AfterCalls {
			return bad
		}
	}
	return BadVersion{}
}
