package edge

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	rolloutEvery = 250 * time.Millisecond
	// proofPart of the requests that may reach a bad version is spent on the
	// proof; the rest is for a version that turns bad later.
	proofPart = 0.35
	// proofMost of them ends a proof that has not succeeded.
	proofMost = 0.6
	// jumpPart of them is spent by the end: the move to all traffic comes so
	// late that even a version whose badness never showed stays within it.
	jumpPart = 0.55
	// mostProof bounds the share of a version before its proof.
	mostProof wick.Share = 0.4
	// proveShare of the time of an order is spent on the proof at least, since
	// some versions turn bad only after a while.
	proveShare = 0.35
	// doneMargin is left of the time of an order when the move is recorded.
	doneMargin = 800 * time.Millisecond
	// longestOverlap bounds the time from the move of all traffic to the end of
	// the old version's endpoints.
	longestOverlap = 3 * time.Second
)

// rollouts moves services to the versions that operators order. Every entry
// judges the candidate by the evidence of all and stops it by itself; the
// holder of the control duty decides how the move goes on.
type rollouts struct {
	edg *Edge
	jdg *canary.Judge
	kep move.Keeper

	mu sync.Mutex
	// orders holds the newest order of each service, moves the state of its
	// move.
	orders map[wick.Service]*rollout
}

// A rollout is one order at this entry.
type rollout struct {
	ord wick.VersionOrder
	// seen is when this entry learned of the order.
	seen time.Time
	rec  move.Record
	// reported is the last state that this entry recorded for operators.
	reported wick.VersionOrderState
}

func newRollouts(edg *Edge) *rollouts {
	chk := &invar.Checker{}
	return &rollouts{
		edg: edg, jdg: canary.New(edg.cfg.ID, edg.cfg.Incarnation, chk),
		kep:    move.Keeper{Store: edg.cfg.Store, Self: edg.cfg.ID, Checker: chk},
		orders: make(map[wick.Service]*rollout),
	}
}

func (rol *rollout) id() wick.MoveID {
	return wick.MoveID(string(rol.ord.Service) + "-" + string(rol.ord.Target))
}

// takeOrder takes an operators' order.
func (rls *rollouts) takeOrder(obj wick.Object) {
	ord, err := rls.edg.cfg.Catalog.VersionOrder(obj)
	if err != nil || ord.Service == "" || ord.Target == "" {
		log.WithError(err).WithField("order", obj.Key.Name).Warn("edge: version order passed over")
		return
	}
	rls.take(ord, time.Now())
}

// take notes an order.
func (rls *rollouts) take(ord wick.VersionOrder, now time.Time) {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	rol := rls.orders[ord.Service]
	if rol == nil || rol.ord.Target != ord.Target {
		rol = &rollout{seen: now}
		rls.orders[ord.Service] = rol
	}
	if rol.ord.State != ord.State || rol.ord.Target != ord.Target {
		log.WithFields(logrus.Fields{"service": ord.Service, "version": ord.Target, "state": ord.State, "within": ord.Within.String()}).Info("edge: version order")
	}
	rol.ord = ord
	rls.judge(rol)
}

// judge tells the judge what share the version gets.
func (rls *rollouts) judge(rol *rollout) {
	if rol.ord.Ended() {
		rls.jdg.DropMove(rol.ord.Service)
		return
	}
	rls.jdg.SetMove(canary.Move{
		ID: rol.id(), Service: rol.ord.Service, To: rol.ord.Target, Share: rol.rec.Share, Proved: rol.rec.Proved(),
	})
	if rol.rec.State == move.StateUndone {
		rls.jdg.Stop(canary.Stop{Move: rol.id(), Service: rol.ord.Service, Version: rol.ord.Target, Reason: rol.rec.Reason})
	}
}

