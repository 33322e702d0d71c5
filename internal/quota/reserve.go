package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Reserve holds this entry's part of what is not allocated of the quotas, for
// the customers that it is an owner of. Its zero value keeps none.
type Reserve struct {
	// Terms are set before the first call.
	Terms Terms

	mu      sync.Mutex
	buckets map[wick.Customer]*bucket
	// part of each quota lies in the reserve.
	part float64
}

// SetOwned sets the customers that this entry is an owner of, and the number of
// entries that the rest of the quotas is allocated to. A customer that is new
// starts with an empty bucket, since the owner before may have spent it.
func (rsv *Reserve) SetOwned(names []wick.Customer, entries int, now time.Time) {
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	old := rsv.buckets
	rsv.part = (1 - allocated(entries)) / float64(ownersOf(entries))
	rsv.buckets = make(map[wick.Customer]*bucket, len(names))
	for _, cus := range names {
		if buc := old[cus]; buc != nil {
			rsv.buckets[cus] = buc
		} else {
			rsv.buckets[cus] = &bucket{at: now}
		}
	}
}

// Take spends cost units. It returns false if this entry is no owner of the
// customer's or its reserve does not hold them, and the time after which it
// would.
func (rsv *Reserve) Take(cus *wick.CustomerPlan, cost float64, now time.Time) (bool, time.Duration) {
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	buc := rsv.buckets[cus.Name]
	if buc == nil {
		return false, reserveMoving
	}
	burst := max(rsv.Terms.burst(cus.Quota)*rsv.part, cost)
	return buc.take(cost, rsv.Terms.rate(cus.Quota)*rsv.part, burst, now)
}

// reserveMoving is when a request may fit whose reserve is on its way to another owner.
const reserveMoving = time.Second
