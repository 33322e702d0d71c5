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
	recs := edg.servingRecords(now)
	edg.pool.SetNewLimitShare(1 / float64(max(len(recs), edg.cfg.Bounds.Entries, 1)))
	limited, cold := edg.pool.LimitedEndpoints(), edg.pool.ColdEndpoints(now)
	if len(limited) == 0 && len(cold) == 0 {
		return
	}
	byID := make(map[wick.EntryID]*roster.Record, len(recs))
	mems := make([]wick.Member, len(recs))
	for idx := range recs {
		byID[recs[idx].ID] = &recs[idx]
		mems[idx] = recs[idx].Member()
	}
	// ranked returns the request rates of the entries in an order by endpoint, and the
	// position of this one.
	ranked := func(vid wick.VMID, svc wick.Service) ([]float64, int) {
		order := place.Rank(string(vid), mems)
		rates := make([]float64, len(order))
		for idx, mem := range order {
			rates[idx] = byID[mem.ID].Requests[svc]
		}
		return rates, slices.IndexFunc(order, func(mem wick.Member) bool { return mem.ID == edg.cfg.ID })
	}
	for _, lim := range limited {
		rates, own := ranked(lim.ID, lim.Service)
		edg.pool.SetLimitShare(lim.ID, pool.LimitShare(rates, own, lim.PerSecond), now)
	}
	_, published := edg.roster.Find(edg.cfg.ID)
	for _, col := range cold {
		rates, own := ranked(col.ID, col.Service)
		if !published {
			// The other entries don't leave a part to this one yet.
			own = -1
		}
		edg.pool.SetColdShare(col.ID, edg.pool.ColdPolicy(col.Service).ColdShare(rates, own), now)
	}
}

// setColdPolicies applies what a plan says of cold endpoints.
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

// servingRecords returns the records of the entries that serve, this one included.
func (edg *Edge) servingRecords(now time.Time) []roster.Record {
	recs := slices.DeleteFunc(edg.roster.Alive(now, memberTimeout, false), func(rec roster.Record) bool { return rec.Leaving || rec.ID == edg.cfg.ID })
	own, ok := edg.roster.Find(edg.cfg.ID)
	if !ok {
		// Not published or read yet.
		own = roster.Record{ID: edg.cfg.ID, Requests: edg.pool.RequestRate(now)}
	}
	return append(recs, own)
}