// takeRecord takes the record of a move.
func (rls *rollouts) takeRecord(obj wick.Object) {
	rec, err := move.Parse(obj)
	if err != nil {
		log.WithError(err).Warn("edge: record of a move can't be read")
		return
	}
	rls.mu.Lock()
	defer rls.mu.Unlock()
	if rol := rls.orders[rec.Service]; rol != nil && rol.id() == rec.Move {
		rol.rec = rec
		rls.judge(rol)
	}
}

// Choose restricts a send while a service is moved.
func (rls *rollouts) Choose(svc wick.Service, route wick.RouteName, now time.Time) relay.Choice {
	rls.mu.Lock()
	rol := rls.orders[svc]
	var ord wick.VersionOrder
	if rol != nil {
		ord = rol.ord
	}
	rls.mu.Unlock()
	switch {
	case rol == nil:
		return relay.Choice{}
	case ord.State == wick.OrderDone:
		return relay.Choice{Only: ord.Target, Fallback: true}
	case ord.State == wick.OrderUndone:
		return relay.Choice{Except: ord.Target}
	}
	vch := rls.jdg.Choose(wick.RouteQuery{Service: svc, Route: string(route), Now: now})
	cho := relay.Choice{Except: ord.Target, Done: vch.Done}
	if vch.Candidate {
		cho.Only, cho.Except, cho.Fallback = ord.Target, "", true
	}
	return cho
}

// loop judges and moves until ctx ends.
func (rls *rollouts) loop(ctx context.Context) {
	for retry.Sleep(ctx, rolloutEvery) {
		now := time.Now()
		for _, rol := range rls.active() {
			for _, rec := range rls.edg.roster.All() {
				for _, evi := range rec.Evidence {
					rls.jdg.Merge(evi)
				}
			}
			rls.step(ctx, rol, now)
		}
	}
}

// active returns copies of the orders that have not ended.
func (rls *rollouts) active() []rollout {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	var out []rollout
	for _, rol := range rls.orders {
		if !rol.ord.Ended() {
			out = append(out, *rol)
		}
	}
	return out
}

// moving reports whether a service is being moved.
func (rls *rollouts) moving(svc wick.Service) bool {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	rol := rls.orders[svc]
	return rol != nil && !rol.ord.Ended()
}

// anyMoving reports whether any service is being moved.
func (rls *rollouts) anyMoving() bool { return len(rls.active()) > 0 }

