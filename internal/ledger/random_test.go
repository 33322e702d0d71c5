package ledger

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	stepsFlag = flag.Int("steps", 250, "steps of one random run")
	seedFlag  = flag.Uint64("seed", 1, "first seed of the random runs")
	seedsFlag = flag.Uint64("seeds", 8, "number of seeds")
)

func TestMain(mai *testing.M) {
	logrus.SetOutput(io.Discard)
	mai.Run()
}

// A driver generates the random steps of one run.
type driver struct {
	sim  *simulation
	rnd  *rand.Rand
	wgr  sync.WaitGroup
	keys int
}

func (drv *driver) chance(pct int) bool { return drv.rnd.IntN(100) < pct }

func (drv *driver) randomDuration(dur time.Duration) time.Duration {
	return time.Duration(drv.rnd.Int64N(int64(dur)))
}

func (drv *driver) node() *node { return drv.sim.nodes[drv.rnd.IntN(len(drv.sim.nodes))] }

// calls starts calls with new or repeated keys at several entries.
func (drv *driver) calls() {
	for range 1 + drv.rnd.IntN(6) {
		num := drv.keys
		if drv.chance(60) && num > 0 {
			num -= 1 + drv.rnd.IntN(min(num, 8))
		} else {
			drv.keys++
		}
		query := wick.ClaimQuery{
			Service: "orders", Customer: "c1", Key: wick.IdempotencyKey(fmt.Sprint("key", num)),
			Fingerprint: "same", Attempt: wick.NewAttemptID(), Deduplicates: num%7 == 0,
		}
		if query.Deduplicates {
			query.Service = "dedup"
		}
		if drv.chance(3) {
			query.Fingerprint = "other"
		}
		fault := endpointReplies
		if drv.chance(35) {
			fault = endpointFault(drv.rnd.IntN(4))
		}
		nod, latency, delay := drv.node(), drv.randomDuration(3*time.Second), drv.randomDuration(300*time.Millisecond)
		if drv.chance(30) {
			delay = 0
		}
		drv.wgr.Go(func() {
			time.Sleep(delay)
			drv.sim.call(nod, query, fault, latency)
		})
	}
}

// nodeFault crashes, pauses or partitions an entry, or changes its view of
// shard owners.
func (drv *driver) nodeFault() {
	nod := drv.node()
	switch drv.rnd.IntN(6) {
	case 0:
		for idx, old := range drv.sim.nodes {
			if old == nod {
				drv.sim.restart(idx)
			}
		}
	case 1, 2:
		dur := drv.randomDuration(20 * time.Second)
		nod.pause()
		drv.wgr.Go(func() {
			time.Sleep(dur)
			nod.resume()
		})
	case 3:
		down := drv.chance(40)
		nod.set(func() { nod.storeDown = down })
	case 4:
		other, partitioned := drv.node().id, drv.chance(50)
		nod.set(func() { nod.partitions[other] = partitioned })
	case 5:
		offset := drv.rnd.IntN(4)
		nod.set(func() { nod.ownerOffset = offset })
	}
}

func (drv *driver) storeFault() {
	flt := fake.StoreFaults{}
	if drv.chance(70) {
		flt.Down = drv.chance(25)
		flt.LatencyMillis = wick.Millis(drv.rnd.IntN(60))
		if drv.chance(10) {
			flt.LatencyMillis = 2500
		}
		if drv.chance(60) {
			flt.LoseReplies = wick.Share(drv.rnd.Float64() / 2)
		}
		if drv.chance(50) {
			flt.StaleReads = wick.Share(drv.rnd.Float64() / 2)
		}
	}
	drv.sim.sto.SetFaults(flt, drv.rnd.Uint64())
}

func (drv *driver) step() {
	switch num := drv.rnd.IntN(100); {
	case num < 60:
		drv.calls()
	case num < 75:
		drv.nodeFault()
	case num < 85:
		drv.storeFault()
	case num < 98:
		time.Sleep(drv.randomDuration(5 * time.Second))
	case num < 99:
		time.Sleep(drv.randomDuration(20 * time.Minute))
	default:
		time.Sleep(drv.randomDuration(26 * time.Hour))
	}
	time.Sleep(drv.randomDuration(200 * time.Millisecond))
}

