package edge

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	rolloutEvery = 250 * time.Millisecond
	// candidateShare bounds the share of a version before its proof.
	candidateShare wick.Share = 0.05
	// proveShare of the time of an order is spent on the proof at least, since
	// some versions turn bad only after a while.
	proveShare = 0.35
	// stepShare of the time of an order is the least time of a step of the
	// ramp.
	stepShare = 0.07
	// watchTime lets the requests at the old version end before it is stopped.
	watchTime = 1500 * time.Millisecond
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

// An orderHandler follows operators' orders.
type orderHandler struct{ rls *rollouts }

// Replace takes all orders.
func (hdl orderHandler) Replace(objs []wick.Object) {
	for idx := range objs {
		hdl.Change(objs[idx])
	}
}

// Change takes one order.
func (hdl orderHandler) Change(obj wick.Object) {
	if obj.Deleted {
		return
	}
	ord, err := hdl.rls.edg.cfg.Catalog.VersionOrder(obj)
	if err != nil || ord.Service == "" || ord.Target == "" {
		log.WithError(err).WithField("order", obj.Key.Name).Warn("edge: version order passed over")
		return
	}
	hdl.rls.take(ord, time.Now())
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

// A moveHandler follows the records of moves.
type moveHandler struct{ rls *rollouts }

// Replace takes all records.
func (hdl moveHandler) Replace(objs []wick.Object) {
	for idx := range objs {
		hdl.Change(objs[idx])
	}
}

// Change takes one record.
func (hdl moveHandler) Change(obj wick.Object) {
	if obj.Deleted {
		return
	}
	rec, err := move.Parse(obj)
	if err != nil {
		log.WithError(err).Warn("edge: record of a move can't be read")
		return
	}
	rls := hdl.rls
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

// step judges one move and, on the holder, decides how it goes on.
func (rls *rollouts) step(ctx context.Context, rol rollout, now time.Time) {
	ver := rls.jdg.Verdict(rol.ord.Service, now)
	for _, stp := range rls.jdg.TakeStops() {
		log.WithFields(logrus.Fields{"service": stp.Service, "version": stp.Version, "reason": stp.Reason}).Warn("edge: version stopped here")
	}
	fence, ok := rls.edg.control(now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	mov := bundle.Move{
		Name: string(rol.id()), Service: rol.ord.Service, To: rol.ord.Target, Deadline: rol.seen.Add(rol.ord.Within),
		MaxShareBeforeProof: candidateShare, WatchMillis: wick.Millis(watchTime.Milliseconds()),
	}
	start := move.New(rol.id(), mov, now)
	rec, err := rls.kep.Update(ctx, start, fence, func(rec move.Record) (move.Record, bool) {
		mov.Deadline = rec.Deadline
		next, changed := move.Step(rec, rls.input(&rol, mov, ver, now))
		return next, changed || rec.WriteID == ""
	})
	if err != nil {
		log.WithError(err).WithField("service", rol.ord.Service).Warn("edge: move not advanced")
		return
	}
	rls.report(ctx, &rol, rec)
}

// input collects what a step decides by.
func (rls *rollouts) input(rol *rollout, mov bundle.Move, ver canary.Verdict, now time.Time) move.Input {
	return move.Input{
		Now: now, Move: mov, Ready: rls.edg.pool.HasVersion(rol.ord.Service, rol.ord.Target),
		Stop: ver.Reason, Proved: ver.Proved, Level: ver.Level, StopLevel: canary.StopLevel,
		ProveFor: time.Duration(proveShare * float64(rol.ord.Within)),
		MinStep:  time.Duration(stepShare * float64(rol.ord.Within)),
	}
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
