// Package quota bounds what customers use over all entries. Each entry spends
// its share of a customer's quota from a token bucket; shares follow the use
// that the entries report. It does no I/O.
package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// evenPart of each quota is split evenly over the entries, so that an
	// entry whose use begins has something to spend. The rest follows use.
	evenPart = 0.5
	// useWindow smooths the use that an entry reports.
	useWindow = 3 * time.Second
)

const (
	// slackPart is the part of the agreed overshoot and slack that is used.
	// The rest covers entries whose views of the demand differ.
	slackPart = 0.5
	// cutOffPart is left of an entry's share once the other entries may have
	// given it away.
	cutOffPart = 0.5
)

// A Book holds the buckets of one entry. Its zero value is ready to use.
type Book struct {
	// Overshoot is the share by which a quota may be exceeded, and Slack the
	// units beyond that, over all entries. They are set before the first call.
	Overshoot, Slack float64

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	// shares is the part of each customer's quota that this entry may spend.
	// A customer without a share gets even.
	shares map[wick.Customer]float64
	even   float64
}

// A bucket is one customer's part on this entry, in the quota's units.
type bucket struct {
	level float64
	at    time.Time
	// use is the smoothed demand in units a second, refused requests included.
	use   float64
	useAt time.Time
}

// A Demand is what one entry asks for each customer, in units a second.
type Demand map[wick.Customer]float64

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

// Take spends cost units. It returns false and the time after which the
// request would fit if the entry's share is used up.
func (bok *Book) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (ok bool, after time.Duration) {
	if cus.Quota.Rate <= 0 {
		return true, 0
	}
	bok.mu.Lock()
	defer bok.mu.Unlock()
	if bok.buckets == nil {
		bok.buckets = make(map[wick.Customer]*bucket)
	}
	share, known := bok.shares[cus.Name]
	if !known {
		share = bok.even
	}
	if share == 0 {
		share = 1
	}
	rate := cus.Quota.Rate * (1 + slackPart*bok.Overshoot) * share
	burst := max((cus.Quota.Burst*(1+slackPart*bok.Overshoot)+slackPart*bok.Slack)*share, cost)
	buc := bok.buckets[cus.Name]
	if buc == nil {
		buc = &bucket{level: burst, at: now, useAt: now}
		bok.buckets[cus.Name] = buc
	}
	buc.demand(cost, now)
	buc.level = min(buc.level+rate*now.Sub(buc.at).Seconds(), burst)
	buc.at = now
	if buc.level < cost {
		return false, time.Duration((cost - buc.level) / rate * float64(time.Second))
	}
	buc.level -= cost
	return true, 0
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
func (buc *bucket) demand(cost float64, now time.Time) {
	buc.use = buc.decayed(now) + cost/useWindow.Seconds()
	buc.useAt = now
}

func (buc *bucket) decayed(now time.Time) float64 {
	left := 1 - now.Sub(buc.useAt).Seconds()/(2*useWindow.Seconds())
	return buc.use * max(left, 0)
}

// Demand returns the demand of each customer in units a second.
func (bok *Book) Demand(now time.Time) Demand {
	bok.mu.Lock()
	defer bok.mu.Unlock()
	out := make(Demand, len(bok.buckets))
	for cus, buc := range bok.buckets {
		out[cus] = buc.decayed(now)
	}
	return out
}
