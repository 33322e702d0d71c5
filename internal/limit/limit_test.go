package limit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const svcQuote = wick.Service("quote")

// newLimiter returns a limiter with customers of weight 1 and 3.
func newLimiter(slots int) *Limiter {
	lim := New()
	lim.SetBundle(&bundle.Bundle{Customers: []bundle.Customer{
		{Name: "one", Weight: 1},
		{Name: "three", Weight: 3},
		{Name: "few", Weight: 1, MaxInFlight: 2},
		{Name: "rate", Weight: 1, MaxPerSecond: 5},
	}})
	lim.SetCapacity(svcQuote, slots)
	return lim
}

// runOrder queues the requests behind a running one and returns their indexes in
// the order in which they ran.
func runOrder(t *testing.T, lim wick.Admitter, queries []wick.AdmitQuery) []int {
	t.Helper()
	release, err := lim.Admit(t.Context(), wick.AdmitQuery{Service: svcQuote, Customer: "first"})
	if err != nil {
		t.Fatal(err)
	}
	var (
		mu  sync.Mutex
		out []int
		grp sync.WaitGroup
	)
	for idx, query := range queries {
		grp.Go(func() {
			done, err := lim.Admit(t.Context(), query)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			out = append(out, idx)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			done(wick.Outcome{Cancelled: true})
		})
		synctest.Wait()
	}
	release(wick.Outcome{Cancelled: true})
	grp.Wait()
	return out
}

// newSerialLimiter returns a limiter that runs one request at a time.
func newSerialLimiter() *Limiter {
	lim := newLimiter(2)
	gat := lim.gate(svcQuote)
	gat.limit = 1
	return lim
}

// TestOrder guards the order of queued requests: by priority, then earliest
// deadline within a customer, and accepted work before new work.
func TestOrder(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // the start of a synctest bubble
	at := func(sec int) time.Time { return now.Add(time.Duration(sec) * time.Minute) }
	for name, tc := range map[string]struct {
		queries []wick.AdmitQuery
		want    string
	}{
		"priority": {[]wick.AdmitQuery{{Priority: 1}, {Priority: 9}, {Priority: 5}}, "[1 2 0]"},
		"deadline": {[]wick.AdmitQuery{{}, {Deadline: at(9)}, {Deadline: at(5)}}, "[2 1 0]"},
		"both":     {[]wick.AdmitQuery{{Deadline: at(5)}, {Priority: 1, Deadline: at(9)}}, "[1 0]"},
		"accepted": {[]wick.AdmitQuery{{Priority: 9}, {Accepted: true}}, "[1 0]"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for idx := range tc.queries {
					tc.queries[idx].Service, tc.queries[idx].Customer = svcQuote, "one"
				}
				if got := fmt.Sprint(runOrder(t, newSerialLimiter(), tc.queries)); got != tc.want {
					t.Errorf("ran %s, want %s", got, tc.want)
				}
			})
		})
	}
}

// TestNoStarvation guards against requests that starve under a sustained load of
// others: low priority behind high priority, new work behind accepted work.
func TestNoStarvation(t *testing.T) {
	for name, flood := range map[string]wick.AdmitQuery{
		"priority": {Service: svcQuote, Customer: "one", Priority: 9},
		"accepted": {Service: svcQuote, Customer: "one", Accepted: true},
		"customer": {Service: svcQuote, Customer: "three"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queries := make([]wick.AdmitQuery, 100)
				for idx := range queries {
					queries[idx] = flood
				}
				queries[0] = wick.AdmitQuery{Service: svcQuote, Customer: "one"}
				for pos, idx := range runOrder(t, newSerialLimiter(), queries) {
					if idx == 0 && pos > 16 {
						t.Errorf("ran at position %d", pos)
					}
				}
			})
		})
	}
}

