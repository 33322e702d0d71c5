package edge

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/quota"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// quotaMemory is how long an entry whose record no longer changes keeps its
	// share of the quotas: it may be cut off and still serve.
	quotaMemory = 12 * time.Second
	// askTimeout bounds the question to the owner of a reserve.
	askTimeout = 100 * time.Millisecond
)

// A quotaAsk asks the owner of a customer's reserve for units.
type quotaAsk struct {
	Customer wick.Customer `cbor:"1,keyasint"`
	Cost     float64       `cbor:"2,keyasint"`
}

// A quotaGrant is the answer.
type quotaGrant struct {
	Granted bool `cbor:"1,keyasint"`
	// AfterMillis is when the units would be there.
	AfterMillis int64 `cbor:"2,keyasint"`
}

// quotas spends the customers' quotas: first this entry's part, then the reserve.
type quotas struct {
	edg     *Edge
	book    quota.Book
	reserve quota.Reserve
	asker   quota.Asker
	// owners finds the entries that keep reserves; nil before the first records.
	owners atomic.Pointer[quota.Owners]
}

// Take spends cost units for a request.
func (quo *quotas) Take(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (bool, time.Duration) {
	ok, after := quo.book.Take(cus, cost, now)
	if ok {
		return true, 0
	}
	part := quo.book.TakeRest(cus, cost)
	grant, reached := quo.askOwners(ctx, cus, cost-part, now)
	if !grant.Granted {
		quo.book.Refund(cus, part)
	}
	if !reached {
		return false, after
	}
	return grant.Granted, min(after, time.Duration(grant.AfterMillis)*time.Millisecond)
}

// Refund gives units back that a request did not use.
func (quo *quotas) Refund(cus *wick.CustomerPlan, cost float64) { quo.book.Refund(cus, cost) }

// askOwners asks the owners of a customer's reserve until one grants. It
// returns false if none answered.
func (quo *quotas) askOwners(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (quotaGrant, bool) {
	var out quotaGrant
	owners := quo.owners.Load()
	if owners == nil {
		return out, false
	}
	reached := false
	for _, owner := range quo.asker.Order(owners.Of(cus.Name), now) {
		grant, err := quo.ask(ctx, owner, cus, cost, now)
		if ctx.Err() != nil {
			// The caller has gone, which says nothing of the owner.
			return out, reached
		}
		if err != nil {
			quo.asker.Silent(owner.ID, time.Now())
			metrics.GetOrRegisterCounter("edge.reserveUnreached", nil).Inc(1)
			log.WithError(err).WithField(logs.FieldCustomer, cus.Name).Info(logs.MsgReserveMissed)
			continue
		}
		if grant.Granted {
			return grant, true
		}
		if !reached || grant.AfterMillis < out.AfterMillis {
			out = grant
		}
		reached = true
	}
	return out, reached
}

// ask asks one owner of a customer's reserve, which may be this entry.
func (quo *quotas) ask(ctx context.Context, owner wick.Member, cus *wick.CustomerPlan, cost float64, now time.Time) (quotaGrant, error) {
	if owner.ID == quo.edg.cfg.ID {
		granted, after := quo.reserve.Take(cus, cost, now)
		return quotaGrant{Granted: granted, AfterMillis: after.Milliseconds()}, nil
	}
	trn := quo.edg.peers.Load()
	if trn == nil {
		return quotaGrant{}, wick.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var grant quotaGrant
	err := trn.Call(ctx, owner, wick.MsgQuota, quotaAsk{Customer: cus.Name, Cost: cost}, &grant)
	return grant, err //nolint:wrapcheck // logged by the caller
}

// answerQuota answers another entry's question.
func (edg *Edge) answerQuota(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var ask quotaAsk
	if err := peer.Decode(body, &ask); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	tbl := edg.plans.Load()
	if tbl == nil {
		return nil, wick.ErrUnavailable
	}
	cus := tbl.CustomerNamed(ask.Customer)
	if cus == nil {
		return nil, wick.ErrNotFound
	}
	granted, after := edg.quotas.reserve.Take(cus, ask.Cost, time.Now())
	return quotaGrant{Granted: granted, AfterMillis: after.Milliseconds()}, nil
}

// share allocates the quotas anew from the entries' records.
func (quo *quotas) share(now time.Time) {
	since := quo.edg.members.FailingSince()
	recs := quo.edg.roster.Alive(now, quotaMemory, !since.IsZero())
	var own quota.Demand
	others := make([]quota.Demand, 0, max(len(recs), quo.edg.cfg.Bounds.Entries))
	for _, rec := range recs {
		if rec.ID == quo.edg.cfg.ID {
			own = rec.Demand
			continue
		}
		others = append(others, rec.Demand)
	}
	for len(recs) == 0 && len(others) < quo.edg.cfg.Bounds.Entries-1 {
		others = append(others, nil)
	}
	cutOff := !since.IsZero() && now.Sub(since) > quotaMemory
	quo.book.SetShares(own, others, cutOff)
	quo.edg.budget.SetReserve(quo.edg.retryReserve(len(others) + 1))
	quo.settleOwners(recs, len(others)+1, cutOff, now)
}

// settleOwners chooses the owners of the reserves.
func (quo *quotas) settleOwners(recs []roster.Record, entries int, cutOff bool, now time.Time) {
	mems := make([]wick.Member, 0, len(recs))
	for idx := range recs {
		if !recs[idx].Leaving && recs[idx].Peer != "" {
			mems = append(mems, recs[idx].Member())
		}
	}
	slices.SortFunc(mems, func(one, two wick.Member) int { return strings.Compare(string(one.ID), string(two.ID)) })
	owners := quo.owners.Load()
	if owners == nil || !slices.Equal(owners.Members, mems) {
		owners = &quota.Owners{Members: mems}
		quo.owners.Store(owners)
	}
	tbl := quo.edg.plans.Load()
	if tbl == nil {
		return
	}
	var mine []wick.Customer
	for idx := range tbl.Plan.Customers {
		cus := tbl.Plan.Customers[idx].Name
		// An entry that is cut off may have been replaced as an owner.
		if !cutOff && owners.Owns(quo.edg.cfg.ID, cus) {
			mine = append(mine, cus)
		}
	}
	quo.reserve.SetOwned(mine, entries, now)
}
