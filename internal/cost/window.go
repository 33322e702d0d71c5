package cost

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// windowSize is the number of latest samples in a window.
	windowSize = 64
	// retention is the age from which samples are ignored, decayTime the time constant with
	// which younger ones lose weight.
	retention = time.Minute
	decayTime = 20 * time.Second
	// highQuantile is the quantile of stats.high, topQuantile that of stats.top, which stands
	// for the largest values without outliers.
	highQuantile = 0.9
	topQuantile  = 0.95
	// minShrinkage and maxShrinkage bound the weight, in samples, of the estimate of a more
	// general level.
	minShrinkage = 1.0
	maxShrinkage = 4.0
)

// A window holds the latest samples of a key. Its zero value is empty.
type window struct {
	vals [windowSize]float32
	// at is when each sample was added, in milliseconds modulo 2^32.
	at        [windowSize]uint32
	num, next int
	// sts are the statistics as of updatedAt.
	sts       stats
	updatedAt time.Duration
}

// stats are the statistics of a window, weighted by the age of the samples. The zero value is
// that of an empty window.
type stats struct {
	// weight is the sum of the weights of the samples, which is at most their number.
	weight float64
	// mean, median, high and top describe the values; spread is the mean absolute
	// logarithm of the ratio of a value to the median, deviation the root mean square of these
	// logarithms, which outliers dominate.
	mean, median, high, top, spread, deviation float64
}

// A sample is a value with its weight.
type sample struct{ val, weight float64 }

// add adds a sample. The times of successive samples don't decrease.
func (win *window) add(val float64, at time.Duration) {
	win.vals[win.next], win.at[win.next] = float32(val), millis(at)
	win.next = (win.next + 1) % windowSize
	win.num = min(win.num+1, windowSize)
	win.updatedAt = at
	win.sts = win.compute(at)
}

// millis returns a time in milliseconds modulo 2^32. Differences are right across an overflow.
func millis(at time.Duration) uint32 { return uint32(at.Milliseconds()) } //nolint:gosec // the overflow is intended

// compute returns the statistics at a time.
func (win *window) compute(now time.Duration) stats {
	var buf [windowSize]sample
	smps := buf[:0]
	var out stats
	for idx := range win.num {
		age := time.Duration(millis(now)-win.at[idx]) * time.Millisecond
		if age > retention {
			continue
		}
		smp := sample{float64(win.vals[idx]), math.Exp(-age.Seconds() / decayTime.Seconds())}
		out.weight += smp.weight
		out.mean += smp.weight * smp.val
		smps = append(smps, smp)
	}
	if out.weight <= 0 {
		return stats{}
	}
	out.mean /= out.weight
	slices.SortFunc(smps, func(one, two sample) int { return cmp.Compare(one.val, two.val) })
	out.median = quantile(smps, 0.5*out.weight)
	out.high = quantile(smps, highQuantile*out.weight)
	out.top = quantile(smps, topQuantile*out.weight)
	for _, smp := range smps {
		off := math.Log(smp.val / out.median)
		out.spread += smp.weight * math.Abs(off) / out.weight
		out.deviation += smp.weight * off * off / out.weight
	}
	out.deviation = math.Sqrt(out.deviation)
	return out
}

// quantile returns the first of the sorted samples at which the sum of the weights reaches a
// weight.
func quantile(smps []sample, weight float64) float64 {
	for _, smp := range smps {
		if weight -= smp.weight; weight <= 0 {
			return smp.val
		}
	}
	return smps[len(smps)-1].val
}

// current returns the statistics at a time after the last sample.
func (win *window) current(now time.Duration) stats {
	age := now - win.updatedAt
	if age > retention {
		return stats{}
	}
	out := win.sts
	out.weight *= math.Exp(-age.Seconds() / decayTime.Seconds())
	return out
}

// refine returns the statistics of a more specific window, shrunk towards the more general
// ones. The shrinkage is smaller where the specific values have a smaller spread.
func (sts stats) refine(spc stats) stats {
	if spc.weight <= 0 {
		return sts
	}
	prior := maxShrinkage
	if sts.spread > 0 {
		prior *= min(max(spc.spread*spc.spread/(sts.spread*sts.spread), minShrinkage/maxShrinkage), 1)
	}
	part := spc.weight / (spc.weight + prior)
	mix := func(general, specific float64) float64 { return general + part*(specific-general) }
	return stats{
		weight: sts.weight, mean: mix(sts.mean, spc.mean), median: mix(sts.median, spc.median),
		high: mix(sts.high, spc.high), top: mix(sts.top, spc.top), spread: mix(sts.spread, spc.spread),
		deviation: mix(sts.deviation, spc.deviation),
	}
}
