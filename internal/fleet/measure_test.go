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

// A site is one of the sizes of section 1.3 of the design.
type site struct {
	name string
	// count is the fixed number of endpoints of the baseline.
	count int
	// peak is the highest demand in calls at once, which count endpoints
	// carry after the loss of any zone.
	peak float64
}

var sites = []site{{"Lachance", 12, 50}, {"Association", 9, 33}}

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

// A tally is what a measured run adds up.
type tally struct {
	cost, below, unserved, exposed, starts, ticks float64
}

func (tal *tally) add(oth tally) {
	tal.cost += oth.cost
	tal.below += oth.below
	tal.unserved += oth.unserved
	tal.exposed += oth.exposed
	tal.starts += oth.starts
	tal.ticks += oth.ticks
}

// A market is a model of the cloud: prices that drift per zone, waves that
// reclaim a zone's VMs, refusals after them, one zone failure a day and a
// demand with a daily course and bursts. It depends on the seed and the time
// only, so that all policies meet the same.
type market struct {
	rnd     *rand.Rand
	prices  map[wick.Zone]float64
	wave    map[wick.Zone]time.Time
	waved   wick.Zone
	failAt  time.Time
	failed  wick.Zone
	burst   time.Time
	vms     map[wick.VMID]*machine
	tokens  map[string]wick.VMID
	started float64
}

type machine struct {
	vm    wick.VM
	ready time.Time
}

const (
	tick      = 10 * time.Second
	startTime = 2 * time.Minute
	notice    = 30 * time.Second
)

var zoneNames = []wick.Zone{"z1", "z2", "z3", "z4"}

func newMarket(seed uint64, begin time.Time) *market {
	mkt := &market{
		rnd: rand.New(rand.NewPCG(seed, 2)), prices: make(map[wick.Zone]float64), wave: make(map[wick.Zone]time.Time), //nolint:gosec // repeatable
		vms: make(map[wick.VMID]*machine), tokens: make(map[string]wick.VMID),
	}
	for _, zone := range zoneNames {
		mkt.prices[zone] = reclaimablePrice * (0.7 + 0.6*mkt.rnd.Float64())
	}
	mkt.failAt = begin.Add(time.Duration(mkt.rnd.Float64() * 23 * float64(time.Hour)))
	mkt.failed = zoneNames[mkt.rnd.IntN(4)]
	return mkt
}

// advance moves the market by one tick and returns the demand.
func (mkt *market) advance(now time.Time, peak float64) float64 {
	mkt.waved = ""
	for _, zone := range zoneNames {
		// A wave every 6 hours and zone, and a price that moves by about a
		// tenth an hour.
		draw, drift := mkt.rnd.Float64(), mkt.rnd.NormFloat64()
		mkt.prices[zone] = min(max(mkt.prices[zone]*(1+0.005*drift), 0.5), 3.9)
		if draw < tick.Hours()/6 {
			mkt.wave[zone], mkt.waved = now, zone
		}
	}
	if mkt.rnd.Float64() < tick.Hours()/3 {
		mkt.burst = now.Add(10 * time.Minute)
	}
	noise := 1 + 0.05*mkt.rnd.NormFloat64()
	hour := float64(now.Unix()%86400) / 3600
	level := 0.65 - 0.25*math.Cos(2*math.Pi*hour/24)
	if now.Before(mkt.burst) {
		level *= 1.3
	}
	for vid, mac := range mkt.vms {
		vm := &mac.vm
		if vm.State == wick.VMLive && (vm.Zone == mkt.waved && vm.Reclaimable || mkt.out(vm.Zone, now)) {
			vm.State, vm.ReclaimAt = wick.VMLeaving, now.Add(notice)
		}
		if vm.State == wick.VMLeaving && now.After(vm.ReclaimAt) {
			delete(mkt.vms, vid)
		}
	}
	return min(level*noise, 1) * peak
}

// out tells whether a zone has failed.
func (mkt *market) out(zone wick.Zone, now time.Time) bool {
	return zone == mkt.failed && !now.Before(mkt.failAt) && now.Before(mkt.failAt.Add(30*time.Minute))
}

func (mkt *market) price(pool Pool) wick.Price {
	if !pool.Reclaimable {
		return onDemandPrice
	}
	return wick.Price(mkt.prices[pool.Zone])
}

func (mkt *market) start(ord wick.StartOrder, now time.Time) Result {
	pool := Pool{Zone: ord.Zone, Class: ord.Class, Reclaimable: ord.Reclaimable}
	res := Result{Token: ord.Token, Pool: pool}
	after := now.Sub(mkt.wave[ord.Zone])
	refused := ord.Reclaimable && after < 20*time.Minute && (after/time.Minute)%3 != 0
	if refused || mkt.out(ord.Zone, now) {
		return res
	}
	mkt.started++
	vid := wick.VMID(fmt.Sprint("vm", mkt.started))
	res.VM = wick.VM{
		ID: vid, Role: wick.RoleEndpoint, Zone: ord.Zone, Class: ord.Class, Service: ord.Service,
		State: wick.VMLive, Reclaimable: ord.Reclaimable, Price: mkt.price(pool),
	}
	mkt.vms[vid] = &machine{vm: res.VM, ready: now.Add(startTime)}
	return res
}

