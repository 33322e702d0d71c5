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

// Periods of an entry's loops, as in internal/entry.
const (
	listEvery   = time.Second
	reportEvery = 500 * time.Millisecond
	tickEvery   = 500 * time.Millisecond
)

const (
	service = wick.Service("model")
	version = wick.ModelVersion("v1")
	// warmUp is the time before the first request, in which entries learn
	// about the endpoints.
	warmUp = 3 * time.Second
	// coolDown lets the last requests end.
	coolDown = 20 * time.Second
	// maxFIFO bounds the queue of the baseline at what five customers may
	// have waiting in the fair queue.
	maxFIFO = 5 * 256
)

// A Policy is what one column of a table is run with.
type Policy struct {
	Name string
	// RoundRobin replaces predicted routing.
	RoundRobin bool
	// FIFO replaces weighted fair admission with early refusal.
	FIFO bool
	// Refuse ends a request that finds no free endpoint instead of holding it.
	Refuse bool
	// Fixed replaces evidence by fixed time steps in rollouts.
	Fixed bool
}

// A place is a request's place at an admitter: limit.Place or one of a FIFO.
type place interface {
	Ready() <-chan struct{}
	Err() error
	Release(out wick.Outcome)
	Abandon()
}

// An entry is one entry with the real decision code.
type entry struct {
	wld   *world
	zone  wick.Zone
	table *route.Table
	admit func(query wick.AdmitQuery) (place, error)
	limit *limit.Limiter
	// judge is nil without a rollout.
	judge *canary.Judge
	// waiting holds the requests in the queue of admission.
	waiting []*job
	// running holds the requests that were sent, by which moves are found.
	running []*job
	seqs    map[wick.VMID]uint64
}

// A world is one run of a trace with one policy.
type world struct {
	timeline
	wkl     *Workload
	pol     Policy
	start   time.Time
	engines []*engine
	byID    map[wick.VMID]*engine
	entries []*entry
	res     *result
	born    int
	// rollout is nil without a move.
	rollout *rollout
}

// newWorld returns a world before its first event.
func newWorld(wkl *Workload, pol Policy, kind badness) *world {
	epoch := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	wld := &world{
		timeline: timeline{now: epoch}, wkl: wkl, pol: pol, start: epoch.Add(warmUp),
		byID: make(map[wick.VMID]*engine), res: newResult(),
	}
	if kind != "" {
		wld.startRollout(kind)
		wld.res.rollout = wld.rollout
	}
	for _, zon := range wkl.Zones {
		for range zon.Engines {
			wld.addEngine(zon.Name, zon.Price)
		}
	}
	for num := range wkl.Entries {
		wld.addEntry(num)
	}
	return wld
}

func (wld *world) addEngine(zone wick.Zone, price wick.Price) {
	wld.born++
	vid := wick.VMID(string(zone) + "-" + strconv.Itoa(wld.born))
	eng := newEngine(&wld.timeline, wick.VM{
		ID: vid, Role: wick.RoleEndpoint, Zone: zone, Service: service, Versions: []wick.ModelVersion{version},
		State: wick.VMLive, Price: price, Reclaimable: true,
	}, wld.wkl.Rates)
	if wld.rollout != nil {
		eng.vm.Versions = append(eng.vm.Versions, candidate)
	}
	wld.engines = append(wld.engines, eng)
	wld.byID[vid] = eng
}

