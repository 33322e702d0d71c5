// Package canary decides how much traffic a candidate version gets at one entry
// and whether its outcomes show that it is worse than the old version.
//
// Bounds, which the seeded runs of the tests assert: until its proof a candidate
// gets at most its share of an entry's requests and one more, and at most 4 of
// them are in flight without an outcome. A version that fails always hits at
// most 7 requests per entry. Entries with peers send nothing to a version 2 s
// after the first stop anywhere; an entry without peers is bound by its own
// evidence.
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
	// maxUnjudged bounds candidate requests without an outcome per entry
	// until the version is proved.
	maxUnjudged = 4
	// grossRun is how many candidate requests must all fail at the start for
	// a stop without the sequential test.
	grossRun = 4
	// crashWindow joins failures of one endpoint: a crash ends all of its
	// requests and is one piece of evidence.
	crashWindow = time.Second
	maxCrashes  = 256
	// fullCredit is a little below 1, because ten times a share of 0.1 is.
	fullCredit = 1 - 1e-9
)

// A Move is what an entry must know of a move.
type Move struct {
	ID      wick.MoveID       `json:"id"`
	Service wick.Service      `json:"service"`
	From    wick.ModelVersion `json:"from"`
	To      wick.ModelVersion `json:"to"`
	// Share of the service's requests that To gets.
	Share wick.Share `json:"share"`
	// Proved lifts the bound on requests in flight.
	Proved bool `json:"proved"`
}

// A Stop is the final word that a version is bad.
type Stop struct {
	Move    wick.MoveID       `cbor:"move" json:"move"`
	Service wick.Service      `cbor:"service" json:"service"`
	Version wick.ModelVersion `cbor:"version" json:"version"`
	Reason  string            `cbor:"reason" json:"reason"`
	By      wick.EntryID      `cbor:"by" json:"by"`
	At      time.Time         `cbor:"at" json:"at"`
}

// A trial is a move at this entry.
type trial struct {
	move     Move
	credit   float64
	unjudged int
	// judged and bad count candidate outcomes at this entry.
	judged, bad, failed uint64
	crashes             map[wick.VMID]time.Time
	book                *book
}

// A Judge is a wick.Versions that keeps evidence and stops bad versions. Use
// New.
type Judge struct {
	self    wick.EntryID
	inc     wick.Incarnation
	checker *invar.Checker
	// noStop and noBound switch mechanisms off in tests.
	noStop, noBound bool

	mu     sync.Mutex
	trials map[wick.Service]*trial
	// stops is grow-only.
	stops map[wick.MoveID]Stop
	found []Stop
}

var _ wick.Versions = (*Judge)(nil)

// New returns a Judge without moves for one start of an entry.
func New(self wick.EntryID, inc wick.Incarnation, chk *invar.Checker) *Judge {
	return &Judge{
		self: self, inc: inc, checker: chk,
		trials: make(map[wick.Service]*trial), stops: make(map[wick.MoveID]Stop),
	}
}

// SetMove takes the state of a service's move. A stale update cannot revive a move
// that was stopped.
func (jdg *Judge) SetMove(mov Move) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[mov.Service]
	if tri == nil || tri.move.ID != mov.ID {
		tri = &trial{crashes: make(map[wick.VMID]time.Time), book: newBook()}
		jdg.trials[mov.Service] = tri
	}
	tri.move = mov
}

// DropMove forgets the move of a service when no bundle names it any more.
func (jdg *Judge) DropMove(svc wick.Service) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	delete(jdg.trials, svc)
}

