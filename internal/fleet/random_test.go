package fleet

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	flagSteps = flag.Int("steps", 40, "number of fault injections per run")
	flagSeed  = flag.Uint64("seed", 1, "first seed")
	flagSeeds = flag.Uint64("seeds", 4, "number of seeds")
)

func TestMain(mnt *testing.M) {
	logrus.SetOutput(io.Discard)
	mnt.Run()
}

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1, LedgerShards: 8,
		Services: []bundle.Service{{
			Name: "quotes", Kind: bundle.KindModel, Versions: []wick.ModelVersion{"v1"}, Active: "v1",
			Targets: bundle.Targets{FirstTokenMillis: 790},
		}},
		Classes: []bundle.Class{
			{Name: "big", Service: "quotes", Slots: 8, ChecksFence: true}, {Name: "old", Service: "quotes", Slots: 6},
		},
		Fleet: &bundle.Fleet{
			Zones: []wick.Zone{"z1", "z2", "z3", "z4"}, StoreBytesPerSecond: 1 << 30,
			Offers: []bundle.Offer{
				{Class: "big", Price: 4}, {Class: "big", Reclaimable: true, Price: 1.3}, {Class: "old", Reclaimable: true, Price: 1.2},
			},
			Services: []bundle.FleetService{{Service: "quotes", Min: 3, Max: 20, WeightBytes: 10 << 30}},
		},
	}
}

// advanceBundle publishes the next bundle version. In turn, a move begins, its
// target becomes active, and the old model version is removed.
func (sim *simulation) advanceBundle() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	bnd := *sim.bundle
	bnd.Version++
	svc := bnd.Services[0]
	switch {
	case len(bnd.Moves) > 0:
		svc.Active = bnd.Moves[0].To
		bnd.Moves = nil
	case len(svc.Versions) > 1:
		svc.Versions = []wick.ModelVersion{svc.Active}
	default:
		to := wick.ModelVersion(fmt.Sprintf("v%d", bnd.Version))
		svc.Versions = []wick.ModelVersion{svc.Active, to}
		bnd.Moves = []wick.Move{{Name: "mv", Service: "quotes", From: svc.Active, To: to, Deadline: time.Now().Add(time.Hour), MaxShareBeforeProof: 0.1}}
	}
	bnd.Services = []bundle.Service{svc}
	sim.bundle = &bnd
}

// runRandom runs one simulation with random faults. It returns the invariant
// violations and the event counts.
func runRandom(t *testing.T, seed uint64, steps int, abl ablation) (map[invar.Name]int64, map[string]int) {
	t.Helper()
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		bnd := testBundle()
		// A low maximum makes any excess VM violate the bound.
		bnd.Fleet.Services[0].Max = []int{19, 13, 7}[seed%3]
		if abl == ablateIdleSlots {
			bnd.Fleet.Services[0].Max = 5
		}
		sim = newSimulation(abl, bnd)
		if abl == ablateNone {
			sim.chk.OnViolation = func(name invar.Name, detail string) { t.Errorf("seed %d: %s: %s", seed, name, detail) }
		}
		rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable
		sim.demand = 5 + rnd.IntN(30)
		ids := []wick.EntryID{"e1", "e2", "e3"}
		for idx, self := range ids {
			sim.startProc(self, wick.Incarnation(idx+1))
		}
		time.Sleep(3 * time.Minute)
		for step := range steps {
			if abl != ablateNone && sim.chk.Counts()[ablatedInvariants[abl]] > 0 {
				break
			}
			if abl == ablateIdleSlots {
				sim.pauseDuringRefusals(rnd)
			}
			sim.injectFault(rnd, ids[rnd.IntN(len(ids))], wick.Incarnation(step+10))
			time.Sleep(time.Second + time.Duration(rnd.Int64N(int64(40*time.Second))))
		}
		// Without faults, the cloud grants all starts.
		sim.cld.SetFaults(fake.CloudFaults{Seed: seed})
		sim.sto.SetFaults(fake.StoreFaults{}, seed)
		for _, self := range ids {
			prc := sim.procs[self]
			prc.mu.Lock()
			prc.pauseNext, prc.dieNext = 0, false
			dead := prc.dead
			prc.mu.Unlock()
			if dead {
				sim.startProc(self, 1000)
			}
		}
		time.Sleep(10 * time.Minute)
		sim.checkZoneLoss()
		// Lower demand makes endpoints surplus.
		sim.mu.Lock()
		sim.demand /= 2
		sim.mu.Unlock()
		time.Sleep(15 * time.Minute)
		sim.checkZoneLoss()
		for _, prc := range sim.procs {
			prc.cancel()
		}
		time.Sleep(time.Minute)
	})
	return sim.chk.Counts(), sim.counts
}

