// Package notice keeps what every entry must know soon: stops of bad versions
// and endpoints that are leaving. Both sets only grow, and pass from entry to
// entry until all hold the same.
package notice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Bounds of the sets. Both sets fit into one message at these sizes.
const (
	// maxStops covers the stops of the newest bundle versions; a move of an
	// older version is over.
	maxStops   = 1024
	maxLeaving = 4096
	maxText    = 256
	// keepLeaving is how long an endpoint is kept after it left the list.
	keepLeaving = 10 * time.Minute
	// keepExpired is how long an expired endpoint is not taken back from
	// peers that expire it later because their list lags.
	keepExpired = 2 * keepLeaving
)

// A Stop says that a version is bad. It is final for its move.
type Stop struct {
	Move    wick.MoveID       `cbor:"1,keyasint" json:"move"`
	Service wick.Service      `cbor:"2,keyasint" json:"service"`
	Version wick.ModelVersion `cbor:"3,keyasint" json:"version"`
	// Reason and Evidence are text of at most 256 bytes.
	Reason   string       `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	Evidence string       `cbor:"5,keyasint,omitempty" json:"evidence,omitempty"`
	From     wick.EntryID `cbor:"6,keyasint,omitempty" json:"from,omitempty"`
}

// A Leaving says that an endpoint is leaving.
type Leaving struct {
	VM    wick.VMID `cbor:"1,keyasint" json:"vm"`
	Since time.Time `cbor:"2,keyasint" json:"since"`
	// Source is where the notice came from first: the list, the endpoint's load
	// report or its refusal.
	Source string `cbor:"3,keyasint,omitempty" json:"source,omitempty"`
}

// A Set holds the notices of one entry. Its zero value is empty and ready to
// use. All methods take the time.
type Set struct {
	mu sync.Mutex
	// stops holds at most maxStops, those of the highest bundle versions.
	stops map[wick.MoveID]Stop
	// leaving holds at most maxLeaving, the newest.
	leaving map[wick.VMID]Leaving
	// gone holds when a leaving endpoint was first missing from the list.
	gone map[wick.VMID]time.Time
	// expired holds when an endpoint was removed.
	expired map[wick.VMID]time.Time
	// onStop and onLeaving are called for first receipts.
	onStop    []func(Stop)
	onLeaving []func(Leaving)
}

// OnStop calls fn for every stop when it is first received.
func (set *Set) OnStop(fn func(Stop)) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.onStop = append(set.onStop, fn)
}

// OnLeaving calls fn for every leaving endpoint when it is first received.
func (set *Set) OnLeaving(fn func(Leaving)) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.onLeaving = append(set.onLeaving, fn)
}

// moveVersion returns the bundle version of a move id, or 0 if it is malformed.
func moveVersion(mid wick.MoveID) wick.BundleVersion {
	text := string(mid)
	for idx := range text {
		if text[idx] == '-' {
			ver, ok := bundle.ParseName(text[:idx])
			if !ok || idx+1 == len(text) {
				return 0
			}
			return ver
		}
	}
	return 0
}

// AddStops adds stops and returns those that are new and well-formed.
func (set *Set) AddStops(stops ...Stop) []Stop {
	set.mu.Lock()
	if set.stops == nil {
		set.stops = make(map[wick.MoveID]Stop)
	}
	var added []Stop
	for _, stp := range stops {
		_, known := set.stops[stp.Move]
		long := len(stp.Move) > maxText || len(stp.Service) > maxText || len(stp.Version) > maxText || len(stp.From) > maxText
		if known || long || moveVersion(stp.Move) == 0 {
			continue
		}
		stp.Reason, stp.Evidence = shorten(stp.Reason), shorten(stp.Evidence)
		set.stops[stp.Move] = stp
		if len(set.stops) > maxStops && set.dropStop() == stp.Move {
			continue
		}
		added = append(added, stp)
	}
	calls := slices.Clone(set.onStop)
	set.mu.Unlock()
	for _, stp := range added {
		for _, fn := range calls {
			fn(stp)
		}
	}
	return added
}

// dropStop removes the stop of the lowest bundle version. All entries drop the
// same ones, so that their digests agree. The caller holds mu.
func (set *Set) dropStop() wick.MoveID {
	var low wick.MoveID
	for mid := range set.stops {
		if low == "" || compareMoves(mid, low) < 0 {
			low = mid
		}
	}
	delete(set.stops, low)
	return low
}

func compareMoves(one, two wick.MoveID) int {
	return cmp.Or(cmp.Compare(moveVersion(one), moveVersion(two)), cmp.Compare(one, two))
}

// AddLeaving adds leaving endpoints and returns those that are new.
func (set *Set) AddLeaving(now time.Time, lvs ...Leaving) []Leaving {
	set.mu.Lock()
	if set.leaving == nil {
		set.leaving = make(map[wick.VMID]Leaving)
		set.gone = make(map[wick.VMID]time.Time)
		set.expired = make(map[wick.VMID]time.Time)
	}
	var added []Leaving
	for _, lvg := range lvs {
		_, known := set.leaving[lvg.VM]
		_, expired := set.expired[lvg.VM]
		if known || expired || lvg.VM == "" || len(lvg.VM) > maxText {
			continue
		}
		lvg.Source = shorten(lvg.Source)
		if lvg.Since.IsZero() || lvg.Since.After(now) {
			lvg.Since = now
		}
		set.leaving[lvg.VM] = lvg
		if len(set.leaving) > maxLeaving && set.dropLeaving(now) == lvg.VM {
			continue
		}
		added = append(added, lvg)
	}
	calls := slices.Clone(set.onLeaving)
	set.mu.Unlock()
	for _, lvg := range added {
		for _, fn := range calls {
			fn(lvg)
		}
	}
	return added
}

// dropLeaving expires the endpoint that has been leaving for longest. The
// caller holds mu.
func (set *Set) dropLeaving(now time.Time) wick.VMID {
	var old Leaving
	for _, lvg := range set.leaving {
		if old.VM == "" || lvg.Since.Before(old.Since) {
			old = lvg
		}
	}
	set.expire(old.VM, now)
	return old.VM
}

func (set *Set) expire(vid wick.VMID, now time.Time) {
	delete(set.leaving, vid)
	delete(set.gone, vid)
	if len(set.expired) < maxLeaving {
		set.expired[vid] = now
	}
}

// SetList takes the platform's list: it adds the endpoints that are leaving
// and expires those that are missing from it for 10 minutes.
func (set *Set) SetList(vms []wick.VM, now time.Time) []Leaving {
	listed := make(map[wick.VMID]bool, len(vms))
	var lvs []Leaving
	for _, vm := range vms {
		listed[vm.ID] = true
		if vm.Role == wick.RoleEndpoint && vm.State == wick.VMLeaving {
			lvs = append(lvs, Leaving{VM: vm.ID, Since: now, Source: "list"})
		}
	}
	added := set.AddLeaving(now, lvs...)
	set.mu.Lock()
	defer set.mu.Unlock()
	for vid := range set.leaving {
		since, missing := set.gone[vid]
		switch {
		case listed[vid]:
			delete(set.gone, vid)
		case !missing:
			set.gone[vid] = now
		case now.Sub(since) >= keepLeaving:
			set.expire(vid, now)
		}
	}
	for vid, when := range set.expired {
		if now.Sub(when) >= keepExpired {
			delete(set.expired, vid)
		}
	}
	return added
}

// Stopped tells whether a move was stopped.
func (set *Set) Stopped(mid wick.MoveID) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	_, ok := set.stops[mid]
	return ok
}

// IsLeaving tells whether an endpoint is leaving.
func (set *Set) IsLeaving(vid wick.VMID) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	_, ok := set.leaving[vid]
	return ok
}

// Stops returns all stops in the order of their moves.
func (set *Set) Stops() []Stop {
	set.mu.Lock()
	defer set.mu.Unlock()
	out := make([]Stop, 0, len(set.stops))
	for _, stp := range set.stops {
		out = append(out, stp)
	}
	slices.SortFunc(out, func(one, two Stop) int { return compareMoves(one.Move, two.Move) })
	return out
}

// Leaving returns all leaving endpoints in the order of their ids.
func (set *Set) Leaving() []Leaving {
	set.mu.Lock()
	defer set.mu.Unlock()
	out := make([]Leaving, 0, len(set.leaving))
	for _, lvg := range set.leaving {
		out = append(out, lvg)
	}
	slices.SortFunc(out, func(one, two Leaving) int { return cmp.Compare(one.VM, two.VM) })
	return out
}

// Digests return one number for each set. Entries whose sets hold the same
// keys have the same digests; an empty set has the digest 0.
func (set *Set) Digests() (stops, leaving uint64) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for mid := range set.stops {
		stops += xxhash.Sum64String(string(mid))
	}
	for vid := range set.leaving {
		leaving += xxhash.Sum64String(string(vid))
	}
	return stops, leaving
}

// A Dump is the state dump of a Set.
type Dump struct {
	Stops   []Stop    `json:"stops"`
	Leaving []Leaving `json:"leaving"`
	Expired int       `json:"expired"`
}

// Dump returns the state.
func (set *Set) Dump() Dump {
	out := Dump{Stops: set.Stops(), Leaving: set.Leaving()}
	set.mu.Lock()
	defer set.mu.Unlock()
	out.Expired = len(set.expired)
	return out
}

// shorten cuts text to maxText bytes without splitting a character.
func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	cut := maxText
	for cut > 0 && text[cut]&0xC0 == 0x80 {
		cut--
	}
	return text[:cut]
}
