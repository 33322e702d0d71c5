// Package quota bounds what customers use over all entries. A part of each
// quota is allocated to the entries, following the use that they report; the rest
// lies in a reserve that one entry keeps for all, and that the others ask when their
// part is used up. Both are token buckets. It does no I/O.
package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// mostAllocated of each quota is allocated to the entries, and at most entryAllocation to
	// each: a part that holds no whole request is of no use to an entry.
	mostAllocated   = 0.4
	entryAllocation = 0.08
	// evenPart of what is allocated goes to all entries alike, so that an entry
	// whose use begins has something to spend. The rest follows use.
	evenPart = 0.5
	// slackPart is the part of the agreed overshoot and slack that is used.
	// The rest covers entries whose views of the demand differ.
	slackPart = 0.6
	// burstPart of what a window allows may be used at once.
	burstPart = 0.25
	// cutOffPart is left of an entry's part once the other entries may have
	// given it away.
	cutOffPart = 0.5
	// useWindow smooths the use that an entry reports.
	useWindow = 3 * time.Second
)

// Terms are what operators agree on for all quotas.
type Terms struct {
	// Overshoot is the share by which a quota may be exceeded over Window,
	// Slack the units beyond that.
	Overshoot, Slack float64
	Window           time.Duration
}

// limit returns the units that may be used in any window.
func (trm Terms) limit(quo wick.Quota) float64 {
	agreed := quo.Rate*trm.Window.Seconds() + quo.Burst
	return agreed + slackPart*(trm.Overshoot*agreed+trm.Slack)
}

// burst returns the units that may be used at once: a part of the limit, but at
// least the quota's own burst and at most what its own rate leaves of a window.
func (trm Terms) burst(quo wick.Quota) float64 {
	lim := trm.limit(quo)
	return max(quo.Burst, min(burstPart*lim, lim-quo.Rate*trm.Window.Seconds()))
}

// rate returns the units a second that flow into a bucket that is not full; it
// is at least the quota's own rate. A bucket of this rate and burst keeps to the
// limit of each window, and serves a lasting demand with the window's slack too.
func (trm Terms) rate(quo wick.Quota) float64 {
	if trm.Window <= 0 {
		return quo.Rate
	}
	return (trm.limit(quo) - trm.burst(quo)) / trm.Window.Seconds()
}

// allocated returns the part of each quota that is allocated to a number of entries. It
// falls as they grow in number, and the reserve grows.
func allocated(entries int) float64 {
	num := float64(max(entries, 1))
	return min(mostAllocated, entryAllocation*num, mostAllocated*fewEntries/num)
}

// fewEntries is the number of entries up to which mostAllocated is allocated.
const fewEntries = 6

// Cost returns the units that a request takes from a quota.
func Cost(quo wick.Quota, ask wick.Ask) float64 {
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

// take spends cost if the bucket, refilled at rate up to burst, holds it.
// Otherwise it returns the time until it does.
func (buc *bucket) take(cost, rate, burst float64, now time.Time) (bool, time.Duration) {
	buc.level = min(buc.level+rate*max(now.Sub(buc.at).Seconds(), 0), burst)
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

// A Demand is what one entry asks for each customer, in units a second.
type Demand map[wick.Customer]float64

// A Book holds the buckets of one entry for the allocated parts.
type Book struct {
	// Terms are set before the first call.
	Terms Terms

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	use     map[wick.Customer]*use
	// shares is the part of the allocated quota that this entry may spend. A
	// customer without a share gets even.
	shares map[wick.Customer]float64
	even   float64
	// allocated is the part of the quotas that is allocated to all entries.
	allocated float64
}

// A use is the smoothed demand of a customer, refused requests included.
type use struct {
	rate float64
	at   time.Time
}

func (use *use) decayed(now time.Time) float64 {
	left := 1 - now.Sub(use.at).Seconds()/(2*useWindow.Seconds())
	return use.rate * max(left, 0)
}

// SetShares sets the entry's share of each quota from the demand that the
// entries have published. Own must be what the others read of this entry, not
// newer: otherwise the shares of a growing demand add up to more than 1. With
// cutOff the others may have given this entry's share away.
func (bok *Book) SetShares(own Demand, others []Demand, cutOff bool) {
	bok.mu.Lock()
	defer bok.mu.Unlock()
	factor := 1.0
	if cutOff {
		factor = cutOffPart
	}
	bok.even = factor / float64(len(others)+1)
	bok.allocated = allocated(len(others) + 1)
	total := make(Demand)
	for _, dem := range append(others, own) {
		for cus, val := range dem {
			total[cus] += val
		}
	}
	bok.shares = make(map[wick.Customer]float64, len(total))
	for cus, sum := range total {
		if sum > 0 {
			bok.shares[cus] = evenPart*bok.even + (1-evenPart)*factor*own[cus]/sum
		}
	}
}

// Take spends cost units of the entry's part. It returns false and the time
// after which the request would fit if the part is used up.
func (bok *Book) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (ok bool, after time.Duration) {
	if cus.Quota.Rate <= 0 {
		return true, 0
	}
	bok.mu.Lock()
	defer bok.mu.Unlock()
	bok.demand(cus.Name, cost, now)
	share, known := bok.shares[cus.Name]
	if !known {
		share = bok.even
	}
	share *= bok.allocated
	burst := bok.Terms.burst(cus.Quota) * share
	buc := bok.buckets[cus.Name]
	if buc == nil {
		buc = &bucket{level: burst, at: now}
		if bok.buckets == nil {
			bok.buckets = make(map[wick.Customer]*bucket)
		}
		bok.buckets[cus.Name] = buc
	}
	return buc.take(cost, bok.Terms.rate(cus.Quota)*share, burst, now)
}

// TakeRest empties the entry's part for a request of cost units that Take has
// refused, and returns what it held. The rest has to come from the reserve;
// otherwise the units must be given back with Refund.
func (bok *Book) TakeRest(cus *wick.CustomerPlan, cost float64) float64 {
	bok.mu.Lock()
	defer bok.mu.Unlock()
	buc := bok.buckets[cus.Name]
	if buc == nil {
		return 0
	}
	part := min(max(buc.level, 0), cost)
	buc.level -= part
	return part
}

// Refund gives back what a request took that did not run.
func (bok *Book) Refund(cus *wick.CustomerPlan, cost float64) {
	bok.mu.Lock()
	defer bok.mu.Unlock()
	if buc := bok.buckets[cus.Name]; buc != nil {
		buc.level += cost
	}
}

// demand adds to the smoothed use.
func (bok *Book) demand(cus wick.Customer, cost float64, now time.Time) {
	if bok.use == nil {
		bok.use = make(map[wick.Customer]*use)
	}
	one := bok.use[cus]
	if one == nil {
		one = &use{}
		bok.use[cus] = one
	}
	one.rate = one.decayed(now) + cost/useWindow.Seconds()
	one.at = now
}

// Demand returns the demand of each customer in units a second.
func (bok *Book) Demand(now time.Time) Demand {
	bok.mu.Lock()
	defer bok.mu.Unlock()
	out := make(Demand, len(bok.use))
	for cus, one := range bok.use {
		out[cus] = one.decayed(now)
	}
	return out
}
