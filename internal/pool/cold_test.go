package pool

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// coldPolicy is that of a service whose endpoints take 5 requests per second while cold,
// and at most 12.5 in any second.
var coldPolicy = ColdPolicy{Start: 3 * time.Second, Rate: 5, Bound: 12.5}

func newColdFleet(t *testing.T, entries, endpoints int) *limitedFleet {
	t.Helper()
	flt := newLimitedFleet(t, entries, endpoints)
	for _, pl := range flt.pools {
		pl.SetColdPolicies(map[wick.Service]ColdPolicy{service: coldPolicy}, start)
	}
	return flt
}

// shareCold gives each pool its parts of the cold endpoints' rates where all entries send
// the same rate. The pools differ by one in their view of the order, as while an entry
// joins.
func (flt *limitedFleet) shareCold() {
	const stride = 7
	rates := slices.Repeat([]float64{1}, len(flt.pools))
	for num, pl := range flt.pools {
		for _, col := range pl.ColdEndpoints(flt.now) {
			var idx int
			_, _ = fmt.Sscanf(string(col.ID), "e%d", &idx)
			pos := (num + stride*idx + num%2) % len(rates)
			pl.SetColdShare(col.ID, coldPolicy.ColdShare(rates, pos), flt.now)
		}
	}
}

