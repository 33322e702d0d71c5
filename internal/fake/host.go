package fake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const defaultSlots = 8

// maxSnapshots bounds the load report history that LoadLag reads from.
const maxSnapshots = 4096

// A Host is the common part of the fake engines and plain services: slots with
// a priority queue, faults, reclaims and load reports. Exported fields
// must be set before the first call.
type Host struct {
	// VM is the VM that the fake runs on. VM.Versions are loaded initially.
	VM wick.VM
	// Slots is the number of calls that run at once; 8 if zero.
	Slots int
	// MaxWaiting bounds the queue; 4 times Slots if zero.
	MaxWaiting int
	// LoadLag is the staleness of load reports.
	LoadLag time.Duration

	sampler faultSampler
	mu      sync.Mutex
	// faults is replaced as a whole and never modified.
	faults  *Faults
	running int
	waiters []*waiter
	prefill wick.Tokens
	calls   map[wick.ModelVersion]int64
	// versions maps each version to the time from which it can be served.
	versions  map[wick.ModelVersion]time.Time
	leaving   bool
	reclaimAt time.Time
	// root is cancelled when the VM terminates.
	root       context.Context
	cancelRoot context.CancelFunc
	snapshots  []wick.LoadReport
}

type waiter struct {
	prio  wick.Priority
	ready chan struct{}
}

// init initializes the host on first use. The caller must hold mu.
func (hst *Host) init() {
	if hst.root != nil {
		return
	}
	hst.root, hst.cancelRoot = context.WithCancel(context.Background())
	hst.calls = make(map[wick.ModelVersion]int64)
	hst.versions = make(map[wick.ModelVersion]time.Time)
	for _, ver := range hst.VM.Versions {
		hst.versions[ver] = time.Time{}
	}
	if hst.faults == nil {
		hst.faults = &Faults{}
	}
	if hst.Slots == 0 {
		hst.Slots = defaultSlots
	}
	if hst.MaxWaiting == 0 {
		hst.MaxWaiting = 4 * hst.Slots
	}
	hst.snapshot()
}

func (hst *Host) lock() {
	hst.mu.Lock()
	hst.init()
}

// SetFaults replaces the faults.
func (hst *Host) SetFaults(flt Faults) {
	hst.sampler.seed(flt.Seed)
	hst.lock()
	hst.faults = &flt
	hst.mu.Unlock()
	if flt.Reclaim != nil {
		hst.Reclaim(*flt.Reclaim)
	}
}

func (hst *Host) currentFaults() *Faults {
	hst.lock()
	defer hst.mu.Unlock()
	return hst.faults
}

// Reclaim terminates the VM after the notice period. Unless it is silent, new
// work is rejected immediately.
func (hst *Host) Reclaim(rec Reclaim) {
	if !rec.Silent {
		hst.lock()
		hst.leaving = true
		hst.reclaimAt = time.Now().Add(rec.NoticeMillis.Duration())
		hst.snapshot()
		hst.mu.Unlock()
	}
	if rec.NoticeMillis <= 0 {
		hst.Kill()
		return
	}
	time.AfterFunc(rec.NoticeMillis.Duration(), hst.Kill)
}

// Kill terminates the VM immediately: running calls are aborted, later ones
// fail with ErrNotSent.
func (hst *Host) Kill() {
	hst.lock()
	defer hst.mu.Unlock()
	hst.cancelRoot()
}

// Terminated reports whether the VM has terminated.
func (hst *Host) Terminated() bool {
	hst.lock()
	defer hst.mu.Unlock()
	return hst.root.Err() != nil
}

// attach returns a context that is also cancelled when the VM terminates. The
// caller must call the returned function when the call ends.
func (hst *Host) attach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	hst.lock()
	root := hst.root
	hst.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(root, func() { cancel(errDropped) })
	return ctx, func(cause error) {
		detach()
		cancel(cause)
	}
}

// served returns the versions that can be served. The caller must hold mu.
func (hst *Host) served(now time.Time) []wick.ModelVersion {
	var out []wick.ModelVersion
	for ver, ready := range hst.versions {
		if !now.Before(ready) {
			out = append(out, ver)
		}
	}
	slices.Sort(out)
	return out
}

func (hst *Host) serves(version wick.ModelVersion) bool {
	hst.lock()
	defer hst.mu.Unlock()
	ready, ok := hst.versions[version]
	return ok && !time.Now().Before(ready)
}

// snapshot appends the current load report to the history. The caller must hold mu.
func (hst *Host) snapshot() {
	now := time.Now()
	rep := wick.LoadReport{
		VM: hst.VM.ID, Running: hst.running, Waiting: len(hst.waiters), Slots: hst.Slots,
		PrefillTokens: hst.prefill, Leaving: hst.leaving, ReclaimAt: hst.reclaimAt, At: now,
		Versions: hst.served(now),
	}
	hst.snapshots = append(hst.snapshots, rep)
	// Only the newest report that is at least LoadLag old, and those after it,
	// are needed.
	keep := 0
	for keep+1 < len(hst.snapshots) && now.Sub(hst.snapshots[keep+1].At) >= hst.LoadLag {
		keep++
	}
	keep = max(keep, len(hst.snapshots)-maxSnapshots)
	hst.snapshots = slices.Delete(hst.snapshots, 0, keep)
}

