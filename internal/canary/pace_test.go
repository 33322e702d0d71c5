package canary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A paceTrial sends requests whose answers are all in time to an old version, some
// endpoints of which are slow, and to a candidate.
type paceTrial struct {
	*testing.T
	jdg *Judge
	rnd *rand.Rand
	now time.Time
}

func newPaceTrial(t *testing.T, seed uint64) *paceTrial {
	t.Helper()
	ptr := &paceTrial{T: t, jdg: newJudge(t, 0.2), rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for range 3 * paceSamples {
		ptr.jdg.Observe("quote", "r", ptr.sample(1))
	}
	return ptr
}

// slowShare of the old version's answers are of endpoints that are slow by slowBy.
const (
	slowShare = 0.3
	slowBy    = 4
)

// sample returns an answer of a sound endpoint, or of a slow one, that takes factor times
// as long.
func (ptr *paceTrial) sample(factor float64) wick.VersionSample {
	pace := factor * 20 * math.Exp(0.2*math.Abs(ptr.rnd.NormFloat64()))
	if factor == 1 && ptr.rnd.Float64() < slowShare {
		pace *= slowBy
	}
	return wick.VersionSample{Zone: "z", At: ptr.now, Out: wick.Outcome{Pace: time.Duration(pace * float64(time.Millisecond))}}
}

// run sends requests until the candidate is stopped or has answered a number of them, and
// returns that number.
func (ptr *paceTrial) run(factor float64, most int) (answered int, stopped bool) {
	for answered < most {
		ptr.now = ptr.now.Add(40 * time.Millisecond)
		cho := ptr.jdg.Choose(wick.RouteQuery{Service: "quote", Route: "r"})
		if cho.Candidate {
			answered++
			cho.Done(ptr.sample(factor))
		} else {
			cho.Done(ptr.sample(1))
		}
		if len(ptr.jdg.Stops()) > 0 {
			return answered, true
		}
	}
	return answered, false
}

// TestSlowVersion guards against a version that answers several times more slowly and is
// kept, since its answers are in time, or since some endpoints of the old version are slow
// as well; and against a sound version that is stopped beside slow endpoints.
func TestSlowVersion(t *testing.T) {
	const seeds, badAllowed = 30, 50
	for seed := range uint64(seeds) {
		if num, stopped := newPaceTrial(t, seed).run(2.3, badAllowed); !stopped {
			t.Errorf("seed %d: a slow version is not stopped after %d answers", seed, num)
		}
		if num, stopped := newPaceTrial(t, seed).run(1, 4*badAllowed); stopped {
			t.Errorf("seed %d: a sound version is stopped after %d answers", seed, num)
		}
	}
}