// TestFairShares guards fairness by weight and cost under saturation, which the
// baseline does not provide.
func TestFairShares(t *testing.T) {
	for name, tc := range map[string]struct {
		admitter  wick.Admitter
		low, high float64
	}{
		"fair": {newLimiter(4), 2.6, 3.4},
		"fifo": {&FIFO{Limit: 4, MaxQueued: 1000}, 0, 1.3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if lim, ok := tc.admitter.(*Limiter); ok {
					lim.gates = make(map[wick.Service]*gate)
					lim.SetCapacity(svcQuote, 4)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var served [2]atomic.Int64
				var grp sync.WaitGroup
				for idx, customer := range []wick.Customer{"one", "three"} {
					// Customer one sends larger requests from more callers.
					cost := wick.Tokens(30 - 20*idx)
					for range 60 - 40*idx {
						grp.Go(func() {
							for {
								done, err := tc.admitter.Admit(ctx, wick.AdmitQuery{Service: svcQuote, Customer: customer, Cost: cost})
								if err != nil {
									return
								}
								time.Sleep(time.Duration(cost) * time.Millisecond)
								served[idx].Add(int64(cost))
								done(wick.Outcome{Cancelled: true})
							}
						})
					}
				}
				grp.Wait()
				if ratio := float64(served[1].Load()) / float64(served[0].Load()); ratio < tc.low || ratio > tc.high {
					t.Errorf("served work has a ratio of 1 to %.2f", ratio)
				}
			})
		})
	}
}

// assertRefused asserts a refusal with a retry delay.
func assertRefused(t *testing.T, err, want error) {
	t.Helper()
	var rae *wick.RetryAfterError
	if !errors.Is(err, want) || !errors.As(err, &rae) || rae.After <= 0 {
		t.Errorf("got %v, want %v with a retry delay", err, want)
	}
}

// TestCustomerLimits guards the limits of customers, also after a new bundle has
// changed them.
func TestCustomerLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := newLimiter(100)
		query := wick.AdmitQuery{Service: svcQuote, Customer: "few"}
		for range 2 {
			if _, err := lim.Admit(t.Context(), query); err != nil {
				t.Fatal(err)
			}
		}
		lim.SetBundle(&bundle.Bundle{Customers: []bundle.Customer{{Name: "few", MaxInFlight: 1}, {Name: "rate", MaxPerSecond: 5}}})
		_, err := lim.Admit(t.Context(), query)
		assertRefused(t, err, wick.ErrBusy)
		query.Accepted = true
		if _, err := lim.Admit(t.Context(), query); err != nil {
			t.Errorf("accepted work was refused: %v", err)
		}
		passed := 0
		for range 100 {
			if done, err := lim.Admit(t.Context(), wick.AdmitQuery{Service: svcQuote, Customer: "rate"}); err == nil {
				passed++
				done(wick.Outcome{})
			} else {
				assertRefused(t, err, wick.ErrBusy)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if passed < 12 || passed > 15 {
			t.Errorf("%d requests in 2 s at 5/s with a burst of 5", passed)
		}
	})
}

// TestEarlyRefusal guards against queueing requests that can't meet their deadline,
// against unbounded queues, and against a service that never admits requests again.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := newSerialLimiter()
		query := wick.AdmitQuery{Service: svcQuote, Customer: "one"}
		done, err := lim.Admit(t.Context(), query)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		for range maxQueued {
			go func() { _, _ = lim.Admit(ctx, query) }()
		}
		synctest.Wait()
		_, err = lim.Admit(t.Context(), query)
		assertRefused(t, err, wick.ErrBusy)
		start := time.Now()
		_, err = lim.Admit(t.Context(), wick.AdmitQuery{Service: svcQuote, Customer: "three", Deadline: start.Add(300 * time.Millisecond)})
		assertRefused(t, err, wick.ErrDeadline)
		if time.Since(start) > 0 {
			t.Error("the refusal was delayed")
		}
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		done(wick.Outcome{})
		// The mean run time far exceeds the deadline now, but the gate is idle.
		query.Deadline = time.Now().Add(time.Second)
		if _, err := lim.Admit(t.Context(), query); err != nil {
			t.Errorf("idle gate refused a request: %v", err)
		}
	})
}

