package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Unix(1000, 0)

const endpoints = 60

// A fleet is a set of endpoints whose streams are sampled.
type fleet struct {
	*testing.T
	trk Tracker
	rnd *rand.Rand
	now time.Time
	// interval holds the time between two events of each endpoint.
	interval []time.Duration
	ests     map[wick.VMID]Estimate
}

func newFleet(t *testing.T, intervals ...time.Duration) *fleet {
	t.Helper()
	flt := &fleet{T: t, rnd: rand.New(rand.NewPCG(1, 2)), now: start} //nolint:gosec // need not be unpredictable
	for num := range endpoints {
		flt.interval = append(flt.interval, intervals[num%len(intervals)])
	}
	return flt
}

func vmid(num int) wick.VMID { return wick.VMID(fmt.Sprint("e", num)) }

// run samples a stream a second of each endpoint. Prompts of other requests lengthen the
// intervals of most, by up to four times, and more where an endpoint has more load.
func (flt *fleet) run(seconds int) {
	for range seconds {
		flt.now = flt.now.Add(time.Second)
		for num, interval := range flt.interval {
			var smp Sample
			delay := flt.rnd.ExpFloat64() * (0.2 + 0.1*float64(num%5))
			took := time.Duration(float64(interval) * (1 + min(delay, 3)))
			smp.Add(took, took > 100*time.Millisecond)
			flt.trk.Observe(vmid(num), smp, flt.now)
		}
		if ests := flt.trk.Refresh(flt.now); ests != nil {
			flt.ests = ests
		}
	}
}

func (flt *fleet) assertFactor(num int, low, high float64) {
	flt.Helper()
	if got := flt.ests[vmid(num)].Factor; got < low || got > high {
		flt.Errorf("endpoint %d: factor %v, want %v to %v", num, got, low, high)
	}
}

// TestUnevenEndpoints guards against a fleet in which one endpoint in four takes less than
// half the time of the others and gets as many requests, or counts as fast only at times.
func TestUnevenEndpoints(t *testing.T) {
	flt := newFleet(t, 13*time.Millisecond, 28*time.Millisecond, 28*time.Millisecond, 28*time.Millisecond)
	flt.run(12)
	for range 30 {
		flt.run(1)
		for num := range endpoints {
			if num%4 == 0 {
				flt.assertFactor(num, 0.3, 0.7)
			} else {
				flt.assertFactor(num, 1, 1)
			}
		}
	}
}

// TestEvenEndpoints guards against noise that is taken for a difference.
func TestEvenEndpoints(t *testing.T) {
	flt := newFleet(t, 28*time.Millisecond)
	flt.run(10)
	for range 40 {
		flt.run(2)
		for num := range endpoints {
			flt.assertFactor(num, 1, 1)
		}
	}
}

// TestSlowdown guards against an endpoint that becomes slow, or fast again, unnoticed, and
// against a pace that outlives a restart.
func TestSlowdown(t *testing.T) {
	flt := newFleet(t, 28*time.Millisecond)
	flt.run(12)
	flt.interval[3] *= 4
	flt.run(18)
	flt.assertFactor(3, 1.5, maxFactor)
	if got := flt.ests[vmid(3)].Stalls; got < 0.3 {
		t.Errorf("stalls %v of an endpoint whose streams pause for too long", got)
	}
	flt.interval[3] /= 4
	flt.run(60)
	flt.assertFactor(3, 1, 1)
	flt.trk.Forget(vmid(3))
	flt.run(1)
	flt.assertFactor(3, 0, 0)
}
