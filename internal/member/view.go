// Package member keeps the entries that an entry knows: from the platform's
// list, which lags, and from heartbeats.
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
	// SuspectAfter is how long a member may be silent.
	SuspectAfter = 3 * time.Second
	// The view's bounds keep heartbeats and notices of 1,900 entries within
	// 3 KB/s per entry. Today's 5 entries all fit.
	maxZone      = 16
	maxElsewhere = 48
	// goneAfter is how long a member is kept that is neither listed nor heard.
	goneAfter = 60 * time.Second
	// fullView is the largest number of other members of which each exchanges
	// at least one heartbeat in 3 s, so that silence alone means suspicion.
	fullView = 7
	// watchers is how many entries of a zone take over the zone's watch, one
	// after the other, when those before them don't reach the platform.
	watchers = 3
)

// A record is what the view knows about one other entry.
type record struct {
	wick.Member
	// listed and leaving are the platform's list's account.
	listed  bool
	leaving bool
	// heard is the time of the newest sign of life, direct or relayed.
	heard time.Time
	// contact is the time of the last direct exchange or attempt.
	contact time.Time
	// unanswered is the first attempt without an answer since heard, or zero.
	unanswered time.Time
	// platform is whether the entry reached the platform itself, as it said.
	platform bool
}

// A View is the membership as one entry sees it. All methods take the time.
type View struct {
	mu   sync.Mutex
	self wick.Member
	// platform is whether this entry reaches the platform itself.
	platform bool
	// started is when this entry started; answered is the latest time at which
	// the platform is known to have had no version above the own one.
	started  time.Time
	answered time.Time
	// known never holds self, and is bounded by prune.
	known map[wick.EntryID]*record
	rnd   *rand.Rand
}

// New returns a view of an entry that starts now and knows itself only.
func New(self wick.Member, now time.Time) *View {
	return &View{self: self, started: now, known: make(map[wick.EntryID]*record), rnd: Rand("view", self)}
}

// Rand returns a generator for jitter and sampling. It differs between entries
// and incarnations, and a test run with the same members repeats it.
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

// SetBundle sets the own bundle version and whether this entry reaches the
// platform itself.
func (viw *View) SetBundle(ver wick.BundleVersion, platform bool) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.self.Bundle, viw.platform = ver, platform
}

// SetList takes the platform's list. Entries that are missing from it are kept
// while they are heard, since the list lags.
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
			rec = &record{Member: wick.Member{ID: eid, Zone: vm.Zone, Address: vm.Address, State: wick.EntryStarting}, heard: now}
			viw.known[eid] = rec
		}
		rec.listed, rec.leaving = true, vm.State == wick.VMLeaving
	}
	viw.prune(now)
}

// order ranks states within one incarnation, in which they only advance.
func order(sta wick.EntryState) int {
	return slices.Index([]wick.EntryState{wick.EntryStarting, wick.EntryServing, wick.EntryDraining, wick.EntryStopped}, sta)
}

// learn merges what a heartbeat tells about a member. It returns nil for an
// earlier incarnation. The caller holds mu.
func (viw *View) learn(mem wick.Member, heard time.Time) *record {
	if mem.ID == viw.self.ID || mem.ID == "" || order(mem.State) < 0 {
		return nil
	}
	rec := viw.known[mem.ID]
	if rec == nil {
		rec = &record{Member: mem, heard: heard}
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
		if order(mem.State) > order(rec.State) {
			rec.State = mem.State
		}
		rec.Bundle = max(rec.Bundle, mem.Bundle)
	}
	if heard.After(rec.heard) {
		rec.heard = heard
	}
	if !rec.heard.Before(rec.unanswered) {
		rec.unanswered = time.Time{}
	}
	return rec
}

// Receive takes a heartbeat that came directly from its sender. It returns
// false for one from an earlier incarnation.
func (viw *View) Receive(hbt Heartbeat, now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	rec := viw.learn(hbt.Self.member(), now)
	if rec == nil {
		return false
	}
	rec.contact, rec.platform = now, hbt.Platform
	viw.relayed(hbt, now)
	for idx, smp := range hbt.Sample {
		if idx == maxSample {
			break
		}
		age := time.Duration(smp.AgeMillis) * time.Millisecond
		if age >= 0 && age < goneAfter {
			viw.learn(smp.member(), now.Add(-age))
		}
	}
	viw.prune(now)
	return true
}

