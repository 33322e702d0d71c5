package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxOwners is the number of entries that share the unallocated part of a
	// customer's quota, so that the loss of one owner leaves the share of the
	// other.
	maxOwners = 2
	// unresponsiveCooldown is how long an owner that did not reply is skipped:
	// requests must not wait for an entry that has failed.
	unresponsiveCooldown = 500 * time.Millisecond
)

// ownerCount returns the number of owners of each customer's reserve.
func ownerCount(entries int) int { return min(maxOwners, max(entries, 1)) }

// Owners computes the owners of each customer's reserve from a set of members by
// rendezvous hashing, and caches them. All entries with the same members compute
// the same owners. The zero value has no members.
type Owners struct {
	// Members must be set before the first call.
	Members []wick.Member

	mu     sync.Mutex
	cached map[wick.Customer][]wick.Member
}

// Of returns the owners of a customer's reserve.
func (own *Owners) Of(cus wick.Customer) []wick.Member {
	own.mu.Lock()
	defer own.mu.Unlock()
	if out, ok := own.cached[cus]; ok {
		return out
	}
	num := min(ownerCount(len(own.Members)), len(own.Members))
	out := slices.Clone(place.Rank(string(cus), own.Members)[:num])
	if own.cached == nil {
		own.cached = make(map[wick.Customer][]wick.Member)
	}
	own.cached[cus] = out
	return out
}

// Owns reports whether an entry is an owner of a customer's reserve.
func (own *Owners) Owns(eid wick.EntryID, cus wick.Customer) bool {
	return slices.ContainsFunc(own.Of(cus), func(mem wick.Member) bool { return mem.ID == eid })
}

// An OwnerSelector orders the owners from which an entry requests units: round robin,
// without those that recently failed to reply. Its zero value is ready to use.
type OwnerSelector struct {
	mu           sync.Mutex
	next         int
	unresponsive map[wick.EntryID]time.Time
}

// Order returns the owners to try in turn until one grants the units. Each call
// starts at the next owner, and omits owners that are in their cooldown.
func (sel *OwnerSelector) Order(owners []wick.Member, now time.Time) []wick.Member {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.next++
	out := make([]wick.Member, 0, len(owners))
	for idx := range owners {
		owner := owners[(sel.next+idx)%len(owners)]
		if now.Sub(sel.unresponsive[owner.ID]) >= unresponsiveCooldown {
			out = append(out, owner)
		}
	}
	return out
}

// MarkUnresponsive records that an owner did not reply, which starts its cooldown.
func (sel *OwnerSelector) MarkUnresponsive(eid wick.EntryID, now time.Time) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if sel.unresponsive == nil {
		sel.unresponsive = make(map[wick.EntryID]time.Time)
	}
	for old, at := range sel.unresponsive {
		if now.Sub(at) >= unresponsiveCooldown {
			delete(sel.unresponsive, old)
		}
	}
	sel.unresponsive[eid] = now
}
