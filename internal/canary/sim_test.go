package canary

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	simEntries         = 5
	simTick            = 100 * time.Millisecond
	simRequestsPerTick = 3 // 30 requests/s, about the current load
	simDeadline        = 10 * time.Minute
	simShare           = 0.05
	// stopDelayBound is the time after the first stop from which no connected
	// entry may send to the version any more.
	stopDelayBound = 2 * time.Second
	// maxFailedRequests is the number of requests per entry that a version which
	// fails every request may receive: all but the last of initialBadRun plus
	// those in flight.
	maxFailedRequests = initialBadRun - 1 + maxInFlight
)

var errServer = errors.New("status 500")

// A defect is the way in which a version is bad.
type defect string

var defects = []defect{"fails", "flaky", "slow", "later", "watch", "load", "route", "zone"}

const good defect = "good"

// A simEntry is a simulated entry with its view of the move.
type simEntry struct {
	jdg         *Judge
	zone        wick.Zone
	partitioned bool
	// credit is the sum of shares, candidates the number of candidate requests.
	credit, candidates float64
	badRequests        int
}

type simEvent struct {
	at time.Time
	do func()
}

// A sim simulates a move over several entries without a network.
type sim struct {
	t              *testing.T
	rnd            *rand.Rand
	kind           defect
	fixed          bool
	start          time.Time
	rec            move.Record
	mov            wick.Move
	ents           []*simEntry
	events         []simEvent
	onset          time.Duration
	route          string
	zone           wick.Zone
	disturbances   [4]time.Duration // start of overload, slow zone, partition, crash
	defectStart    time.Time
	stopAt         time.Time
	lastBadRequest time.Time
	badRequests    int
	step           Count
}

var (
	simZones  = []wick.Zone{"a", "b", "c", "d"}
	simRoutes = []string{"/chat", "/chat", "/chat", "/short", "/short", "/check"}
)

func newSim(t *testing.T, seed uint64, kind defect, chk *invar.Checker) *sim {
	t.Helper()
	sm := &sim{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), kind: kind, start: time.Now()}
	sm.mov = wick.Move{
		Name: "m", Service: "quote", From: "v1", To: "v2", Deadline: sm.start.Add(simDeadline),
		MaxShareBeforeProof: simShare, WatchMillis: 60_000,
	}
	sm.rec = move.New("2-m", sm.mov, sm.start)
	sm.onset = time.Duration(60+sm.rnd.IntN(120)) * time.Second
	sm.route, sm.zone = simRoutes[sm.rnd.IntN(len(simRoutes))], simZones[sm.rnd.IntN(4)]
	for idx := range sm.disturbances {
		sm.disturbances[idx] = time.Duration(20+sm.rnd.IntN(400)) * time.Second
	}
	for idx := range simEntries {
		id := wick.EntryID(fmt.Sprintf("e%d", idx))
		sm.ents = append(sm.ents, &simEntry{jdg: New(id, 1, chk), zone: simZones[idx%4]})
	}
	return sm
}

func (sm *sim) after(wait time.Duration, do func()) {
	sm.events = append(sm.events, simEvent{at: time.Now().Add(wait), do: do})
}

// disturbed reports whether a disturbance of the given length is active.
func (sm *sim) disturbed(idx int, length time.Duration) bool {
	age := time.Since(sm.start)
	return age >= sm.disturbances[idx] && age < sm.disturbances[idx]+length
}

// outcome draws an outcome. An overload and a slow zone affect both versions.
func (sm *sim) outcome(ver wick.ModelVersion, zone wick.Zone, route string, band wick.LoadBand) wick.Outcome {
	base, worse, fails := 0.02, 0.0, false
	if band == wick.BandHigh {
		base = 0.25
	}
	if zone == simZones[1] && sm.disturbed(1, 60*time.Second) {
		base += 0.3
	}
	if ver == sm.mov.To {
		worse, fails = sm.defectRate(zone, route, band)
	}
	if worse > 0 && sm.defectStart.IsZero() {
		sm.defectStart = time.Now()
	}
	switch {
	case sm.rnd.Float64() < worse && fails:
		return wick.Outcome{Err: errServer}
	case sm.rnd.Float64() < worse && !fails, sm.rnd.Float64() < base:
		return wick.Outcome{Late: true}
	default:
		return wick.Outcome{}
	}
}

