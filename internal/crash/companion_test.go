package crash

import (
	"slices"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// minCompanions is the number of sound requests from which their service is judged.
	minCompanions = 20
	// servedShare is the least share of them that must be sent at the first attempt.
	servedShare = 0.5
	// companionSeeds is the number of seeds that are counted together, since one run has a
	// few such requests only.
	companionSeeds = 15
)

// TestSoundCompanions guards against sound requests that are refused since their prompt
// begins with the same part as those that end endpoints: they are so few that they don't
// show among all sound requests.
func TestSoundCompanions(t *testing.T) {
	for name, tst := range map[string]struct {
		prompt func(num int) Prompt
		first  wick.PartID
	}{
		"one part":   {behindOnePart, "rare7"},
		"two behind": {twoBehindOnePart, "rare7"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			served, refused := 0, 0
			for seed := range uint64(companionSeeds) {
				smt := newSim(t, seed, 5, 12)
				smt.perSecond, smt.deadlyPerSecond, smt.deadlyPrompt = 60, 1.5, tst.prompt
				smt.run(deadlyTime)
				yes, no := smt.companions(tst.first)
				served, refused = served+yes, refused+no
			}
			num := served + refused
			t.Logf("%d of %d refused", refused, num)
			if num < minCompanions || float64(served) < servedShare*float64(num) {
				t.Errorf("%d of %d sound requests that begin with %s are refused", refused, num, tst.first)
			}
		})
	}
}

// companions counts the sound requests with a first part that were sent and refused at
// their first attempt, from twice the window after the fifth crash, or else the last.
func (smt *sim) companions(first wick.PartID) (served, refused int) {
	const freeCrashes = 5
	var crashes []int64
	for _, list := range smt.crashedAt {
		for _, at := range list {
			crashes = append(crashes, at.UnixNano())
		}
	}
	if len(crashes) == 0 {
		return 0, 0
	}
	slices.Sort(crashes)
	from := crashes[min(len(crashes), freeCrashes)-1] + 2*window.Nanoseconds()
	for _, one := range smt.firsts {
		switch {
		case one.part != first || one.at.UnixNano() < from:
		case one.refused:
			refused++
		default:
			served++
		}
	}
	return served, refused
}
