package canary

import (
	"fmt"
	"math"
	"strconv"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// StopLevel is the value of the test statistic at which a version is bad.
	// With a known old rate, Ville's inequality would bound false alarms by
	// 0.001 per start. The old rate is estimated, so the bound doesn't hold
	// exactly; the seeded simulations measure the rate of false alarms.
	StopLevel = 1000
	// proveLevel is the odds against an added share of proveEffect bad
	// responses at which a version is proved.
	proveLevel  = 20
	proveEffect = 0.1
	minProved   = 30
	// maxProvedLevel is the test value from which a version isn't proved; good
	// versions rarely reach it by chance.
	maxProvedLevel = 10
	// defaultRate is the old version's assumed rate of bad responses in a band
	// without samples. Late responses are frequent in the first overload.
	defaultRate = 0.3
	minOldRate  = 0.01
	maxOldRate  = 0.5
	// disturbedPrior is the prior probability that a disturbance changes the
	// rate of bad responses in a zone and window, for both versions.
	disturbedPrior = 0.2
	// minControl is the number of old responses below which a group's evidence
	// is capped, as a disturbed zone can't be told from a bad version.
	minControl = 10
	// uncontrolledCap is the most that such groups of one zone add to the log
	// of the test value. A stop needs about stopLogRatio, that is three zones;
	// with fewer zones the cap per zone is higher.
	uncontrolledCap = 4.5
	stopLogRatio    = 14
)

// effects are the effect sizes of the alternative hypotheses: the shares of
// good responses that a bad version turns bad. The test averages over them.
var effects = [...]float64{proveEffect, 0.2, 0.4, 0.8}

// A Verdict is the result of the sequential test.
type Verdict struct {
	// Reason is "" unless the version is bad.
	Reason string `json:"reason,omitempty"`
	// Proved is set if the version is shown to be as good as the old one.
	Proved bool  `json:"proved"`
	Totals Count `json:"totals"`
	// Level is the value of the test; the version is bad from StopLevel on.
	Level float64 `json:"level"`
}

// disturbedRates are the possible rates of bad responses under a disturbance.
var disturbedRates = [...]float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.97}

// A logRate is the logarithm of a rate and of its complement.
type logRate struct{ bad, good float64 }

func newLogRate(rate float64) logRate { return logRate{math.Log(rate), math.Log(1 - rate)} }

func degraded(rate, effect float64) float64 { return rate + (1-rate)*effect }

// A rateTable holds the logarithms of a rate and of the degraded rate under
// each effect.
type rateTable struct {
	old      logRate
	degraded [len(effects)]logRate
}

func newRateTable(rate float64) rateTable {
	tbl := rateTable{old: newLogRate(rate)}
	for idx, effect := range effects {
		tbl.degraded[idx] = newLogRate(degraded(rate, effect))
	}
	return tbl
}

var rateTables = func() (out [len(disturbedRates)]rateTable) {
	for idx, rate := range disturbedRates {
		out[idx] = newRateTable(rate)
	}
	return out
}()

// baselineRate estimates the old version's rate of bad responses in a band: the
// smoothed mean plus one standard error, clamped.
func baselineRate(cnt Count) float64 {
	if cnt.Old == 0 {
		return defaultRate
	}
	num := float64(cnt.Old) + 2
	mean := (float64(cnt.OldBad) + 1) / num
	return min(max(mean+math.Sqrt(mean*(1-mean)/num), minOldRate), maxOldRate)
}

// logLikelihoodRatios returns the log likelihood ratio of each effect against
// no effect. The old version's rate in the group is a latent variable: the
// baseline or, under a disturbance, any of disturbedRates. The group's own old
// responses weight the possible rates.
func logLikelihoodRatios(cnt Count, baseline *rateTable) [len(effects)]float64 {
	oldBad, newBad := float64(cnt.OldBad), float64(cnt.CandidateBad)
	oldGood, newGood := float64(cnt.Old)-oldBad, float64(cnt.Candidate)-newBad
	var logWeights, nullLogs [len(disturbedRates) + 1]float64
	var nullSum float64
	table := func(idx int) *rateTable {
		if idx < len(disturbedRates) {
			return &rateTables[idx]
		}
		return baseline
	}
	maxLog := math.Inf(-1)
	for idx := range logWeights {
		prior := math.Log(disturbedPrior / float64(len(disturbedRates)))
		if idx == len(disturbedRates) {
			prior = math.Log(1 - disturbedPrior)
		}
		tbl := table(idx)
		logWeights[idx] = prior + oldBad*tbl.old.bad + oldGood*tbl.old.good
		nullLogs[idx] = logWeights[idx] + newBad*tbl.old.bad + newGood*tbl.old.good
		maxLog = max(maxLog, nullLogs[idx])
	}
	for _, val := range nullLogs {
		nullSum += math.Exp(val - maxLog)
	}
	var out [len(effects)]float64
	for eff := range effects {
		var sum float64
		for idx := range logWeights {
			tbl := table(idx)
			sum += math.Exp(logWeights[idx] + newBad*tbl.degraded[eff].bad + newGood*tbl.degraded[eff].good - maxLog)
		}
		out[eff] = math.Log(max(sum, math.SmallestNonzeroFloat64) / nullSum)
	}
	return out
}

// A slice is a part of the traffic on which a version may be bad.
type slice struct{ kind, name string }

