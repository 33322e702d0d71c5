package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/internal/move"
	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// moveInterval is the time between evidence reports and between steps of moves.
const moveInterval = time.Second

// An evidenceReport is what an entry sends to the owner of the rollout duty.
type evidenceReport struct {
	Evidence []canary.Evidence `cbor:"1,keyasint"`
}

// A moveReply is the owner's reply: the records of all moves.
type moveReply struct {
	Records []move.Record `cbor:"1,keyasint"`
}

// A moveTable holds the newest known record of each move.
type moveTable struct {
	mu      sync.Mutex
	records map[wick.MoveID]move.Record
}

// put stores the record unless its fencing token is older than that of the
// stored one. An undone record is final.
func (mtb *moveTable) put(rec move.Record) {
	mtb.mu.Lock()
	defer mtb.mu.Unlock()
	if mtb.records == nil {
		mtb.records = make(map[wick.MoveID]move.Record)
	}
	old, ok := mtb.records[rec.Move]
	if ok && rec.State != move.StateUndone && (old.State == move.StateUndone || old.Fence > rec.Fence) {
		return
	}
	mtb.records[rec.Move] = rec
}

func (mtb *moveTable) get(mid wick.MoveID) (move.Record, bool) {
	mtb.mu.Lock()
	defer mtb.mu.Unlock()
	rec, ok := mtb.records[mid]
	return rec, ok
}

// retain drops the records of all moves that are not in ids.
func (mtb *moveTable) retain(ids map[wick.MoveID]bool) {
	mtb.mu.Lock()
	defer mtb.mu.Unlock()
	for mid := range mtb.records {
		if !ids[mid] {
			delete(mtb.records, mid)
		}
	}
}

// all returns the records of the active bundle's moves.
func (mtb *moveTable) all() []move.Record {
	mtb.mu.Lock()
	defer mtb.mu.Unlock()
	out := make([]move.Record, 0, len(mtb.records))
	for _, rec := range mtb.records {
		out = append(out, rec)
	}
	return out
}

func moveID(ver wick.BundleVersion, mov *wick.Move) wick.MoveID {
	return wick.MoveID(fmt.Sprintf("%d-%s", ver, mov.Name))
}

// setMoves applies the moves of a newly active bundle. A move without a record
// starts with share 0, so that no traffic reaches the new version before the
// rollout duty raises the share.
func (ent *Entry) setMoves(bnd *bundle.Bundle) {
	movingServices := make(map[wick.Service]bool, len(bnd.Moves))
	ids := make(map[wick.MoveID]bool, len(bnd.Moves))
	for idx := range bnd.Moves {
		mov := &bnd.Moves[idx]
		mid := moveID(bnd.Version, mov)
		movingServices[mov.Service], ids[mid] = true, true
		rec, ok := ent.moves.get(mid)
		if !ok {
			rec = move.New(mid, *mov, time.Now())
			ent.moves.put(rec)
		}
		if stp, ok := ent.inheritedStop(mid, mov); ok {
			ent.applyStop(stp)
		} else {
			ent.route.AllowVersion(mov.Service, mov.To)
		}
		ent.applyRecord(rec)
	}
	ent.moves.retain(ids)
	for idx := range bnd.Services {
		if svc := bnd.Services[idx].Name; !movingServices[svc] {
			ent.judge.DropMove(svc)
		}
	}
}

// inheritedStop returns the stop of a move that an earlier bundle version had
// under the same name. Such a move stays undone: a bundle that is submitted for
// another reason must not expose callers to a bad version again. Operators
// retry with a move of another name.
func (ent *Entry) inheritedStop(mid wick.MoveID, mov *wick.Move) (canary.Stop, bool) {
	for _, stp := range ent.notices.Stops() {
		_, name, _ := strings.Cut(string(stp.Move), "-")
		if name == mov.Name && stp.Service == mov.Service && stp.Version == mov.To {
			return canary.Stop{
				Move: mid, Service: mov.Service, Version: mov.To, By: stp.From, At: time.Now(),
				Reason: inheritedReason(stp.Move),
			}, true
		}
	}
	return canary.Stop{}, false
}

func inheritedReason(earlier wick.MoveID) string {
	return fmt.Sprintf("undone as %s; a move of another name tries again", earlier)
}

