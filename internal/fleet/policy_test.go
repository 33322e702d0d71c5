package fleet

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var flagMeasure = flag.Bool("measure", false, "measure all policies over 20 seeds of one day each")

// A deployment has one of the sizes of section 1.3 of the design.
type deployment struct {
	name string
	// baselineVMs is the fixed number of endpoints of the baseline policy.
	baselineVMs int
	// peak is the highest demand in concurrent calls, which baselineVMs
	// endpoints can serve after the loss of any zone.
	peak float64
}

var deployments = []deployment{{"Lachance", 12, 50}, {"Association", 9, 33}}

type policy struct {
	name   string
	step   func(rec Record, inp Input) (Record, bool)
	offers []bundle.Offer
}

const onDemandPrice, reclaimablePrice = 4, 1.3

func policies() []policy {
	onDemand, reclaimable := bundle.Offer{Class: "big", Price: onDemandPrice}, bundle.Offer{Class: "big", Reclaimable: true, Price: reclaimablePrice}
	return []policy{
		{"baseline: fixed, on demand", Baseline, []bundle.Offer{onDemand}},
		{"fleet, on demand only", Step, []bundle.Offer{onDemand}},
		{"fleet, reclaimable only", Step, []bundle.Offer{reclaimable}},
		{"fleet", Step, []bundle.Offer{onDemand, reclaimable}},
	}
}

// A totals accumulates the results of policy runs: the cost, the starts, and the
// ticks in which capacity was below the target, below the demand, or would be
// below the demand after the loss of a zone.
type totals struct {
	cost, belowTarget, unserved, exposed, starts, ticks float64
}

func (tot *totals) add(other totals) {
	tot.cost += other.cost
	tot.belowTarget += other.belowTarget
	tot.unserved += other.unserved
	tot.exposed += other.exposed
	tot.starts += other.starts
	tot.ticks += other.ticks
}

// A cloudModel simulates the cloud and the demand: prices that drift per zone,
// waves of reclaims in a zone, refusals after them, one zone failure a day, and a
// demand with a daily cycle and bursts. It depends on the seed and the time only,
// so that all policies run under the same conditions.
type cloudModel struct {
	rnd           *rand.Rand
	prices        map[wick.Zone]float64
	lastWave      map[wick.Zone]time.Time
	reclaimedZone wick.Zone
	failsAt       time.Time
	failingZone   wick.Zone
	burstUntil    time.Time
	vms           map[wick.VMID]*simulatedVM
	tokens        map[string]wick.VMID
	started       float64
}

type simulatedVM struct {
	vm      wick.VM
	readyAt time.Time
}

const (
	modelTick     = 10 * time.Second
	vmStartTime   = 2 * time.Minute
	reclaimNotice = 30 * time.Second
)

var zoneNames = []wick.Zone{"z1", "z2", "z3", "z4"}

func newCloudModel(seed uint64, begin time.Time) *cloudModel {
	mod := &cloudModel{
		rnd: rand.New(rand.NewPCG(seed, 2)), prices: make(map[wick.Zone]float64), lastWave: make(map[wick.Zone]time.Time), //nolint:gosec // repeatable
		vms: make(map[wick.VMID]*simulatedVM), tokens: make(map[string]wick.VMID),
	}
	for _, zone := range zoneNames {
		mod.prices[zone] = reclaimablePrice * (0.7 + 0.6*mod.rnd.Float64())
	}
	mod.failsAt = begin.Add(time.Duration(mod.rnd.Float64() * 23 * float64(time.Hour)))
	mod.failingZone = zoneNames[mod.rnd.IntN(4)]
	return mod
}

