package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Reserve is this entry's share of the unallocated part of the quotas, for the
// customers whose reserve it owns. Its zero value owns none.
type Reserve struct {
	// Tolerance must be set before the first call.
	Tolerance Tolerance

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	// share is the fraction of each quota that this reserve holds.
	share float64
}

// SetOwned sets the customers whose reserve this entry owns, and the number of
// entries that share the allocated part of the quotas. A newly owned customer
// starts with an empty bucket, since the previous owner may have spent the units.
func (rsv *Reserve) SetOwned(names []wick.Customer, entries int, now time.Time) {
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	old := rsv.buckets
	rsv.share = (1 - allocatedShare(entries)) / float64(ownerCount(entries))
	rsv.buckets = make(map[wick.Customer]*bucket, len(names))
	for _, cus := range names {
		if buc := old[cus]; buc != nil {
			rsv.buckets[cus] = buc
		} else {
			rsv.buckets[cus] = &bucket{at: now}
		}
	}
}

// Take spends cost units. If this entry does not own the customer's reserve or
// the reserve has too few units, it returns false and the time after which a
// retry may succeed.
func (rsv *Reserve) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (bool, time.Duration) {
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	buc := rsv.buckets[cus.Name]
	if buc == nil {
		return false, reserveMoveDelay
	}
	burst := max(rsv.Tolerance.burst(cus.Quota)*rsv.share, cost)
	return buc.take(cost, rsv.Tolerance.rate(cus.Quota)*rsv.share, burst, now)
}

// reserveMoveDelay is the retry delay while a reserve moves to another owner.
const reserveMoveDelay = time.Second