// inheritedUndo returns the reason to undo a pending move at once: the previous
// bundle version had it under the same name and it was undone there. The new
// record is undone too, so later versions inherit it in turn.
func (ent *Entry) inheritedUndo(ctx context.Context, prev wick.BundleVersion, mov *wick.Move) (string, error) {
	earlier := moveID(prev, mov)
	rec, rev, err := ent.keeper().Load(ctx, earlier)
	if err != nil {
		return "", err
	}
	if rev == 0 || rec.State != move.StateUndone || rec.To != mov.To || rec.Service != mov.Service {
		return "", nil
	}
	return inheritedReason(earlier), nil
}

// mergeRecord merges a record received from the duty's owner or read from the
// platform.
func (ent *Entry) mergeRecord(rec move.Record) {
	if act, ok := ent.config.Active(); !ok || !hasMove(&act.Bundle, rec.Move) {
		return
	}
	ent.moves.put(rec)
	if known, ok := ent.moves.get(rec.Move); ok {
		ent.applyRecord(known)
	}
}

func hasMove(bnd *bundle.Bundle, mid wick.MoveID) bool {
	for idx := range bnd.Moves {
		if moveID(bnd.Version, &bnd.Moves[idx]) == mid {
			return true
		}
	}
	return false
}

func (ent *Entry) applyRecord(rec move.Record) {
	ent.judge.SetMove(canary.Move{
		ID: rec.Move, Service: rec.Service, From: rec.From, To: rec.To, Share: rec.Share, Proved: rec.Proved(),
	})
	if rec.State == move.StateUndone {
		ent.applyStop(canary.Stop{Move: rec.Move, Service: rec.Service, Version: rec.To, Reason: rec.Reason, By: rec.Holder, At: rec.Since})
	}
}

// applyStop stops a version on this entry. It is idempotent.
func (ent *Entry) applyStop(stp canary.Stop) {
	ent.judge.Stop(stp)
	ent.route.StopVersion(stp.Service, stp.Version)
}

// moveLoop publishes stops and evidence and updates the records of the moves.
func (ent *Entry) moveLoop(ctx context.Context) {
	every(ctx, moveInterval, func(ctx context.Context) {
		ent.publishStops(ctx)
		act, ok := ent.config.Active()
		if !ok || len(act.Bundle.Moves) == 0 {
			return
		}
		rep := evidenceReport{}
		for idx := range act.Bundle.Moves {
			if evi, ok := ent.judge.Evidence(act.Bundle.Moves[idx].Service); ok {
				rep.Evidence = append(rep.Evidence, evi)
			}
		}
		ent.sendEvidence(ctx, rep)
	})
}

// publishStops sends the stops decided on this entry to the peers and the
// platform.
func (ent *Entry) publishStops(ctx context.Context) {
	for _, stp := range ent.judge.DrainStops() {
		logrus.WithFields(logrus.Fields{"move": stp.Move, "reason": stp.Reason}).Warn("entry: version stopped")
		ent.route.StopVersion(stp.Service, stp.Version)
		ent.spread.AddStop(ctx, notice.Stop{
			Move: stp.Move, Service: stp.Service, Version: stp.Version, Reason: stp.Reason, From: stp.By,
		})
		ent.recordStop(ctx, stp)
	}
}

// recordStop writes the stop into the move's object, so that it takes effect
// even if the owner of the rollout duty is unreachable. It needs no fencing
// token, since a stop is valid regardless of which entry detected it.
func (ent *Entry) recordStop(ctx context.Context, stp canary.Stop) {
	known, ok := ent.moves.get(stp.Move)
	if !ok {
		return
	}
	rec, err := ent.keeper().Update(ctx, known, 0, func(rec move.Record) (move.Record, bool) {
		return move.Step(rec, move.Input{Now: time.Now(), Stop: stp.Reason})
	})
	if err != nil {
		logrus.WithError(err).WithField("move", stp.Move).Warn("entry: writing the stop to the move record failed")
		return
	}
	ent.mergeRecord(rec)
}

func (ent *Entry) keeper() *move.Keeper {
	return &move.Keeper{Store: ent.store, Self: ent.self.ID, Checker: ent.invar}
}

// sendEvidence sends evidence to the expected owner of the rollout duty and
// merges the records in its reply. If the call fails, the records are read from
// the platform.
func (ent *Entry) sendEvidence(ctx context.Context, rep evidenceReport) {
	holder, ok := lease.Assignee(dutyRollout, ent.view.Serving(time.Now()))
	if !ok || holder.ID == ent.self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply moveReply
	if err := ent.peers.Call(ctx, holder, wick.MsgEvidence, rep, &reply); err != nil {
		ent.readRecords(ctx)
		return
	}
	for _, rec := range reply.Records {
		ent.mergeRecord(rec)
	}
}

