// Package quota enforces the quotas of customers across all entries. A part of
// each quota is allocated to the entries in proportion to the demand that they
// publish; the rest is a reserve, split between a few owner entries, from which
// the other entries request units when their allocation is used up. Both are
// token buckets. The package does no I/O.
package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxAllocatedShare is the largest fraction of a quota that is allocated to
	// all entries, and maxEntryShare the largest for each of them. With many
	// entries the allocated fraction falls, since an allocation smaller than
	// one request is of no use to an entry.
	maxAllocatedShare = 0.4
	maxEntryShare     = 0.08
	// evenFraction is the fraction of the allocated units that is split evenly, so
	// that an entry whose demand begins has units to spend. The rest is split
	// in proportion to demand.
	evenFraction = 0.5
	// slackFraction is the fraction of the permitted overshoot and slack that is
	// granted. The rest covers entries whose views of the demand differ.
	slackFraction = 0.6
	// burstFraction is the fraction of a window's limit that may be used at once.
	burstFraction = 0.25
	// partitionedFraction is the fraction of its allocation that a partitioned entry
	// keeps, since the other entries may have reassigned its share.
	partitionedFraction = 0.5
	// demandWindow is the smoothing window of the demand that an entry publishes.
	demandWindow = 3 * time.Second
)

// Tolerance specifies by how much any quota may be exceeded.
type Tolerance struct {
	// Overshoot is the fraction by which a quota may be exceeded over Window,
	// and Slack the number of units beyond that.
	Overshoot, Slack float64
	Window           time.Duration
}

// limit returns the units that may be used in any window.
func (tol Tolerance) limit(quo wick.Quota) float64 {
	nominal := quo.Rate*tol.Window.Seconds() + quo.Burst
	return nominal + slackFraction*(tol.Overshoot*nominal+tol.Slack)
}

// burst returns the units that may be used at once: a fraction of the limit, but
// at least the quota's own burst, and at most the limit less what the quota's own
// rate provides in a window.
func (tol Tolerance) burst(quo wick.Quota) float64 {
	lim := tol.limit(quo)
	return max(quo.Burst, min(burstFraction*lim, lim-quo.Rate*tol.Window.Seconds()))
}

// rate returns the refill rate of a bucket in units per second; it is at least
// the quota's own rate. A bucket with this rate and burst stays within the limit
// of every window, and grants the slack of each window to sustained demand.
func (tol Tolerance) rate(quo wick.Quota) float64 {
	if tol.Window <= 0 {
		return quo.Rate
	}
	return (tol.limit(quo) - tol.burst(quo)) / tol.Window.Seconds()
}

// allocatedShare returns the fraction of each quota that is allocated to a number
// of entries. Beyond fullShareEntries, it falls and the reserve grows as entries
// are added.
func allocatedShare(entries int) float64 {
	num := float64(max(entries, 1))
	return min(maxAllocatedShare, maxEntryShare*num, maxAllocatedShare*fullShareEntries/num)
}

// fullShareEntries is the largest number of entries to which maxAllocatedShare is
// allocated.
const fullShareEntries = 6

// Cost returns the units that a request consumes from a quota.
func Cost(quo wick.Quota, ask wick.RequestMeta) float64 {
	switch {
	case !quo.ByTokens:
		return 1
	case ask.InputTokens+ask.OutputTokens > 0:
		return float64(ask.InputTokens + ask.OutputTokens)
	default:
		return quo.PlainTokens
	}
}

// A bucket is a token bucket in the quota's units.
type bucket struct {
	level float64
	at    time.Time
}

// available returns the level of the bucket when it is refilled at rate up to burst.
func (buc *bucket) available(rate, burst float64, now time.Time) float64 {
	return min(buc.level+rate*max(now.Sub(buc.at).Seconds(), 0), burst)
}

// take refills the bucket at rate up to burst and spends cost if the level
// suffices. Otherwise it returns the time until it does.
func (buc *bucket) take(cost, rate, burst float64, now time.Time) (bool, time.Duration) {
	buc.level = buc.available(rate, burst, now)
	buc.at = now
	if buc.level < cost {
		if rate <= 0 {
			return false, time.Second
		}
		return false, time.Duration((cost - buc.level) / rate * float64(time.Second))
	}
	buc.level -= cost
	return true, 0
}

// A Demand is the demand of one entry by customer, in units per second.
type Demand map[wick.Customer]float64

// Allocation holds the token buckets for one entry's allocation of each quota.
type Allocation struct {
	// Tolerance must be set before the first call.
	Tolerance Tolerance

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	demands map[wick.Customer]*demand
	// shares is the fraction of the allocated quota that this entry may spend.
	// A customer without a share gets evenShare.
	shares    map[wick.Customer]float64
	evenShare float64
	// allocatedShare is the fraction of the quotas that is allocated to all
	// entries.
	allocatedShare float64
}

