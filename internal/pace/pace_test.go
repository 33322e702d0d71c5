package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Unix(1000, 0)

const (
	pollInterval = 400 * time.Millisecond
	gap          = 400 * time.Millisecond
)

// An engine generates events of its runs.
type engine struct {
	bke wick.Backend
	// interval is the time between two events of a run.
	interval time.Duration
	running  int
	// progress holds the events of each run, with fractions, next numbers the runs.
	progress map[wick.RequestID]float64
	next     int
}

func newEngine(num int, interval time.Duration, running int) *engine {
	return &engine{
		bke: wick.Backend{ID: wick.VMID(fmt.Sprint("e", num)), Born: 1}, interval: interval, running: running,
		progress: make(map[wick.RequestID]float64),
	}
}

// step generates the events of one poll interval, which is slowed by a factor, and starts
// a new run for each that has ended.
func (eng *engine) step(slowdown float64) []wick.BackendRun {
	const length = 40
	var out []wick.BackendRun
	for id, events := range eng.progress {
		if events += float64(pollInterval) / float64(eng.interval) / slowdown; events > length {
			delete(eng.progress, id)
			continue
		}
		eng.progress[id] = events
		out = append(out, wick.BackendRun{ID: id, Events: int(events)})
	}
	for len(eng.progress) < eng.running {
		eng.next++
		eng.progress[wick.RequestID(fmt.Sprint(eng.bke.ID, "-", eng.next))] = 1
	}
	return out
}

// A fleet is a set of engines that are polled.
type fleet struct {
	*testing.T
	trk  Tracker
	engs []*engine
	rnd  *rand.Rand
	now  time.Time
}

func newFleet(t *testing.T, intervals ...time.Duration) *fleet {
	t.Helper()
	flt := &fleet{T: t, rnd: rand.New(rand.NewPCG(1, 2)), now: start} //nolint:gosec // need not be unpredictable
	for num := range 16 {
		flt.engs = append(flt.engs, newEngine(num, intervals[num%len(intervals)], 4+num%5))
	}
	return flt
}

// run polls for a time in which engines are slowed to 2.5 times their interval by chance,
// by prompts or neighbours.
func (flt *fleet) run(length time.Duration) {
	for range length / pollInterval {
		flt.now = flt.now.Add(pollInterval)
		for _, eng := range flt.engs {
			slowdown := 1.0
			if flt.rnd.Float64() < 0.15 {
				slowdown = 2.5
			}
			flt.trk.Observe(&eng.bke, eng.step(slowdown), gap, flt.now)
		}
	}
}

func (flt *fleet) estimate(num int) Estimate {
	ests := make(map[wick.VMID]Estimate)
	flt.trk.AddEstimates(ests)
	est, ok := ests[flt.engs[num].bke.ID]
	if !ok {
		return Estimate{Factor: 1}
	}
	return est
}

func (flt *fleet) assertFactor(num int, low, high float64) {
	flt.Helper()
	if got := flt.estimate(num).Factor; got < low || got > high {
		flt.Errorf("endpoint %d: factor %v, want %v to %v", num, got, low, high)
	}
}

// TestUnevenEndpoints guards against a fleet in which one endpoint in four takes more than
// twice the time of the others and gets as many requests.
func TestUnevenEndpoints(t *testing.T) {
	flt := newFleet(t, 130*time.Millisecond, 60*time.Millisecond, 60*time.Millisecond, 60*time.Millisecond)
	flt.run(12 * time.Second)
	for num := range flt.engs {
		if num%4 == 0 {
			flt.assertFactor(num, 1.7, 2.8)
		} else {
			flt.assertFactor(num, 1, 1)
		}
	}
}

// TestEvenEndpoints guards against noise that is taken for a difference.
func TestEvenEndpoints(t *testing.T) {
	flt := newFleet(t, 60*time.Millisecond)
	for range 20 {
		flt.run(3 * time.Second)
		for num := range flt.engs {
			flt.assertFactor(num, 1, 1)
		}
	}
}

// TestSlowdown guards against an endpoint that becomes slow, or fast again, unnoticed, and
// against a pace that outlives a restart.
func TestSlowdown(t *testing.T) {
	flt := newFleet(t, 60*time.Millisecond)
	flt.run(8 * time.Second)
	eng := flt.engs[3]
	eng.interval = 220 * time.Millisecond
	flt.run(6 * time.Second)
	flt.assertFactor(3, 1.5, maxFactor)
	eng.interval = 60 * time.Millisecond
	flt.run(20 * time.Second)
	flt.assertFactor(3, 1, 1)
	eng.interval = 220 * time.Millisecond
	flt.run(6 * time.Second)
	eng.bke.Born++
	flt.run(pollInterval)
	flt.assertFactor(3, 1, 1)
}

// TestStalls guards against an endpoint whose streams stop for longer than they may and
// which gets as many requests as the others.
func TestStalls(t *testing.T) {
	flt := newFleet(t, 60*time.Millisecond)
	flt.run(8 * time.Second)
	flt.engs[5].interval = 900 * time.Millisecond
	flt.run(3 * memory)
	if got := flt.estimate(5).Stalls; got < 0.2 || got > 0.9 {
		t.Errorf("stalls %v of an endpoint with an event each 0.9 s", got)
	}
	if got := flt.estimate(6).Stalls; got > 0.02 {
		t.Errorf("stalls %v of an endpoint with an event each 60 ms", got)
	}
}
