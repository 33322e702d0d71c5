package bench

import (
	"bytes"
	"testing"
	"time"
)

// TestDeterminism guards against results that differ between runs with the same
// seed, for example through map iteration order.
func TestDeterminism(t *testing.T) {
	wkl := Workloads[0]
	wkl.Duration = 15 * time.Second
	for idx := range Topics {
		wkl := wkl
		wkl.PerSecond /= 2
		if Topics[idx].Rollout {
			// Rollout runs are longer, and there are four per seed.
			wkl.PerSecond /= 5
		}
		var first string
		for range 2 {
			var buf bytes.Buffer
			if err := Run(&buf, &Topics[idx], wkl, Options{Seeds: 2, First: 5, Procs: 2}); err != nil {
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

// TestRequestAccounting guards against requests without an outcome: each must be
// answered, refused, timed out or failed.
func TestRequestAccounting(t *testing.T) {
	for _, wkl := range Workloads {
		wkl.Duration = 15 * time.Second
		wkl.PerSecond *= 1.5
		for _, tpc := range Topics {
			for _, pol := range tpc.Policies {
				var res *result
				if tpc.Work > 0 {
					res = newWorkSimulation(pol.predictor).replay(workTrace(9, tpc.Work, wkl.Duration), wkl.Duration)
				} else {
					res = newSimulation(&wkl, pol, good).replay(wkl.generate(9))
				}
				if sum := res.answered + res.refused + res.timedOut + res.failed; sum != res.offered || res.answered == 0 {
					t.Errorf("%s %s: %d of %d requests ended", wkl.Name, pol.Name, sum, res.offered)
				}
			}
		}
	}
}