// Tried notes an attempt to reach a member.
func (viw *View) Tried(eid wick.EntryID, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if rec := viw.known[eid]; rec != nil {
		rec.contact = now
	}
}

// Failed notes that an attempt made at the given time had no answer.
func (viw *View) Failed(eid wick.EntryID, tried time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if rec := viw.known[eid]; rec != nil && rec.unanswered.IsZero() && rec.heard.Before(tried) {
		rec.unanswered = tried
	}
}

// suspect tells whether a member is silent for too long. The caller holds mu.
func (viw *View) suspect(rec *record, now time.Time) bool {
	if !rec.unanswered.IsZero() && now.Sub(rec.unanswered) > SuspectAfter {
		return true
	}
	return len(viw.known) <= fullView && now.Sub(rec.heard) > SuspectAfter
}

// prune removes members that are gone and keeps the view within its bounds.
// The members kept have the highest weights for this entry, so that the views
// of all entries form a connected random graph. The zone's candidates for the
// platform watch are always kept. The caller holds mu.
func (viw *View) prune(now time.Time) {
	var zone, elsewhere []wick.Member
	for eid, rec := range viw.known {
		silent := now.Sub(rec.heard) > goneAfter
		switch {
		case silent && !rec.listed, rec.State == wick.EntryStopped && silent:
			delete(viw.known, eid)
		case rec.Zone == viw.self.Zone:
			zone = append(zone, rec.Member)
		default:
			elsewhere = append(elsewhere, rec.Member)
		}
	}
	if len(zone) > maxZone {
		zone = place.Rank(watchKey(viw.self.Zone), zone)
		rest := place.Rank(string(viw.self.ID), zone[watchers:])
		viw.remove(rest[maxZone-watchers:])
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

// ShouldWatch tells whether this entry has to watch the platform: as the first
// of its zone, or as one of the next two while none before it reaches the
// platform.
func (viw *View) ShouldWatch(now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	zone := append(place.Within(viw.self.Zone, viw.live(now)), viw.self)
	for pos, mem := range place.Rank(watchKey(viw.self.Zone), zone) {
		switch {
		case mem.ID == viw.self.ID:
			return pos < watchers
		case viw.known[mem.ID].platform:
			return false
		}
	}
	return false
}

const (
	// answerFor is how long an answer of the platform counts: the 25 s of a
	// watch without changes and the time to relay it.
	answerFor = 40 * time.Second
	// relayMargin covers the time that a heartbeat is under way, by which a
	// relayed answer seems younger than it is.
	relayMargin = 2 * time.Second
)

// Answered notes that the platform, asked at the given time or later, had no
// version above the one held here.
func (viw *View) Answered(when time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if when.After(viw.answered) {
		viw.answered = when
	}
}

// relayed takes a peer's account of the platform's last answer. It says nothing
// about versions above the peer's own one. Answers from before the start are
// not taken: the earlier incarnation may have seen a later one. The caller
// holds mu.
func (viw *View) relayed(hbt Heartbeat, now time.Time) {
	if hbt.Answered < 1 || hbt.Self.Bundle > viw.self.Bundle {
		return
	}
	when := now.Add(-(hbt.Answered - 1).Duration())
	if viw.started.IsZero() || when.Before(viw.started.Add(relayMargin)) || when.Before(viw.answered) {
		return
	}
	viw.answered = when
}

// Confirmed tells whether the platform recently had no version above ver, by
// its answer to this entry or to another, and no live member has one.
func (viw *View) Confirmed(ver wick.BundleVersion, now time.Time) bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	for _, rec := range viw.known {
		if !viw.suspect(rec, now) && rec.Bundle > ver {
			return false
		}
	}
	return !viw.answered.IsZero() && now.Sub(viw.answered) < answerFor
}

// A State is the dump of one member.
type State struct {
	wick.Member
	Listed   bool      `json:"listed"`
	Leaving  bool      `json:"leaving"`
	Suspect  bool      `json:"suspect"`
	Platform bool      `json:"platform"`
	Heard    time.Time `json:"heard"`
}

// Dump returns the state of all members, the own entry first.
func (viw *View) Dump(now time.Time) []State {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	out := make([]State, 0, 1+len(viw.known))
	out = append(out, State{Member: viw.self, Listed: true, Platform: viw.platform, Heard: now})
	for _, rec := range viw.known {
		out = append(out, State{rec.Member, rec.listed, rec.leaving, viw.suspect(rec, now), rec.platform, rec.heard})
	}
	slices.SortFunc(out[1:], func(one, two State) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
