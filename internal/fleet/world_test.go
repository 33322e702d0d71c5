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

// An off takes one mechanism away, to show that the checks notice.
type off string

const (
	offNone    off = ""
	offToken   off = "token of the record"
	offKeep    off = "slots after a refusal"
	offFence   off = "fencing number"
	offVersion off = "versions of moves"
	offZones   off = "zones"
)

// A world is the platform, the cloud and the engines of a run, with what
// really happened in them.
type world struct {
	off   off
	sto   fake.Store
	cld   fake.Cloud
	egs   fake.Engines
	chk   invar.Checker
	procs map[wick.EntryID]*proc

	mu      sync.Mutex
	bundle  *bundle.Bundle
	demand  int
	engines map[wick.VMID]*fake.Engine
	// ends holds when each VM ends; zero is not known yet.
	ends map[wick.VMID]time.Time
	// made counts the VMs by token, fences the newest number per engine.
	made   map[string]int
	fences map[wick.VMID]wick.Fence
	counts map[string]int
}

func newWorld(off off, bnd *bundle.Bundle) *world {
	wld := &world{
		off: off, bundle: bnd, procs: make(map[wick.EntryID]*proc), engines: make(map[wick.VMID]*fake.Engine),
		ends: make(map[wick.VMID]time.Time), made: make(map[string]int), fences: make(map[wick.VMID]wick.Fence),
		counts: make(map[string]int),
	}
	wld.cld.StartTime = 20 * time.Second
	wld.cld.OnCreate = wld.created
	wld.cld.OnStart = func(vm *wick.VM) {
		vm.Price = 4
		if vm.Reclaimable {
			vm.Price = wick.Price(0.8 + 0.3*float64(vm.Zone[1]-'0'))
		}
		wld.addEngine(*vm)
	}
	wld.cld.OnStop = func(vm wick.VM) {
		wld.mu.Lock()
		defer wld.mu.Unlock()
		wld.counts["stops"]++
		wld.ends[vm.ID] = time.Now()
		wld.engines[vm.ID].Kill()
	}
	wld.cld.OnReclaim = func(vm wick.VM, rec fake.Reclaim) {
		wld.mu.Lock()
		defer wld.mu.Unlock()
		wld.counts["reclaims"]++
		// A second wave does not put off the end that the first one set.
		end := time.Now().Add(rec.NoticeMillis.Duration())
		if old := wld.ends[vm.ID]; old.IsZero() || end.Before(old) {
			wld.ends[vm.ID] = end
		}
		wld.engines[vm.ID].Reclaim(rec)
	}
	for _, zone := range bnd.Fleet.Zones[:2] {
		vm := wick.VM{
			ID: wick.VMID("found-" + zone), Role: wick.RoleEndpoint, Zone: zone, Class: "big", Service: "quotes",
			Versions: []wick.ModelVersion{"v1"}, Price: 4,
		}
		wld.ends[vm.ID] = time.Time{}
		wld.addEngine(vm)
		wld.cld.Register(vm)
	}
	return wld
}

func (wld *world) addEngine(vm wick.VM) {
	eng := &fake.Engine{Host: fake.Host{VM: vm}, LoadTime: 10 * time.Second, ChecksFence: vm.Class == "big"}
	wld.egs.Add(eng)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.engines[vm.ID] = eng
}

// created checks the bound and the token where a VM begins to count.
func (wld *world) created(vm wick.VM, ord wick.StartOrder) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.counts["starts"]++
	base, _, _ := strings.Cut(ord.Token, "#")
	wld.made[base]++
	wld.ends[vm.ID] = time.Time{}
	alive := 0
	for _, end := range wld.ends {
		if end.IsZero() || time.Now().Before(end) {
			alive++
		}
	}
	limit := wld.bundle.Fleet.Services[0].Max
	wld.chk.Check(alive <= limit, invar.FleetBound, "%d VMs, maximum %d", alive, limit)
	wld.chk.Check(wld.made[base] == 1, invar.FleetOneStart, "%d VMs for %s", wld.made[base], base)
}

