// Package limit implements admission control: limits per customer, weighted fair
// queueing between customers, early refusal by deadline, and a concurrency limit
// that adapts to outcomes.
package limit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxQueued bounds the queued new requests of a customer at a service.
	maxQueued = 256
	// maxAcceptedQueued bounds the queued requests of a service that were
	// accepted earlier. It covers the work of the entries of a lost zone.
	maxAcceptedQueued = 4096
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
)

// A customer holds the limits of a customer on this entry.
type customer struct {
	weight      float64
	maxInFlight int64
	// inFlight counts queued and running new requests. It is shared with the
	// customer's successor when the limits change.
	inFlight *atomic.Int64
	// bucket limits the request rate; nil means no limit.
	bucket *rate.Limiter
}

// A Limiter is a wick.Admitter. Use New.
type Limiter struct {
	clock wick.Clock
	// mu guards the maps. Each gate has its own mutex.
	mu        sync.RWMutex
	customers map[wick.Customer]*customer
	gates     map[wick.Service]*gate
}

var _ wick.Admitter = (*Limiter)(nil)

// An Option configures a Limiter.
type Option func(lim *Limiter)

// WithClock sets the clock.
func WithClock(clk wick.Clock) Option { return func(lim *Limiter) { lim.clock = clk } }

// New returns a Limiter without customers.
func New(opts ...Option) *Limiter {
	lim := &Limiter{
		clock:     wick.SystemClock{},
		customers: make(map[wick.Customer]*customer),
		gates:     make(map[wick.Service]*gate),
	}
	for _, opt := range opts {
		opt(lim)
	}
	return lim
}

// SetBundle applies the customers and services of a bundle. Customers that remain
// keep their counts and tokens.
func (lim *Limiter) SetBundle(bun *bundle.Bundle) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	next := make(map[wick.Customer]*customer, len(bun.Customers))
	for _, cus := range bun.Customers {
		cst := lim.customers[cus.Name]
		weight := float64(max(cus.Weight, 1))
		if cst == nil || cst.weight != weight || cst.maxInFlight != int64(cus.MaxInFlight) || cst.perSecond() != cus.MaxPerSecond {
			fresh := newCustomer(weight, cus.MaxInFlight, cus.MaxPerSecond)
			if cst != nil {
				fresh.inFlight = cst.inFlight
				fresh.bucket = reuseBucket(cst.bucket, fresh.bucket, lim.clock.Now())
			}
			cst = fresh
		}
		next[cus.Name] = cst
	}
	lim.customers = next
	for idx := range bun.Services {
		svc := &bun.Services[idx]
		if lim.gates[svc.Name] == nil {
			lim.gates[svc.Name] = newGate(lim.clock)
		}
		lim.gates[svc.Name].setTargets(svc.Targets)
	}
}

func newCustomer(weight float64, maxInFlight int, perSecond float64) *customer {
	cst := &customer{weight: weight, maxInFlight: int64(maxInFlight), inFlight: new(atomic.Int64)}
	if perSecond > 0 {
		// The burst is the number of requests of one second.
		cst.bucket = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return cst
}

func (cst *customer) perSecond() float64 {
	if cst.bucket == nil {
		return 0
	}
	return float64(cst.bucket.Limit())
}

// reuseBucket applies the limits of the new bucket to the old one and returns it,
// so that a new bundle does not grant a second burst. If either is nil, it returns
// the new one.
func reuseBucket(old, fresh *rate.Limiter, now time.Time) *rate.Limiter {
	if old == nil || fresh == nil {
		return fresh
	}
	old.SetLimitAt(now, fresh.Limit())
	old.SetBurstAt(now, fresh.Burst())
	return old
}

// SetCapacity sets the slots that a service's endpoints offer to this entry.
// The adaptive limit scales with the capacity and exceeds it only slightly.
func (lim *Limiter) SetCapacity(svc wick.Service, slots int) {
	lim.gate(svc).setCapacity(slots)
}

func (lim *Limiter) gate(svc wick.Service) *gate {
	lim.mu.RLock()
	gat := lim.gates[svc]
	lim.mu.RUnlock()
	if gat != nil {
		return gat
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if gat = lim.gates[svc]; gat == nil {
		gat = newGate(lim.clock)
		lim.gates[svc] = gat
	}
	return gat
}

func (lim *Limiter) customer(name wick.Customer) *customer {
	lim.mu.RLock()
	cst := lim.customers[name]
	lim.mu.RUnlock()
	if cst != nil {
		return cst
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if cst = lim.customers[name]; cst == nil {
		// Accepted work may belong to a customer that a newer bundle removed.
		cst = newCustomer(1, 0, 0)
		lim.customers[name] = cst
	}
	return cst
}

// refuse returns a refusal with a bounded retry delay.
func refuse(err error, after time.Duration, format string, args ...any) error {
	return &wick.RetryAfterError{
		Err:   eris.Wrapf(err, format, args...),
		After: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// Admit waits until the request may run, or refuses it. The caller must call the
// returned function when the request ends.
func (lim *Limiter) Admit(ctx context.Context, query wick.AdmitQuery) (func(out wick.Outcome), error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	tkt, err := lim.Enqueue(query)
	if err != nil {
		return nil, err
	}
	if err := tkt.gat.wait(ctx, tkt.itm); err != nil {
		tkt.releaseInFlight()
		return nil, err
	}
	return tkt.Release, nil
}

// acquire counts a new request against the customer's limits and returns a
// function that ends it. Accepted work is exempt, since it was counted by the entry
// that accepted it.
func (cst *customer) acquire(query *wick.AdmitQuery, now time.Time) (func(), error) {
	if query.Accepted {
		return func() {}, nil
	}
	if num := cst.inFlight.Add(1); cst.maxInFlight > 0 && num > cst.maxInFlight {
		cst.inFlight.Add(-1)
		return nil, refuse(wick.ErrBusy, 0, "limit: %s has reached its limit of %d requests in flight", query.Customer, cst.maxInFlight)
	}
	if cst.bucket != nil && !cst.bucket.AllowN(now, 1) {
		cst.inFlight.Add(-1)
		after := time.Duration(float64(time.Second) / float64(cst.bucket.Limit()))
		return nil, refuse(wick.ErrBusy, after, "limit: %s exceeds its rate limit", query.Customer)
	}
	return func() { cst.inFlight.Add(-1) }, nil
}

// overloaded reports whether an outcome indicates an overload of the service.
func overloaded(out wick.Outcome) bool {
	return out.Late && out.Err == nil || errors.Is(out.Err, wick.ErrBusy) || errors.Is(out.Err, wick.ErrDeadline)
}
