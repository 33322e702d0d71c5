package fleet

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An ablation disables one mechanism, to show that the checks detect it.
type ablation string

const (
	ablateNone      ablation = ""
	ablateToken     ablation = "token of the record"
	ablateIdleSlots ablation = "slots after a refusal"
	ablateFence     ablation = "fencing token"
	ablateVersions  ablation = "versions of moves"
	ablateZones     ablation = "zones"
)

// A simulation has the platform, the cloud, the engines and the entry processes
// of a run. It checks invariants against the true state, which the processes only
// see with delays and faults.
type simulation struct {
	ablation ablation
	sto      fake.Store
	cld      fake.Cloud
	egs      fake.Engines
	chk      invar.Checker
	procs    map[wick.EntryID]*proc

	mu      sync.Mutex
	bundle  *bundle.Bundle
	demand  int
	engines map[wick.VMID]*fake.Engine
	// endsAt is when each VM terminates, or zero if that is not known yet.
	endsAt map[wick.VMID]time.Time
	// startsByToken counts the VMs started per token. maxFence is the newest
	// fencing token that each engine has received.
	startsByToken map[string]int
	maxFence      map[wick.VMID]wick.Fence
	counts        map[string]int
}

func newSimulation(abl ablation, bnd *bundle.Bundle) *simulation {
	sim := &simulation{
		ablation: abl, bundle: bnd, procs: make(map[wick.EntryID]*proc), engines: make(map[wick.VMID]*fake.Engine),
		endsAt: make(map[wick.VMID]time.Time), startsByToken: make(map[string]int), maxFence: make(map[wick.VMID]wick.Fence),
		counts: make(map[string]int),
	}
	sim.cld.StartTime = 20 * time.Second
	sim.cld.OnCreate = sim.checkCreated
	sim.cld.OnStart = func(vm *wick.VM) {
		vm.Price = 4
		if vm.Reclaimable {
			vm.Price = wick.Price(0.8 + 0.3*float64(vm.Zone[1]-'0'))
		}
		sim.addEngine(*vm)
	}
	sim.cld.OnStop = func(vm wick.VM) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.counts["stops"]++
		sim.endsAt[vm.ID] = time.Now()
		sim.engines[vm.ID].Kill()
	}
	sim.cld.OnReclaim = func(vm wick.VM, rec fake.Reclaim) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.counts["reclaims"]++
		// A later reclaim does not extend the notice of an earlier one.
		end := time.Now().Add(rec.NoticeMillis.Duration())
		if earlier := sim.endsAt[vm.ID]; earlier.IsZero() || end.Before(earlier) {
			sim.endsAt[vm.ID] = end
		}
		sim.engines[vm.ID].Reclaim(rec)
	}
	for _, zone := range bnd.Fleet.Zones[:2] {
		vm := wick.VM{
			ID: wick.VMID("found-" + zone), Role: wick.RoleEndpoint, Zone: zone, Class: "big", Service: "quotes",
			Versions: []wick.ModelVersion{"v1"}, Price: 4,
		}
		sim.endsAt[vm.ID] = time.Time{}
		sim.addEngine(vm)
		sim.cld.Register(vm)
	}
	return sim
}

func (sim *simulation) addEngine(vm wick.VM) {
	eng := &fake.Engine{Host: fake.Host{VM: vm}, LoadTime: 10 * time.Second, ChecksFence: vm.Class == "big"}
	sim.egs.Add(eng)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.engines[vm.ID] = eng
}

// checkCreated checks the maximum and the token's uniqueness when a VM is created.
func (sim *simulation) checkCreated(vm wick.VM, ord wick.StartOrder) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.counts["starts"]++
	base, _, _ := strings.Cut(ord.Token, "#")
	sim.startsByToken[base]++
	sim.endsAt[vm.ID] = time.Time{}
	alive := 0
	for _, end := range sim.endsAt {
		if end.IsZero() || time.Now().Before(end) {
			alive++
		}
	}
	limit := sim.bundle.Fleet.Services[0].Max
	sim.chk.Check(alive <= limit, invar.FleetBound, "%d VMs, maximum %d", alive, limit)
	sim.chk.Check(sim.startsByToken[base] == 1, invar.FleetOneStart, "%d VMs for %s", sim.startsByToken[base], base)
}

