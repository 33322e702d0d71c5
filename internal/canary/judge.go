package canary

import (
	"fmt"
	"math"
	"strconv"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// StopLevel is the value of the test at which a version is bad. With a
	// known old rate Ville's inequality would bound false alarms by 0.001 per
	// start; the old rate is estimated, so the seeded runs measure them.
	StopLevel = 1000
	// proveLevel is the odds against a version that adds proveEffect bad
	// answers, at which it is proved.
	proveLevel  = 20
	proveEffect = 0.1
	minProved   = 30
	// quietLevel is above what good versions reach by chance.
	quietLevel = 10
	// defaultRate is assumed in a band without old answers. Late answers are
	// frequent in the first overload.
	defaultRate   = 0.3
	lowestOldRate = 0.01
	largeOldRate  = 0.5
	// troubled is the prior probability that a zone has another rate of bad
	// answers in a window than before, for both versions.
	troubled = 0.2
	// minControl is the number of old answers in a group without which the
	// group's evidence is bounded: a zone in trouble looks the same then.
	minControl = 10
	// zoneBound is the most that such groups of one zone add to the log of
	// the test; a stop needs about stopNeed, that is three zones. With fewer
	// zones each may add more.
	zoneBound = 4.5
	stopNeed  = 14
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

// rates are the rates of bad answers that trouble may bring.
var rates = [...]float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.97}

// A logRate is the logarithm of a rate and of its complement.
type logRate struct{ bad, good float64 }

func newLogRate(rate float64) logRate { return logRate{math.Log(rate), math.Log(1 - rate)} }

func worse(rate, effect float64) float64 { return rate + (1-rate)*effect }

// A rateTable holds a rate and what each effect makes of it.
type rateTable struct {
	old   logRate
	worse [len(effects)]logRate
}

func newRateTable(rate float64) rateTable {
	tbl := rateTable{old: newLogRate(rate)}
	for idx, effect := range effects {
		tbl.worse[idx] = newLogRate(worse(rate, effect))
	}
	return tbl
}

var rateTables = func() (out [len(rates)]rateTable) {
	for idx, rate := range rates {
		out[idx] = newRateTable(rate)
	}
	return out
}()

// usualRate estimates a band's rate of bad answers of the old version.
func usualRate(cnt Count) float64 {
	if cnt.Old == 0 {
		return defaultRate
	}
	num := float64(cnt.Old) + 2
	mean := (float64(cnt.OldBad) + 1) / num
	return min(max(mean+math.Sqrt(mean*(1-mean)/num), lowestOldRate), largeOldRate)
}

// ratio returns the log likelihood ratio of each effect against none. The rate
// of the old version in the group is unknown: the usual one, or in trouble any
// other, and the group's own old answers tell which.
func ratio(cnt Count, usual *rateTable) [len(effects)]float64 {
	oldBad, newBad := float64(cnt.OldBad), float64(cnt.CandidateBad)
	oldGood, newGood := float64(cnt.Old)-oldBad, float64(cnt.Candidate)-newBad
	var olds, nones [len(rates) + 1]float64
	var none float64
	table := func(idx int) *rateTable {
		if idx < len(rates) {
			return &rateTables[idx]
		}
		return usual
	}
	most := math.Inf(-1)
	for idx := range olds {
		prior := math.Log(troubled / float64(len(rates)))
		if idx == len(rates) {
			prior = math.Log(1 - troubled)
		}
		tbl := table(idx)
		olds[idx] = prior + oldBad*tbl.old.bad + oldGood*tbl.old.good
		nones[idx] = olds[idx] + newBad*tbl.old.bad + newGood*tbl.old.good
		most = max(most, nones[idx])
	}
	for _, val := range nones {
		none += math.Exp(val - most)
	}
	var out [len(effects)]float64
	for eff := range effects {
		var sum float64
		for idx := range olds {
			tbl := table(idx)
			sum += math.Exp(olds[idx] + newBad*tbl.worse[eff].bad + newGood*tbl.worse[eff].good - most)
		}
		out[eff] = math.Log(max(sum, math.SmallestNonzeroFloat64) / none)
	}
	return out
}