func (wld *world) addEntry(num int) {
	zone := wld.wkl.Zones[num%len(wld.wkl.Zones)].Name
	opts := []route.Option{route.WithClock(&wld.timeline)}
	if wld.pol.RoundRobin {
		opts = append(opts, route.WithRoundRobin())
	}
	var jdg *canary.Judge
	if wld.rollout != nil {
		jdg = newJudge(num)
		if wld.pol.Fixed {
			opts = append(opts, route.WithVersions(&fixedVersions{rol: wld.rollout}))
		} else {
			opts = append(opts, route.WithVersions(jdg))
		}
	}
	ent := &entry{
		wld: wld, zone: zone, judge: jdg, seqs: make(map[wick.VMID]uint64),
		table: route.New(wick.EntryID("entry"+strconv.Itoa(num)), zone, opts...),
	}
	bun := wld.wkl.bundle()
	ent.table.SetBundle(bun)
	if wld.pol.FIFO {
		ffo := &limit.FIFO{Limit: wld.slots(), MaxQueued: maxFIFO}
		ent.admit = func(query wick.AdmitQuery) (place, error) { return ffo.Enqueue(query) }
	} else {
		ent.limit = limit.New(limit.WithClock(&wld.timeline))
		ent.limit.SetBundle(bun)
		ent.admit = func(query wick.AdmitQuery) (place, error) { return ent.limit.Enqueue(query) }
	}
	// Loops of the entries do not run at the same moments.
	phase := time.Duration(num) * 97 * time.Millisecond
	wld.after(phase, func() { wld.every(listEvery, ent.list) })
	wld.after(phase+10*time.Millisecond, func() { wld.every(reportEvery, ent.report) })
	wld.after(phase+20*time.Millisecond, func() { wld.every(tickEvery, func() { ent.table.Tick(wld.now) }) })
	wld.entries = append(wld.entries, ent)
}

// bundle returns the bundle with the workload's targets and customers.
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

// slots returns an entry's share of the slots of live engines.
func (wld *world) slots() int {
	sum := 0
	for _, eng := range wld.engines {
		if !eng.leaving && !eng.gone {
			sum += eng.Slots
		}
	}
	return (sum + wld.wkl.Entries - 1) / wld.wkl.Entries
}

// delay returns the one-way delay between two zones.
func (wld *world) delay(from, to wick.Zone) time.Duration {
	if from == to {
		// Within a zone; a fifth of the way between zones is an assumption.
		return wld.wkl.ZoneDelay / 5
	}
	return wld.wkl.ZoneDelay
}

// list reads the list of VMs.
func (ent *entry) list() {
	var vms []wick.VM
	for _, eng := range ent.wld.engines {
		if !eng.gone {
			vms = append(vms, eng.vm)
		}
	}
	ent.table.SetVMs(vms, ent.wld.now)
	if ent.limit != nil {
		ent.limit.SetCapacity(service, ent.wld.slots())
	}
	ent.pump()
	ent.moveAway()
}

// report reads the load reports and cache events, which are Lag old.
func (ent *entry) report() {
	wld := ent.wld
	for _, eng := range wld.engines {
		if eng.gone {
			continue
		}
		rep, sent := eng.load(), wld.now.Add(eng.Lag)
		delay := wld.delay(ent.zone, eng.vm.Zone)
		wld.after(eng.Lag+2*delay, func() {
			if eng.gone {
				return
			}
			ent.table.Report(eng.vm.ID, rep, sent, wld.now)
			ent.seqs[eng.vm.ID] = ent.table.CacheEvents(eng.vm.ID, eng.cacheEvents(ent.seqs[eng.vm.ID]))
			if rep.Leaving {
				ent.moveAway()
			}
		})
	}
}

// play runs a trace to its end.
func (wld *world) play(trc *trace) *result {
	lead := wld.start.Sub(wld.now)
	for idx := range trc.requests {
		req := &trc.requests[idx]
		wld.after(lead+req.at, func() { wld.arrive(req) })
	}
	for _, rcl := range trc.reclaims {
		wld.after(lead+rcl.at, func() { wld.reclaim(rcl.zone) })
	}
	wld.run(wld.start.Add(wld.wkl.Duration + coolDown))
	for _, eng := range wld.engines {
		end := wld.start.Add(wld.wkl.Duration)
		if !eng.diedAt.IsZero() && eng.diedAt.Before(end) {
			end = eng.diedAt
		}
		if born := eng.bornAt; born.Before(end) {
			hours := end.Sub(born).Hours()
			wld.res.hours += hours
			wld.res.dollars += hours * float64(eng.vm.Price)
		}
		wld.res.recomputed += eng.recomputed
	}
	return wld.res
}

// reclaim takes a zone and starts its replacements.
func (wld *world) reclaim(zone wick.Zone) {
	count, price := 0, wick.Price(0)
	for _, eng := range wld.engines {
		if eng.vm.Zone == zone && !eng.leaving {
			eng.reclaim(wld.wkl.Notice)
			count, price = count+1, eng.vm.Price
		}
	}
	wld.after(wld.wkl.Replace, func() {
		for range count {
			wld.addEngine(zone, price)
		}
	})
}