// beginControl applies the faults before a control call.
func (hst *Host) beginControl(ctx context.Context, op string) error {
	if hst.Terminated() {
		return wire.NewError(wick.ErrUnavailable, op, errDropped)
	}
	flt := hst.currentFaults()
	err := sleep(ctx, flt.LatencyMillis.Duration())
	switch {
	case err != nil:
	case flt.Partition:
		err = errDropped
	case flt.Down:
		err = errDown
	default:
		return nil
	}
	return wire.NewError(wick.ErrUnavailable, op, err)
}

// Load returns the load report as of LoadLag ago.
func (hst *Host) Load(ctx context.Context) (wick.LoadReport, error) {
	if err := hst.beginControl(ctx, "fake: load"); err != nil {
		return wick.LoadReport{}, err
	}
	hst.lock()
	defer hst.mu.Unlock()
	hst.snapshot()
	rep := hst.snapshots[0]
	// At is the time that the report describes.
	rep.At = time.Now().Add(-hst.LoadLag)
	return rep, nil
}

// beginWork applies the faults before a work call.
func (hst *Host) beginWork(ctx context.Context, op string) error {
	if hst.Terminated() {
		return wire.NewError(wick.ErrNotSent, op, errDropped)
	}
	flt := hst.currentFaults()
	if err := sleep(ctx, flt.LatencyMillis.Duration()); err != nil {
		return wire.NewError(wick.ErrUnknownOutcome, op, err)
	}
	switch {
	case flt.Partition:
		return wire.NewError(wick.ErrUnknownOutcome, op, errDropped)
	case flt.Down:
		return wire.NewError(wick.ErrUnknownOutcome, op, errDown)
	case hst.sampler.sample(flt.Refuse):
		return wire.NewError(wick.ErrNotExecuted, op, wick.ErrBusy)
	}
	hst.lock()
	defer hst.mu.Unlock()
	if hst.leaving {
		return wire.NewError(wick.ErrNotExecuted, op, wick.ErrLeaving)
	}
	return nil
}

// acquire waits for a slot. Waiters are served by priority, then in FIFO order.
// A full queue or a cancelled attempt returns wick.ErrNotExecuted; any other
// end of ctx returns wick.ErrUnknownOutcome.
func (hst *Host) acquire(ctx context.Context, prio wick.Priority) error {
	const op = "fake: queue"
	hst.lock()
	if hst.running < hst.Slots {
		hst.running++
		hst.snapshot()
		hst.mu.Unlock()
		return nil
	}
	if len(hst.waiters) >= hst.MaxWaiting {
		hst.mu.Unlock()
		return wire.NewError(wick.ErrNotExecuted, op, wick.ErrBusy)
	}
	wtr := &waiter{prio: prio, ready: make(chan struct{})}
	hst.waiters = append(hst.waiters, wtr)
	hst.snapshot()
	hst.mu.Unlock()
	select {
	case <-wtr.ready:
		return nil
	case <-ctx.Done():
	}
	err := wire.NewError(wick.ErrUnknownOutcome, op, context.Cause(ctx))
	if errors.Is(err, wick.ErrStopped) {
		err = wire.NewError(wick.ErrNotExecuted, op, wick.ErrStopped)
	}
	hst.lock()
	defer hst.mu.Unlock()
	for idx, oth := range hst.waiters {
		if oth == wtr {
			hst.waiters = append(hst.waiters[:idx], hst.waiters[idx+1:]...)
			return err
		}
	}
	// The slot was granted concurrently; pass it on.
	hst.releaseLocked()
	return err
}

func (hst *Host) release() {
	hst.lock()
	defer hst.mu.Unlock()
	hst.releaseLocked()
}

// releaseLocked grants the slot to the next waiter, or frees it. The caller must hold mu.
func (hst *Host) releaseLocked() {
	best := -1
	for idx, wtr := range hst.waiters {
		if best < 0 || wtr.prio > hst.waiters[best].prio {
			best = idx
		}
	}
	if best < 0 {
		hst.running--
	} else {
		close(hst.waiters[best].ready)
		hst.waiters = append(hst.waiters[:best], hst.waiters[best+1:]...)
	}
	hst.snapshot()
}

// countCall counts a started call and returns the version fault that applies.
func (hst *Host) countCall(version wick.ModelVersion, route string) BadVersion {
	hst.lock()
	defer hst.mu.Unlock()
	hst.calls[version]++
	return hst.faults.badFor(version, route, hst.running, hst.calls[version])
}

// Calls returns the number of started calls per version.
func (hst *Host) Calls() map[wick.ModelVersion]int64 {
	hst.lock()
	defer hst.mu.Unlock()
	out := make(map[wick.ModelVersion]int64, len(hst.calls))
	for ver, num := range hst.calls {
		out[ver] = num
	}
	return out
}

// sleep waits for dur. It returns the cause if ctx ends first.
func sleep(ctx context.Context, dur time.Duration) error {
	if dur <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
