package edge

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// shareLimits divides the rates that endpoints allow among the entries, by the requests
// that each of them sends. All entries derive the same parts from the same records.
func (edg *Edge) shareLimits(now time.Time) {
	recs := edg.servingRecords(now, false)
	edg.pool.SetNewLimitShare(1 / float64(max(len(recs), edg.cfg.Bounds.Entries, 1)))
	if limited := edg.pool.LimitedEndpoints(); len(limited) > 0 {
		rnk := newRanking(recs)
		for _, lim := range limited {
			rates, own := rnk.of(lim.ID, lim.Service, edg.cfg.ID)
			edg.pool.SetLimitShare(lim.ID, pool.LimitShare(rates, own, lim.PerSecond), now)
		}
	}
	edg.shareCold(now)
}

// shareCold divides the rates of cold endpoints.
func (edg *Edge) shareCold(now time.Time) {
	cold := edg.pool.ColdEndpoints(now)
	if len(cold) == 0 {
		return
	}
	rnk := newRanking(edg.servingRecords(now, edg.recordsLag(now)))
	published := edg.isEstablished()
	for _, col := range cold {
		rates, own := rnk.of(col.ID, col.Service, edg.cfg.ID)
		if !published {
			// The other entries don't reserve a share for this one yet.
			own = -1
		}
		edg.pool.SetColdShare(col.ID, edg.pool.ColdPolicy(col.Service).ColdShare(rates, own), now)
	}
}

// minSharedBeat is the number of an entry's record from which the other entries have certainly
// read an earlier one. An entry sends a record each second to its zone's poller, which writes
// them each 2 s, and the others read within maxMemberInterval of each write.
const minSharedBeat = 5

// isEstablished reports whether the other entries have read a record of this process and it
// doesn't drain. Otherwise they divide its share among themselves.
func (edg *Edge) isEstablished() bool {
	if edg.ready.draining.Load() {
		return false
	}
	rec, ok := edg.roster.Find(edg.cfg.ID)
	return ok && rec.Incarnation == edg.cfg.Incarnation && rec.Beat >= minSharedBeat
}

// recordsMaxAge is the time since the records were read from which on they may be old.
const recordsMaxAge = 6 * time.Second

// recordsLag reports whether the records of other entries may be old because the store
// can't be read, or could not be until a moment ago, or because this process was suspended.
// The other entries continue to use their shares then.
func (edg *Edge) recordsLag(now time.Time) bool {
	return !edg.members.FailingSince().IsZero() || now.Sub(edg.members.RecoveredAt()) < memberTimeout ||
		now.Sub(edg.members.LastSuccess()) > recordsMaxAge
}

// A ranking orders entries for endpoints.
type ranking struct {
	byID map[wick.EntryID]*roster.Record
	mems []wick.Member
}

func newRanking(recs []roster.Record) ranking {
	rnk := ranking{byID: make(map[wick.EntryID]*roster.Record, len(recs)), mems: make([]wick.Member, len(recs))}
	for idx := range recs {
		rnk.byID[recs[idx].ID] = &recs[idx]
		rnk.mems[idx] = recs[idx].Member()
	}
	return rnk
}

// of returns the rates of the entries' requests to a service, in the rendezvous order of the
// entries for an endpoint, and the position of the entry own, -1 if it isn't among them.
func (rnk ranking) of(vid wick.VMID, svc wick.Service, own wick.EntryID) ([]float64, int) {
	order := place.Rank(string(vid), rnk.mems)
	rates := make([]float64, len(order))
	for idx, mem := range order {
		rates[idx] = rnk.byID[mem.ID].Requests[svc]
	}
	return rates, slices.IndexFunc(order, func(mem wick.Member) bool { return mem.ID == own })
}

// setColdPolicies applies the cold policies of a plan's services to the pool.
func (edg *Edge) setColdPolicies(pln *wick.Plan) {
	policies := make(map[wick.Service]pool.ColdPolicy)
	for idx := range pln.Services {
		if svc := &pln.Services[idx]; svc.ColdRate > 0 {
			bnd := &edg.cfg.Bounds
			policies[svc.Name] = pool.ColdPolicy{
				Start: svc.ColdStart, Rate: svc.ColdRate, Bound: svc.ColdRate*max(bnd.ColdOvershoot, 1) + max(bnd.ColdSlack, 0),
			}
		}
	}
	edg.pool.SetColdPolicies(policies, time.Now())
}

// servingRecords returns the records of the entries that serve, this one included. Records
// older than memberTimeout are included only if frozen is set.
func (edg *Edge) servingRecords(now time.Time, frozen bool) []roster.Record {
	recs := slices.DeleteFunc(edg.roster.Alive(now, memberTimeout, frozen), func(rec roster.Record) bool { return rec.Leaving || rec.ID == edg.cfg.ID })
	own, ok := edg.roster.Find(edg.cfg.ID)
	if !ok {
		// Not published or read yet.
		own = roster.Record{ID: edg.cfg.ID, Requests: edg.pool.RequestRate(now)}
	}
	return append(recs, own)
}
