// Package member tracks the membership of the entries, from the platform's
// list, which lags, and from gossiped heartbeats.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// SuspectAfter is the failure-detection timeout.
	SuspectAfter = 3 * time.Second
	// The bounds of the view keep heartbeats and notices of 1,900 entries
	// within 3 KB/s per entry. A group of 5 entries fits completely.
	maxZone      = 16
	maxElsewhere = 48
	// removeAfter is how long an unlisted member is kept after its latest
	// heartbeat, direct or gossiped.
	removeAfter = 60 * time.Second
	// maxFullMesh is the largest number of other members that each exchange at
	// least one heartbeat with this entry in 3 s, so that a missing heartbeat
	// alone is enough for suspicion.
	maxFullMesh = 7
	// watchCandidates is the number of entries of a zone that may watch the
	// platform for it; each fails over from those that rank before it.
	watchCandidates = 3
)

// A record is the state of one other entry in the view.
type record struct {
	wick.Member
	// listed and leaving come from the platform's list.
	listed  bool
	leaving bool
	// lastSeen is the time of the latest heartbeat, direct or gossiped, or of
	// the first listing.
	lastSeen time.Time
	// lastContact is the time of the last direct exchange or attempt.
	lastContact time.Time
	// unansweredSince is the time of the first failed attempt after lastSeen, or
	// zero.
	unansweredSince time.Time
	// platform is whether the entry reported its own connection to the platform.
	platform bool
}

// A View is the membership as observed by one entry.
type View struct {
	mu   sync.Mutex
	self wick.Member
	// platform is whether this entry has its own connection to the platform.
	platform bool
	// started is when this entry started; currentAt is the latest time at which
	// this entry's bundle version was confirmed to be the platform's newest.
	started   time.Time
	currentAt time.Time
	// known never contains self, and prune bounds it.
	known map[wick.EntryID]*record
	rnd   *rand.Rand
}

// New returns a view that contains only the own entry, which starts now.
func New(self wick.Member, now time.Time) *View {
	return &View{self: self, started: now, known: make(map[wick.EntryID]*record), rnd: Rand("view", self)}
}

// Rand returns a generator for jitter and sampling. Its seed differs between
// entries and incarnations, and is the same in test runs with equal members.
func Rand(purpose string, self wick.Member) *rand.Rand {
	src := rand.NewPCG(place.Weight(purpose, self.ID), uint64(self.Incarnation))
	return rand.New(src) //nolint:gosec // jitter and sampling need no secrecy
}

// Self returns the own entry.
func (viw *View) Self() wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	return viw.self
}

// SetState sets the own lifecycle state.
func (viw *View) SetState(sta wick.EntryState) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.self.State = sta
}

// SetBundle sets the own bundle version and whether this entry has its own
// connection to the platform.
func (viw *View) SetBundle(ver wick.BundleVersion, platform bool) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.self.Bundle, viw.platform = ver, platform
}

// SetList merges the platform's list. Entries that are missing from it are kept
// while they show signs of life, since the list lags.
func (viw *View) SetList(vms []wick.VM, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	for _, rec := range viw.known {
		rec.listed = false
	}
	for _, vm := range vms {
		eid := wick.EntryID(vm.ID)
		if vm.Role != wick.RoleEntry || eid == viw.self.ID {
			continue
		}
		rec := viw.known[eid]
		if rec == nil {
			rec = &record{Member: wick.Member{ID: eid, Zone: vm.Zone, Address: vm.Address, State: wick.EntryStarting}, lastSeen: now}
			viw.known[eid] = rec
		}
		rec.listed, rec.leaving = true, vm.State == wick.VMLeaving
	}
	viw.prune(now)
}

// stateRank returns the position of a state in the lifecycle. Within one
// incarnation, states only advance.
func stateRank(sta wick.EntryState) int {
	return slices.Index([]wick.EntryState{wick.EntryStarting, wick.EntryServing, wick.EntryDraining, wick.EntryStopped}, sta)
}