// measure runs a policy at a site for a time.
func measure(sit site, pol policy, seed uint64, span time.Duration) tally {
	bnd := sampleBundle()
	bnd.Fleet.Services[0] = bundle.FleetService{Service: "quotes", Min: 4, Max: sit.count}
	bnd.Fleet.Offers = pol.offers
	if pol.name != policies()[0].name {
		// Swaps and leaving VMs need room above the count of the baseline.
		bnd.Fleet.Services[0].Max = sit.count + 6
	}
	begin := time.Date(2000, 1, 1, 6, 0, 0, 0, time.UTC)
	mkt, mtr := newMarket(seed, begin), &Meter{}
	rec := Record{Service: "quotes", Series: "m"}
	var tal tally
	for now := begin; now.Before(begin.Add(span)); now = now.Add(tick) {
		demand := mkt.advance(now, sit.peak)
		list := make([]wick.VM, 0, len(mkt.vms))
		reps := make(map[wick.VMID]wick.LoadReport)
		live, ready, byZone := 0, 0, make(map[wick.Zone]int)
		for _, mac := range mkt.vms {
			mac.vm.Price = mkt.price(poolOf(&mac.vm))
			list = append(list, mac.vm)
			tal.cost += float64(mac.vm.Price) * tick.Hours()
			if !now.Before(mac.ready) && mac.vm.State == wick.VMLive {
				live++
				if !draining(&rec, mac.vm.ID) {
					ready += 8
					byZone[mac.vm.Zone] += 8
				}
			}
		}
		for _, mac := range mkt.vms {
			leaving := mac.vm.State == wick.VMLeaving || draining(&rec, mac.vm.ID)
			rep := wick.LoadReport{VM: mac.vm.ID, Slots: 8, Leaving: leaving, At: now}
			if !leaving && !now.Before(mac.ready) {
				rep.Running = int(math.Ceil(demand / float64(max(live, 1))))
			}
			reps[mac.vm.ID] = rep
		}
		inp := input(bnd, bnd.Fleet.Services[0], list)
		inp.Now, inp.Reports = now, reps
		inp.Need = mtr.Observe(now, reps, 0)
		inp.Lost = mtr.Lost(now, &rec, list, reps)
		rec, _ = pol.step(rec, inp)
		ords := Under(&rec, &inp)
		ress := make([]Result, 0, len(ords.Starts)+len(ords.Stops))
		for _, ord := range ords.Starts {
			ress = append(ress, mkt.start(ord, now))
		}
		for _, vid := range ords.Stops {
			delete(mkt.vms, vid)
			ress = append(ress, Result{Ended: vid})
		}
		rec, _ = Settle(rec, ress, now)
		if now.Sub(begin) < 30*time.Minute {
			// The first starts are the same for all.
			continue
		}
		wanted, worst := demand/utilisation, 0
		for _, slots := range byZone {
			worst = max(worst, slots)
		}
		tal.ticks++
		tal.below += count(float64(ready) < wanted)
		tal.unserved += count(float64(ready) < demand)
		tal.exposed += count(float64(ready-worst) < demand)
	}
	tal.starts = mkt.started
	return tal
}

func count(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func draining(rec *Record, vid wick.VMID) bool {
	for idx := range rec.Slots {
		if slt := &rec.Slots[idx]; slt.VM == vid {
			return slt.State == StateDraining
		}
	}
	return false
}

// TestMeasure guards against a policy that costs more than the baseline or
// leaves the demand unserved for longer than a wave explains. With -measure it
// prints the table of docs/POLICY.md.
func TestMeasure(t *testing.T) {
	seeds, span := uint64(1), 6*time.Hour
	if *flagMeasure {
		seeds, span = 20, 24*time.Hour
	}
	for _, sit := range sites {
		t.Run(sit.name, func(t *testing.T) {
			sums := make([]tally, len(policies()))
			var wg sync.WaitGroup
			for idx, pol := range policies() {
				wg.Go(func() {
					for seed := range seeds {
						sums[idx].add(measure(sit, pol, seed, span))
					}
				})
			}
			wg.Wait()
			for idx, pol := range policies() {
				sum, days := sums[idx], float64(seeds)*span.Hours()/24
				t.Logf("| %s | %s | %.0f | %.2f | %.3f | %.2f | %.0f |", sit.name, pol.name, sum.cost/days,
					100*sum.below/sum.ticks, 100*sum.unserved/sum.ticks, 100*sum.exposed/sum.ticks, sum.starts/days)
			}
			last := sums[len(sums)-1]
			if last.cost >= sums[0].cost {
				t.Errorf("cost %.0f, baseline %.0f", last.cost, sums[0].cost)
			}
			if share := last.unserved / last.ticks; share > 0.01 {
				t.Errorf("demand unserved for a share of %.3f of the time", share)
			}
		})
	}
}