// survives checks what is left in the cloud after the loss of any zone.
func (wld *world) survives() {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	total, byZone := 0, make(map[wick.Zone]int)
	for vid, end := range wld.ends {
		eng, ok := wld.engines[vid]
		if !ok || !end.IsZero() {
			continue
		}
		slots := wld.slots(eng.VM.Class)
		total += slots
		byZone[eng.VM.Zone] += slots
	}
	need := int(math.Ceil(float64(wld.demand) / utilisation))
	// Four zones of the smallest endpoints need this many VMs, rounded up in
	// each zone.
	if wanted := (need*4/3+5)/6 + 3; wanted > wld.bundle.Fleet.Services[0].Max {
		return
	}
	wld.counts["checks of zone loss"]++
	for _, zone := range []wick.Zone{"z1", "z2", "z3", "z4"} {
		wld.chk.Check(total-byZone[zone] >= need, invar.FleetZoneLoss, "%d of %d without %s, need %d", total-byZone[zone], total, zone, need)
	}
}

func (wld *world) slots(cls wick.Class) int {
	for _, one := range wld.bundle.Classes {
		if one.Name == cls {
			return one.Slots
		}
	}
	return 1
}

// A proc is one entry process. Its calls can be held back before an order, or
// end there.
type proc struct {
	wld    *world
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

func (wld *world) startProc(self wick.EntryID, inc wick.Incarnation) {
	ctx, cancel := context.WithCancel(context.Background())
	prc := &proc{wld: wld, self: self, cancel: cancel}
	wld.procs[self] = prc
	var stop context.CancelFunc
	hks := lease.Hooks{
		Start: func(_ wick.Duty, fence wick.Fence) {
			run := New(Config{
				Store: procStore{prc, &wld.sto}, Cloud: procCloud{prc}, Engine: procEngine{&wld.egs, prc, fence},
				Self: self, Fence: fence, Checker: &wld.chk, Bundle: prc.bundle,
			})
			rctx, rcancel := context.WithCancel(ctx)
			stop = rcancel
			go run.Run(rctx)
		},
		// The stop does not wait for orders that are held back: a lock of the
		// lease keeper would stop the time of the run.
		Stop: func(wick.Duty, wick.Fence) { stop() },
	}
	wants := func([]wick.Member) []wick.Duty { return []wick.Duty{"fleet"} }
	kee := lease.NewKeeper(procStore{prc, &wld.sto}, self, inc, func() []wick.Member { return nil }, wants, lease.WithHooks(hks))
	go kee.Run(ctx)
}

// bundle returns the bundle as the entry sees it.
func (prc *proc) bundle() (*bundle.Bundle, bool) {
	prc.wld.mu.Lock()
	defer prc.wld.mu.Unlock()
	bnd := *prc.wld.bundle
	switch prc.wld.off {
	case offZones:
		flt := *bnd.Fleet
		flt.Zones = flt.Zones[:1]
		bnd.Fleet = &flt
	case offVersion:
		svc := bnd.Services[0]
		svc.Versions = []wick.ModelVersion{svc.Active}
		bnd.Services, bnd.Moves = []bundle.Service{svc}, nil
	default:
	}
	return &bnd, true
}

// pass waits while the process is paused. It returns false in a dead process.
func (prc *proc) pass() bool {
	prc.mu.Lock()
	wait := time.Until(prc.pausedUntil)
	prc.mu.Unlock()
	time.Sleep(wait)
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return !prc.dead
}

// begin is called before every order. It pauses or ends the process there.
func (prc *proc) begin() bool {
	prc.mu.Lock()
	prc.orders++
	if prc.pauseNext > 0 && !prc.pauseWrite {
		prc.pausedUntil, prc.pauseNext = time.Now().Add(prc.pauseNext), 0
		prc.wld.count("pauses with an order")
	}
	if prc.dieNext {
		prc.dead = true
		prc.cancel()
		prc.wld.count("deaths with an order")
		// The order of every other death is still sent.
		alive := prc.orders%2 == 0
		prc.mu.Unlock()
		return alive
	}
	prc.mu.Unlock()
	return prc.pass()
}

// beginWrite pauses the process between the read and the write of a record.
func (prc *proc) beginWrite() {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if prc.pauseNext > 0 && prc.pauseWrite {
		prc.pausedUntil, prc.pauseNext = time.Now().Add(prc.pauseNext), 0
		prc.wld.count("pauses with a write")
	}
}

func (wld *world) count(what string) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.counts[what]++
}

