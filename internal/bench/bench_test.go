package bench

import (
	"bytes"
	"testing"
	"time"
)

// TestSeedRepeats guards against figures that differ between runs of a seed,
// for example by the order of a map.
func TestSeedRepeats(t *testing.T) {
	wkl := Workloads[0]
	wkl.Duration = 15 * time.Second
	for idx := range Topics {
		wkl := wkl
		wkl.PerSecond /= 2
		if Topics[idx].Rollout {
			// Its runs are longer and there are four per seed.
			wkl.PerSecond /= 5
		}
		var first string
		for range 2 {
			var buf bytes.Buffer
			if err := Run(&buf, &Topics[idx], wkl, Option{Seeds: 2, First: 5, Procs: 2}); err != nil {
				t.Fatal(err)
			}
			if first == "" {
				first = buf.String()
			} else if first != buf.String() {
				t.Errorf("%s:\n%s\n%s", Topics[idx].Name, first, buf.String())
			}
		}
	}
}

// TestNothingIsLost guards against requests that the bench forgets: every one
// must be answered, refused, cut or failed.
func TestNothingIsLost(t *testing.T) {
	for _, wkl := range Workloads {
		wkl.Duration = 15 * time.Second
		wkl.PerSecond *= 1.5
		for _, tpc := range Topics {
			for _, pol := range tpc.Policies {
				res := newWorld(&wkl, pol, good).play(wkl.generate(9))
				if sum := res.answered + res.refused + res.cut + res.failed; sum != res.offered || res.answered == 0 {
					t.Errorf("%s %s: %d of %d requests ended", wkl.Name, pol.Name, sum, res.offered)
				}
			}
		}
	}
}
