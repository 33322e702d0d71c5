// Package canary splits an entry's traffic between the old and the candidate
// version of a service and tests whether the candidate is worse.
//
// The tests assert these bounds in seeded simulations: until it is proved, a
// candidate receives at most its share of an entry's requests plus one, and at
// most 4 of them are in flight. A version that fails every request affects at
// most 7 requests per entry. 2 s after the first stop at any entry, no entry
// that is connected to its peers sends to the version; a partitioned entry
// relies on its own evidence.
package canary

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxInFlight bounds the in-flight candidate requests per entry until the
	// version is proved.
	maxInFlight = 4
	// initialBadRun is the number of initial candidate requests that must all
	// be bad for a stop without the sequential test.
	initialBadRun = 4
	// crashWindow deduplicates broken connections of one endpoint: a crash
	// ends all of its requests but counts as a single failure.
	crashWindow = time.Second
	maxCrashes  = 256
	// fullCredit is slightly below 1 to absorb rounding: ten additions of 0.1
	// sum to less than 1.
	fullCredit = 1 - 1e-9
)

// A Move is the part of a move's state that entries need for routing.
type Move struct {
	ID      wick.MoveID       `json:"id"`
	Service wick.Service      `json:"service"`
	From    wick.ModelVersion `json:"from"`
	To      wick.ModelVersion `json:"to"`
	// Share is the fraction of the service's requests routed to To.
	Share wick.Share `json:"share"`
	// Proved lifts the bound on in-flight requests and allows To as a fallback.
	Proved bool `json:"proved"`
}

// A Stop declares a version bad. It is irrevocable for its move.
type Stop struct {
	Move    wick.MoveID       `cbor:"move" json:"move"`
	Service wick.Service      `cbor:"service" json:"service"`
	Version wick.ModelVersion `cbor:"version" json:"version"`
	Reason  string            `cbor:"reason" json:"reason"`
	By      wick.EntryID      `cbor:"by" json:"by"`
	At      time.Time         `cbor:"at" json:"at"`
}

// A trial is the state of a move at this entry.
type trial struct {
	move Move
	// credit accumulates the share per request; a candidate request costs 1.
	credit   float64
	inFlight int
	// completed, bad and failed count the candidate's outcomes at this entry.
	completed, bad, failed uint64
	crashes                map[wick.VMID]time.Time
	counters               *counterSet
	// paces counts slow answers in place of bad ones.
	paces *counterSet
}

// A Judge is a wick.VersionChooser that collects evidence and stops bad versions. Use
// New.
type Judge struct {
	self    wick.EntryID
	inc     wick.Incarnation
	checker *invar.Checker
	// noStop and noBound disable safety mechanisms in tests.
	noStop, noBound bool

	mu     sync.Mutex
	trials map[wick.Service]*trial
	// stops is grow-only.
	stops map[wick.MoveID]Stop
	// paces are those of the versions in force by service.
	paces map[wick.Service]paceSet
	// newStops queues the stops that this entry issued and has not yet returned.
	newStops []Stop
}

var _ wick.VersionChooser = (*Judge)(nil)

// New returns a Judge without moves for one incarnation of an entry.
func New(self wick.EntryID, inc wick.Incarnation, chk *invar.Checker) *Judge {
	return &Judge{
		self: self, inc: inc, checker: chk,
		trials: make(map[wick.Service]*trial), stops: make(map[wick.MoveID]Stop), paces: make(map[wick.Service]paceSet),
	}
}

// SetMove updates the state of a service's move. A stale update cannot revive a
// move that was stopped.
func (jdg *Judge) SetMove(mov Move) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[mov.Service]
	if tri == nil || tri.move.ID != mov.ID {
		tri = &trial{crashes: make(map[wick.VMID]time.Time), counters: newCounterSet(), paces: newCounterSet()}
		jdg.trials[mov.Service] = tri
	}
	tri.move = mov
}

// DropMove removes the move of a service that the bundle no longer contains.
func (jdg *Judge) DropMove(svc wick.Service) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	delete(jdg.trials, svc)
}

// Choose selects the version for a new attempt.
func (jdg *Judge) Choose(query wick.RouteQuery) wick.VersionChoice {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[query.Service]
	if tri == nil {
		return wick.VersionChoice{}
	}
	mov := tri.move
	if _, stopped := jdg.stops[mov.ID]; stopped && !jdg.noStop {
		return wick.VersionChoice{Version: mov.From}
	}
	tri.credit = min(tri.credit+float64(mov.Share), 1)
	candidate := tri.credit >= fullCredit && (mov.Proved || tri.inFlight < maxInFlight || jdg.noBound)
	choice := wick.VersionChoice{Version: mov.From, Fallback: mov.To}
	if !mov.Proved {
		choice.Fallback = ""
	}
	if candidate {
		tri.credit = max(tri.credit-1, 0)
		tri.inFlight++
		_, stopped := jdg.stops[mov.ID]
		jdg.checker.Check(!stopped, invar.StopIsFinal, "%s received a request after its stop", mov.ID)
		jdg.checker.Check(mov.Proved || tri.inFlight <= maxInFlight, invar.CandidateShare,
			"%s has %d requests in flight", mov.ID, tri.inFlight)
		choice = wick.VersionChoice{Version: mov.To, Fallback: mov.From, Candidate: true}
	}
	route := query.Route
	choice.Done = func(smp wick.VersionSample) { jdg.recordOutcome(tri, candidate, route, smp) }
	return choice
}

// Share returns the share of a service's requests that Choose aims to send to a candidate,
// 0 if there is none or it was stopped.
func (jdg *Judge) Share(svc wick.Service) wick.Share {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[svc]
	if tri == nil {
		return 0
	}
	if _, stopped := jdg.stops[tri.move.ID]; stopped && !jdg.noStop {
		return 0
	}
	return tri.move.Share
}