// merge merges gossiped state of a member. It returns nil for an earlier
// incarnation or an invalid state. The caller holds mu.
func (viw *View) merge(mem wick.Member, seen time.Time) *record {
	if mem.ID == viw.self.ID || mem.ID == "" || stateRank(mem.State) < 0 {
		return nil
	}
	rec := viw.known[mem.ID]
	if rec == nil {
		rec = &record{Member: mem, lastSeen: seen}
		viw.known[mem.ID] = rec
		return rec
	}
	switch {
	case mem.Incarnation < rec.Incarnation:
		return nil
	case mem.Incarnation > rec.Incarnation:
		// The bundle version of a restarted entry may be lower.
		rec.Member = mem
		rec.platform = false
	default:
		if stateRank(mem.State) > stateRank(rec.State) {
			rec.State = mem.State
		}
		rec.Bundle = max(rec.Bundle, mem.Bundle)
	}
	if seen.After(rec.lastSeen) {
		rec.lastSeen = seen
	}
	if !rec.lastSeen.Before(rec.unansweredSince) {
		rec.unansweredSince = time.Time{}
	}
	return rec
}

// Receive merges a heartbeat that came directly from its sender. It returns
// false if the heartbeat is from an earlier incarnation.
func (viw *View) Receive(hbt Heartbeat, now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	rec := viw.merge(hbt.Self.member(), now)
	if rec == nil {
		return false
	}
	rec.lastContact, rec.platform = now, hbt.Platform
	viw.mergeAnswer(hbt, now)
	for idx, smp := range hbt.Sample {
		if idx == maxSample {
			break
		}
		age := time.Duration(smp.AgeMillis) * time.Millisecond
		if age >= 0 && age < removeAfter {
			viw.merge(smp.member(), now.Add(-age))
		}
	}
	viw.prune(now)
	return true
}

// RecordAttempt records an attempt to reach a member.
func (viw *View) RecordAttempt(eid wick.EntryID, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if rec := viw.known[eid]; rec != nil {
		rec.lastContact = now
	}
}

// RecordFailure records that the attempt made at the given time failed.
func (viw *View) RecordFailure(eid wick.EntryID, tried time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if rec := viw.known[eid]; rec != nil && rec.unansweredSince.IsZero() && rec.lastSeen.Before(tried) {
		rec.unansweredSince = tried
	}
}

// suspect reports whether the failure-detection timeout of a member has expired.
// The caller holds mu.
func (viw *View) suspect(rec *record, now time.Time) bool {
	if !rec.unansweredSince.IsZero() && now.Sub(rec.unansweredSince) > SuspectAfter {
		return true
	}
	return len(viw.known) <= maxFullMesh && now.Sub(rec.lastSeen) > SuspectAfter
}

// prune removes expired members and keeps the view within its bounds. The
// members kept have the highest weights for this entry, so that the views
// of all entries form a connected random graph. The zone's candidates for the
// platform watch are always kept. The caller holds mu.
func (viw *View) prune(now time.Time) {
	var zone, elsewhere []wick.Member
	for eid, rec := range viw.known {
		expired := now.Sub(rec.lastSeen) > removeAfter
		switch {
		case expired && !rec.listed, rec.State == wick.EntryStopped && expired:
			delete(viw.known, eid)
		case rec.Zone == viw.self.Zone:
			zone = append(zone, rec.Member)
		default:
			elsewhere = append(elsewhere, rec.Member)
		}
	}
	if len(zone) > maxZone {
		zone = place.Rank(watchKey(viw.self.Zone), zone)
		rest := place.Rank(string(viw.self.ID), zone[watchCandidates:])
		viw.remove(rest[maxZone-watchCandidates:])
	}
	if len(elsewhere) > maxElsewhere {
		viw.remove(place.Rank(string(viw.self.ID), elsewhere)[maxElsewhere:])
	}
}

func (viw *View) remove(mbs []wick.Member) {
	for _, mem := range mbs {
		delete(viw.known, mem.ID)
	}
}

// Live returns the other members that are neither suspect nor stopped, ordered
// by id.
func (viw *View) Live(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	return viw.live(now)
}

