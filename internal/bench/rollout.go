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
	moveEvery    = time.Second
	// fixedWorse is the share of bad answers above the old version's at which
	// the fixed steps are taken back.
	fixedWorse = 0.05
)

// A badness is the way in which the candidate of a run is bad.
type badness string

const (
	good badness = "good"
	// flaky fails three of ten calls, slow doubles the time between tokens
	// and late fails four of ten after a minute.
	flaky badness = "flaky"
	slow  badness = "slow"
	late  badness = "later"
)

var badnesses = []badness{good, flaky, slow, late}

var errVersion = errors.New("bad version")

// A rollout is the move of a run.
type rollout struct {
	wld   *world
	kind  badness
	fixed bool
	mov   wick.Move
	rec   move.Record
	began time.Time
	steps int
	// sum counts answers for the fixed steps.
	sum canary.Count
	// hits counts calls that the candidate made bad.
	hits   int
	fullAt time.Time
}

// startRollout adds a move to a run before its first event.
func (wld *world) startRollout(kind badness) {
	rol := &rollout{wld: wld, kind: kind, fixed: wld.pol.Fixed, began: wld.start}
	rol.mov = wick.Move{
		Name: "m", Service: service, From: version, To: candidate, Deadline: wld.start.Add(moveDeadline),
		MaxShareBeforeProof: 0.1, WatchMillis: 20_000,
	}
	rol.rec = move.New("2-m", rol.mov, wld.start)
	wld.rollout = rol
	wld.after(warmUp, func() { wld.every(moveEvery, rol.second) })
}

// spoil makes a call of the candidate bad.
func (rol *rollout) spoil(cll *call, jb *job) {
	if cll.version != candidate {
		return
	}
	draw := jb.dice
	switch {
	case rol.kind == slow:
		cll.step = rol.wld.wkl.Rates.DecodeTime
	case rol.kind == flaky && draw < 0.3, rol.kind == late && draw < 0.4 && rol.wld.now.Sub(rol.began) > time.Minute:
		cll.fail = errVersion
	default:
		return
	}
	rol.hits++
}

// second exchanges evidence and decides on the next step.
func (rol *rollout) second() {
	wld := rol.wld
	if rol.fixed {
		rol.fixedStep()
		rol.noteFull()
		return
	}
	holder := wld.entries[0].judge
	for _, ent := range wld.entries[1:] {
		if evi, ok := ent.judge.Evidence(service); ok {
			holder.Merge(evi)
		}
	}
	ver := holder.Verdict(service, wld.now)
	rol.rec, _ = move.Step(rol.rec, move.Input{
		Now: wld.now, Move: rol.mov, Ready: true, Stop: ver.Reason, Proved: ver.Proved,
		Level: ver.Level, StopLevel: canary.StopLevel, PerSecond: wld.wkl.PerSecond,
	})
	rol.noteFull()
	rec := rol.rec
	for _, ent := range wld.entries {
		wld.after(100*time.Millisecond, func() {
			ent.judge.SetMove(canary.Move{
				ID: rec.Move, Service: service, From: rec.From, To: rec.To, Share: rec.Share, Proved: rec.Proved(),
			})
		})
	}
	rol.spread()
}

// noteFull notes when all traffic moved.
func (rol *rollout) noteFull() {
	if rol.rec.Share == 1 && rol.fullAt.IsZero() {
		rol.fullAt = rol.wld.now
	}
}

// spread passes stops on to all entries.
func (rol *rollout) spread() {
	for _, ent := range rol.wld.entries {
		for _, stp := range ent.judge.TakeStops() {
			for _, peer := range rol.wld.entries {
				rol.wld.after(100*time.Millisecond, func() { peer.judge.Stop(stp) })
			}
		}
	}
}

// fixedStep is the baseline: a larger share every fifth of the deadline, taken
// back when the candidate has too many bad answers at a step.
func (rol *rollout) fixedStep() {
	sum, shares := rol.sum, []wick.Share{0.05, 0.1, 0.25, 0.5, 1}
	age := int(rol.wld.now.Sub(rol.began) / (moveDeadline / time.Duration(len(shares)+1)))
	if rol.rec.State == move.StateUndone || rol.steps > age {
		return
	}
	if sum.Candidate > 0 && rol.steps > 0 {
		worse := ratio(float64(sum.CandidateBad), float64(sum.Candidate)) - float64(sum.OldBad)/float64(max(sum.Old, 1))
		if worse > fixedWorse {
			rol.rec.State, rol.rec.Share = move.StateUndone, 0
			return
		}
	}
	rol.steps++
	rol.rec.State, rol.rec.Share = move.StateRamping, shares[min(age, len(shares)-1)]
}

// moved reports whether all traffic moved by the deadline and stayed.
func (rol *rollout) moved() bool {
	return rol.rec.State != move.StateUndone && !rol.fullAt.IsZero() && !rol.fullAt.After(rol.mov.Deadline)
}

func newJudge(num int) *canary.Judge {
	return canary.New(wick.EntryID("entry"+strconv.Itoa(num)), 1, &invar.Checker{})
}

// rolloutFigures are the lines of the table for rollout. The mean of a line
// leaves out the runs that it says nothing about.
func rolloutFigures() []figure {
	out := []figure{{"good versions rolled out in time, %", whole, func(res *result) float64 {
		return res.rolled(good, func(rol *rollout) float64 { return share(rol.moved()) })
	}}}
	for _, kind := range badnesses[1:] {
		out = append(out, figure{string(kind) + " versions taken back, %", whole, func(res *result) float64 {
			return res.rolled(kind, func(rol *rollout) float64 { return share(rol.rec.State == move.StateUndone) })
		}}, figure{string(kind) + ": calls hit", whole, func(res *result) float64 {
			return res.rolled(kind, func(rol *rollout) float64 { return float64(rol.hits) })
		}})
	}
	return append(out, figures[1])
}

func (res *result) rolled(kind badness, of func(rol *rollout) float64) float64 {
	if res.rollout.kind != kind {
		return math.NaN()
	}
	return of(res.rollout)
}

func share(yes bool) float64 {
	if yes {
		return 100
	}
	return 0
}