// advance simulates one tick and returns the demand.
func (mod *cloudModel) advance(now time.Time, peak float64) float64 {
	mod.reclaimedZone = ""
	for _, zone := range zoneNames {
		// Each zone has a wave every 6 hours on average, and a price that
		// changes by about a tenth per hour.
		waveDraw, drift := mod.rnd.Float64(), mod.rnd.NormFloat64()
		mod.prices[zone] = min(max(mod.prices[zone]*(1+0.005*drift), 0.5), 3.9)
		if waveDraw < modelTick.Hours()/6 {
			mod.lastWave[zone], mod.reclaimedZone = now, zone
		}
	}
	if mod.rnd.Float64() < modelTick.Hours()/3 {
		mod.burstUntil = now.Add(10 * time.Minute)
	}
	noise := 1 + 0.05*mod.rnd.NormFloat64()
	hour := float64(now.Unix()%86400) / 3600
	level := 0.65 - 0.25*math.Cos(2*math.Pi*hour/24)
	if now.Before(mod.burstUntil) {
		level *= 1.3
	}
	for vid, svm := range mod.vms {
		vm := &svm.vm
		if vm.State == wick.VMLive && (vm.Zone == mod.reclaimedZone && vm.Reclaimable || mod.zoneFailed(vm.Zone, now)) {
			vm.State, vm.ReclaimAt = wick.VMLeaving, now.Add(reclaimNotice)
		}
		if vm.State == wick.VMLeaving && now.After(vm.ReclaimAt) {
			delete(mod.vms, vid)
		}
	}
	return min(level*noise, 1) * peak
}

// zoneFailed reports whether a zone is down.
func (mod *cloudModel) zoneFailed(zone wick.Zone, now time.Time) bool {
	return zone == mod.failingZone && !now.Before(mod.failsAt) && now.Before(mod.failsAt.Add(30*time.Minute))
}

func (mod *cloudModel) price(pool Pool) wick.Price {
	if !pool.Reclaimable {
		return onDemandPrice
	}
	return wick.Price(mod.prices[pool.Zone])
}

func (mod *cloudModel) start(ord wick.StartOrder, now time.Time) Result {
	pool := Pool{Zone: ord.Zone, Class: ord.Class, Reclaimable: ord.Reclaimable}
	res := Result{Token: ord.Token, Pool: pool}
	sinceWave := now.Sub(mod.lastWave[ord.Zone])
	refused := ord.Reclaimable && sinceWave < 20*time.Minute && (sinceWave/time.Minute)%3 != 0
	if refused || mod.zoneFailed(ord.Zone, now) {
		return res
	}
	mod.started++
	vid := wick.VMID(fmt.Sprint("vm", mod.started))
	res.VM = wick.VM{
		ID: vid, Role: wick.RoleEndpoint, Zone: ord.Zone, Class: ord.Class, Service: ord.Service,
		State: wick.VMLive, Reclaimable: ord.Reclaimable, Price: mod.price(pool),
	}
	mod.vms[vid] = &simulatedVM{vm: res.VM, readyAt: now.Add(vmStartTime)}
	return res
}