// checkZoneLoss checks the capacity that remains after the loss of any zone.
func (sim *simulation) checkZoneLoss() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	total, byZone := 0, make(map[wick.Zone]int)
	for vid, end := range sim.endsAt {
		eng, ok := sim.engines[vid]
		if !ok || !end.IsZero() {
			continue
		}
		slots := sim.concurrency(eng.VM.Class)
		total += slots
		byZone[eng.VM.Zone] += slots
	}
	need := int(math.Ceil(float64(sim.demand) / targetUtilisation))
	// With the smallest endpoints in four zones, this many VMs are needed,
	// rounded up in each zone. A lower maximum can't survive a zone loss.
	if minVMs := (need*4/3+5)/6 + 3; minVMs > sim.bundle.Fleet.Services[0].Max {
		return
	}
	sim.counts["checks of zone loss"]++
	for _, zone := range []wick.Zone{"z1", "z2", "z3", "z4"} {
		sim.chk.Check(total-byZone[zone] >= need, invar.FleetZoneLoss, "%d of %d without %s, need %d", total-byZone[zone], total, zone, need)
	}
}

func (sim *simulation) concurrency(cls wick.Class) int {
	for _, class := range sim.bundle.Classes {
		if class.Name == cls {
			return class.Slots
		}
	}
	return 1
}

// A proc is one entry process, which can be paused or killed before it sends an
// order.
type proc struct {
	sim    *simulation
	self   wick.EntryID
	cancel context.CancelFunc

	mu sync.Mutex
	// pauseNext and dieNext take effect at the next order.
	// pauseWrite moves the pause to the next write of a record.
	pauseNext   time.Duration
	pauseWrite  bool
	dieNext     bool
	dead        bool
	pausedUntil time.Time
	orders      int
}

func (sim *simulation) startProc(self wick.EntryID, inc wick.Incarnation) {
	ctx, cancel := context.WithCancel(context.Background())
	prc := &proc{sim: sim, self: self, cancel: cancel}
	sim.procs[self] = prc
	var stop context.CancelFunc
	hks := lease.Hooks{
		Start: func(_ wick.Duty, fence wick.Fence) {
			run := New(Config{
				Store: procStore{prc, &sim.sto}, Cloud: procCloud{prc}, Engine: procEngine{&sim.egs, prc, fence},
				Self: self, Fence: fence, Checker: &sim.chk, Bundle: prc.bundle,
			})
			rctx, rcancel := context.WithCancel(ctx)
			stop = rcancel
			go run.Run(rctx)
		},
		// Stop does not wait for paused orders: blocking on a mutex of the lease
		// keeper would stop the fake clock.
		Stop: func(wick.Duty, wick.Fence) { stop() },
	}
	wants := func([]wick.Member) []wick.Duty { return []wick.Duty{"fleet"} }
	kee := lease.NewKeeper(procStore{prc, &sim.sto}, self, inc, func() []wick.Member { return nil }, wants, lease.WithHooks(hks))
	go kee.Run(ctx)
}

// bundle returns the bundle with the ablation applied.
func (prc *proc) bundle() (*bundle.Bundle, bool) {
	prc.sim.mu.Lock()
	defer prc.sim.mu.Unlock()
	bnd := *prc.sim.bundle
	switch prc.sim.ablation {
	case ablateZones:
		flt := *bnd.Fleet
		flt.Zones = flt.Zones[:1]
		bnd.Fleet = &flt
	case ablateVersions:
		svc := bnd.Services[0]
		svc.Versions = []wick.ModelVersion{svc.Active}
		bnd.Services, bnd.Moves = []bundle.Service{svc}, nil
	default:
	}
	return &bnd, true
}

// waitWhilePaused blocks while the process is paused. It returns false if the
// process is dead.
func (prc *proc) waitWhilePaused() bool {
	prc.mu.Lock()
	wait := time.Until(prc.pausedUntil)
	prc.mu.Unlock()
	time.Sleep(wait)
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return !prc.dead
}

// beforeOrder is called before every order and injects a pause or the death of
// the process. It returns false if the order must not be sent.
func (prc *proc) beforeOrder() bool {
	prc.mu.Lock()
	prc.orders++
	if prc.pauseNext > 0 && !prc.pauseWrite {
		prc.pausedUntil, prc.pauseNext = time.Now().Add(prc.pauseNext), 0
		prc.sim.count("pauses with an order")
	}
	if prc.dieNext {
		prc.dead = true
		prc.cancel()
		prc.sim.count("deaths with an order")
		// Every even-numbered order is still sent at the death.
		send := prc.orders%2 == 0
		prc.mu.Unlock()
		return send
	}
	prc.mu.Unlock()
	return prc.waitWhilePaused()
}

