package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Pot holds the part of the quotas that is not dealt, for the customers whose
// keeper this entry is. Its zero value keeps none.
type Pot struct {
	// Terms are set before the first call.
	Terms Terms

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	// part of the quotas lies in the pot.
	part float64
}

// Keep sets the customers whose keeper this entry is, and the number of entries
// that the rest of the quotas is dealt to. A customer that is new
// starts with an empty bucket, since the keeper before may have spent it.
func (pot *Pot) Keep(names []wick.Customer, entries int, now time.Time) {
	pot.mu.Lock()
	defer pot.mu.Unlock()
	old := pot.buckets
	pot.part = 1 - dealt(entries)
	pot.buckets = make(map[wick.Customer]*bucket, len(names))
	for _, cus := range names {
		if buc := old[cus]; buc != nil {
			pot.buckets[cus] = buc
		} else {
			pot.buckets[cus] = &bucket{at: now}
		}
	}
}

// Take spends cost units. It returns false if this entry is not the customer's
// keeper or the pot does not hold them, and the time after which it would.
func (pot *Pot) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (bool, time.Duration) {
	pot.mu.Lock()
	defer pot.mu.Unlock()
	buc := pot.buckets[cus.Name]
	if buc == nil {
		return false, potMoving
	}
	burst := max(pot.Terms.burst(cus.Quota)*pot.part, cost)
	return buc.take(cost, cus.Quota.Rate*pot.part, burst, now)
}

// potMoving is when a request may fit whose pot is on its way to another keeper.
const potMoving = time.Second
