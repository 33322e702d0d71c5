package fake

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxListSnapshots bounds the list history that ListLagMillis reads from.
const maxListSnapshots = 256

// CloudFaults are the faults injected into a Cloud. The zero value injects
// none.
type CloudFaults struct {
	// Down makes every call fail without effect. Partition does the same and
	// makes the HTTP server close the connection without a reply.
	Down      bool `json:"down,omitempty"`
	Partition bool `json:"partition,omitempty"`
	// LatencyMillis delays every call.
	LatencyMillis wick.Millis `json:"latencyMillis,omitempty"`
	// LoseReplies is the share of starts and stops that take effect but
	// return ErrUnavailable, as if the reply was lost.
	LoseReplies wick.Share `json:"loseAnswers,omitempty"`
	// RefuseStarts is the share of starts rejected with ErrBusy.
	RefuseStarts wick.Share `json:"refuseStarts,omitempty"`
	// ListLagMillis is the staleness of the VM list.
	ListLagMillis wick.Millis `json:"listLagMillis,omitempty"`
	// Reclaim triggers one reclaim when the faults are set.
	Reclaim *CloudReclaim `json:"reclaim,omitempty"`
	// Seed makes random faults reproducible.
	Seed uint64 `json:"seed,omitempty"`
}

// A CloudReclaim reclaims one VM, or all reclaimable VMs of a zone.
type CloudReclaim struct {
	VM   wick.VMID `json:"vm,omitempty"`
	Zone wick.Zone `json:"zone,omitempty"`
	Reclaim
}

// A Cloud is an in-memory wick.Cloud. Its zero value is empty and ready to use.
type Cloud struct {
	// StartTime is how long a VM takes to start.
	StartTime time.Duration
	// OnCreate is called for every start order that the cloud accepts, before
	// the VM starts.
	OnCreate func(vm wick.VM, ord wick.StartOrder)
	// OnStart is called for every VM that starts and may set its address.
	OnStart func(vm *wick.VM)
	// OnStop is called for every VM that is stopped.
	OnStop func(vm wick.VM)
	// OnReclaim is called when the reclaim of a VM starts.
	OnReclaim func(vm wick.VM, rec Reclaim)

	sampler faultSampler
	mu      sync.Mutex
	faults  CloudFaults
	vms     map[wick.VMID]wick.VM
	tokens  map[string]wick.VM
	lastID  int
	// lists is the history of the VM list, one entry per change, oldest first.
	lists []listSnapshot
}

type listSnapshot struct {
	at  time.Time
	vms []wick.VM
}

var _ wick.Cloud = (*Cloud)(nil)

// SetFaults replaces the faults.
func (cld *Cloud) SetFaults(flt CloudFaults) {
	cld.sampler.seed(flt.Seed)
	cld.mu.Lock()
	cld.faults = flt
	cld.mu.Unlock()
	if flt.Reclaim != nil {
		cld.Reclaim(*flt.Reclaim)
	}
}

func (cld *Cloud) currentFaults() CloudFaults {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	return cld.faults
}

// Register adds a VM to the list or replaces it.
func (cld *Cloud) Register(vm wick.VM) { cld.RegisterAll([]wick.VM{vm}) }

// RegisterAll adds or replaces VMs in one change of the list.
func (cld *Cloud) RegisterAll(vms []wick.VM) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	if cld.vms == nil {
		cld.vms = make(map[wick.VMID]wick.VM)
	}
	for _, vm := range vms {
		if vm.State == "" {
			vm.State = wick.VMLive
		}
		cld.vms[vm.ID] = vm
	}
	cld.recordList()
}

// Remove removes a VM from the list.
func (cld *Cloud) Remove(vid wick.VMID) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	delete(cld.vms, vid)
	cld.recordList()
}

// putVM adds or replaces a VM. The caller must hold mu.
func (cld *Cloud) putVM(vm wick.VM) {
	if cld.vms == nil {
		cld.vms = make(map[wick.VMID]wick.VM)
	}
	cld.vms[vm.ID] = vm
	cld.recordList()
}

// recordList appends the current list to the history. The caller must hold mu.
func (cld *Cloud) recordList() {
	list := make([]wick.VM, 0, len(cld.vms))
	for _, vid := range slices.Sorted(maps.Keys(cld.vms)) {
		list = append(list, cld.vms[vid])
	}
	cld.lists = append(cld.lists, listSnapshot{time.Now(), list})
	if len(cld.lists) > maxListSnapshots {
		cld.lists = slices.Delete(cld.lists, 0, len(cld.lists)-maxListSnapshots)
	}
}

