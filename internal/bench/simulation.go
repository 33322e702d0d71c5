package bench

import (
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/limit"
	"github.com/wagtailwick/wagtailwick/internal/route"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Periods of the loops of an entry, as in internal/entry.
const (
	listPeriod   = time.Second
	reportPeriod = 500 * time.Millisecond
	tickPeriod   = 500 * time.Millisecond
)

const (
	service = wick.Service("model")
	version = wick.ModelVersion("v1")
	// warmUp is the time before the first request, in which entries discover
	// the endpoints.
	warmUp = 3 * time.Second
	// coolDown is the time after the trace for the last requests to finish.
	coolDown = 20 * time.Second
	// maxFIFO is the queue length of the baseline: the fair queue allows 256
	// waiting requests for each of five customers.
	maxFIFO = 5 * 256
)

// A Policy is the configuration behind one column of a table.
type Policy struct {
	Name string
	// RoundRobin replaces predicted routing.
	RoundRobin bool
	// FIFO replaces weighted fair admission with early refusal.
	FIFO bool
	// Refuse rejects a request if no endpoint is available instead of retrying.
	Refuse bool
	// Fixed replaces evidence-based rollouts by fixed time steps.
	Fixed bool
	// predictor is the source of the output lengths of requests in the work topic.
	predictor predictor
}

// A place is the position of a request in an admission queue, fair or FIFO.
type place interface {
	Ready() <-chan struct{}
	Err() error
	Release(out wick.Outcome)
	Abandon()
}

// An entry is a simulated entry that runs the production decision code.
type entry struct {
	sim   *simulation
	zone  wick.Zone
	table *route.Table
	admit func(query wick.AdmitQuery) (place, error)
	limit *limit.Limiter
	// judge is nil without a rollout.
	judge *canary.Judge
	// waiting holds the requests in the admission queue.
	waiting []*job
	// running holds the requests with a running attempt, which migrate scans.
	running []*job
	seqs    map[wick.VMID]uint64
}

// A simulation is one run of a trace with one policy.
type simulation struct {
	timeline
	wkl     *Workload
	pol     Policy
	start   time.Time
	engines []*engine
	byID    map[wick.VMID]*engine
	entries []*entry
	res     *result
	started int
	// rollout is nil in simulations without a rollout.
	rollout *rollout
}

// newSimulation returns a simulation that has not run any event.
func newSimulation(wkl *Workload, pol Policy, kind faultKind) *simulation {
	epoch := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		timeline: timeline{now: epoch}, wkl: wkl, pol: pol, start: epoch.Add(warmUp),
		byID: make(map[wick.VMID]*engine), res: newResult(),
	}
	if kind != "" {
		sim.startRollout(kind)
		sim.res.rollout = sim.rollout
	}
	for _, zon := range wkl.Zones {
		for range zon.Engines {
			sim.addEngine(zon.Name, zon.Price)
		}
	}
	for num := range wkl.Entries {
		sim.addEntry(num)
	}
	return sim
}

func (sim *simulation) addEngine(zone wick.Zone, price wick.Price) {
	sim.started++
	vid := wick.VMID(string(zone) + "-" + strconv.Itoa(sim.started))
	eng := newEngine(&sim.timeline, wick.VM{
		ID: vid, Role: wick.RoleEndpoint, Zone: zone, Service: service, Versions: []wick.ModelVersion{version},
		State: wick.VMLive, Price: price, Reclaimable: true,
	}, sim.wkl.Rates)
	if sim.rollout != nil {
		eng.vm.Versions = append(eng.vm.Versions, candidate)
	}
	sim.engines = append(sim.engines, eng)
	sim.byID[vid] = eng
}

func (sim *simulation) addEntry(num int) {
	zone := sim.wkl.Zones[num%len(sim.wkl.Zones)].Name
	opts := []route.Option{route.WithClock(&sim.timeline)}
	if sim.pol.RoundRobin {
		opts = append(opts, route.WithRoundRobin())
	}
	var jdg *canary.Judge
	if sim.rollout != nil {
		jdg = newJudge(num)
		if sim.pol.Fixed {
			opts = append(opts, route.WithVersions(&fixedVersions{rol: sim.rollout}))
		} else {
			opts = append(opts, route.WithVersions(jdg))
		}
	}
	ent := &entry{
		sim: sim, zone: zone, judge: jdg, seqs: make(map[wick.VMID]uint64),
		table: route.New(wick.EntryID("entry"+strconv.Itoa(num)), zone, opts...),
	}
	bun := sim.wkl.bundle()
	ent.table.SetBundle(bun)
	if sim.pol.FIFO {
		ffo := &limit.FIFO{Limit: sim.slots(), MaxQueued: maxFIFO}
		ent.admit = func(query wick.AdmitQuery) (place, error) { return ffo.Enqueue(query) }
	} else {
		ent.limit = limit.New(limit.WithClock(&sim.timeline))
		ent.limit.SetBundle(bun)
		ent.admit = func(query wick.AdmitQuery) (place, error) { return ent.limit.Enqueue(query) }
	}
	// The phase staggers the loops of the entries.
	phase := time.Duration(num) * 97 * time.Millisecond
	sim.after(phase, func() { sim.every(listPeriod, ent.refreshVMs) })
	sim.after(phase+10*time.Millisecond, func() { sim.every(reportPeriod, ent.pollReports) })
	sim.after(phase+20*time.Millisecond, func() { sim.every(tickPeriod, func() { ent.table.Tick(sim.now) }) })
	sim.entries = append(sim.entries, ent)
}