// step judges one move and, on the holder, decides how it goes on.
func (rls *rollouts) step(ctx context.Context, rol rollout, now time.Time) {
	ver := rls.jdg.Verdict(rol.ord.Service, now)
	for _, stp := range rls.jdg.TakeStops() {
		log.WithFields(logrus.Fields{"service": stp.Service, "version": stp.Version, "reason": stp.Reason}).Warn(logs.MsgVersionStopped)
	}
	fence, ok := rls.edg.control(now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	perSecond := rls.perSecond(rol.ord.Service, now)
	mov := wick.Move{
		Name: string(rol.id()), Service: rol.ord.Service, To: rol.ord.Target, Deadline: rol.seen.Add(rol.ord.Within),
		MaxShareBeforeProof: rls.proofShare(rol.ord, perSecond),
	}
	start := move.New(rol.id(), mov, now)
	rec, err := rls.kep.Update(ctx, start, fence, func(rec move.Record) (move.Record, bool) {
		mov.Deadline = rec.Deadline
		next, changed := move.Step(rec, rls.input(&rol, mov, ver, perSecond, now))
		return next, changed || rec.WriteID == ""
	})
	if err != nil {
		log.WithError(err).WithField("service", rol.ord.Service).Warn("edge: move not advanced")
		return
	}
	rls.report(ctx, &rol, rec)
}

// perSecond returns a service's requests a second over all entries.
func (rls *rollouts) perSecond(svc wick.Service, now time.Time) float64 {
	sum := rls.edg.pool.Requests(now)[svc]
	for _, rec := range rls.edg.roster.Alive(now, workMemory, false) {
		if rec.ID != rls.edg.cfg.ID {
			sum += rec.Requests[svc]
		}
	}
	return sum
}

// proofShare returns the largest share during the proof: what may reach a bad
// version, spread over the time of the proof.
func (rls *rollouts) proofShare(ord wick.VersionOrder, perSecond float64) wick.Share {
	requests := perSecond * ord.Within.Seconds()
	if requests <= 0 {
		return wick.Share(rls.edg.cfg.Bounds.CandidateShare)
	}
	return min(wick.Share(proofPart*rls.allowed(ord, perSecond)/(requests*proveShare)), mostProof)
}

// input collects what a step decides by.
func (rls *rollouts) input(rol *rollout, mov wick.Move, ver canary.Verdict, perSecond float64, now time.Time) move.Input {
	end := mov.Deadline.Add(-doneMargin)
	mov.WatchMillis = wick.Millis(max(end.Sub(now), 0).Milliseconds())
	return move.Input{
		Now: now, Move: mov, Ready: rls.edg.pool.HasVersion(rol.ord.Service, rol.ord.Target),
		Stop: ver.Reason, Proved: ver.Proved, Level: ver.Level, StopLevel: canary.StopLevel, PerSecond: perSecond,
		ProveFor:  time.Duration(proveShare * float64(rol.ord.Within)),
		JumpAt:    end.Add(-rls.overlap(rol.ord, ver.Totals.Candidate, perSecond)),
		Exhausted: float64(ver.Totals.Candidate) > proofMost*rls.allowed(rol.ord, perSecond),
	}
}

// allowed returns how many requests may reach a bad version during an order.
func (rls *rollouts) allowed(ord wick.VersionOrder, perSecond float64) float64 {
	bnd := &rls.edg.cfg.Bounds
	return bnd.CandidateShare*perSecond*ord.Within.Seconds() + bnd.CandidateSlack
}

// overlap returns how long before the end of its order all traffic may go to a
// version, after some requests have gone there for the proof.
func (rls *rollouts) overlap(ord wick.VersionOrder, spent uint64, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return longestOverlap
	}
	left := jumpPart*rls.allowed(ord, perSecond) - float64(spent)
	return min(max(time.Duration(left/perSecond*float64(time.Second)), 0), longestOverlap)
}

// states are what operators are told of a move.
var states = map[move.State]wick.VersionOrderState{
	move.StatePending: wick.OrderRunning, move.StateProving: wick.OrderRunning, move.StateRamping: wick.OrderRunning,
	move.StateWatching: wick.OrderRunning, move.StateDone: wick.OrderDone, move.StateUndone: wick.OrderUndone,
}

// report tells operators of a change.
func (rls *rollouts) report(ctx context.Context, rol *rollout, rec move.Record) {
	rls.mu.Lock()
	cur := rls.orders[rol.ord.Service]
	if cur != nil && cur.id() == rec.Move {
		cur.rec = rec
		rls.judge(cur)
	}
	rls.mu.Unlock()
	state := states[rec.State]
	if rol.ord.State == state || rol.reported == state {
		return
	}
	if err := rls.edg.cfg.Orders.SetState(ctx, rol.ord, state); err != nil {
		log.WithError(err).WithField("service", rol.ord.Service).Warn("edge: state of order not recorded")
		return
	}
	log.WithFields(logrus.Fields{"service": rol.ord.Service, "version": rol.ord.Target, "state": state, "reason": rec.Reason, "evidence": rec.Evidence}).Info("edge: order recorded")
	rls.mu.Lock()
	defer rls.mu.Unlock()
	if cur != nil {
		cur.reported = state
	}
}

// evidence returns this entry's counters for its record.
func (rls *rollouts) evidence() []canary.Evidence {
	var out []canary.Evidence
	for _, rol := range rls.active() {
		if evi, ok := rls.jdg.Evidence(rol.ord.Service); ok {
			out = append(out, evi)
		}
	}
	return out
}
