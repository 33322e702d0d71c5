package quota

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxOwners share what is not allocated of a customer's quota, so that the
	// loss of one leaves the part of the other.
	maxOwners = 2
	// silencePause is how long an owner that did not answer is not asked again:
	// a request must not wait for one that is gone.
	silencePause = 500 * time.Millisecond
)

// ownersOf returns the number of owners of each customer's reserve.
func ownersOf(entries int) int { return min(maxOwners, max(entries, 1)) }

// OwnersOf returns the entries that keep a customer's reserve. All entries that
// pass the same members get the same ones.
func OwnersOf(cus wick.Customer, mems []wick.Member) []wick.Member {
	return place.Rank(string(cus), mems)[:min(ownersOf(len(mems)), len(mems))]
}

// An Asker chooses the owners that an entry asks for units. Its zero value is
// ready to use.
type Asker struct {
	mu     sync.Mutex
	turn   int
	silent map[wick.EntryID]time.Time
}

// Order returns the owners to ask, one after the other until one grants. It
// begins with another one each time, and leaves out those that were silent
// lately.
func (ask *Asker) Order(cus wick.Customer, mems []wick.Member, now time.Time) []wick.Member {
	owners := OwnersOf(cus, mems)
	ask.mu.Lock()
	defer ask.mu.Unlock()
	ask.turn++
	out := make([]wick.Member, 0, len(owners))
	for idx := range owners {
		owner := owners[(ask.turn+idx)%len(owners)]
		if now.Sub(ask.silent[owner.ID]) >= silencePause {
			out = append(out, owner)
		}
	}
	return out
}

// Silent notes that an owner did not answer.
func (ask *Asker) Silent(eid wick.EntryID, now time.Time) {
	ask.mu.Lock()
	defer ask.mu.Unlock()
	if ask.silent == nil {
		ask.silent = make(map[wick.EntryID]time.Time)
	}
	for old, at := range ask.silent {
		if now.Sub(at) >= silencePause {
			delete(ask.silent, old)
		}
	}
	ask.silent[eid] = now
}
