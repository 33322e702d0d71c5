// Package limit accepts or refuses requests: limits per customer, weighted fair
// queueing between customers, deadlines, and a concurrency limit that adapts to
// outcomes.
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
	// maxQueued bounds the waiting requests of a customer at a service.
	maxQueued = 256
	// maxAcceptedQueued bounds waiting work that was accepted before. It
	// covers the work of a lost zone's entries.
	maxAcceptedQueued = 4096
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
)

// A customer holds the limits of a customer on this entry.
type customer struct {
	weight float64
	max    int64
	// inFlight counts waiting and running new requests. It outlives a change
	// of the limits.
	inFlight *atomic.Int64
	// bucket is nil without a limit.
	bucket *rate.Limiter
}

// A Limiter is a wick.Admitter. Use New.
type Limiter struct {
	clock wick.Clock
	// mu guards the maps. Each gate has its own lock.
	mu        sync.RWMutex
	customers map[wick.Customer]*customer
	gates     map[wick.Service]*gate
}

var _ wick.Admitter = (*Limiter)(nil)

// An Option changes a Limiter.
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

// SetBundle takes the customers of a bundle. Counts of customers that stay are
// kept.
func (lim *Limiter) SetBundle(bun *bundle.Bundle) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	next := make(map[wick.Customer]*customer, len(bun.Customers))
	for _, cus := range bun.Customers {
		cst := lim.customers[cus.Name]
		weight := float64(max(cus.Weight, 1))
		if cst == nil || cst.weight != weight || cst.max != int64(cus.MaxInFlight) || cst.perSecond() != cus.MaxPerSecond {
			fresh := newCustomer(weight, cus.MaxInFlight, cus.MaxPerSecond)
			if cst != nil {
				fresh.inFlight = cst.inFlight
				fresh.bucket = keepTokens(cst.bucket, fresh.bucket, lim.clock.Now())
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
	cst := &customer{weight: weight, max: int64(maxInFlight), inFlight: new(atomic.Int64)}
	if perSecond > 0 {
		// A second's worth may come at once.
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

// keepTokens changes the rate of an old bucket, so that a new bundle gives no
// second burst.
func keepTokens(old, fresh *rate.Limiter, now time.Time) *rate.Limiter {
	if old == nil || fresh == nil {
		return fresh
	}
	old.SetLimitAt(now, fresh.Limit())
	old.SetBurstAt(now, fresh.Burst())
	return old
}

// SetCapacity sets the slots that a service's endpoints offer to this entry.
// The adaptive limit starts there and exceeds it by little.
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
		// Accepted work of a customer that a newer bundle removed.
		cst = newCustomer(1, 0, 0)
		lim.customers[name] = cst
	}
	return cst
}

// refuse returns a refusal with a time to wait.
func refuse(err error, after time.Duration, format string, args ...any) error {
	return &wick.RetryAfterError{
		Err:   eris.Wrapf(err, format, args...),
		After: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// Admit accepts a request or refuses it.
func (lim *Limiter) Admit(ctx context.Context, query wick.AdmitQuery) (func(out wick.Outcome), error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	plc, err := lim.Enqueue(query)
	if err != nil {
		return nil, err
	}
	if err := plc.gat.wait(ctx, plc.itm); err != nil {
		plc.leave()
		return nil, err
	}
	return plc.Release, nil
}

// enter counts a new request against the customer's limits. Accepted work was
// counted where it was accepted.
func (cst *customer) enter(query *wick.AdmitQuery, now time.Time) (func(), error) {
	if query.Accepted {
		return func() {}, nil
	}
	if num := cst.inFlight.Add(1); cst.max > 0 && num > cst.max {
		cst.inFlight.Add(-1)
		return nil, refuse(wick.ErrBusy, 0, "limit: %s has %d requests in flight", query.Customer, cst.max)
	}
	if cst.bucket != nil && !cst.bucket.AllowN(now, 1) {
		cst.inFlight.Add(-1)
		after := time.Duration(float64(time.Second) / float64(cst.bucket.Limit()))
		return nil, refuse(wick.ErrBusy, after, "limit: %s is over its rate", query.Customer)
	}
	return func() { cst.inFlight.Add(-1) }, nil
}

// overloaded reports whether an outcome shows more work than the service can
// take.
func overloaded(out wick.Outcome) bool {
	return out.Late && out.Err == nil || errors.Is(out.Err, wick.ErrBusy) || errors.Is(out.Err, wick.ErrDeadline)
}