// A demand is the smoothed demand of a customer, refused requests included.
type demand struct {
	rate float64
	at   time.Time
}

func (dem *demand) decayed(now time.Time) float64 {
	left := 1 - now.Sub(dem.at).Seconds()/(2*demandWindow.Seconds())
	return dem.rate * max(left, 0)
}

// SetShares sets the entry's share of each quota from the demand that the
// entries have published. Own must be the demand that the other entries have read
// from this one, not a newer value: otherwise the shares of a growing demand add
// up to more than 1. Partitioned means that the other entries may have reassigned
// this entry's share.
func (alc *Allocation) SetShares(own Demand, others []Demand, partitioned bool) {
	alc.mu.Lock()
	defer alc.mu.Unlock()
	factor := 1.0
	if partitioned {
		factor = partitionedFraction
	}
	alc.evenShare = factor / float64(len(others)+1)
	alc.allocatedShare = allocatedShare(len(others) + 1)
	total := make(Demand)
	for _, dem := range append(others, own) {
		for cus, val := range dem {
			total[cus] += val
		}
	}
	alc.shares = make(map[wick.Customer]float64, len(total))
	for cus, sum := range total {
		if sum > 0 {
			alc.shares[cus] = evenFraction*alc.evenShare + (1-evenFraction)*factor*own[cus]/sum
		}
	}
}

// Take spends cost units of the entry's allocation. If too few are left, it
// returns false and the time after which the request would fit.
func (alc *Allocation) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (ok bool, after time.Duration) {
	if cus.Quota.Rate <= 0 {
		return true, 0
	}
	alc.mu.Lock()
	defer alc.mu.Unlock()
	alc.recordDemand(cus.Name, cost, now)
	rate, burst := alc.limits(cus)
	buc := alc.buckets[cus.Name]
	if buc == nil {
		buc = &bucket{level: burst, at: now}
		if alc.buckets == nil {
			alc.buckets = make(map[wick.Customer]*bucket)
		}
		alc.buckets[cus.Name] = buc
	}
	return buc.take(cost, rate, burst, now)
}

// limits returns the rate and the burst of this entry's allocation. alc.mu must be held.
func (alc *Allocation) limits(cus *wick.CustomerPlan) (rate, burst float64) {
	share, known := alc.shares[cus.Name]
	if !known {
		share = alc.evenShare
	}
	share *= alc.allocatedShare
	return alc.Tolerance.rate(cus.Quota) * share, alc.Tolerance.burst(cus.Quota) * share
}

// Left returns the units that the entry's allocation has left. It spends none and counts
// no demand.
func (alc *Allocation) Left(cus *wick.CustomerPlan, now time.Time) float64 {
	alc.mu.Lock()
	defer alc.mu.Unlock()
	rate, burst := alc.limits(cus)
	buc := alc.buckets[cus.Name]
	if buc == nil {
		return burst
	}
	return buc.available(rate, burst, now)
}

// TakeAvailable spends up to cost units, as many as the entry's allocation has left,
// for a request that Take refused, and returns their number. The caller must
// obtain the remainder from the reserve, or else return the units with Refund.
func (alc *Allocation) TakeAvailable(cus *wick.CustomerPlan, cost float64) float64 {
	alc.mu.Lock()
	defer alc.mu.Unlock()
	buc := alc.buckets[cus.Name]
	if buc == nil {
		return 0
	}
	available := min(max(buc.level, 0), cost)
	buc.level -= available
	return available
}

// Refund returns the units of a request that did not run.
func (alc *Allocation) Refund(cus *wick.CustomerPlan, cost float64) {
	alc.mu.Lock()
	defer alc.mu.Unlock()
	if buc := alc.buckets[cus.Name]; buc != nil {
		buc.level += cost
	}
}

// recordDemand adds a request to the customer's smoothed demand.
func (alc *Allocation) recordDemand(cus wick.Customer, cost float64, now time.Time) {
	if alc.demands == nil {
		alc.demands = make(map[wick.Customer]*demand)
	}
	dem := alc.demands[cus]
	if dem == nil {
		dem = &demand{}
		alc.demands[cus] = dem
	}
	dem.rate = dem.decayed(now) + cost/demandWindow.Seconds()
	dem.at = now
}

// Demand returns the smoothed demand of each customer in units per second.
func (alc *Allocation) Demand(now time.Time) Demand {
	alc.mu.Lock()
	defer alc.mu.Unlock()
	out := make(Demand, len(alc.demands))
	for cus, dem := range alc.demands {
		out[cus] = dem.decayed(now)
	}
	return out
}