// pauseDuringRefusals pauses the holder with a start order in flight while the
// cloud refuses the starts of the next holder.
func (sim *simulation) pauseDuringRefusals(rnd *rand.Rand) {
	sim.sto.SetFaults(fake.StoreFaults{}, 1)
	sim.cld.SetFaults(fake.CloudFaults{RefuseStarts: 1, ListLagMillis: 20_000})
	for _, zone := range []wick.Zone{"z1", "z2", "z3", "z4"} {
		sim.cld.Reclaim(fake.CloudReclaim{Zone: zone, Reclaim: fake.Reclaim{NoticeMillis: 1000}})
	}
	for _, prc := range sim.procs {
		prc.mu.Lock()
		prc.pauseNext, prc.pauseWrite = time.Minute+time.Duration(rnd.Int64N(int64(time.Minute))), false
		prc.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	for _, prc := range sim.procs {
		prc.mu.Lock()
		prc.pauseNext = 0
		prc.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	sim.cld.SetFaults(fake.CloudFaults{})
	time.Sleep(2 * time.Minute)
}

// injectFault injects a random fault, repairs one, or changes the load.
func (sim *simulation) injectFault(rnd *rand.Rand, self wick.EntryID, inc wick.Incarnation) {
	prc := sim.procs[self]
	prc.mu.Lock()
	defer prc.mu.Unlock()
	fault := rnd.IntN(10)
	if sim.ablation != ablateNone && rnd.IntN(2) == 0 {
		// In ablations, pauses violate the invariant soonest.
		fault = 6
	}
	switch fault {
	case 0:
		zone := wick.Zone(fmt.Sprintf("z%d", 1+rnd.IntN(4)))
		rec := fake.Reclaim{NoticeMillis: wick.Millis(1000 + rnd.IntN(60_000)), Silent: rnd.IntN(4) == 0}
		sim.cld.Reclaim(fake.CloudReclaim{Zone: zone, Reclaim: rec})
	case 1, 2:
		sim.cld.SetFaults(fake.CloudFaults{
			Down: rnd.IntN(6) == 0, LatencyMillis: wick.Millis(rnd.IntN(6000)), LoseReplies: wick.Share(rnd.Float64()),
			RefuseStarts: wick.Share(rnd.Float64()), ListLagMillis: wick.Millis(rnd.IntN(30_000)), Seed: rnd.Uint64(),
		})
	case 3:
		sim.cld.SetFaults(fake.CloudFaults{Seed: rnd.Uint64()})
	case 4:
		sim.sto.SetFaults(fake.StoreFaults{
			Down: rnd.IntN(4) == 0, LatencyMillis: wick.Millis(rnd.IntN(400)),
			LoseReplies: wick.Share(rnd.Float64() / 2), StaleReads: wick.Share(rnd.Float64() / 2),
		}, rnd.Uint64())
	case 5:
		sim.sto.SetFaults(fake.StoreFaults{}, rnd.Uint64())
	case 6, 7:
		switch {
		case prc.dead:
			sim.startProc(self, inc)
		case rnd.IntN(3) == 0:
			prc.dieNext = true
		default:
			prc.pauseNext = time.Duration(rnd.Int64N(int64(45 * time.Second)))
			prc.pauseWrite = rnd.IntN(3) == 0
		}
	case 8:
		sim.advanceBundle()
	default:
		sim.mu.Lock()
		sim.demand = 5 + rnd.IntN(30)
		sim.mu.Unlock()
	}
}

// TestRandomFaults guards against more VMs than the maximum, duplicate starts for
// one token, engine orders with a stale fencing token, unloads of referenced
// versions, and too little capacity after the loss of a zone. It combines faults
// of the store, the cloud and the entries.
func TestRandomFaults(t *testing.T) {
	var mu sync.Mutex
	eventTotals := make(map[string]int)
	t.Run("seeds", func(t *testing.T) {
		for seed := *flagSeed; seed < *flagSeed+*flagSeeds; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				_, counts := runRandom(t, seed, *flagSteps, ablateNone)
				mu.Lock()
				defer mu.Unlock()
				for event, num := range counts {
					eventTotals[event] += num
				}
			})
		}
	})
	for _, event := range slices.Sorted(maps.Keys(eventTotals)) {
		t.Logf("%s: %d", event, eventTotals[event])
	}
}

// ablatedInvariants maps each ablation to the invariant that it violates.
var ablatedInvariants = map[ablation]invar.Name{
	ablateToken:     invar.FleetOneStart,
	ablateIdleSlots: invar.FleetBound,
	ablateFence:     invar.FleetFence,
	ablateVersions:  invar.FleetNeeded,
	ablateZones:     invar.FleetZoneLoss,
}

// ablationSeeds is the number of seeds until which an ablation must show. The order of the
// goroutines differs from run to run, and one seed in about 13 shows the rarest ablation.
const ablationSeeds = 400

// TestAblations guards against invariant checks that don't detect a missing
// mechanism.
func TestAblations(t *testing.T) {
	for abl, want := range ablatedInvariants {
		t.Run(string(abl), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= ablationSeeds; seed++ {
				if vios, _ := runRandom(t, seed, *flagSteps, abl); vios[want] > 0 {
					t.Logf("seed %d: %v", seed, vios)
					return
				}
			}
			t.Errorf("no violation of %s", want)
		})
	}
}