// beforeWrite injects a pause between the read and the write of a record.
func (prc *proc) beforeWrite() {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if prc.pauseNext > 0 && prc.pauseWrite {
		prc.pausedUntil, prc.pauseNext = time.Now().Add(prc.pauseNext), 0
		prc.sim.count("pauses with a write")
	}
}

func (sim *simulation) count(event string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.counts[event]++
}

type procStore struct {
	prc *proc
	*fake.Store
}

func (pst procStore) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if !pst.prc.waitWhilePaused() {
		return wick.Object{}, wick.ErrUnavailable
	}
	return pst.Store.Get(ctx, key)
}

func (pst procStore) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	if key.Kind == wick.KindFleet {
		pst.prc.beforeWrite()
	}
	if !pst.prc.waitWhilePaused() {
		return 0, wick.ErrUnavailable
	}
	if pst.prc.sim.ablation == ablateIdleSlots && key.Kind == wick.KindFleet {
		rec, err := Parse(wick.Object{Key: key, Data: data})
		if err != nil {
			return 0, err
		}
		rec.Slots = slices.DeleteFunc(rec.Slots, func(slt Slot) bool { return slt.State == StateIdle })
		if data, err = json.Marshal(&rec); err != nil {
			return 0, err
		}
	}
	return pst.Store.Put(context.WithoutCancel(ctx), key, data, rev)
}

type procCloud struct{ prc *proc }

func (pcl procCloud) VMs(ctx context.Context) ([]wick.VM, error) {
	if !pcl.prc.waitWhilePaused() {
		return nil, wick.ErrUnavailable
	}
	return pcl.prc.sim.cld.VMs(ctx)
}

func (pcl procCloud) Start(ctx context.Context, ord wick.StartOrder) (wick.VM, error) {
	if !pcl.prc.beforeOrder() {
		return wick.VM{}, wick.ErrUnavailable
	}
	if pcl.prc.sim.ablation == ablateToken {
		ord.Token += "#" + string(wick.NewWriteID())
	}
	// An order that was paused in the process is still sent.
	return pcl.prc.sim.cld.Start(context.WithoutCancel(ctx), ord)
}

func (pcl procCloud) Stop(ctx context.Context, vid wick.VMID) error {
	if !pcl.prc.beforeOrder() {
		return wick.ErrUnavailable
	}
	return pcl.prc.sim.cld.Stop(context.WithoutCancel(ctx), vid)
}

type procEngine struct {
	*fake.Engines
	prc *proc
	// fence is the holder's fencing token.
	fence wick.Fence
}

func (pen procEngine) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	if !pen.prc.waitWhilePaused() {
		return wick.LoadReport{}, wick.ErrUnavailable
	}
	rep, err := pen.Engines.Load(ctx, vm)
	if err != nil {
		return rep, err
	}
	sim := pen.prc.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	total := 0
	for vid, end := range sim.endsAt {
		if eng, ok := sim.engines[vid]; ok && end.IsZero() {
			total += sim.concurrency(eng.VM.Class)
		}
	}
	rep.Slots = sim.concurrency(vm.Class)
	if !rep.Leaving {
		rep.Running = (sim.demand*rep.Slots + total - 1) / max(total, 1)
	}
	return rep, nil
}

func (pen procEngine) Order(ctx context.Context, vm wick.VM, ord wick.Order) error {
	if !pen.prc.beforeOrder() {
		return wick.ErrUnavailable
	}
	sim := pen.prc.sim
	if sim.ablation == ablateFence {
		ord.Fence = math.MaxUint32
	}
	err := pen.Engines.Order(context.WithoutCancel(ctx), vm, ord)
	if err != nil {
		return err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.counts["engine orders "+string(ord.Kind)]++
	if vm.Class == "big" {
		sim.chk.Check(pen.fence >= sim.maxFence[vm.ID], invar.FleetFence, "%s at %s with %d after %d", ord.Kind, vm.ID, pen.fence, sim.maxFence[vm.ID])
	}
	sim.maxFence[vm.ID] = max(sim.maxFence[vm.ID], pen.fence)
	if ord.Kind == wick.OrderUnload {
		sim.chk.Check(!slices.Contains(sim.bundle.Services[0].Versions, ord.Version), invar.FleetNeeded, "%s unloaded at %s", ord.Version, vm.ID)
	}
	return nil
}