// runPolicy simulates a policy in a deployment and returns its totals.
func runPolicy(dep deployment, pol policy, seed uint64, duration time.Duration) totals {
	bnd := testBundle()
	bnd.Fleet.Services[0] = bundle.FleetService{Service: "quotes", Min: 4, Max: dep.baselineVMs}
	bnd.Fleet.Offers = pol.offers
	if pol.name != policies()[0].name {
		// Swaps and leaving VMs need more VMs than the baseline has.
		bnd.Fleet.Services[0].Max = dep.baselineVMs + 6
	}
	begin := time.Date(2000, 1, 1, 6, 0, 0, 0, time.UTC)
	mod, mtr := newCloudModel(seed, begin), &Meter{}
	rec := Record{Service: "quotes", TokenPrefix: "m"}
	var tot totals
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(modelTick) {
		demand := mod.advance(now, dep.peak)
		list := make([]wick.VM, 0, len(mod.vms))
		reps := make(map[wick.VMID]wick.LoadReport)
		live, ready, byZone := 0, 0, make(map[wick.Zone]int)
		for _, svm := range mod.vms {
			svm.vm.Price = mod.price(poolOf(&svm.vm))
			list = append(list, svm.vm)
			tot.cost += float64(svm.vm.Price) * modelTick.Hours()
			if !now.Before(svm.readyAt) && svm.vm.State == wick.VMLive {
				live++
				if !isDraining(&rec, svm.vm.ID) {
					ready += 8
					byZone[svm.vm.Zone] += 8
				}
			}
		}
		for _, svm := range mod.vms {
			leaving := svm.vm.State == wick.VMLeaving || isDraining(&rec, svm.vm.ID)
			rep := wick.LoadReport{VM: svm.vm.ID, Slots: 8, Leaving: leaving, At: now}
			if !leaving && !now.Before(svm.readyAt) {
				rep.Running = int(math.Ceil(demand / float64(max(live, 1))))
			}
			reps[svm.vm.ID] = rep
		}
		inp := newInput(bnd, bnd.Fleet.Services[0], list)
		inp.Now, inp.Reports = now, reps
		inp.Need = mtr.Observe(now, reps, 0)
		inp.Lost = mtr.Lost(now, &rec, list, reps)
		rec, _ = pol.step(rec, inp)
		ords := PendingOrders(&rec, &inp)
		ress := make([]Result, 0, len(ords.Starts)+len(ords.Stops))
		for _, ord := range ords.Starts {
			ress = append(ress, mod.start(ord, now))
		}
		for _, vid := range ords.Stops {
			delete(mod.vms, vid)
			ress = append(ress, Result{Terminated: vid})
		}
		rec, _ = ApplyResults(rec, ress, now)
		if now.Sub(begin) < 30*time.Minute {
			// The initial scale-up is the same for all policies.
			continue
		}
		target, worst := demand/targetUtilisation, 0
		for _, slots := range byZone {
			worst = max(worst, slots)
		}
		tot.ticks++
		tot.belowTarget += indicator(float64(ready) < target)
		tot.unserved += indicator(float64(ready) < demand)
		tot.exposed += indicator(float64(ready-worst) < demand)
	}
	tot.starts = mod.started
	return tot
}

func indicator(cond bool) float64 {
	if cond {
		return 1
	}
	return 0
}

func isDraining(rec *Record, vid wick.VMID) bool {
	for idx := range rec.Slots {
		if slt := &rec.Slots[idx]; slt.VM == vid {
			return slt.State == StateDraining
		}
	}
	return false
}

// TestPolicyCost guards against a policy that costs more than the baseline, or
// that leaves demand unserved for longer than a wave of reclaims explains. With
// -measure it prints the table of docs/POLICY.md.
func TestPolicyCost(t *testing.T) {
	seeds, duration := uint64(1), 6*time.Hour
	if *flagMeasure {
		seeds, duration = 20, 24*time.Hour
	}
	for _, dep := range deployments {
		t.Run(dep.name, func(t *testing.T) {
			sums := make([]totals, len(policies()))
			var wg sync.WaitGroup
			for idx, pol := range policies() {
				wg.Go(func() {
					for seed := range seeds {
						sums[idx].add(runPolicy(dep, pol, seed, duration))
					}
				})
			}
			wg.Wait()
			for idx, pol := range policies() {
				sum, days := sums[idx], float64(seeds)*duration.Hours()/24
				t.Logf("| %s | %s | %.0f | %.2f | %.3f | %.2f | %.0f |", dep.name, pol.name, sum.cost/days,
					100*sum.belowTarget/sum.ticks, 100*sum.unserved/sum.ticks, 100*sum.exposed/sum.ticks, sum.starts/days)
			}
			last := sums[len(sums)-1]
			if last.cost >= sums[0].cost {
				t.Errorf("cost %.0f, baseline %.0f", last.cost, sums[0].cost)
			}
			if share := last.unserved / last.ticks; share > 0.01 {
				t.Errorf("demand unserved for %.3f of the time, want at most 0.01", share)
			}
		})
	}
}