// readRecords reads the records of the active moves from the platform.
func (ent *Entry) readRecords(ctx context.Context) {
	act, ok := ent.config.Active()
	if !ok {
		return
	}
	for idx := range act.Bundle.Moves {
		rec, rev, err := ent.keeper().Load(ctx, moveID(act.Bundle.Version, &act.Bundle.Moves[idx]))
		if err == nil && rev != 0 {
			ent.mergeRecord(rec)
		}
	}
}

// handleEvidence merges the evidence of a peer. It is a wick.PeerHandler.
func (ent *Entry) handleEvidence(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var rep evidenceReport
	if err := peer.Decode(body, &rep); err != nil {
		return nil, err
	}
	for _, evi := range rep.Evidence {
		// Evidence on behalf of another entry is ignored.
		if evi.Entry == from {
			ent.judge.Merge(evi)
		}
	}
	return moveReply{Records: ent.moves.all()}, nil
}

// rollout steps the moves while this entry owns the rollout duty.
func (ent *Entry) rollout(ctx context.Context, fence wick.Fence) {
	rates := make(map[wick.MoveID]rate)
	every(ctx, moveInterval, func(ctx context.Context) {
		act, ok := ent.config.Active()
		if !ok {
			return
		}
		for idx := range act.Bundle.Moves {
			ent.stepMove(ctx, act.Bundle.Version, &act.Bundle.Moves[idx], fence, rates)
		}
	})
}

// A rate is a moving average of the requests per second of a move's service.
type rate struct {
	total uint64
	at    time.Time
	// perSecond is exponentially smoothed over about five periods.
	perSecond float64
}

const rateSmoothing = 0.2

func (rat rate) next(total uint64, now time.Time) rate {
	if rat.at.IsZero() || total < rat.total {
		return rate{total: total, at: now, perSecond: rat.perSecond}
	}
	secs := now.Sub(rat.at).Seconds()
	if secs <= 0 {
		return rat
	}
	sample := float64(total-rat.total) / secs
	return rate{total: total, at: now, perSecond: rat.perSecond + rateSmoothing*(sample-rat.perSecond)}
}

func (ent *Entry) stepMove(ctx context.Context, ver wick.BundleVersion, mov *wick.Move, fence wick.Fence, rates map[wick.MoveID]rate) {
	mid := moveID(ver, mov)
	known, ok := ent.moves.get(mid)
	if !ok || known.Final(time.Now()) {
		return
	}
	now := time.Now()
	vdt := ent.judge.Verdict(mov.Service, now)
	rates[mid] = rates[mid].next(vdt.Totals.Old+vdt.Totals.Candidate, now)
	inp := move.Input{
		Now: now, Move: *mov, Ready: ent.isServed(mov.Service, mov.To), Stop: vdt.Reason, Proved: vdt.Proved,
		Level: vdt.Level, StopLevel: canary.StopLevel, RequestsPerSecond: rates[mid].perSecond,
		Evidence: fmt.Sprintf("old %d of %d bad, new %d of %d bad, level %.2f",
			vdt.Totals.OldBad, vdt.Totals.Old, vdt.Totals.CandidateBad, vdt.Totals.Candidate, vdt.Level),
	}
	if known.State == move.StatePending && inp.Stop == "" {
		var err error
		if inp.Stop, err = ent.inheritedUndo(ctx, ver-1, mov); err != nil {
			logrus.WithError(err).WithField("move", mid).Warn("entry: reading the previous move record failed")
			return
		}
	}
	rec, err := ent.keeper().Update(ctx, known, fence, func(rec move.Record) (move.Record, bool) {
		return move.Step(rec, inp)
	})
	switch {
	case errors.Is(err, context.Canceled):
		return
	case err != nil:
		logrus.WithError(err).WithField("move", mid).Warn("entry: updating the move record failed")
		return
	}
	if rec.State != known.State {
		logrus.WithFields(logrus.Fields{"move": mid, "state": rec.State, "reason": rec.Reason}).Info("entry: move changed")
	}
	ent.mergeRecord(rec)
}

// isServed reports whether a live endpoint serves the version.
func (ent *Entry) isServed(svc wick.Service, ver wick.ModelVersion) bool {
	for _, vm := range ent.vms.VMs() {
		if vm.Role != wick.RoleEndpoint || vm.Service != svc || vm.State != wick.VMLive {
			continue
		}
		for _, one := range vm.Versions {
			if one == ver {
				return true
			}
		}
	}
	return false
}
