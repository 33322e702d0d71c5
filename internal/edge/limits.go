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
	limited := edg.pool.LimitedEndpoints()
	if len(limited) == 0 {
		return
	}
	byID := make(map[wick.EntryID]*roster.Record, len(recs))
	mems := make([]wick.Member, len(recs))
	for idx := range recs {
		byID[recs[idx].ID] = &recs[idx]
		mems[idx] = recs[idx].Member()
	}
	for _, lim := range limited {
		ranked := place.Rank(string(lim.ID), mems)
		rates := make([]float64, len(ranked))
		for idx, mem := range ranked {
			rates[idx] = byID[mem.ID].Requests[lim.Service]
		}
		own := slices.IndexFunc(ranked, func(mem wick.Member) bool { return mem.ID == edg.cfg.ID })
		edg.pool.SetLimitShare(lim.ID, pool.LimitShare(rates, own, lim.PerSecond), now)
	}
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
