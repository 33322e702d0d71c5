package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A limitedFleet is a service behind several entries, each with its own pool.
type limitedFleet struct {
	*testing.T
	pools []*Pool
	now   time.Time
	// arrivals holds the times of requests by endpoint.
	arrivals map[wick.VMID][]time.Time
	refused  int
}

func newLimitedFleet(t *testing.T, entries, endpoints int) *limitedFleet {
	t.Helper()
	flt := &limitedFleet{T: t, now: start, arrivals: make(map[wick.VMID][]time.Time)}
	for range entries {
		pl := New("a")
		for num := range endpoints {
			pl.Set(backend(num, "a"), start)
		}
		flt.pools = append(flt.pools, pl)
	}
	return flt
}

// limit makes endpoints name a limit to all entries.
func (flt *limitedFleet) limit(endpoints int, lim wick.RateLimit) {
	for _, pl := range flt.pools {
		for num := range endpoints {
			pl.Report(backend(num, "a").ID, Report{At: flt.now, Load: wick.BackendLoad{Limit: lim}})
		}
	}
}

// send sends a request from an entry, which waits for its turn at most for maxWait.
func (flt *limitedFleet) send(entry int, que Query) {
	que.Service, que.Now = service, flt.now
	asg, err := flt.pools[entry].Pick(que)
	if err != nil {
		flt.refused++
		return
	}
	vid := asg.Backend.ID
	flt.arrivals[vid] = append(flt.arrivals[vid], flt.now.Add(asg.Wait))
	asg.Done(ResultAnswered, flt.now)
}

// assertWithin asserts that an endpoint got at most one and a half times its limit and 5
// requests in any 4 s from since on, as agreed with the users.
func (flt *limitedFleet) assertWithin(vid wick.VMID, perSecond float64, since time.Time) {
	flt.Helper()
	const window, slack = 4 * time.Second, 5
	allowed := 1.5*perSecond*window.Seconds() + slack
	times := flt.arrivals[vid]
	for _, from := range times {
		num := 0
		for _, at := range times {
			if !from.Before(since) && !at.Before(from) && at.Sub(from) < window {
				num++
			}
		}
		if float64(num) > allowed {
			flt.Errorf("%s got %d requests in %v, want at most %.1f", vid, num, window, allowed)
			return
		}
	}
}

// TestEndpointLimit guards against an endpoint that gets far more requests than the limit
// that it names: the limit did not count in the choice, and each of several entries would
// have sent as many. It does so at prompts that it has cached, at any size of the limit,
// and where an entry sends nearly all requests.
func TestEndpointLimit(t *testing.T) {
	const stable = 3 * time.Second
	for _, entries := range []int{1, 5, 30, 118} {
		for _, perSecond := range []float64{0, 0.2, 1, 7.5, 40} {
			t.Run(fmt.Sprint(entries, " entries, ", perSecond, " a second"), func(t *testing.T) {
				const endpoints, limited = 8, 5
				flt := newLimitedFleet(t, entries, endpoints)
				rates := make([]float64, entries)
				for idx := range rates {
					rates[idx] = 1
				}
				rates[0] = 20
				que := Query{Model: true, MaxWait: 500 * time.Millisecond, Parts: []wick.PromptPart{{ID: "plan", Tokens: 13000}, {ID: "own", Tokens: 300}}, InputTokens: 13300}
				for step := range 2500 {
					if step%40 == 0 {
						flt.limit(limited, wick.RateLimit{Set: true, PerSecond: perSecond})
						flt.share(rates)
					}
					flt.now = flt.now.Add(10 * time.Millisecond)
					flt.send(0, que)
					flt.send(step%entries, que)
				}
				for num := range limited {
					flt.assertWithin(backend(num, "a").ID, perSecond, start.Add(stable))
				}
				if flt.refused > 0 {
					t.Errorf("%d requests refused although %d endpoints have no limit", flt.refused, endpoints-limited)
				}
			})
		}
	}
}

// share tells each pool its part of the limits, as the entries derive it from each other's
// rates.
func (flt *limitedFleet) share(rates []float64) {
	for num, pl := range flt.pools {
		for _, lim := range pl.LimitedEndpoints() {
			pl.SetLimitShare(lim.ID, LimitShare(rates, num, lim.PerSecond), flt.now)
		}
	}
}

