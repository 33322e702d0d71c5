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
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	rolloutInterval = 250 * time.Millisecond
	// proofBudget is the fraction of the requests that may reach a bad version
	// that is planned for the proof. The rest is for a version that turns bad
	// later.
	proofBudget = 0.35
	// maxProofBudget is the fraction of these requests at which a proof that has
	// not succeeded ends.
	maxProofBudget = 0.6
	// cutoverBudget is the fraction of these requests that is spent by the end of
	// the order. The cutover to all traffic is late enough that even a bad
	// version that is never detected stays within it.
	cutoverBudget = 0.55
	// maxProofShare bounds the traffic share of a version before its proof.
	maxProofShare wick.Share = 0.4
	// minProofTime is the fraction of the duration of an order that the proof
	// lasts at least, since some versions turn bad only after a while.
	minProofTime = 0.35
	// completionMargin is the time between the recorded end of a rollout and the
	// deadline of its order.
	completionMargin = 800 * time.Millisecond
	// maxCutoverLead bounds the time from the cutover to the end of the old
	// version's endpoints.
	maxCutoverLead = 3 * time.Second
)

// rollouts rolls services out to the versions that operators order. Every entry
// evaluates the candidate by the evidence of all entries and stops it on its own;
// the holder of the control duty advances the rollout.
type rollouts struct {
	edg *Edge
	jdg *canary.Judge
	kep move.Keeper

	mu sync.Mutex
	// orders holds the newest order of each service and the state of its rollout.
	orders map[wick.Service]*rollout
	// known holds the rollouts of all orders, since a restored store has earlier ones.
	known map[wick.MoveID]*rollout
	// reads holds what was last read of the order of each service.
	reads map[wick.Service]orderRead
	// newest is the highest revision of an order that was read, newestMove that of a move's
	// record.
	newest, newestMove wick.Revision
	// versions holds when the versions of each service were first listed.
	versions versionAges
}

// A rollout is this entry's view of a version order.
type rollout struct {
	// ord is the order. Its state never goes back, although that in the store does when
	// the store is restored.
	ord wick.VersionOrder
	// era is the store's era in which the order was last read with the state of ord.
	// goneBack is since when a later era has had another one, the zero time if none has.
	era      wick.Era
	goneBack time.Time
	// readIn is the latest era in which the order was read.
	readIn wick.Era
	// place is that of the order in the sequence in which this entry first read them. The
	// numbers of orders don't do: one that is replaced before any state is recorded, or that
	// a restored store has lost, leaves its number to another one.
	place int
	// unrecorded is set if the object doesn't know the order's state: a later order has a
	// number that isn't higher.
	unrecorded bool
	// receivedAt is when this entry received the order.
	receivedAt time.Time
	// rec is the latest record of the move, recordEra the store's era in which it was read.
	rec       move.Record
	recordEra wick.Era
	// reported is the last state that this entry wrote to the order's status.
	reported wick.VersionOrderState
	// completedAt is when this entry first knew that the rollout has completed, the zero time
	// before.
	completedAt time.Time
}

func newRollouts(edg *Edge) *rollouts {
	chk := &invar.Checker{}
	return &rollouts{
		edg: edg, jdg: canary.New(edg.cfg.ID, edg.cfg.Incarnation, chk),
		kep:    move.Keeper{Store: edg.cfg.Store, Self: edg.cfg.ID, Checker: chk},
		orders: make(map[wick.Service]*rollout), known: make(map[wick.MoveID]*rollout),
		reads: make(map[wick.Service]orderRead),
	}
}

// id returns the id of the rollout's move.
func (rol *rollout) id() wick.MoveID { return moveID(rol.ord) }