// mostPerSecond returns the most requests that an endpoint received in any second.
func (flt *limitedFleet) mostPerSecond(vid wick.VMID) int {
	times, most := flt.arrivals[vid], 0
	slices.SortFunc(times, time.Time.Compare)
	for from, to := 0, 0; to < len(times); to++ {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestColdZone guards against more requests to cold endpoints than they tolerate, when all
// endpoints of a zone return cold at once under full traffic, and against cold endpoints
// that are not used while the others are busy. Some entries restart meanwhile.
func TestColdZone(t *testing.T) {
	const entries, endpoints, cold, demand = 33, 60, 15, 400
	flt := newColdFleet(t, entries, endpoints)
	setCold := func(pl *Pool, left time.Duration) {
		for num := range cold {
			bke := backend(num, "a")
			bke.ColdFor = left
			pl.Set(bke, flt.now)
		}
	}
	for _, pl := range flt.pools {
		setCold(pl, coldPolicy.Start)
	}
	for step := range int(coldPolicy.Start.Seconds() * demand) {
		if step%(demand/2) == demand/4 {
			flt.report(cold, endpoints, wick.BackendLoad{Running: backend(0, "a").Slots})
			flt.shareCold()
		}
		if step == demand {
			flt.pools[3] = newColdFleet(t, 1, endpoints).pools[0]
			setCold(flt.pools[3], coldPolicy.Start-time.Second)
		}
		flt.now = flt.now.Add(time.Second / demand)
		flt.send(step%entries, Query{Model: true, MaxWait: 300 * time.Millisecond, InputTokens: 3000})
	}
	used := 0
	for num := range cold {
		vid := backend(num, "a").ID
		used += len(flt.arrivals[vid])
		if most := flt.mostPerSecond(vid); float64(most) > coldPolicy.Bound {
			t.Errorf("cold endpoint %s received %d requests in a second, want at most %v", vid, most, coldPolicy.Bound)
		}
	}
	if allowed := int(coldPolicy.Rate * coldPolicy.Start.Seconds() * cold); used < allowed/2 {
		t.Errorf("cold endpoints received %d requests of the %d that they tolerate", used, allowed)
	}
}

// TestColdCauses guards against endpoints that count as warm although they may be cold, and
// against cold ones that never become warm.
func TestColdCauses(t *testing.T) {
	listed := backend(0, "a")
	listed.ColdFor = time.Second
	for name, tst := range map[string]struct {
		mark func(pl *Pool)
		want time.Duration
	}{
		"registry":    {func(pl *Pool) { pl.Set(listed, start) }, time.Second},
		"unreachable": {func(pl *Pool) { pl.MarkUnreachable("e0", start.Add(time.Second), start) }, time.Second + coldPolicy.Start},
		"evacuated":   {func(pl *Pool) { pl.MarkZoneCold("a", start) }, coldPolicy.Start},
		"no connection": {func(pl *Pool) {
			pick(t, pl, Query{Service: service, Now: start}).Done(ResultUnreachable, start)
		}, minEjection + coldPolicy.Start},
	} {
		t.Run(name, func(t *testing.T) {
			pl := newColdFleet(t, 1, 1).pools[0]
			tst.mark(pl)
			if len(pl.ColdEndpoints(start.Add(tst.want-time.Millisecond))) != 1 {
				t.Errorf("not cold for %v", tst.want)
			}
			pl.Set(backend(0, "a"), start.Add(tst.want))
			if len(pl.ColdEndpoints(start.Add(tst.want))) != 0 {
				t.Errorf("cold for longer than %v", tst.want)
			}
			pick(t, pl, Query{Service: service, Now: start.Add(tst.want)})
			pick(t, pl, Query{Service: service, Now: start.Add(tst.want)})
		})
	}
}

// TestNeverCold guards against limits on the endpoints of a service that has none.
func TestNeverCold(t *testing.T) {
	pl := newPool("a")
	bke := backend(0, "a")
	bke.ColdFor = time.Minute
	pl.Set(bke, start)
	pl.MarkUnreachable("e0", start.Add(time.Second), start)
	pl.MarkZoneCold("a", start)
	for range 20 {
		if asg := pick(t, pl, Query{Service: service, Now: start}); asg.Wait != 0 {
			t.Fatalf("a request waits for %v", asg.Wait)
		}
	}
}

// TestRemovedNotLimited guards against removed endpoints that stay on the list of limited
// ones because a request to them ends after their removal.
func TestRemovedNotLimited(t *testing.T) {
	for name, end := range map[string]func(asg *Assignment){
		"unreachable": func(asg *Assignment) { asg.Done(ResultUnreachable, start) },
		"limit":       func(asg *Assignment) { asg.SetLimit(wick.RateLimit{Set: true, PerSecond: 1}, start) },
	} {
		t.Run(name, func(t *testing.T) {
			pl := newColdFleet(t, 1, 2).pools[0]
			asg := pick(t, pl, Query{Service: service, Now: start})
			pl.Remove(asg.Backend.ID)
			end(asg)
			if num := len(pl.groupOfService(service).limited); num != 0 {
				t.Errorf("%d limited endpoints are listed after the removal", num)
			}
		})
	}
}

// TestColdBeforePlan guards against an entry that starts, reads the registry before the
// plan, and sends cold endpoints as many requests as warm ones until their next records.
func TestColdBeforePlan(t *testing.T) {
	pl := newPool("a")
	cold := backend(0, "a")
	cold.ColdFor = time.Second
	pl.Set(cold, start)
	pl.SetColdPolicies(map[wick.Service]ColdPolicy{service: coldPolicy}, start)
	if _, err := pl.Pick(Query{Service: service, Now: start}); err == nil {
		t.Error("a cold endpoint was sent a request by an entry without a share")
	}
}

// TestNoWaitForWarm guards against requests that wait for the end of the cold time and are
// sent all at once then: the refusal names that end instead.
func TestNoWaitForWarm(t *testing.T) {
	const left = 200 * time.Millisecond
	pl := newColdFleet(t, 1, 1).pools[0]
	cold := backend(0, "a")
	cold.ColdFor = left
	pl.Set(cold, start)
	_, err := pl.Pick(Query{Service: service, MaxWait: time.Second, Now: start})
	var limited *LimitedError
	if !errors.As(err, &limited) || limited.RetryAfter != left {
		t.Errorf("error %v, want a refusal for %v", err, left)
	}
}

// TestColdStart guards against endpoints that start during traffic and count as warm because
// their records don't state that they are cold, and against sound ones that count as cold when
// an entry starts or reads their records again.
func TestColdStart(t *testing.T) {
	restarted, stated := backend(0, "a"), backend(1, "a")
	restarted.Born, stated.ColdKnown = 2, true
	for name, tst := range map[string]struct {
		started []wick.Backend
		cold    int
	}{
		"at the entry's start": {nil, 0},
		"read again":           {[]wick.Backend{backend(0, "a")}, 0},
		"new":                  {[]wick.Backend{backend(0, "a"), backend(1, "a")}, 1},
		"started again":        {[]wick.Backend{restarted}, 1},
		"stated as warm":       {[]wick.Backend{backend(0, "a"), stated}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pl := newColdFleet(t, 1, 0).pools[0]
			pl.Replace([]wick.Backend{backend(0, "a")}, false, start)
			for _, bke := range tst.started {
				pl.Set(bke, start)
			}
			if got := len(pl.ColdEndpoints(start)); got != tst.cold {
				t.Errorf("%d endpoints are cold, want %d", got, tst.cold)
			}
		})
	}
}

// TestColdTimeBound guards against a sound endpoint that is limited for good by one faulty
// record.
func TestColdTimeBound(t *testing.T) {
	pl := newColdFleet(t, 1, 1).pools[0]
	faulty := backend(0, "a")
	faulty.ColdFor = 1000 * time.Hour
	pl.Set(faulty, start)
	pl.Set(backend(0, "a"), start.Add(maxColdTime))
	if num := len(pl.ColdEndpoints(start.Add(maxColdTime))); num != 0 {
		t.Errorf("%d endpoints are cold after %v", num, maxColdTime)
	}
}
