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
	flagSteps = flag.Int("steps", 40, "steps of a random run")
	flagSeed  = flag.Uint64("seed", 1, "first seed")
	flagSeeds = flag.Uint64("seeds", 4, "number of seeds")
)

func TestMain(mnt *testing.M) {
	logrus.SetOutput(io.Discard)
	mnt.Run()
}

func sampleBundle() *bundle.Bundle {
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

// nextBundle goes on to the next version: a move begins, its target becomes
// active, and the old version is dropped.
func (wld *world) nextBundle() {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	bnd := *wld.bundle
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
	wld.bundle = &bnd
}

// run is one random run. It returns the violations and what happened.
func run(t *testing.T, seed uint64, steps int, off off) (map[invar.Name]int64, map[string]int) {
	t.Helper()
	var wld *world
	synctest.Test(t, func(t *testing.T) {
		bnd := sampleBundle()
		// A low maximum shows every VM too many.
		bnd.Fleet.Services[0].Max = []int{19, 13, 7}[seed%3]
		if off == offKeep {
			bnd.Fleet.Services[0].Max = 5
		}
		wld = newWorld(off, bnd)
		if off == offNone {
			wld.chk.OnViolation = func(name invar.Name, detail string) { t.Errorf("seed %d: %s: %s", seed, name, detail) }
		}
		rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable
		wld.demand = 5 + rnd.IntN(30)
		ids := []wick.EntryID{"e1", "e2", "e3"}
		for idx, self := range ids {
			wld.startProc(self, wick.Incarnation(idx+1))
		}
		time.Sleep(3 * time.Minute)
		for step := range steps {
			if off != offNone && wld.chk.Counts()[mechanisms[off]] > 0 {
				break
			}
			if off == offKeep {
				wld.refuse(rnd)
			}
			wld.disturb(rnd, ids[rnd.IntN(len(ids))], wick.Incarnation(step+10))
			time.Sleep(time.Second + time.Duration(rnd.Int64N(int64(40*time.Second))))
		}
		// In quiet the cloud grants everything.
		wld.cld.SetFaults(fake.CloudFaults{Seed: seed})
		wld.sto.SetFaults(fake.StoreFaults{}, seed)
		for _, self := range ids {
			prc := wld.procs[self]
			prc.mu.Lock()
			prc.pauseNext, prc.dieNext = 0, false
			dead := prc.dead
			prc.mu.Unlock()
			if dead {
				wld.startProc(self, 1000)
			}
		}
		time.Sleep(10 * time.Minute)
		wld.survives()
		// A lower demand makes endpoints surplus.
		wld.mu.Lock()
		wld.demand /= 2
		wld.mu.Unlock()
		time.Sleep(15 * time.Minute)
		wld.survives()
		for _, prc := range wld.procs {
			prc.cancel()
		}
		time.Sleep(time.Minute)
	})
	return wld.chk.Counts(), wld.counts
}

// refuse pauses the holder with a start in its hands while the cloud refuses
// the starts of the next holder.
func (wld *world) refuse(rnd *rand.Rand) {
	wld.sto.SetFaults(fake.StoreFaults{}, 1)
	wld.cld.SetFaults(fake.CloudFaults{RefuseStarts: 1, ListLagMillis: 20_000})
	for _, zone := range []wick.Zone{"z1", "z2", "z3", "z4"} {
		wld.cld.Reclaim(fake.CloudReclaim{Zone: zone, Reclaim: fake.Reclaim{NoticeMillis: 1000}})
	}
	for _, prc := range wld.procs {
		prc.mu.Lock()
		prc.pauseNext, prc.pauseWrite = time.Minute+time.Duration(rnd.Int64N(int64(time.Minute))), false
		prc.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	for _, prc := range wld.procs {
		prc.mu.Lock()
		prc.pauseNext = 0
		prc.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	wld.cld.SetFaults(fake.CloudFaults{})
	time.Sleep(2 * time.Minute)
}

// disturb makes one random change.
func (wld *world) disturb(rnd *rand.Rand, self wick.EntryID, inc wick.Incarnation) {
	prc := wld.procs[self]
	prc.mu.Lock()
	defer prc.mu.Unlock()
	what := rnd.IntN(10)
	if wld.off != offNone && rnd.IntN(2) == 0 {
		// Without a mechanism, pauses show it soonest.
		what = 6
	}
	switch what {
	case 0:
		zone := wick.Zone(fmt.Sprintf("z%d", 1+rnd.IntN(4)))
		rec := fake.Reclaim{NoticeMillis: wick.Millis(1000 + rnd.IntN(60_000)), Silent: rnd.IntN(4) == 0}
		wld.cld.Reclaim(fake.CloudReclaim{Zone: zone, Reclaim: rec})
	case 1, 2:
		wld.cld.SetFaults(fake.CloudFaults{
			Down: rnd.IntN(6) == 0, LatencyMillis: wick.Millis(rnd.IntN(6000)), LoseAnswers: wick.Share(rnd.Float64()),
			RefuseStarts: wick.Share(rnd.Float64()), ListLagMillis: wick.Millis(rnd.IntN(30_000)), Seed: rnd.Uint64(),
		})
	case 3:
		wld.cld.SetFaults(fake.CloudFaults{Seed: rnd.Uint64()})
	case 4:
		wld.sto.SetFaults(fake.StoreFaults{
			Down: rnd.IntN(4) == 0, LatencyMillis: wick.Millis(rnd.IntN(400)),
			LoseAnswers: wick.Share(rnd.Float64() / 2), StaleReads: wick.Share(rnd.Float64() / 2),
		}, rnd.Uint64())
	case 5:
		wld.sto.SetFaults(fake.StoreFaults{}, rnd.Uint64())
	case 6, 7:
		switch {
		case prc.dead:
			wld.startProc(self, inc)
		case rnd.IntN(3) == 0:
			prc.dieNext = true
		default:
			prc.pauseNext = time.Duration(rnd.Int64N(int64(45 * time.Second)))
			prc.pauseWrite = rnd.IntN(3) == 0
		}
	case 8:
		wld.nextBundle()
	default:
		wld.mu.Lock()
		wld.demand = 5 + rnd.IntN(30)
		wld.mu.Unlock()
	}
}

// TestRandom guards against more VMs than the maximum, second starts for one
// record, old orders, unloads of needed versions and too little capacity after
// the loss of a zone, under all faults at once.
func TestRandom(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	t.Run("seeds", func(t *testing.T) {
		for seed := *flagSeed; seed < *flagSeed+*flagSeeds; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				_, counts := run(t, seed, *flagSteps, offNone)
				mu.Lock()
				defer mu.Unlock()
				for what, num := range counts {
					total[what] += num
				}
			})
		}
	})
	for _, what := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", what, total[what])
	}
}

// mechanisms holds the invariant that fails without each mechanism.
var mechanisms = map[off]invar.Name{
	offToken:   invar.FleetOneStart,
	offKeep:    invar.FleetBound,
	offFence:   invar.FleetFence,
	offVersion: invar.FleetNeeded,
	offZones:   invar.FleetZoneLoss,
}

// TestMechanisms guards against checks that would not notice when a mechanism
// is missing.
func TestMechanisms(t *testing.T) {
	for off, want := range mechanisms {
		t.Run(string(off), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 40; seed++ {
				if vios, _ := run(t, seed, *flagSteps, off); vios[want] > 0 {
					t.Logf("seed %d: %v", seed, vios)
					return
				}
			}
			t.Errorf("no violation of %s", want)
		})
	}
}