// A slice is a part of the traffic that may be bad alone.
type slice struct{ kind, name string }

// logRatios holds log likelihood ratios by window age, for each effect.
type logRatios [keptWindows][len(effects)]float64

// A group is what one likelihood ratio is computed over. Route is "" for all.
type group struct {
	zone   wick.Zone
	band   wick.LoadBand
	window int64
	route  string
}

// A ratioSums holds ratios by slice, with what groups without control added.
type ratioSums struct {
	ratios map[slice]*logRatios
	kinds  map[string]int
	// loose is the sum of groups without control by slice, zone and effect.
	loose map[looseKey]float64
	// bound is the limit of loose.
	bound float64
}

type looseKey struct {
	slc    slice
	zone   wick.Zone
	effect int
}

// add adds a group's ratios to a slice.
func (rsm *ratioSums) add(slc slice, grp group, age int64, cnt Count, lrs [len(effects)]float64) {
	sum := rsm.ratios[slc]
	if sum == nil {
		sum = new(logRatios)
		rsm.ratios[slc] = sum
		rsm.kinds[slc.kind]++
	}
	for idx, val := range lrs {
		if cnt.Old < minControl && val > 0 {
			key := looseKey{slc: slc, zone: grp.zone, effect: idx}
			val = max(min(val, rsm.bound-rsm.loose[key]), 0)
			rsm.loose[key] += val
		}
		sum[age][idx] += val
	}
}

// judge runs the test: in each group, the likelihood ratio of a version that
// makes a share of answers bad against one that is as the old version, mixed
// over effects, over starts (for badness that comes later) and over slices.
func (bok *book) judge(now int64) Verdict {
	var ver Verdict
	sums := make(map[group]Count)
	bands := make(map[wick.LoadBand]Count)
	zones := make(map[wick.Zone]bool)
	var order []group
	for _, cct := range bok.sum(now) {
		cel := cct.Cell
		ver.Totals.add(cct.Count)
		zones[cel.Zone] = true
		sum := bands[cel.Band]
		sum.add(cct.Count)
		bands[cel.Band] = sum
		for _, route := range []string{"", cel.Route} {
			grp := group{zone: cel.Zone, band: cel.Band, window: cel.Window, route: route}
			sum, ok := sums[grp]
			if !ok {
				order = append(order, grp)
			}
			sum.add(cct.Count)
			sums[grp] = sum
		}
	}
	usual := make(map[wick.LoadBand]*rateTable, len(bands))
	for band, cnt := range bands {
		tbl := newRateTable(usualRate(cnt))
		usual[band] = &tbl
	}
	rsm := &ratioSums{
		ratios: make(map[slice]*logRatios), kinds: make(map[string]int), loose: make(map[looseKey]float64),
		bound: max(zoneBound, stopNeed/float64(max(len(zones), 1))),
	}
	for _, grp := range order {
		age, cnt := now-grp.window, sums[grp]
		if cnt.Candidate == 0 || age < 0 || age >= keptWindows {
			continue
		}
		lrs := ratio(cnt, usual[grp.band])
		if grp.route != "" {
			rsm.add(slice{"route", grp.route}, grp, age, cnt, lrs)
			continue
		}
		rsm.add(slice{kind: "all"}, grp, age, cnt, lrs)
		rsm.add(slice{"zone", string(grp.zone)}, grp, age, cnt, lrs)
		rsm.add(slice{"band", strconv.Itoa(int(grp.band))}, grp, age, cnt, lrs)
	}
	level, top := mix(rsm.ratios, rsm.kinds)
	ver.Level = level
	if level >= StopLevel {
		ver.Reason = fmt.Sprintf("%s %s: %d of %d answers bad, old version %d of %d, test value %.0f", top.kind, top.name,
			ver.Totals.CandidateBad, ver.Totals.Candidate, ver.Totals.OldBad, ver.Totals.Old, level)
	}
	ver.Proved = ver.Reason == "" && ver.Totals.Candidate >= minProved && level < quietLevel && provedBy(rsm.ratios[slice{kind: "all"}])
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