func (viw *View) live(now time.Time) []wick.Member {
	out := make([]wick.Member, 0, len(viw.known))
	for _, rec := range viw.known {
		if rec.State != wick.EntryStopped && !viw.suspect(rec, now) {
			out = append(out, rec.Member)
		}
	}
	return sortByID(out)
}

// Others returns all other members that may be running, suspect ones included,
// ordered by id.
func (viw *View) Others() []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	return sortByID(viw.others())
}

// Serving returns the members to which work and duties are assigned, the own
// entry included: those that serve, are not suspect and don't leave.
func (viw *View) Serving(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	var out []wick.Member
	if viw.self.State == wick.EntryServing {
		out = append(out, viw.self)
	}
	for _, mem := range viw.live(now) {
		if mem.State == wick.EntryServing && !viw.known[mem.ID].leaving {
			out = append(out, mem)
		}
	}
	return sortByID(out)
}

func sortByID(mbs []wick.Member) []wick.Member {
	slices.SortFunc(mbs, func(one, two wick.Member) int { return cmp.Compare(one.ID, two.ID) })
	return mbs
}

func watchKey(zone wick.Zone) string { return "watch/" + string(zone) }

// ShouldWatch reports whether this entry has to watch the platform: as the first
// of its zone in watch order, or as one of the next two while none before it
// has a connection to the platform.
func (viw *View) ShouldWatch(now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	zone := append(place.Within(viw.self.Zone, viw.live(now)), viw.self)
	for pos, mem := range place.Rank(watchKey(viw.self.Zone), zone) {
		switch {
		case mem.ID == viw.self.ID:
			return pos < watchCandidates
		case viw.known[mem.ID].platform:
			return false
		}
	}
	return false
}

const (
	// answerTTL is how long a platform response is valid: the 25 s of a watch
	// without changes and the time to relay it.
	answerTTL = 40 * time.Second
	// relayMargin covers the network delay of a heartbeat, by which a relayed
	// response appears younger than it is.
	relayMargin = 2 * time.Second
)

// RecordCurrent records that the platform had no version above the own one in
// a read that began at the given time or later.
func (viw *View) RecordCurrent(when time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if when.After(viw.currentAt) {
		viw.currentAt = when
	}
}

// mergeAnswer merges the age of a peer's last platform response, which is
// evidence only up to the peer's own version. Responses from before the start
// are ignored: the earlier incarnation may have seen a later one. The caller
// holds mu.
func (viw *View) mergeAnswer(hbt Heartbeat, now time.Time) {
	if hbt.Answered < 1 || hbt.Self.Bundle > viw.self.Bundle {
		return
	}
	when := now.Add(-(hbt.Answered - 1).Duration())
	if viw.started.IsZero() || when.Before(viw.started.Add(relayMargin)) || when.Before(viw.currentAt) {
		return
	}
	viw.currentAt = when
}

// Confirmed reports whether a recent platform response, to this entry or to
// another, had no version above ver, and no live member has one.
func (viw *View) Confirmed(ver wick.BundleVersion, now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	for _, rec := range viw.known {
		if !viw.suspect(rec, now) && rec.Bundle > ver {
			return false
		}
	}
	return !viw.currentAt.IsZero() && now.Sub(viw.currentAt) < answerTTL
}

// A State is the diagnostic state of one member.
type State struct {
	wick.Member
	Listed   bool      `json:"listed"`
	Leaving  bool      `json:"leaving"`
	Suspect  bool      `json:"suspect"`
	Platform bool      `json:"platform"`
	LastSeen time.Time `json:"heard"`
}

// Dump returns the state of all members, starting with the own entry.
func (viw *View) Dump(now time.Time) []State {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	out := make([]State, 0, 1+len(viw.known))
	out = append(out, State{Member: viw.self, Listed: true, Platform: viw.platform, LastSeen: now})
	for _, rec := range viw.known {
		out = append(out, State{rec.Member, rec.listed, rec.leaving, viw.suspect(rec, now), rec.platform, rec.lastSeen})
	}
	slices.SortFunc(out[1:], func(one, two State) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