func (cld *Cloud) begin(ctx context.Context, op string) error {
	flt := cld.currentFaults()
	if err := sleep(ctx, flt.LatencyMillis.Duration()); err != nil {
		return wire.NewError(wick.ErrUnavailable, op, err)
	}
	switch {
	case flt.Partition:
		return wire.NewError(wick.ErrUnavailable, op, errDropped)
	case flt.Down:
		return wire.NewError(wick.ErrUnavailable, op, errDown)
	}
	return nil
}

// loseReply returns the error of a call that took effect but whose reply is
// lost, or nil.
func (cld *Cloud) loseReply(op string) error {
	if cld.sampler.sample(cld.currentFaults().LoseReplies) {
		return wire.NewError(wick.ErrUnavailable, op, errDropped)
	}
	return nil
}

// VMs returns the list as of ListLagMillis ago.
func (cld *Cloud) VMs(ctx context.Context) ([]wick.VM, error) {
	if err := cld.begin(ctx, "fake: list"); err != nil {
		return nil, err
	}
	cld.mu.Lock()
	defer cld.mu.Unlock()
	lag := cld.faults.ListLagMillis.Duration()
	for idx := len(cld.lists) - 1; idx >= 0; idx-- {
		if time.Since(cld.lists[idx].at) >= lag {
			return slices.Clone(cld.lists[idx].vms), nil
		}
	}
	return nil, nil
}

// Start starts a VM. It is idempotent: a repeated token returns the same VM.
func (cld *Cloud) Start(ctx context.Context, ord wick.StartOrder) (wick.VM, error) {
	const op = "fake: start"
	if err := cld.begin(ctx, op); err != nil {
		return wick.VM{}, err
	}
	vm, duplicate, err := cld.create(ord)
	if err != nil {
		return wick.VM{}, err
	}
	switch {
	case duplicate:
	case cld.StartTime > 0:
		time.AfterFunc(cld.StartTime, func() { cld.finishStart(vm) })
	default:
		vm = cld.finishStart(vm)
	}
	return vm, cld.loseReply(op)
}

func (cld *Cloud) finishStart(vm wick.VM) wick.VM {
	if cld.OnStart != nil {
		cld.OnStart(&vm)
	}
	cld.Register(vm)
	return vm
}

func (cld *Cloud) create(ord wick.StartOrder) (vm wick.VM, duplicate bool, err error) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	if vm, ok := cld.tokens[ord.Token]; ok && ord.Token != "" {
		return vm, true, nil
	}
	if cld.sampler.sample(cld.faults.RefuseStarts) {
		return wick.VM{}, false, wire.NewError(wick.ErrBusy, "fake: start", nil)
	}
	cld.lastID++
	vm = wick.VM{
		ID: wick.VMID("started-" + strconv.Itoa(cld.lastID)), Role: wick.RoleEndpoint, Zone: ord.Zone, Class: ord.Class,
		Service: ord.Service, Versions: []wick.ModelVersion{ord.Version}, State: wick.VMLive, Reclaimable: ord.Reclaimable,
	}
	if cld.tokens == nil {
		cld.tokens = make(map[string]wick.VM)
	}
	cld.tokens[ord.Token] = vm
	if cld.OnCreate != nil {
		cld.OnCreate(vm, ord)
	}
	return vm, false, nil
}

// Stop terminates a VM.
func (cld *Cloud) Stop(ctx context.Context, vid wick.VMID) error {
	const op = "fake: stop"
	if err := cld.begin(ctx, op); err != nil {
		return err
	}
	cld.mu.Lock()
	vm, ok := cld.vms[vid]
	cld.mu.Unlock()
	if !ok {
		return wire.NewError(wick.ErrNotFound, op, nil)
	}
	cld.Remove(vid)
	if cld.OnStop != nil {
		cld.OnStop(vm)
	}
	return cld.loseReply(op)
}

// Reclaim starts a reclaim. The VMs are removed from the list after the notice
// period.
func (cld *Cloud) Reclaim(rec CloudReclaim) {
	cld.mu.Lock()
	var affected []wick.VM
	for _, vm := range cld.vms {
		if vm.ID == rec.VM || rec.Zone != "" && vm.Zone == rec.Zone && vm.Reclaimable {
			affected = append(affected, vm)
		}
	}
	for _, vm := range affected {
		if !rec.Silent {
			vm.State = wick.VMLeaving
			vm.ReclaimAt = time.Now().Add(rec.NoticeMillis.Duration())
			cld.putVM(vm)
		}
	}
	cld.mu.Unlock()
	for _, vm := range affected {
		if cld.OnReclaim != nil {
			cld.OnReclaim(vm, rec.Reclaim)
		}
		time.AfterFunc(rec.NoticeMillis.Duration(), func() { cld.Remove(vm.ID) })
	}
}