// TestAllEndpointsLimited guards against requests that wait until their deadline where
// all endpoints are at their limit: those that can be served soon wait, the others are
// refused at once and told when to come back. As much is served as the limits allow.
func TestAllEndpointsLimited(t *testing.T) {
	const perSecond, seconds = 5, 20
	flt := newLimitedFleet(t, 1, 2)
	flt.limit(2, wick.RateLimit{Set: true, PerSecond: perSecond})
	for range seconds * 100 {
		flt.now = flt.now.Add(10 * time.Millisecond)
		flt.send(0, Query{MaxWait: 300 * time.Millisecond})
	}
	served := len(flt.arrivals[backend(0, "a").ID]) + len(flt.arrivals[backend(1, "a").ID])
	if want := 2 * perSecond * seconds; served < want*9/10 || served > want*11/10 {
		t.Errorf("%d requests served in %d s, want about %d", served, seconds, want)
	}
	_, err := flt.pools[0].Pick(Query{Service: service, Now: flt.now})
	var limited *LimitedError
	if !errors.As(err, &limited) || limited.RetryAfter <= 0 || limited.RetryAfter > time.Second {
		t.Errorf("error %v, want one that tells when to come back", err)
	}
}

// TestLimitEnds guards against an endpoint that stays limited after it names no limit any
// more, and against an older answer without a limit that lifts a new one.
func TestLimitEnds(t *testing.T) {
	flt := newLimitedFleet(t, 1, 1)
	limited := func() bool { return len(flt.pools[0].LimitedEndpoints()) > 0 }
	flt.limit(1, wick.RateLimit{Set: true, PerSecond: 1})
	flt.now = flt.now.Add(100 * time.Millisecond)
	flt.limit(1, wick.RateLimit{})
	if !limited() {
		t.Error("an answer right after the limit was named has lifted it")
	}
	flt.now = flt.now.Add(2 * limitMemory)
	flt.limit(1, wick.RateLimit{})
	if limited() {
		t.Error("the limit is still in force")
	}
}

// TestLimitedCapacityUsed guards against limited endpoints that are hardly used, while the
// others are overloaded, where there are so many endpoints that a sample is compared: few
// of a sample are endpoints that this entry has a part of the limit of (large, capped: 0.39
// of worth). Where the others are idle, all cost the same and the choice among them is
// random, so that a part of the limit lapses by chance: that run is longer, to keep its
// mean apart from the bound.
func TestLimitedCapacityUsed(t *testing.T) {
	const entries, endpoints, limited, perSecond, demand = 118, 166, 116, 2, 600
	tests := map[string]struct {
		others  wick.BackendLoad
		seconds int
		// least is the least percentage of the limits that must be used.
		least int
	}{
		"others full": {others: wick.BackendLoad{Running: backend(0, "a").Slots}, seconds: 12, least: 90},
		"others idle": {seconds: 60, least: 90},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			flt := newLimitedFleet(t, entries, endpoints)
			for step := range tst.seconds * demand {
				if step%(demand/2) == 0 {
					flt.limit(limited, wick.RateLimit{Set: true, PerSecond: perSecond})
					flt.report(limited, endpoints, tst.others)
					flt.shareEvenly(limited, perSecond)
				}
				flt.now = flt.now.Add(time.Second / demand)
				flt.send(step%entries, Query{Model: true, MaxWait: 500 * time.Millisecond, InputTokens: 3000})
			}
			if used, allowed := flt.arrivedBy(limited, flt.now), limited*perSecond*tst.seconds; used < allowed*tst.least/100 {
				t.Errorf("limited endpoints got %d requests of the %d that they allow, want at least %d%%", used, allowed, tst.least)
			}
		})
	}
}

// report makes the endpoints from one number to another report a load to all entries.
func (flt *limitedFleet) report(from, to int, load wick.BackendLoad) {
	for _, pl := range flt.pools {
		for num := from; num < to; num++ {
			pl.Report(backend(num, "a").ID, Report{At: flt.now, Load: load})
		}
	}
}

// shareEvenly gives each pool its parts of the limits of the first endpoints where all
// entries send the same rate. Other entries come first at each endpoint.
func (flt *limitedFleet) shareEvenly(endpoints int, perSecond float64) {
	const stride = 7
	rates := make([]float64, len(flt.pools))
	for idx := range rates {
		rates[idx] = 1
	}
	for num, pl := range flt.pools {
		for idx := range endpoints {
			pl.SetLimitShare(backend(idx, "a").ID, LimitShare(rates, (num+stride*idx)%len(rates), perSecond), flt.now)
		}
	}
}

// arrivedBy counts the requests that reached the first endpoints until a time.
func (flt *limitedFleet) arrivedBy(endpoints int, until time.Time) int {
	num := 0
	for idx := range endpoints {
		for _, at := range flt.arrivals[backend(idx, "a").ID] {
			if !at.After(until) {
				num++
			}
		}
	}
	return num
}