// finish ends all faults and checks that claims are granted again.
func (drv *driver) finish(t *testing.T) {
	t.Helper()
	drv.heal()
	for _, nod := range drv.sim.nodes {
		query := wick.ClaimQuery{Key: wick.IdempotencyKey("last" + nod.id), Attempt: wick.NewAttemptID()}
		if res, err := nod.led.Claim(t.Context(), query); err != nil || res.State != wick.ClaimGranted {
			t.Errorf("claim after all faults ended: %v %v", res.State, err)
		}
	}
	time.Sleep(time.Minute)
}

// runRandom runs one seed in virtual time and returns the violations.
func runRandom(t *testing.T, seed uint64, steps int, mut mutation, stats map[string]int) map[invar.Name]int64 {
	t.Helper()
	var out map[invar.Name]int64
	synctest.Test(t, func(t *testing.T) {
		drv := &driver{
			sim: newSimulation(4, mut),
			rnd: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // reproducible
		}
		if mut == "" {
			drv.sim.chk.OnViolation = func(name invar.Name, detail string) {
				t.Errorf("seed %d: %s: %s", seed, name, detail)
			}
		}
		for range steps {
			drv.step()
		}
		if mut == "" {
			drv.finish(t)
		} else {
			drv.heal()
		}
		out = drv.sim.chk.Counts()
		for name, num := range drv.sim.stats {
			stats[name] += num
		}
		for _, nod := range drv.sim.nodes {
			for name, num := range nod.led.Dump().Counts {
				stats["ledger."+name] += int(num)
			}
		}
		drv.countSegments(stats)
		stats["storeWrites"] += int(drv.sim.sto.Calls().Writes)
		stats["keys"] += drv.keys
	})
	return out
}

// heal ends all faults and waits for the calls in flight.
func (drv *driver) heal() {
	drv.sim.sto.SetFaults(fake.StoreFaults{}, 1)
	for _, nod := range drv.sim.nodes {
		nod.resume()
		nod.set(func() { nod.storeDown, nod.partitions = false, make(map[wick.EntryID]bool) })
	}
	drv.wgr.Wait()
	time.Sleep(time.Minute)
}

// countSegments counts the sealed segments and those of them that expired.
func (drv *driver) countSegments(stats map[string]int) {
	objs, _, _ := drv.sim.sto.List(context.Background(), wick.KindLedger)
	for _, obj := range objs {
		var seg segment
		if strings.HasSuffix(obj.Key.Name, "-open") && json.Unmarshal(obj.Data, &seg) == nil {
			stats["sealed"] += int(seg.Seq) - 1                      //nolint:gosec // small
			stats["expired"] += int(seg.Seq) - 1 - len(seg.Retained) //nolint:gosec // small
		}
	}
}

// TestRandom guards against two executions of a key, refusals of calls that
// ran, and success without an execution, under random faults.
func TestRandom(t *testing.T) {
	stats := make(map[string]int)
	for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
		runRandom(t, seed, *stepsFlag, "", stats)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds of %d steps: %v", *seedsFlag, *stepsFlag, stats)
	for _, name := range []string{"executed", "granted", "running", "done", "unknown", "refused", "keyReused", "died", "success", "sealed", "expired"} {
		if stats[name] == 0 {
			t.Errorf("no run reached %q", name)
		}
	}
}

// TestMutations guards against a random run that can't detect a missing
// mechanism: each disabled mechanism must lead to a violation.
func TestMutations(t *testing.T) {
	tests := []struct {
		mut  mutation
		want invar.Name
	}{
		{ignoreCondition, invar.AtMostOnce},
		{dropWrite, invar.AtMostOnce},
		{resendUnknown, invar.AtMostOnce},
		{sendAfterError, invar.AtMostOnce},
		{forgetSealed, invar.AtMostOnce},
		{freeUnknown, invar.RefusalTruth},
		{runningIsDone, invar.WholeAnswer},
		{fastClock, invar.AtMostOnce},
	}
	for _, tcs := range tests {
		t.Run(string(tcs.mut), func(t *testing.T) {
			for seed := uint64(1); seed <= 50; seed++ {
				if found := runRandom(t, seed, 250, tcs.mut, map[string]int{}); found[tcs.want] > 0 {
					t.Logf("found with seed %d: %v", seed, found)
					return
				}
			}
			t.Fatalf("no violation of %s found", tcs.want)
		})
	}
}
