package fake

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	// errDropped marks failures that the HTTP servers show by closing the
	// connection without a reply or in the middle of one.
	errDropped = eris.New("fake: connection dropped")
	// errDown marks the failures of an outage.
	errDown = eris.New("fake: down")
	// errOther marks replies that name another attempt.
	errOther = eris.New("fake: reply of another attempt")
	// errBadVersion marks failures that a bad version causes.
	errBadVersion = eris.New("fake: bad version")
)

// Faults are the faults of an engine or a plain service. The zero value is no
// fault.
type Faults struct {
	// Down makes every call fail with status 500 and without effect.
	Down bool `json:"down,omitempty"`
	// Partition drops the connection of every call, the load report included.
	Partition bool `json:"partition,omitempty"`
	// LatencyMillis delays every call.
	LatencyMillis wick.Millis `json:"latencyMillis,omitempty"`
	// Refuse is the share of calls refused explicitly as not executed.
	Refuse wick.Share `json:"refuse,omitempty"`
	// LoseAnswers is the share of calls that run and whose reply is lost.
	LoseAnswers wick.Share `json:"loseAnswers,omitempty"`
	// Truncate is the share of replies that end early.
	Truncate wick.Share `json:"truncate,omitempty"`
	// Duplicate and Reorder are the shares of a stream's events that come
	// twice, or after their successor.
	Duplicate wick.Share `json:"duplicate,omitempty"`
	Reorder   wick.Share `json:"reorder,omitempty"`
	// OtherAttempt is the share of replies or events that name another attempt.
	OtherAttempt wick.Share `json:"otherAttempt,omitempty"`
	// Bad lists bad versions; the first match decides.
	Bad []BadVersion `json:"bad,omitempty"`
	// Reclaim starts a reclaim once, when the faults are set.
	Reclaim *Reclaim `json:"reclaim,omitempty"`
	// Seed makes random faults repeatable.
	Seed uint64 `json:"seed,omitempty"`
}

// A BadVersion tells when and how a version is bad. All conditions that are
// set must hold.
type BadVersion struct {
	// Version is the bad version; "" is every version.
	Version wick.ModelVersion `json:"version,omitempty"`
	// Route is a prefix of the paths on which it is bad.
	Route string `json:"route,omitempty"`
	// UnderLoad is the number of running calls from which on it is bad.
	UnderLoad int `json:"underLoad,omitempty"`
	// AfterCalls is the number of good calls of the version before.
	AfterCalls int64 `json:"afterCalls,omitempty"`
	// Fail is the share of calls that fail.
	Fail wick.Share `json:"fail,omitempty"`
	// SlowMillis is added to each call, and to each token of an engine.
	SlowMillis wick.Millis `json:"slowMillis,omitempty"`
}

// A Reclaim takes a VM away.
type Reclaim struct {
	// NoticeMillis is the time until the VM ends.
	NoticeMillis wick.Millis `json:"noticeMillis,omitempty"`
	// Silent leaves out the announcement.
	Silent bool `json:"silent,omitempty"`
}

// A dice draws random faults. Its zero value uses seed 0.
type dice struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func (dic *dice) seed(seed uint64) {
	dic.mu.Lock()
	defer dic.mu.Unlock()
	dic.rnd = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults need a repeatable generator
}

// draw returns true with the given probability.
func (dic *dice) draw(prob wick.Share) bool {
	if prob <= 0 {
		return false
	}
	dic.mu.Lock()
	defer dic.mu.Unlock()
	if dic.rnd == nil {
		dic.rnd = rand.New(rand.NewPCG(0, 0)) //nolint:gosec // faults need a repeatable generator
	}
	return dic.rnd.Float64() < float64(prob)
}

// badFor returns the fault of a call, or the zero value.
func (flt *Faults) badFor(version wick.ModelVersion, route string, running int, calls int64) BadVersion {
	for _, bad := range flt.Bad {
		if (bad.Version == "" || bad.Version == version) && strings.HasPrefix(route, bad.Route) &&
			running >= bad.UnderLoad && calls > bad.AfterCalls {
			return bad
		}
	}
	return BadVersion{}
}
