package canary

import (
	"fmt"
	"math"
	"strconv"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// StopLevel is the value of the test at which a version is bad. By
	// Ville's inequality a version that is no worse reaches it with a
	// probability of at most 0.001 per start of the test.
	StopLevel = 1000
	// proveLevel is the odds against a version that adds proveEffect bad
	// answers, at which it is proved.
	proveLevel  = 20
	proveEffect = 0.1
	minProved   = 30
	// quietLevel is above what good versions reach by chance.
	quietLevel    = 10
	priorWeight   = 4
	defaultPrior  = 0.1
	lowestOldRate = 0.01
	largeOldRate  = 0.95
)

// effects are the shares of answers that a bad version makes bad, which the
// test mixes.
var effects = [...]float64{proveEffect, 0.2, 0.4, 0.8}

// A Verdict is the result of the sequential test.
type Verdict struct {
	// Reason is "" unless the version is bad.
	Reason string `json:"reason,omitempty"`
	// Proved is set when the version is as good as the old one.
	Proved bool  `json:"proved"`
	Totals Count `json:"totals"`
	// Level is the largest value of the test; StopLevel is a stop.
	Level float64 `json:"level"`
}

// oldRate estimates the old version's rate of bad answers in a cell from above:
// its own counters, with the zone and band in the same window as prior, else
// all windows.
func oldRate(cnt, near, far Count) float64 {
	prior := defaultPrior
	switch {
	case near.Old > 0:
		prior = (float64(near.OldBad) + 1) / (float64(near.Old) + 2)
	case far.Old > 0:
		prior = (float64(far.OldBad) + 1) / (float64(far.Old) + 2)
	}
	weight := float64(cnt.Old) + priorWeight
	mean := (float64(cnt.OldBad) + priorWeight*prior) / weight
	rate := mean + math.Sqrt(mean*(1-mean)/weight)
	return min(max(rate, lowestOldRate), largeOldRate)
}

// A slice is a part of the traffic that may be bad alone.
type slice struct{ kind, name string }

// logRatios holds log likelihood ratios by window age, for each effect.
type logRatios [keptWindows][len(effects)]float64

// judge runs the test: in each cell, the likelihood ratio of a version that
// makes a share of answers bad against one that is as the old version, mixed
// over effects, over starts (for badness that comes later) and over slices. A
// mean of such ratios keeps the bound on false alarms.
func (bok *book) judge(now int64) Verdict {
	cells := bok.sum(now)
	type place struct {
		zone   wick.Zone
		band   wick.LoadBand
		window int64
	}
	near := make(map[place]Count)
	far := make(map[wick.LoadBand]Count)
	var ver Verdict
	for _, cct := range cells {
		ver.Totals.add(cct.Count)
		key := place{zone: cct.Cell.Zone, band: cct.Cell.Band, window: cct.Cell.Window}
		sum := near[key]
		sum.add(cct.Count)
		near[key] = sum
		sum = far[cct.Cell.Band]
		sum.add(cct.Count)
		far[cct.Cell.Band] = sum
	}
	ratios := make(map[slice]*logRatios)
	kinds := make(map[string]int)
	for _, cct := range cells {
		age := now - cct.Cell.Window
		if cct.Count.Candidate == 0 || age < 0 || age >= keptWindows {
			continue
		}
		cel := cct.Cell
		rate := oldRate(cct.Count, near[place{zone: cel.Zone, band: cel.Band, window: cel.Window}], far[cel.Band])
		bad := float64(cct.Count.CandidateBad)
		good := float64(cct.Count.Candidate) - bad
		for _, slc := range []slice{{kind: "all"}, {"route", cel.Route}, {"zone", string(cel.Zone)}, {"band", strconv.Itoa(int(cel.Band))}} {
			lrs := ratios[slc]
			if lrs == nil {
				lrs = new(logRatios)
				ratios[slc] = lrs
				kinds[slc.kind]++
			}
			for idx, effect := range effects {
				worse := rate + (1-rate)*effect
				lrs[age][idx] += bad*math.Log(worse/rate) + good*math.Log((1-worse)/(1-rate))
			}
		}
	}
	level, top := mix(ratios, kinds)
	ver.Level = level
	if level >= StopLevel {
		ver.Reason = fmt.Sprintf("%s %s: %d of %d answers bad, old version %d of %d, test value %.0f", top.kind, top.name,
			ver.Totals.CandidateBad, ver.Totals.Candidate, ver.Totals.OldBad, ver.Totals.Old, level)
	}
	ver.Proved = ver.Reason == "" && ver.Totals.Candidate >= minProved && level < quietLevel && provedBy(ratios[slice{kind: "all"}])
	return ver
}

// mix returns the mean over starts, effects, slices and their kinds, and
// the slice that contributes most.
func mix(ratios map[slice]*logRatios, kinds map[string]int) (float64, slice) {
	var sum, most float64
	var top slice
	for slc, lrs := range ratios {
		var part float64
		var run [len(effects)]float64
		for age := range lrs {
			for idx := range effects {
				// run covers the windows from the start of this age on.
				run[idx] += lrs[age][idx]
				part += math.Exp(min(run[idx], 100))
			}
		}
		part /= float64(keptWindows * len(effects) * kinds[slc.kind] * len(kinds))
		sum += part
		if part > most {
			most, top = part, slc
		}
	}
	return sum, top
}

// provedBy reports whether the smallest effect is refuted over all windows.
func provedBy(lrs *logRatios) bool {
	var sum float64
	for age := range lrs {
		sum += lrs[age][0]
	}
	return sum <= -math.Log(proveLevel)
}
