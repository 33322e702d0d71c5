package canary

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/move"
)

var (
	simSteps = flag.Int("steps", 7200, "ticks of 100 ms per run")
	simSeed  = flag.Uint64("seed", 1, "first seed")
	simSeeds = flag.Uint64("seeds", 1, "seeds per kind of defect")
)

// TestMain discards the log: runs with a disabled mechanism violate invariants
// at every step, and all others report through their checker.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// A tally aggregates the results of runs of one kind.
type tally struct {
	mu                                        sync.Mutex
	undone, done, badRequests, maxBadRequests int
	longestExposure                           time.Duration
	reasons                                   []string
}

func (tly *tally) add(sm *sim, seed uint64) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	switch sm.rec.State {
	case move.StateUndone:
		tly.undone++
	case move.StateDone, move.StateWatching:
		tly.done++
	default:
	}
	if want := sm.rec.State == move.StateUndone; want == (sm.kind == good) && !sm.fixed {
		tly.reasons = append(tly.reasons, fmt.Sprintf("seed %d %s: %s", seed, sm.rec.State, sm.rec.Reason))
	}
	tly.badRequests += sm.badRequests
	tly.maxBadRequests = max(tly.maxBadRequests, sm.badRequests)
	if !sm.defectStart.IsZero() && sm.badRequests > 0 {
		tly.longestExposure = max(tly.longestExposure, sm.lastBadRequest.Sub(sm.defectStart))
	}
}

// TestCandidates simulates moves to versions with each kind of defect. It guards
// P2: a bad version is rolled back within the bounds on requests and time that
// the simulation asserts, and a good version is rolled out by its deadline. A
// rollout in fixed time steps runs alongside as the baseline.
func TestCandidates(t *testing.T) {
	for _, kind := range append([]defect{good}, defects...) {
		for name, fixed := range map[string]bool{"evidence": false, "fixed": true} {
			t.Run(string(kind)+"/"+name, func(t *testing.T) {
				t.Parallel()
				tly := &tally{}
				t.Cleanup(func() {
					t.Logf("%s: seeds %d undone %d done %d, requests to the bad version: mean %.1f most %d, longest %s %v",
						t.Name(), *simSeeds, tly.undone, tly.done, float64(tly.badRequests)/float64(*simSeeds), tly.maxBadRequests, tly.longestExposure, tly.reasons)
				})
				for seed := *simSeed; seed < *simSeed+*simSeeds; seed++ {
					t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
						t.Parallel()
						tly.add(simulate(t, seed, kind, *simSteps, func(sm *sim) { sm.setFixed(fixed) }), seed)
					})
				}
			})
		}
	}
}

// setFixed switches to the baseline rollout in fixed time steps, which checks no
// invariants.
func (sm *sim) setFixed(fixed bool) {
	sm.fixed = fixed
	for _, ent := range sm.ents {
		ent.jdg.noStop, ent.jdg.noBound = fixed, fixed
		if fixed {
			ent.jdg.checker = &invar.Checker{}
		}
	}
}

// TestGoodVersionStays repeats seeds in which a good version was stopped: few or
// no old responses were left as a control when a disturbance began.
func TestGoodVersionStays(t *testing.T) {
	for name, seed := range map[string]uint64{
		"slowZoneLateInRamp":      1192,
		"slowZoneDuringWatch":     1143,
		"firstOverloadWhileWatch": 1000,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if sm := simulate(t, seed, good, 7200, nil); sm.rec.State != move.StateDone {
				t.Errorf("%s: %s", sm.rec.State, sm.rec.Reason)
			}
		})
	}
}

// countViolations runs a simulation with a mechanism disabled and counts the
// violated invariants.
func countViolations(t *testing.T, change func(jdg *Judge)) int64 {
	t.Helper()
	var num atomic.Int64
	simulate(t, 1, "fails", 600, func(sm *sim) {
		// A full share brings more requests than the bound admits.
		sm.rec.State, sm.rec.Share = move.StateProving, 1
		for _, ent := range sm.ents {
			ent.jdg.checker = &invar.Checker{OnViolation: func(invar.Name, string) { num.Add(1) }}
			change(ent.jdg)
		}
	})
	return num.Load()
}

// TestMechanismsAreNeeded guards the simulation itself: with the stop or the
// in-flight bound disabled it must report violations.
func TestMechanismsAreNeeded(t *testing.T) {
	for name, change := range map[string]func(jdg *Judge){
		"stop":  func(jdg *Judge) { jdg.noStop = true },
		"bound": func(jdg *Judge) { jdg.noBound = true },
	} {
		t.Run(name, func(t *testing.T) {
			if countViolations(t, change) == 0 {
				t.Error("no violation")
			}
		})
	}
}