// TestAdaptiveLimit guards the concurrency limit: late responses lower it to a
// minimum, and successful ones at the limit raise it again.
func TestAdaptiveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := newLimiter(32)
		gat := lim.gate(svcQuote)
		run := func(rounds int, out wick.Outcome) {
			for range rounds {
				dones := make([]func(wick.Outcome), 0, int(gat.limit))
				for range int(gat.limit) {
					done, err := lim.Admit(t.Context(), wick.AdmitQuery{Service: svcQuote, Customer: "one"})
					if err != nil {
						t.Fatal(err)
					}
					dones = append(dones, done)
				}
				time.Sleep(decreaseInterval)
				for _, done := range dones {
					done(out)
				}
			}
		}
		run(100, wick.Outcome{Late: true})
		if gat.limit != 4 {
			t.Errorf("limit %.1f after late responses, want an eighth of 32", gat.limit)
		}
		run(1000, wick.Outcome{})
		if gat.limit != 34 {
			t.Errorf("limit %.1f after successful responses, want the capacity of 32 and 2 more", gat.limit)
		}
	})
}

// TestCountsReturnToZero guards against leaked slots and counts when callers
// cancel at arbitrary times.
func TestCountsReturnToZero(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			lim := newLimiter(4)
			rnd := rand.New(rand.NewPCG(seed, 1))
			var grp sync.WaitGroup
			for range 300 {
				customer := []wick.Customer{"one", "three", "few"}[rnd.IntN(3)]
				query := wick.AdmitQuery{
					Service: svcQuote, Customer: customer, Priority: wick.Priority(rnd.IntN(10)), Accepted: rnd.IntN(4) == 0,
					Deadline: time.Now().Add(time.Duration(rnd.IntN(500)) * time.Millisecond), Cost: wick.Tokens(rnd.IntN(99)),
				}
				waitTimeout, runTime := time.Duration(rnd.IntN(200))*time.Millisecond, time.Duration(rnd.IntN(50))*time.Millisecond
				grp.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
					defer cancel()
					if done, err := lim.Admit(ctx, query); err == nil {
						time.Sleep(runTime)
						done(wick.Outcome{Late: runTime > 40*time.Millisecond})
						done(wick.Outcome{})
					}
				})
				time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
			}
			grp.Wait()
			sts := lim.Status()[0]
			if sts.Running != 0 || sts.Queued != 0 || sts.Accepted != 0 || lim.customer("few").inFlight.Load() != 0 {
				t.Errorf("seed %d: %+v", seed, sts)
			}
		})
	}
}

// TestFIFOCancelledWait guards the baseline against slots leaked by callers that
// cancel while queued.
func TestFIFOCancelledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ffo := &FIFO{Limit: 1, MaxQueued: 1}
		done, err := ffo.Admit(t.Context(), wick.AdmitQuery{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := ffo.Admit(ctx, wick.AdmitQuery{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		done(wick.Outcome{})
		if _, err := ffo.Admit(t.Context(), wick.AdmitQuery{}); err != nil {
			t.Error(err)
		}
	})
}

// BenchmarkAdmit measures the admission and release of a request under contention
// from all cores.
func BenchmarkAdmit(b *testing.B) {
	for name, adm := range map[string]wick.Admitter{
		"fair": newLimiter(1 << 20), "fifo": &FIFO{Limit: 1 << 20},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					done, err := adm.Admit(b.Context(), wick.AdmitQuery{Service: svcQuote, Customer: "one", Cost: 100})
					if err != nil {
						b.Error(err)
						return
					}
					done(wick.Outcome{})
				}
			})
		})
	}
}