// logRatios holds log likelihood ratios by window age, for each effect.
type logRatios [retainedWindows][len(effects)]float64

// A group is the stratum of one likelihood ratio. Route is "" for all routes.
type group struct {
	zone   wick.Zone
	band   wick.LoadBand
	window int64
	route  string
}

// A ratioSums accumulates log likelihood ratios by slice and caps those of
// groups with too few old responses.
type ratioSums struct {
	ratios map[slice]*logRatios
	kinds  map[string]int
	// uncontrolled is the sum over the capped groups by slice, zone and effect.
	uncontrolled map[uncontrolledKey]float64
	// bound is the limit of each value in uncontrolled.
	bound float64
}

type uncontrolledKey struct {
	slc    slice
	zone   wick.Zone
	effect int
}

// add adds a group's log likelihood ratios to a slice.
func (rsm *ratioSums) add(slc slice, grp group, age int64, cnt Count, lrs [len(effects)]float64) {
	sum := rsm.ratios[slc]
	if sum == nil {
		sum = new(logRatios)
		rsm.ratios[slc] = sum
		rsm.kinds[slc.kind]++
	}
	for idx, val := range lrs {
		if cnt.Old < minControl && val > 0 {
			key := uncontrolledKey{slc: slc, zone: grp.zone, effect: idx}
			val = max(min(val, rsm.bound-rsm.uncontrolled[key]), 0)
			rsm.uncontrolled[key] += val
		}
		sum[age][idx] += val
	}
}

// judge judges the candidate by its failed and late answers and by its pace. A slow
// version is bad although its answers are in time; but pace varies more than that, so a
// version need not be proved by it.
func (tri *trial) judge(now int64) Verdict {
	ver := tri.counters.judge(now)
	pace := tri.paces.judge(now)
	if ver.Reason == "" && pace.Reason != "" {
		ver.Reason, ver.Level = "slow: "+pace.Reason, pace.Level
	}
	ver.Proved = ver.Proved && pace.Level < maxProvedLevel
	return ver
}

// judge runs the sequential test: the likelihood ratio, in each group, of a
// version that degrades a share of responses against one equal to the old
// version, averaged over effects, onsets (for a later degradation) and slices.
func (cst *counterSet) judge(now int64) Verdict {
	var ver Verdict
	sums := make(map[group]Count)
	bands := make(map[wick.LoadBand]Count)
	zones := make(map[wick.Zone]bool)
	var order []group
	for _, cct := range cst.sum(now) {
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
	baseline := make(map[wick.LoadBand]*rateTable, len(bands))
	for band, cnt := range bands {
		tbl := newRateTable(baselineRate(cnt))
		baseline[band] = &tbl
	}
	rsm := &ratioSums{
		ratios: make(map[slice]*logRatios), kinds: make(map[string]int), uncontrolled: make(map[uncontrolledKey]float64),
		bound: max(uncontrolledCap, stopLogRatio/float64(max(len(zones), 1))),
	}
	for _, grp := range order {
		age, cnt := now-grp.window, sums[grp]
		if cnt.Candidate == 0 || age < 0 || age >= retainedWindows {
			continue
		}
		lrs := logLikelihoodRatios(cnt, baseline[grp.band])
		if grp.route != "" {
			rsm.add(slice{"route", grp.route}, grp, age, cnt, lrs)
			continue
		}
		rsm.add(slice{kind: "all"}, grp, age, cnt, lrs)
		rsm.add(slice{"zone", string(grp.zone)}, grp, age, cnt, lrs)
		rsm.add(slice{"band", strconv.Itoa(int(grp.band))}, grp, age, cnt, lrs)
	}
	level, top := mixtureMean(rsm.ratios, rsm.kinds)
	ver.Level = level
	if level >= StopLevel {
		ver.Reason = fmt.Sprintf("%s %s: %d of %d answers bad, old version %d of %d, test value %.0f", top.kind, top.name,
			ver.Totals.CandidateBad, ver.Totals.Candidate, ver.Totals.OldBad, ver.Totals.Old, level)
	}
	ver.Proved = ver.Reason == "" && ver.Totals.Candidate >= minProved && level < maxProvedLevel && refutesSmallest(rsm.ratios[slice{kind: "all"}])
	return ver
}

// mixtureMean returns the mean likelihood ratio over onsets, effects, slices and
// their kinds, and the slice that contributes most.
func mixtureMean(ratios map[slice]*logRatios, kinds map[string]int) (float64, slice) {
	var sum, largest float64
	var top slice
	for slc, lrs := range ratios {
		var part float64
		var cumulative [len(effects)]float64
		for age := range lrs {
			for idx := range effects {
				// cumulative covers the windows from the one of this age to the newest.
				cumulative[idx] += lrs[age][idx]
				part += math.Exp(min(cumulative[idx], 100))
			}
		}
		part /= float64(retainedWindows * len(effects) * kinds[slc.kind] * len(kinds))
		sum += part
		if part > largest {
			largest, top = part, slc
		}
	}
	return sum, top
}

// refutesSmallest reports whether the smallest effect is refuted over all
// windows.
func refutesSmallest(lrs *logRatios) bool {
	var sum float64
	for age := range lrs {
		sum += lrs[age][0]
	}
	return sum <= -math.Log(proveLevel)
}