// defectRate returns the share of responses that the candidate degrades, and
// whether they fail or are late.
func (sm *sim) defectRate(zone wick.Zone, route string, band wick.LoadBand) (float64, bool) {
	switch sm.kind {
	case "fails":
		return 1, true
	case "flaky":
		return 0.3, true
	case "slow":
		return 0.6, false
	case "later":
		if time.Since(sm.start) > sm.onset {
			return 0.4, true
		}
	case "watch":
		if sm.rec.State == move.StateWatching {
			return 0.5, true
		}
	case "load":
		if band == wick.BandHigh {
			return 0.6, false
		}
	case "route":
		if route == sm.route {
			return 0.8, true
		}
	case good:
	case "zone":
		if zone == sm.zone {
			return 0.6, false
		}
	}
	return 0, false
}

// request runs one request at a random entry.
func (sm *sim) request() {
	ent := sm.ents[sm.rnd.IntN(len(sm.ents))]
	route := simRoutes[sm.rnd.IntN(len(simRoutes))]
	ent.credit += simShare
	choice := ent.jdg.Choose(wick.RouteQuery{Service: "quote", Route: route, Now: time.Now()})
	if choice.Done == nil {
		return
	}
	zone := ent.zone
	if sm.rnd.IntN(10) == 0 {
		zone = simZones[sm.rnd.IntN(4)]
	}
	band := wick.BandLow
	if sm.disturbed(0, 90*time.Second) || sm.kind == "load" && time.Since(sm.start)%(80*time.Second) > 50*time.Second {
		band = wick.BandHigh
	}
	out := sm.outcome(choice.Version, zone, route, band)
	smp := wick.VersionSample{Zone: zone, Band: band, Out: out, VM: wick.VMID(fmt.Sprintf("%s%d", choice.Version, sm.rnd.IntN(6)))}
	if sm.disturbed(3, 5*time.Second) && smp.VM == wick.VMID(sm.mov.To+"0") {
		// The endpoint crashes and then refuses connections.
		smp.Out, smp.Excluded = wick.Outcome{Err: wick.ErrTruncated}, sm.rnd.IntN(2) == 0
	}
	if choice.Candidate {
		ent.candidates++
		sm.countCandidate(ent)
	}
	wait := time.Duration(200+sm.rnd.IntN(1500)) * time.Millisecond
	if out.Late {
		wait += 2 * time.Second
	}
	sm.after(wait, func() {
		smp.At = time.Now()
		choice.Done(smp)
	})
}

// countCandidate counts a request to the candidate and checks the bounds.
func (sm *sim) countCandidate(ent *simEntry) {
	now := time.Now()
	if !sm.defectStart.IsZero() {
		sm.badRequests++
		ent.badRequests++
		sm.lastBadRequest = now
	}
	chk := ent.jdg.checker
	if sm.fixed {
		return
	}
	chk.Check(sm.stopAt.IsZero() || ent.partitioned || now.Sub(sm.stopAt) <= stopDelayBound, invar.StopIsFinal,
		"connected entry sends %s after the stop", now.Sub(sm.stopAt))
	chk.Check(sm.rec.State != move.StateProving || ent.partitioned || ent.candidates <= ent.credit+1+1e-6, invar.CandidateShare,
		"%.0f candidate requests for a credit of %.2f", ent.candidates, ent.credit)
	chk.Check(sm.kind != "fails" || ent.badRequests <= maxFailedRequests, invar.CandidateShare, "an entry sent %d requests to a failing version", ent.badRequests)
}