// Choose chooses the version of a new attempt.
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
	candidate := tri.credit >= fullCredit && (mov.Proved || tri.unjudged < maxUnjudged || jdg.noBound)
	choice := wick.VersionChoice{Version: mov.From, Fallback: mov.To}
	if !mov.Proved {
		choice.Fallback = ""
	}
	if candidate {
		tri.credit = max(tri.credit-1, 0)
		tri.unjudged++
		_, stopped := jdg.stops[mov.ID]
		jdg.checker.Check(!stopped, invar.StopIsFinal, "%s got a request after its stop", mov.ID)
		jdg.checker.Check(mov.Proved || tri.unjudged <= maxUnjudged, invar.CandidateShare,
			"%s has %d unjudged requests", mov.ID, tri.unjudged)
		choice = wick.VersionChoice{Version: mov.To, Fallback: mov.From, Candidate: true}
	}
	route := query.Route
	choice.Done = func(smp wick.VersionSample) { jdg.done(tri, candidate, route, smp) }
	return choice
}

// done takes the outcome of a chosen version.
func (jdg *Judge) done(tri *trial, candidate bool, route string, smp wick.VersionSample) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	if candidate {
		tri.unjudged--
	}
	if smp.Excused || smp.Out.Cancelled || tri.crashed(smp) {
		return
	}
	failed := smp.Out.Err != nil
	bad := failed || smp.Out.Late
	tri.book.add(Cell{Zone: smp.Zone, Route: route, Band: smp.Band, Window: window(smp.At)}, candidate, bad)
	if !candidate {
		return
	}
	tri.judged++
	if !bad {
		return
	}
	tri.bad++
	if failed {
		tri.failed++
	}
	if reason := tri.verdictNow(smp.At); reason != "" {
		jdg.stop(Stop{
			Move: tri.move.ID, Service: tri.move.Service, Version: tri.move.To,
			Reason: reason, By: jdg.self, At: smp.At,
		}, true)
	}
}

// crashed reports whether the failure repeats one of the same endpoint: broken
// connections come in groups.
func (tri *trial) crashed(smp wick.VersionSample) bool {
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

// verdictNow returns why the version is bad, or "".
func (tri *trial) verdictNow(now time.Time) string {
	if tri.judged >= grossRun && tri.bad == tri.judged {
		total, bad := tri.book.recentOld(window(now))
		// Late answers alone need an old version that is in time meanwhile.
		if total >= 2*grossRun && bad*2 < total || total < 2*grossRun && tri.failed == tri.judged {
			return fmt.Sprintf("first %d requests all failed or were late", tri.judged)
		}
	}
	return tri.book.judge(window(now)).Reason
}

// stop adds a stop. The caller holds mu.
func (jdg *Judge) stop(stp Stop, own bool) bool {
	if _, ok := jdg.stops[stp.Move]; ok {
		return false
	}
	jdg.stops[stp.Move] = stp
	if own {
		jdg.found = append(jdg.found, stp)
	}
	return true
}

// Stop takes a stop of a peer or of a move object. It returns true when it is
// new, so that the entry forwards it.
func (jdg *Judge) Stop(stp Stop) bool {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	return jdg.stop(stp, false)
}

// TakeStops returns stops that were found here since the last call.
func (jdg *Judge) TakeStops() []Stop {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	out := jdg.found
	jdg.found = nil
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
// maxMessageCells. The holder of the rollout duty merges them.
func (jdg *Judge) Evidence(svc wick.Service) (Evidence, bool) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[svc]
	if tri == nil {
		return Evidence{}, false
	}
	return Evidence{Move: tri.move.ID, Entry: jdg.self, Incarnation: jdg.inc, Counts: tri.book.newest()}, true
}

// Merge takes the counters of another entry.
func (jdg *Judge) Merge(evi Evidence) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	for _, tri := range jdg.trials {
		if tri.move.ID == evi.Move && evi.Entry != jdg.self {
			tri.book.merge(evi)
		}
	}
}

// Verdict judges a service's move by all counters that this entry has. A bad
// verdict is a stop at once.
func (jdg *Judge) Verdict(svc wick.Service, now time.Time) Verdict {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	tri := jdg.trials[svc]
	if tri == nil {
		return Verdict{}
	}
	ver := tri.book.judge(window(now))
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
