// Package notice replicates urgent notices to all entries: stops of bad versions
// and leaving endpoints. Nothing is removed from the two sets but by eviction and
// expiry. Entries broadcast additions and repair differences by anti-entropy.
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

// Bounds of the sets. Each set fits into one message at these sizes.
const (
	// maxStops covers the stops of the newest bundle versions; moves of older
	// versions have ended.
	maxStops     = 1024
	maxLeaving   = 4096
	maxTextBytes = 256
	// leavingRetention is how long an endpoint that is missing from the list is
	// retained.
	leavingRetention = 10 * time.Minute
	// tombstoneTTL is how long an expired endpoint isn't accepted again from
	// peers that expire it later because their list lags.
	tombstoneTTL = 2 * leavingRetention
)

// A Stop declares a version bad. It is irrevocable for its move.
type Stop struct {
	Move    wick.MoveID       `cbor:"1,keyasint" json:"move"`
	Service wick.Service      `cbor:"2,keyasint" json:"service"`
	Version wick.ModelVersion `cbor:"3,keyasint" json:"version"`
	// Reason and Evidence are truncated to 256 bytes.
	Reason   string       `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	Evidence string       `cbor:"5,keyasint,omitempty" json:"evidence,omitempty"`
	From     wick.EntryID `cbor:"6,keyasint,omitempty" json:"from,omitempty"`
}

// A Leaving reports that an endpoint is leaving.
type Leaving struct {
	VM    wick.VMID `cbor:"1,keyasint" json:"vm"`
	Since time.Time `cbor:"2,keyasint" json:"since"`
	// Source is the origin of the notice: the list, the endpoint's load report
	// or its refusal of a request.
	Source string `cbor:"3,keyasint,omitempty" json:"source,omitempty"`
}

// A Set holds the notices of one entry. Its zero value is empty and ready to
// use. Callers pass the current time.
type Set struct {
	mu sync.Mutex
	// stops holds at most maxStops, those of the highest bundle versions.
	stops map[wick.MoveID]Stop
	// leaving holds at most maxLeaving, the newest.
	leaving map[wick.VMID]Leaving
	// missingSince holds when a leaving endpoint was first missing from the list.
	missingSince map[wick.VMID]time.Time
	// tombstones holds the time at which an endpoint expired.
	tombstones map[wick.VMID]time.Time
	// onStop and onLeaving are called once for each new notice.
	onStop    []func(Stop)
	onLeaving []func(Leaving)
}

// OnStop registers fn to be called once for each new stop.
func (set *Set) OnStop(fn func(Stop)) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.onStop = append(set.onStop, fn)
}

// OnLeaving registers fn to be called once for each new leaving endpoint.
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
		oversized := len(stp.Move) > maxTextBytes || len(stp.Service) > maxTextBytes || len(stp.Version) > maxTextBytes || len(stp.From) > maxTextBytes
		if known || oversized || moveVersion(stp.Move) == 0 {
			continue
		}
		stp.Reason, stp.Evidence = truncate(stp.Reason), truncate(stp.Evidence)
		set.stops[stp.Move] = stp
		if len(set.stops) > maxStops && set.evictStop() == stp.Move {
			continue
		}
		added = append(added, stp)
	}
	handlers := slices.Clone(set.onStop)
	set.mu.Unlock()
	for _, stp := range added {
		for _, fn := range handlers {
			fn(stp)
		}
	}
	return added
}

// evictStop removes the stop of the lowest bundle version and returns its move.
// The order is the same at all entries, so that their digests converge. The
// caller holds mu.
func (set *Set) evictStop() wick.MoveID {
	var lowest wick.MoveID
	for mid := range set.stops {
		if lowest == "" || compareMoves(mid, lowest) < 0 {
			lowest = mid
		}
	}
	delete(set.stops, lowest)
	return lowest
}

func compareMoves(one, two wick.MoveID) int {
	return cmp.Or(cmp.Compare(moveVersion(one), moveVersion(two)), cmp.Compare(one, two))
}

// AddLeaving adds leaving endpoints and returns those that are new.
func (set *Set) AddLeaving(now time.Time, lvs ...Leaving) []Leaving {
	set.mu.Lock()
	if set.leaving == nil {
		set.leaving = make(map[wick.VMID]Leaving)
		set.missingSince = make(map[wick.VMID]time.Time)
		set.tombstones = make(map[wick.VMID]time.Time)
	}
	var added []Leaving
	for _, lvg := range lvs {
		_, known := set.leaving[lvg.VM]
		_, expired := set.tombstones[lvg.VM]
		if known || expired || lvg.VM == "" || len(lvg.VM) > maxTextBytes {
			continue
		}
		lvg.Source = truncate(lvg.Source)
		if lvg.Since.IsZero() || lvg.Since.After(now) {
			lvg.Since = now
		}
		set.leaving[lvg.VM] = lvg
		if len(set.leaving) > maxLeaving && set.evictLeaving(now) == lvg.VM {
			continue
		}
		added = append(added, lvg)
	}
	handlers := slices.Clone(set.onLeaving)
	set.mu.Unlock()
	for _, lvg := range added {
		for _, fn := range handlers {
			fn(lvg)
		}
	}
	return added
}

// evictLeaving expires the endpoint that has been leaving longest and returns
// its id. The caller holds mu.
func (set *Set) evictLeaving(now time.Time) wick.VMID {
	var oldest Leaving
	for _, lvg := range set.leaving {
		if oldest.VM == "" || lvg.Since.Before(oldest.Since) {
			oldest = lvg
		}
	}
	set.expire(oldest.VM, now)
	return oldest.VM
}

func (set *Set) expire(vid wick.VMID, now time.Time) {
	delete(set.leaving, vid)
	delete(set.missingSince, vid)
	if len(set.tombstones) < maxLeaving {
		set.tombstones[vid] = now
	}
}

// ApplyList applies the platform's VM list: it adds the leaving endpoints, expires
// those that have been missing for leavingRetention and returns the new ones.
func (set *Set) ApplyList(vms []wick.VM, now time.Time) []Leaving {
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
		since, missing := set.missingSince[vid]
		switch {
		case listed[vid]:
			delete(set.missingSince, vid)
		case !missing:
			set.missingSince[vid] = now
		case now.Sub(since) >= leavingRetention:
			set.expire(vid, now)
		}
	}
	for vid, when := range set.tombstones {
		if now.Sub(when) >= tombstoneTTL {
			delete(set.tombstones, vid)
		}
	}
	return added
}

// Stopped reports whether a move was stopped.
func (set *Set) Stopped(mid wick.MoveID) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	_, ok := set.stops[mid]
	return ok
}

// IsLeaving reports whether an endpoint is leaving.
func (set *Set) IsLeaving(vid wick.VMID) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	_, ok := set.leaving[vid]
	return ok
}

// Stops returns all stops, sorted by move.
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

// Leaving returns all leaving endpoints, sorted by id.
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

// Digests returns an order-independent digest of the keys of each set. The
// digest of an empty set is 0.
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
	out.Expired = len(set.tombstones)
	return out
}

// truncate cuts text to at most maxTextBytes without splitting a UTF-8 sequence.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	cut := maxTextBytes
	for cut > 0 && text[cut]&0xC0 == 0x80 {
		cut--
	}
	return text[:cut]
}