// updateJudge applies the state of a rollout to the judge.
func (rls *rollouts) updateJudge(rol *rollout) {
	rol.noteCompletion(time.Now())
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

// handleRecord handles a change of a move's record.
func (rls *rollouts) handleRecord(obj wick.Object) {
	rec, err := move.Parse(obj)
	if err != nil {
		log.WithError(err).Warn("edge: malformed move record ignored")
		return
	}
	rls.mu.Lock()
	defer rls.mu.Unlock()
	rls.newestMove = max(rls.newestMove, obj.Revision)
	if rol := rls.orders[rec.Service]; rol != nil && rol.id() == rec.Move {
		rol.setRecord(rec, obj.Revision.Era())
		rls.updateJudge(rol)
	}
}

// Choose restricts the versions that a request may be sent to during and after a
// rollout.
func (rls *rollouts) Choose(svc wick.Service, route wick.RouteName, now time.Time) relay.Choice {
	ord, ok := rls.order(svc)
	if choice, settled := settledChoice(&ord, ok); settled {
		choice.Done = func(smp wick.VersionSample) { rls.jdg.Observe(svc, string(route), smp) }
		return rls.withoutNew(svc, choice, now)
	}
	vch := rls.jdg.Choose(wick.RouteQuery{Service: svc, Route: string(route), Now: now})
	choice := oldVersions(&ord)
	if vch.Candidate {
		choice = newVersion(&ord)
	}
	choice.Done = vch.Done
	return rls.withoutNew(svc, choice, now)
}

// order returns the newest order of a service, and false if it has none.
func (rls *rollouts) order(svc wick.Service) (wick.VersionOrder, bool) {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	rol := rls.orders[svc]
	if rol == nil {
		return wick.VersionOrder{}, false
	}
	return rol.ord, true
}

// settledChoice returns the choice of all requests to a service whose newest order, if there
// is one, has ended, and false if it has not.
func settledChoice(ord *wick.VersionOrder, exists bool) (relay.Choice, bool) {
	switch {
	case !exists:
		return relay.Choice{}, true
	case ord.State == wick.OrderDone:
		return newVersion(ord), true
	case ord.State == wick.OrderRolledBack:
		return oldVersions(ord), true
	default:
		return relay.Choice{}, false
	}
}

// newVersion restricts a request to the version that an order brings in, if there is an
// endpoint of it.
func newVersion(ord *wick.VersionOrder) relay.Choice {
	return relay.Choice{Only: ord.Target, Except: ord.Withheld, Fallback: true}
}

// oldVersions keeps a request from the version that an order brings in.
func oldVersions(ord *wick.VersionOrder) relay.Choice { return relay.Choice{Except: unproved(ord)} }

// run evaluates and advances the active rollouts until ctx is cancelled.
func (rls *rollouts) run(ctx context.Context) {
	for retry.Sleep(ctx, rolloutInterval) {
		now := time.Now()
		for _, rol := range rls.active() {
			for _, rec := range rls.edg.roster.All() {
				for _, evi := range rec.Evidence {
					rls.jdg.Merge(evi)
				}
			}
			rls.advance(ctx, rol, now)
		}
		rls.rewriteStates(ctx, now)
	}
}

// active returns copies of the rollouts that have not ended.
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

// inProgress reports whether a service has an active rollout.
func (rls *rollouts) inProgress(svc wick.Service) bool {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	rol := rls.orders[svc]
	return rol != nil && !rol.ord.Ended()
}

// anyInProgress reports whether any service has an active rollout.
func (rls *rollouts) anyInProgress() bool { return len(rls.active()) > 0 }

// advance evaluates one rollout and, on the holder of the control duty, advances
// its move.
func (rls *rollouts) advance(ctx context.Context, rol rollout, now time.Time) {
	ver := rls.jdg.Verdict(rol.ord.Service, now)
	for _, stp := range rls.jdg.DrainStops() {
		log.WithFields(logrus.Fields{logs.FieldService: stp.Service, "version": stp.Version, "reason": stp.Reason}).Warn(logs.MsgVersionStopped)
		go rls.edg.notify(context.WithoutCancel(ctx), wick.MsgStop, stp, rls.edg.reachablePeers())
	}
	fence, ok := rls.edg.controlFence(now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ctx, endLease := context.WithDeadline(ctx, rls.edg.leases.ValidUntil(DutyControl))
	defer endLease()
	perSecond := rls.requestRate(rol.ord.Service, now)
	mov := wick.Move{
		Name: string(rol.id()), Service: rol.ord.Service, To: rol.ord.Target, Deadline: rol.receivedAt.Add(rol.ord.Within),
		MaxShareBeforeProof: rls.proofShare(rol.ord, perSecond),
	}
	start := move.New(rol.id(), mov, now)
	rec, err := rls.kep.Update(ctx, start, fence, func(rec move.Record) (move.Record, bool) {
		cur := move.Latest(rol.rec, rec)
		mov.Deadline = cur.Deadline
		next, changed := move.Step(cur, rls.stepInput(&rol, mov, ver, perSecond, now))
		return next, changed || rec.WriteID == "" || rec.WriteID != cur.WriteID
	})
	if err != nil {
		log.WithError(err).WithField(logs.FieldService, rol.ord.Service).Warn("edge: failed to advance move")
		return
	}
	rls.recordState(ctx, &rol, rec)
}

// handleStop stops a version that another entry has stopped.
func (rls *rollouts) handleStop(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var stp canary.Stop
	if err := peer.Decode(body, &stp); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	if rls.jdg.Stop(stp) {
		log.WithFields(logrus.Fields{logs.FieldService: stp.Service, "version": stp.Version, "reason": stp.Reason, logs.FieldFrom: from}).Warn(logs.MsgVersionStopped)
	}
	return struct{}{}, nil
}

// requestRate returns a service's requests per second over all entries.
func (rls *rollouts) requestRate(svc wick.Service, now time.Time) float64 {
	sum := rls.edg.pool.RequestRate(now)[svc]
	for _, rec := range rls.edg.roster.Alive(now, loadTimeout, false) {
		if rec.ID != rls.edg.cfg.ID {
			sum += rec.Requests[svc]
		}
	}
	return sum
}

// proofShare returns the largest traffic share during the proof: the proof's part
// of the allowed requests, spread over the time of the proof.
func (rls *rollouts) proofShare(ord wick.VersionOrder, perSecond float64) wick.Share {
	requests := perSecond * ord.Within.Seconds()
	if requests <= 0 {
		return wick.Share(rls.edg.cfg.Bounds.CandidateShare)
	}
	return min(wick.Share(proofBudget*rls.candidateBudget(ord, perSecond)/(requests*minProofTime)), maxProofShare)
}

// stepInput collects the input of the move's state machine.
func (rls *rollouts) stepInput(rol *rollout, mov wick.Move, ver canary.Verdict, perSecond float64, now time.Time) move.Input {
	end := mov.Deadline.Add(-completionMargin)
	mov.WatchMillis = wick.Millis(max(end.Sub(now), 0).Milliseconds())
	return move.Input{
		Now: now, Move: mov, Ready: rls.edg.pool.HasVersion(rol.ord.Service, rol.ord.Target),
		Stop: ver.Reason, Proved: ver.Proved, Level: ver.Level, StopLevel: canary.StopLevel, RequestsPerSecond: perSecond,
		MinProofTime: time.Duration(minProofTime * float64(rol.ord.Within)),
		CutoverAt:    end.Add(-rls.cutoverLead(rol.ord, ver.Totals.Candidate, perSecond)),
		Exhausted:    float64(ver.Totals.Candidate) > maxProofBudget*rls.candidateBudget(rol.ord, perSecond),
	}
}

// candidateBudget returns how many requests may reach a bad version during an
// order.
func (rls *rollouts) candidateBudget(ord wick.VersionOrder, perSecond float64) float64 {
	bnd := &rls.edg.cfg.Bounds
	return bnd.CandidateShare*perSecond*ord.Within.Seconds() + bnd.CandidateSlack
}

// cutoverLead returns how long before the end of the order the cutover to all
// traffic may happen, given the requests that the proof has spent.
func (rls *rollouts) cutoverLead(ord wick.VersionOrder, spent uint64, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxCutoverLead
	}
	remaining := cutoverBudget*rls.candidateBudget(ord, perSecond) - float64(spent)
	return min(max(time.Duration(remaining/perSecond*float64(time.Second)), 0), maxCutoverLead)
}

// orderStates maps the states of a move to the states of its version order.
var orderStates = map[move.State]wick.VersionOrderState{
	move.StatePending: wick.OrderRunning, move.StateProving: wick.OrderRunning, move.StateRamping: wick.OrderRunning,
	move.StateWatching: wick.OrderRunning, move.StateDone: wick.OrderDone, move.StateUndone: wick.OrderRolledBack,
}

// recordState writes a new state to the status of the version order.
func (rls *rollouts) recordState(ctx context.Context, rol *rollout, rec move.Record) {
	rls.mu.Lock()
	cur := rls.orders[rol.ord.Service]
	if cur != nil && cur.id() == rec.Move {
		cur.rec = move.Latest(cur.rec, rec)
		rls.updateJudge(cur)
	}
	rls.mu.Unlock()
	state := orderStates[rec.State]
	if rol.ord.State == state || rol.reported == state {
		return
	}
	rls.writeState(ctx, rol, state)
}

// writeState writes a state to the status of a version order.
func (rls *rollouts) writeState(ctx context.Context, rol *rollout, state wick.VersionOrderState) {
	if err := rls.edg.cfg.Orders.SetState(ctx, rol.ord, state); err != nil {
		log.WithError(err).WithField(logs.FieldService, rol.ord.Service).Warn("edge: failed to write state of version order")
		return
	}
	log.WithFields(logrus.Fields{logs.FieldService: rol.ord.Service, "version": rol.ord.Target, "state": state, "reason": rol.rec.Reason, "evidence": rol.rec.Evidence}).Info("edge: state of version order written")
	rls.mu.Lock()
	defer rls.mu.Unlock()
	if cur := rls.known[rol.id()]; cur != nil {
		cur.reported = state
	}
}

// evidence returns this entry's evidence on active rollouts for its record.
func (rls *rollouts) evidence() []canary.Evidence {
	var out []canary.Evidence
	for _, rol := range rls.active() {
		if evi, ok := rls.jdg.Evidence(rol.ord.Service); ok {
			out = append(out, evi)
		}
	}
	return out
}