// recordOutcome records the outcome of an attempt and stops the version if the
// evidence is sufficient.
func (jdg *Judge) recordOutcome(tri *trial, candidate bool, route string, smp wick.VersionSample) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	if candidate {
		tri.inFlight--
	}
	if smp.Excluded || smp.Out.Cancelled || tri.repeatsCrash(smp) {
		return
	}
	failed := smp.Out.Err != nil
	bad := failed || smp.Out.Late
	cell := Cell{Zone: smp.Zone, Route: route, Band: smp.Band, Window: window(smp.At)}
	tri.counters.add(cell, candidate, bad)
	if slow, known := jdg.paces[tri.move.Service].isSlow(route, smp.Out.Pace); known {
		tri.paces.add(cell, candidate, slow)
	}
	if !candidate {
		jdg.observe(tri.move.Service, route, smp)
	}
	if !candidate {
		return
	}
	tri.completed++
	if bad {
		tri.bad++
	}
	if failed {
		tri.failed++
	}
	if reason := tri.stopReason(smp.At); reason != "" {
		jdg.stop(Stop{
			Move: tri.move.ID, Service: tri.move.Service, Version: tri.move.To,
			Reason: reason, By: jdg.self, At: smp.At,
		}, true)
	}
}

// Observe records the outcome of an attempt while no move of the service is in progress,
// so that the pace of the old version is known when one begins.
func (jdg *Judge) Observe(svc wick.Service, route string, smp wick.VersionSample) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jdg.observe(svc, route, smp)
}

// observe is Observe with jdg.mu held.
func (jdg *Judge) observe(svc wick.Service, route string, smp wick.VersionSample) {
	if smp.Excluded || smp.Out.Err != nil {
		return
	}
	if jdg.paces[svc] == nil {
		jdg.paces[svc] = make(paceSet)
	}
	jdg.paces[svc].add(route, smp.Out.Pace)
}

// repeatsCrash reports whether a broken connection belongs to a crash of the
// same endpoint that is counted already.
func (tri *trial) repeatsCrash(smp wick.VersionSample) bool {
	if !errors.Is(smp.Out.Err, wick.ErrTruncated) && !errors.Is(smp.Out.Err, wick.ErrUnknownOutcome) {
		return false
	}
	last, ok := tri.crashes[smp.VM]
	if ok && smp.At.Sub(last) < crashWindow {
		return true
	}
	if len(tri.crashes) >= maxCrashes {
		clear(tri.crashes)
	}
	tri.crashes[smp.VM] = smp.At
	return false
}

// stopReason returns why the version is bad, or "".
func (tri *trial) stopReason(now time.Time) string {
	if tri.completed >= initialBadRun && tri.bad == tri.completed {
		total, bad := tri.counters.recentOld(window(now))
		// Late responses count only if the old version is mostly on time in the
		// same windows; without enough old outcomes all must be failures.
		if total >= 2*initialBadRun && bad*2 < total || total < 2*initialBadRun && tri.failed == tri.completed {
			return fmt.Sprintf("first %d requests all failed or were late", tri.completed)
		}
	}
	return tri.judge(window(now)).Reason
}

// stop adds a stop and returns true if it is new; local marks a stop issued by
// this entry. The caller holds mu.
func (jdg *Judge) stop(stp Stop, local bool) bool {
	if _, ok := jdg.stops[stp.Move]; ok {
		return false
	}
	jdg.stops[stp.Move] = stp
	if local {
		jdg.newStops = append(jdg.newStops, stp)
	}
	return true
}

// Stop adds a stop received from a peer or read from a move object. It returns
// true if the stop is new, so that the entry forwards it.
func (jdg *Judge) Stop(stp Stop) bool {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	return jdg.stop(stp, false)
}

// DrainStops returns the stops that this entry issued since the last call.
func (jdg *Judge) DrainStops() []Stop {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	out := jdg.newStops
	jdg.newStops = nil
	return out
}

// Stops returns all stops.
func (jdg *Judge) Stops() []Stop {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	out := make([]Stop, 0, len(jdg.stops))
	for _, stp := range jdg.stops {
		out = append(out, stp)
	}
	return out
}

// Evidence returns the newest counters of this entry for a move, at most
// maxMessageCells. The holder of the rollout duty merges those of all entries.
func (jdg *Judge) Evidence(svc wick.Service) (Evidence, bool) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[svc]
	if tri == nil {
		return Evidence{}, false
	}
	return Evidence{Move: tri.move.ID, Entry: jdg.self, Incarnation: jdg.inc, Counts: tri.counters.newest(), Paces: tri.paces.newest()}, true
}

// Merge merges the counters of another entry.
func (jdg *Judge) Merge(evi Evidence) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	for _, tri := range jdg.trials {
		if tri.move.ID == evi.Move && evi.Entry != jdg.self {
			src := source{entry: evi.Entry, inc: evi.Incarnation}
			tri.counters.merge(src, evi.Counts)
			tri.paces.merge(src, evi.Paces)
		}
	}
}

// Verdict runs the sequential test on a service's move with the counters of all
// known entries. A bad verdict stops the version immediately.
func (jdg *Judge) Verdict(svc wick.Service, now time.Time) Verdict {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[svc]
	if tri == nil {
		return Verdict{}
	}
	ver := tri.judge(window(now))
	if ver.Reason != "" {
		jdg.stop(Stop{
			Move: tri.move.ID, Service: svc, Version: tri.move.To, Reason: ver.Reason, By: jdg.self, At: now,
		}, true)
	}
	if stp, ok := jdg.stops[tri.move.ID]; ok {
		ver.Reason = stp.Reason
	}
	return ver
}