// everySecond runs, once a second, the exchange of evidence and the rollout duty.
func (sm *sim) everySecond() {
	sm.ents[2].partitioned = sm.disturbed(2, 120*time.Second)
	holder := sm.ents[0]
	now := time.Now()
	for _, ent := range sm.ents[1:] {
		if evi, ok := ent.jdg.Evidence("quote"); ok && !ent.partitioned {
			holder.jdg.Merge(evi)
		}
	}
	ver := holder.jdg.Verdict("quote", now)
	if sm.fixed {
		sm.fixedStep(ver.Totals)
	} else {
		inp := move.Input{
			Now: now, Move: sm.mov, Ready: true, Stop: ver.Reason, Proved: ver.Proved,
			Level: ver.Level, StopLevel: StopLevel, RequestsPerSecond: simRequestsPerTick * float64(time.Second/simTick),
		}
		sm.rec, _ = move.Step(sm.rec, inp)
	}
	rec := sm.rec
	for _, ent := range sm.ents {
		wait := time.Duration(sm.rnd.IntN(900)) * time.Millisecond
		if sm.rnd.IntN(4) == 0 {
			// The update arrives after a newer one.
			wait += 4 * time.Second
		}
		sm.after(wait, func() {
			if !ent.partitioned {
				// A stale update after a stop must not revive the version.
				ent.jdg.SetMove(Move{ID: rec.Move, Service: rec.Service, From: rec.From, To: rec.To, Share: rec.Share, Proved: rec.Proved()})
			}
		})
	}
}

// fixedStep is the baseline: it raises the share every 90 s and rolls back if
// the candidate's share of bad responses exceeds the old version's by 5
// percentage points.
func (sm *sim) fixedStep(sum Count) {
	shares := []wick.Share{0.05, 0.1, 0.25, 0.5, 1}
	age := int(time.Since(sm.start) / (90 * time.Second))
	if sm.rec.State == move.StateUndone || int(sm.step.Old) > age {
		return
	}
	if sum.Candidate > 0 && age > 0 {
		worse := float64(sum.CandidateBad)/float64(sum.Candidate) - float64(sum.OldBad)/float64(max(sum.Old, 1))
		if worse > 0.05 {
			sm.rec.State, sm.rec.Share = move.StateUndone, 0
			return
		}
	}
	sm.step.Old++
	sm.rec.State, sm.rec.Share = move.StateRamping, shares[min(age, len(shares)-1)]
	if sm.rec.Share == 1 {
		sm.rec.State = move.StateWatching
	}
}

// deliverStops delivers new stops to all connected entries within a second.
func (sm *sim) deliverStops() {
	for _, ent := range sm.ents {
		if ent.partitioned {
			continue
		}
		for _, stp := range ent.jdg.DrainStops() {
			if sm.stopAt.IsZero() {
				sm.stopAt = time.Now()
			}
			for _, peer := range sm.ents {
				sm.after(time.Duration(sm.rnd.IntN(1000))*time.Millisecond, func() {
					if !peer.partitioned {
						peer.jdg.Stop(stp)
					}
				})
			}
		}
	}
}

// run advances the simulation until the move is done or final, at most steps
// ticks.
func (sm *sim) run(steps int) {
	for num := range steps {
		time.Sleep(simTick)
		due := sm.events
		sm.events = nil
		for _, ev := range due {
			if ev.at.After(time.Now()) {
				sm.events = append(sm.events, ev)
				continue
			}
			ev.do()
		}
		for range simRequestsPerTick {
			sm.request()
		}
		if !sm.fixed {
			sm.deliverStops()
		}
		if num%10 == 0 {
			sm.everySecond()
		}
		if sm.rec.Final(time.Now()) || sm.rec.State == move.StateDone {
			return
		}
	}
}

// simulate runs one seed and returns the finished simulation.
func simulate(t *testing.T, seed uint64, kind defect, steps int, change func(sm *sim)) *sim {
	t.Helper()
	var sm *sim
	synctest.Test(t, func(t *testing.T) {
		chk := &invar.Checker{OnViolation: func(name invar.Name, detail string) {
			t.Errorf("seed %d %s: %s: %s", seed, kind, name, detail)
		}}
		sm = newSim(t, seed, kind, chk)
		if change != nil {
			change(sm)
		}
		sm.run(steps)
	})
	return sm
}
