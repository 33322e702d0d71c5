package bench

import (
	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A fixedVersions is the baseline wick.VersionChooser: it routes the configured share
// of requests to the candidate and never stops a rollout by itself.
type fixedVersions struct {
	rol    *rollout
	credit float64
}

// Choose chooses the version of a new attempt.
func (fix *fixedVersions) Choose(wick.RouteQuery) wick.VersionChoice {
	fix.credit += float64(fix.rol.rec.Share)
	chosen, cand := version, fix.credit >= 1
	if cand {
		fix.credit--
		chosen = candidate
	}
	return wick.VersionChoice{Version: chosen, Candidate: cand, Done: func(smp wick.VersionSample) {
		if !smp.Excluded && !smp.Out.Cancelled {
			fix.rol.sum = addOutcome(fix.rol.sum, cand, smp.Out.Err != nil || smp.Out.Late)
		}
	}}
}

func addOutcome(sum canary.Count, cand, bad bool) canary.Count {
	num := uint64(0)
	if bad {
		num = 1
	}
	if cand {
		sum.Candidate++
		sum.CandidateBad += num
	} else {
		sum.Old++
		sum.OldBad += num
	}
	return sum
}
