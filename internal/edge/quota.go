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
	// memberTimeout is the time without a change of its record after which an
	// entry counts as failed. Until then it keeps its part of the quotas: it may
	// be partitioned and still serve.
	memberTimeout = 12 * time.Second
	// reserveTimeout bounds a request to the owner of a reserve.
	reserveTimeout = 100 * time.Millisecond
)

// A quotaRequest requests units from the owner of a customer's reserve.
type quotaRequest struct {
	Customer wick.Customer `cbor:"1,keyasint"`
	Cost     float64       `cbor:"2,keyasint"`
}

// A quotaReply is the reply to a quotaRequest.
type quotaReply struct {
	Granted bool `cbor:"1,keyasint"`
	// RetryAfterMillis is the time until the units would be available.
	RetryAfterMillis int64 `cbor:"2,keyasint"`
}

// quotas enforces the customers' quotas. A request uses this entry's allocation
// first, then the customer's reserve, which its owners keep for all entries.
type quotas struct {
	edg     *Edge
	book    quota.Allocation
	reserve quota.Reserve
	// selector rotates the owners and skips unresponsive ones.
	selector quota.OwnerSelector
	// owners maps customers to the owners of their reserves; nil before the
	// first allocation.
	owners atomic.Pointer[quota.Owners]
}

// Take takes cost units for a request. If they are not available, it returns the
// time until they would be.
func (quo *quotas) Take(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (bool, time.Duration) {
	ok, after := quo.book.Take(cus, cost, now)
	if ok {
		return true, 0
	}
	partial := quo.book.TakeAvailable(cus, cost)
	grant, reached := quo.requestFromOwners(ctx, cus, cost-partial, now)
	if !grant.Granted {
		quo.book.Refund(cus, partial)
	}
	if !reached {
		return false, after
	}
	return grant.Granted, min(after, time.Duration(grant.RetryAfterMillis)*time.Millisecond)
}

// Refund returns units that a request did not use.
func (quo *quotas) Refund(cus *wick.CustomerPlan, cost float64) { quo.book.Refund(cus, cost) }

// requestFromOwners requests units from the owners of a customer's reserve in turn
// until one grants them. It returns false if none replied.
func (quo *quotas) requestFromOwners(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (quotaReply, bool) {
	var out quotaReply
	owners := quo.owners.Load()
	if owners == nil {
		return out, false
	}
	reached := false
	for _, owner := range quo.selector.Order(owners.Of(cus.Name), now) {
		grant, err := quo.request(ctx, owner, cus, cost, now)
		if ctx.Err() != nil {
			// The caller disconnected; the owner may be responsive.
			return out, reached
		}
		if err != nil {
			quo.selector.MarkUnresponsive(owner.ID, time.Now())
			metrics.GetOrRegisterCounter("edge.reserveUnreached", nil).Inc(1)
			log.WithError(err).WithField(logs.FieldCustomer, cus.Name).Info(logs.MsgReserveUnreachable)
			continue
		}
		if grant.Granted {
			return grant, true
		}
		if !reached || grant.RetryAfterMillis < out.RetryAfterMillis {
			out = grant
		}
		reached = true
	}
	return out, reached
}

// request requests units from one owner of a customer's reserve, which may be
// this entry.
func (quo *quotas) request(ctx context.Context, owner wick.Member, cus *wick.CustomerPlan, cost float64, now time.Time) (quotaReply, error) {
	if owner.ID == quo.edg.cfg.ID {
		granted, after := quo.reserve.Take(cus, cost, now)
		return quotaReply{Granted: granted, RetryAfterMillis: after.Milliseconds()}, nil
	}
	trn := quo.edg.peers.Load()
	if trn == nil {
		return quotaReply{}, wick.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var grant quotaReply
	err := trn.Call(ctx, owner, wick.MsgQuota, quotaRequest{Customer: cus.Name, Cost: cost}, &grant)
	return grant, err //nolint:wrapcheck // logged by the caller
}

// handleQuotaRequest grants or refuses another entry units of a reserve that this
// entry owns.
func (edg *Edge) handleQuotaRequest(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var req quotaRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	tbl := edg.plans.Load()
	if tbl == nil {
		return nil, wick.ErrUnavailable
	}
	cus := tbl.CustomerNamed(req.Customer)
	if cus == nil {
		return nil, wick.ErrNotFound
	}
	granted, after := edg.quotas.reserve.Take(cus, req.Cost, time.Now())
	return quotaReply{Granted: granted, RetryAfterMillis: after.Milliseconds()}, nil
}

// allocate recomputes this entry's allocations and the owners of the reserves from
// the entries' records. Without records it assumes Bounds.Entries entries.
func (quo *quotas) allocate(now time.Time) {
	since := quo.edg.members.FailingSince()
	recs := quo.edg.roster.Alive(now, memberTimeout, !since.IsZero())
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
	partitioned := !since.IsZero() && now.Sub(since) > memberTimeout
	quo.book.SetShares(own, others, partitioned)
	quo.edg.budget.SetCapacity(quo.edg.retryCapacity(len(others) + 1))
	quo.updateOwners(recs, len(others)+1, partitioned, now)
}

// updateOwners selects the owners of the reserves.
func (quo *quotas) updateOwners(recs []roster.Record, entries int, partitioned bool, now time.Time) {
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
	var owned []wick.Customer
	for idx := range tbl.Plan.Customers {
		cus := tbl.Plan.Customers[idx].Name
		// Another entry may have replaced a partitioned one as an owner.
		if !partitioned && owners.Owns(quo.edg.cfg.ID, cus) {
			owned = append(owned, cus)
		}
	}
	quo.reserve.SetOwned(owned, entries, now)
}
