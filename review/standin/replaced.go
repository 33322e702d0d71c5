package main

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["replaced"] = replaced }

const (
	// slowTimes is how many times as long every other request of the slow version takes,
	// from lateAfter after its start.
	slowTimes = 3
	lateAfter = 2100 * time.Millisecond
	// replacedAfter is the time between the two orders.
	replacedAfter = 2 * time.Second
	// drainAfter is the time from the status rolled_back until the runners of its version drain.
	drainAfter = 3 * time.Second
	// loads is the number of clients, with callsPerSecond each.
	loads = 3
)

// replaced shows what share of the requests a bad version gets, when the operator replaces
// its order by that of another version.
func replaced(sit *site) {
	var ran [4]atomic.Int64
	var runners [4][]*runner
	var total atomic.Int64
	// The ids of the versions alternate, since the entry prefers none of them.
	start := func(ver int, bad badness) {
		for num := range 2 {
			runners[ver] = append(runners[ver], sit.versioned(fmt.Sprintf("i-%d%d", num, ver), fmt.Sprintf("v%d", ver), bad, &ran[ver]))
		}
		sit.logf("two runners of version v%d started", ver)
	}
	start(1, badness{})
	sit.configure(newRoute("idempotent", "/cufi504/", orders, 3000))
	pro := sit.startEntry("front-qc-est-a-1")
	sit.awaitReady(pro)
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var grp sync.WaitGroup
	for num := range loads {
		grp.Go(func() { sit.load(pro, num<<32, &total, stop) })
	}
	time.Sleep(4 * time.Second)

	reached := func() int64 { return ran[1].Load() + ran[2].Load() + ran[3].Load() }
	before := reached()
	sit.sto.order(orders, "v2")
	ordered := time.Now()
	sit.logf("operator orders v2 within %d s; from %v on, every other request of it takes %d times as long", orderSeconds, lateAfter, slowTimes)
	start(2, badness{slowTimes: slowTimes, since: time.Now().Add(lateAfter)})
	time.Sleep(replacedAfter)
	if trouble() {
		sit.sto.order(orders, "v3")
		sit.logf("operator orders v3 instead of v2")
		start(3, badness{fails: true})
	}
	var rolledBack [4]time.Time
	for time.Since(ordered) < orderSeconds*time.Second {
		time.Sleep(time.Second)
		state, target := sit.sto.orderState(orders)
		for ver := 2; ver <= 3; ver++ {
			switch {
			case rolledBack[ver].IsZero() && state == "rolled_back" && target == fmt.Sprintf("v%d", ver):
				rolledBack[ver] = time.Now()
			case !rolledBack[ver].IsZero() && time.Since(rolledBack[ver]) > drainAfter:
				for _, run := range runners[ver] {
					run.drain()
				}
				sit.logf("the runners of v%d drain", ver)
				rolledBack[ver] = ordered.Add(time.Hour)
			}
		}
		sit.logf("%.0f s after the first order: %d requests, of which v2 got %d and v3 %d; status: state %q, target %q",
			time.Since(ordered).Seconds(), reached()-before, ran[2].Load(), ran[3].Load(), state, target)
	}
	all, got := reached()-before, ran[2].Load()
	allowed := int64(math.Round(canaryShare*float64(all))) + canarySlack
	sit.logf("version v2 has got %d of %d requests between its order and the deadline, a bad one may get %d", got, all, allowed)
	if got > allowed {
		sit.breach("the bad version v2 got %d requests of %d, allowed are %d", got, all, allowed)
	}
	close(stop)
	grp.Wait()
}
