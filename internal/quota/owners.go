package quota

import (
	"slices"
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

// Owners finds the owners of each customer's reserve among a set of members, and
// remembers them. All entries with the same members find the same ones. The zero
// value has no members.
type Owners struct {
	// Members are set before the first call.
	Members []wick.Member

	mu    sync.Mutex
	found map[wick.Customer][]wick.Member
}

// Of returns the owners of a customer's reserve.
func (own *Owners) Of(cus wick.Customer) []wick.Member {
	own.mu.Lock()
	defer own.mu.Unlock()
	if out, ok := own.found[cus]; ok {
		return out
	}
	num := min(ownersOf(len(own.Members)), len(own.Members))
	out := slices.Clone(place.Rank(string(cus), own.Members)[:num])
	if own.found == nil {
		own.found = make(map[wick.Customer][]wick.Member)
	}
	own.found[cus] = out
	return out
}

// Owns reports whether an entry is an owner of a customer's reserve.
func (own *Owners) Owns(eid wick.EntryID, cus wick.Customer) bool {
	return slices.ContainsFunc(own.Of(cus), func(mem wick.Member) bool { return mem.ID == eid })
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
func (ask *Asker) Order(owners []wick.Member, now time.Time) []wick.Member {
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