type procStore struct {
	prc *proc
	*fake.Store
}

func (pst procStore) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if !pst.prc.pass() {
		return wick.Object{}, wick.ErrUnavailable
	}
	return pst.Store.Get(ctx, key)
}

func (pst procStore) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	if key.Kind == wick.KindFleet {
		pst.prc.beginWrite()
	}
	if !pst.prc.pass() {
		return 0, wick.ErrUnavailable
	}
	if pst.prc.wld.off == offKeep && key.Kind == wick.KindFleet {
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
	if !pcl.prc.pass() {
		return nil, wick.ErrUnavailable
	}
	return pcl.prc.wld.cld.VMs(ctx)
}

func (pcl procCloud) Start(ctx context.Context, ord wick.StartOrder) (wick.VM, error) {
	if !pcl.prc.begin() {
		return wick.VM{}, wick.ErrUnavailable
	}
	if pcl.prc.wld.off == offToken {
		ord.Token += "#" + string(wick.NewWriteID())
	}
	// An order that was held back in the process is sent all the same.
	return pcl.prc.wld.cld.Start(context.WithoutCancel(ctx), ord)
}

func (pcl procCloud) Stop(ctx context.Context, vid wick.VMID) error {
	if !pcl.prc.begin() {
		return wick.ErrUnavailable
	}
	return pcl.prc.wld.cld.Stop(context.WithoutCancel(ctx), vid)
}

type procEngine struct {
	*fake.Engines
	prc *proc
	// fence is the fencing number of the holder.
	fence wick.Fence
}

func (pen procEngine) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	if !pen.prc.pass() {
		return wick.LoadReport{}, wick.ErrUnavailable
	}
	rep, err := pen.Engines.Load(ctx, vm)
	if err != nil {
		return rep, err
	}
	wld := pen.prc.wld
	wld.mu.Lock()
	defer wld.mu.Unlock()
	total := 0
	for vid, end := range wld.ends {
		if eng, ok := wld.engines[vid]; ok && end.IsZero() {
			total += wld.slots(eng.VM.Class)
		}
	}
	rep.Slots = wld.slots(vm.Class)
	if !rep.Leaving {
		rep.Running = (wld.demand*rep.Slots + total - 1) / max(total, 1)
	}
	return rep, nil
}

func (pen procEngine) Order(ctx context.Context, vm wick.VM, ord wick.Order) error {
	if !pen.prc.begin() {
		return wick.ErrUnavailable
	}
	wld := pen.prc.wld
	if wld.off == offFence {
		ord.Fence = math.MaxUint32
	}
	err := pen.Engines.Order(context.WithoutCancel(ctx), vm, ord)
	if err != nil {
		return err
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.counts["engine orders "+string(ord.Kind)]++
	if vm.Class == "big" {
		wld.chk.Check(pen.fence >= wld.fences[vm.ID], invar.FleetFence, "%s at %s with %d after %d", ord.Kind, vm.ID, pen.fence, wld.fences[vm.ID])
	}
	wld.fences[vm.ID] = max(wld.fences[vm.ID], pen.fence)
	if ord.Kind == wick.OrderUnload {
		wld.chk.Check(!slices.Contains(wld.bundle.Services[0].Versions, ord.Version), invar.FleetNeeded, "%s unloaded at %s", ord.Version, vm.ID)
	}
	return nil
}
