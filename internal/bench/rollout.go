package bench

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	candidate    = wick.ModelVersion("v2")
	moveDeadline = 3 * time.Minute
	movePeriod   = time.Second
	// maxBadIncrease is the increase of the share of bad answers over the old
	// version above which the fixed steps are rolled back.
	maxBadIncrease = 0.05
)

// A faultKind is the fault of the candidate version in a run.
type faultKind string

const (
	good faultKind = "good"
	// flaky fails 30% of calls, slow doubles the time between tokens and late
	// fails 40% of calls after a minute.
	flaky faultKind = "flaky"
	slow  faultKind = "slow"
	late  faultKind = "later"
)

var faultKinds = []faultKind{good, flaky, slow, late}

var errVersion = errors.New("bad version")

// A rollout is the state of the move in a run.
type rollout struct {
	sim   *simulation
	kind  faultKind
	fixed bool
	mov   wick.Move
	rec   move.Record
	began time.Time
	steps int
	// sum counts outcomes for the fixed steps.
	sum canary.Count
	// faulty counts the calls with an injected fault.
	faulty int
	fullAt time.Time
}

// startRollout adds a move to a run. It must be called before the first event.
func (sim *simulation) startRollout(kind faultKind) {
	rol := &rollout{sim: sim, kind: kind, fixed: sim.pol.Fixed, began: sim.start}
	rol.mov = wick.Move{
		Name: "m", Service: service, From: version, To: candidate, Deadline: sim.start.Add(moveDeadline),
		MaxShareBeforeProof: 0.1, WatchMillis: 20_000,
	}
	rol.rec = move.New("2-m", rol.mov, sim.start)
	sim.rollout = rol
	sim.after(warmUp, func() { sim.every(movePeriod, rol.tick) })
}

// injectFault applies the fault of the candidate to a call.
func (rol *rollout) injectFault(cll *call, jb *job) {
	if cll.version != candidate {
		return
	}
	draw := jb.faultDraw
	switch {
	case rol.kind == slow:
		cll.step = rol.sim.wkl.Rates.DecodeTime
	case rol.kind == flaky && draw < 0.3, rol.kind == late && draw < 0.4 && rol.sim.now.Sub(rol.began) > time.Minute:
		cll.fail = errVersion
	default:
		return
	}
	rol.faulty++
}

// tick exchanges evidence between entries and decides the next step.
func (rol *rollout) tick() {
	sim := rol.sim
	if rol.fixed {
		rol.fixedStep()
		rol.recordFull()
		return
	}
	leader := sim.entries[0].judge
	for _, ent := range sim.entries[1:] {
		if evi, ok := ent.judge.Evidence(service); ok {
			leader.Merge(evi)
		}
	}
	ver := leader.Verdict(service, sim.now)
	rol.rec, _ = move.Step(rol.rec, move.Input{
		Now: sim.now, Move: rol.mov, Ready: true, Stop: ver.Reason, Proved: ver.Proved,
		Level: ver.Level, StopLevel: canary.StopLevel, RequestsPerSecond: sim.wkl.PerSecond,
	})
	rol.recordFull()
	rec := rol.rec
	for _, ent := range sim.entries {
		sim.after(100*time.Millisecond, func() {
			ent.judge.SetMove(canary.Move{
				ID: rec.Move, Service: service, From: rec.From, To: rec.To, Share: rec.Share, Proved: rec.Proved(),
			})
		})
	}
	rol.propagateStops()
}

// recordFull records when the candidate first received all traffic.
func (rol *rollout) recordFull() {
	if rol.rec.Share == 1 && rol.fullAt.IsZero() {
		rol.fullAt = rol.sim.now
	}
}

// propagateStops sends stops to all entries.
func (rol *rollout) propagateStops() {
	for _, ent := range rol.sim.entries {
		for _, stp := range ent.judge.DrainStops() {
			for _, peer := range rol.sim.entries {
				rol.sim.after(100*time.Millisecond, func() { peer.judge.Stop(stp) })
			}
		}
	}
}

// fixedStep is the baseline: it raises the share in fixed steps up to the
// deadline and rolls back if the candidate has too many bad answers at a step.
func (rol *rollout) fixedStep() {
	sum, shares := rol.sum, []wick.Share{0.05, 0.1, 0.25, 0.5, 1}
	age := int(rol.sim.now.Sub(rol.began) / (moveDeadline / time.Duration(len(shares)+1)))
	if rol.rec.State == move.StateUndone || rol.steps > age {
		return
	}
	if sum.Candidate > 0 && rol.steps > 0 {
		worse := ratio(float64(sum.CandidateBad), float64(sum.Candidate)) - float64(sum.OldBad)/float64(max(sum.Old, 1))
		if worse > maxBadIncrease {
			rol.rec.State, rol.rec.Share = move.StateUndone, 0
			return
		}
	}
	rol.steps++
	rol.rec.State, rol.rec.Share = move.StateRamping, shares[min(age, len(shares)-1)]
}

// completed reports whether the candidate received all traffic by the deadline
// and was not rolled back.
func (rol *rollout) completed() bool {
	return rol.rec.State != move.StateUndone && !rol.fullAt.IsZero() && !rol.fullAt.After(rol.mov.Deadline)
}

func newJudge(num int) *canary.Judge {
	return canary.New(wick.EntryID("entry"+strconv.Itoa(num)), 1, &invar.Checker{})
}

// rolloutFigures returns the rows of the rollout table. The mean of a row
// ignores runs of other fault kinds.
func rolloutFigures() []figure {
	out := []figure{{"good versions rolled out in time, %", whole, func(res *result) float64 {
		return res.figureFor(good, func(rol *rollout) float64 { return percentIf(rol.completed()) })
	}}}
	for _, kind := range faultKinds[1:] {
		out = append(out, figure{string(kind) + " versions taken back, %", whole, func(res *result) float64 {
			return res.figureFor(kind, func(rol *rollout) float64 { return percentIf(rol.rec.State == move.StateUndone) })
		}}, figure{string(kind) + ": calls hit", whole, func(res *result) float64 {
			return res.figureFor(kind, func(rol *rollout) float64 { return float64(rol.faulty) })
		}})
	}
	return append(out, figures[1])
}

func (res *result) figureFor(kind faultKind, of func(rol *rollout) float64) float64 {
	if res.rollout.kind != kind {
		return math.NaN()
	}
	return of(res.rollout)
}

func percentIf(yes bool) float64 {
	if yes {
		return 100
	}
	return 0
}