// bundle returns a bundle with the targets and customers of the workload.
func (wkl *Workload) bundle() *bundle.Bundle {
	bun := &bundle.Bundle{Services: []bundle.Service{{
		Name: service, Kind: bundle.KindModel, Versions: []wick.ModelVersion{version}, Active: version,
		Targets: bundle.Targets{
			FirstTokenMillis:    wick.Millis(wkl.FirstToken.Milliseconds()),
			BetweenTokensMillis: wick.Millis(wkl.BetweenTokens.Milliseconds()),
		},
	}}}
	for num := range wkl.Customers {
		bun.Customers = append(bun.Customers, bundle.Customer{Name: customerName(num), Weight: 1})
	}
	return bun
}

// slots returns the share of one entry in the slots of live engines.
func (sim *simulation) slots() int {
	sum := 0
	for _, eng := range sim.engines {
		if !eng.leaving && !eng.terminated {
			sum += eng.Slots
		}
	}
	return (sum + sim.wkl.Entries - 1) / sim.wkl.Entries
}

// delay returns the one-way delay between two zones.
func (sim *simulation) delay(from, to wick.Zone) time.Duration {
	if from == to {
		// The delay within a zone is a fifth of the delay between zones.
		return sim.wkl.ZoneDelay / 5
	}
	return sim.wkl.ZoneDelay
}

// refreshVMs updates the VM list and the capacity.
func (ent *entry) refreshVMs() {
	var vms []wick.VM
	for _, eng := range ent.sim.engines {
		if !eng.terminated {
			vms = append(vms, eng.vm)
		}
	}
	ent.table.SetVMs(vms, ent.sim.now)
	if ent.limit != nil {
		ent.limit.SetCapacity(service, ent.sim.slots())
	}
	ent.startAdmitted()
	ent.migrate()
}

// pollReports polls the load reports and cache events, which are Lag old.
func (ent *entry) pollReports() {
	sim := ent.sim
	for _, eng := range sim.engines {
		if eng.terminated {
			continue
		}
		rep, sent := eng.load(), sim.now.Add(eng.Lag)
		delay := sim.delay(ent.zone, eng.vm.Zone)
		sim.after(eng.Lag+2*delay, func() {
			if eng.terminated {
				return
			}
			ent.table.Report(eng.vm.ID, rep, sent, sim.now)
			ent.seqs[eng.vm.ID] = ent.table.CacheEvents(eng.vm.ID, eng.cacheEvents(ent.seqs[eng.vm.ID]))
			if rep.Leaving {
				ent.migrate()
			}
		})
	}
}

// replay runs a trace to completion.
func (sim *simulation) replay(trc *trace) *result {
	offset := sim.start.Sub(sim.now)
	for idx := range trc.requests {
		req := &trc.requests[idx]
		sim.after(offset+req.at, func() { sim.arrive(req) })
	}
	for _, rcl := range trc.reclaims {
		sim.after(offset+rcl.at, func() { sim.reclaim(rcl.zone) })
	}
	sim.run(sim.start.Add(sim.wkl.Duration + coolDown))
	for _, eng := range sim.engines {
		end := sim.start.Add(sim.wkl.Duration)
		if !eng.stoppedAt.IsZero() && eng.stoppedAt.Before(end) {
			end = eng.stoppedAt
		}
		if started := eng.startedAt; started.Before(end) {
			hours := end.Sub(started).Hours()
			sim.res.hours += hours
			sim.res.dollars += hours * float64(eng.vm.Price)
		}
		sim.res.recomputed += eng.recomputed
	}
	return sim.res
}

// reclaim reclaims the VMs of a zone and starts their replacements.
func (sim *simulation) reclaim(zone wick.Zone) {
	count, price := 0, wick.Price(0)
	for _, eng := range sim.engines {
		if eng.vm.Zone == zone && !eng.leaving {
			eng.reclaim(sim.wkl.Notice)
			count, price = count+1, eng.vm.Price
		}
	}
	sim.after(sim.wkl.ReplaceDelay, func() {
		for range count {
			sim.addEngine(zone, price)
		}
	})
}
