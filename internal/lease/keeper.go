package lease

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "lease")

// maxConcurrentCalls limits the concurrent platform calls of a keeper.
const maxConcurrentCalls = 8

// retryFraction divides the renewal interval after a failed renewal, so that a short
// outage of the store ends before the lease does.
const retryFraction = 5

// A DesiredFunc returns the duties that an entry should hold, given the
// membership.
type DesiredFunc func(mems []wick.Member) []wick.Duty

// Hooks are called when a duty starts and stops. Start must not block and runs
// its work in goroutines; Stop returns when they have ended.
type Hooks struct {
	Start func(duty wick.Duty, fence wick.Fence)
	Stop  func(duty wick.Duty, fence wick.Fence)
}

// A Keeper acquires, renews and releases the leases of the duties that an entry
// should hold.
type Keeper struct {
	sto     wick.Store
	clk     wick.Clock
	id      wick.EntryID
	inc     wick.Incarnation
	members func() []wick.Member
	desired DesiredFunc
	hooks   Hooks
	timing  Timing

	// hookMu serialises the hooks, so that the Stop of a duty returns before
	// its next Start.
	hookMu sync.Mutex

	mu     sync.Mutex
	leases map[wick.Duty]*Lease
	// started maps each running duty to the fencing token that it was started
	// with.
	started map[wick.Duty]wick.Fence
}

// An Option configures a Keeper.
type Option func(kee *Keeper)

// WithClock replaces the clock, which counts the suspension of the machine.
func WithClock(clk wick.Clock) Option { return func(kee *Keeper) { kee.clk = clk } }

// WithHooks sets the functions that start and stop duties.
func WithHooks(hks Hooks) Option { return func(kee *Keeper) { kee.hooks = hks } }

// A Timing configures the renewal and expiry of leases. All entries must use the
// same values.
type Timing struct {
	// Renew is the time between renewals. Expiry is how long a lease is valid
	// without a renewal, at least three times Renew.
	Renew, Expiry time.Duration
}

// WithTiming replaces the defaults RenewInterval and Expiry.
func WithTiming(tim Timing) Option { return func(kee *Keeper) { kee.timing = tim } }

// NewKeeper returns a keeper for the entry. It calls members and desired at every
// renewal.
func NewKeeper(sto wick.Store, id wick.EntryID, inc wick.Incarnation, members func() []wick.Member, desired DesiredFunc, opts ...Option) *Keeper {
	kee := &Keeper{
		sto: sto, clk: wick.BootClock{}, id: id, inc: inc, members: members, desired: desired,
		timing: Timing{Renew: RenewInterval, Expiry: Expiry},
		leases: make(map[wick.Duty]*Lease), started: make(map[wick.Duty]wick.Fence),
	}
	for _, opt := range opts {
		opt(kee)
	}
	return kee
}

// Run acquires and renews leases until ctx ends, then stops all duties and
// releases their leases.
func (kee *Keeper) Run(ctx context.Context) {
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		kee.watchExpiry(ctx)
	}()
	for ctx.Err() == nil {
		kee.Step(ctx)
		// The jitter prevents entries that started together from renewing in
		// lockstep.
		delay := kee.timing.Renew - time.Duration(rand.Int64N(int64(kee.timing.Renew/10))) //nolint:gosec // jitter
		if kee.retriesSoon() {
			delay /= retryFraction
		}
		delay = kee.untilAvailable(delay)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	<-watchDone
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeout)
	defer cancel()
	kee.reconcile(releaseCtx, nil)
}

// retriesSoon reports whether the last renewal of a lease failed and the lease has not
// expired.
func (kee *Keeper) retriesSoon() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	for _, lea := range kee.leases {
		if lea.retriesSoon() {
			return true
		}
	}
	return false
}

// untilAvailable returns the time until another entry's lease expires, at most limit.
func (kee *Keeper) untilAvailable(limit time.Duration) time.Duration {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	for _, lea := range kee.leases {
		if left, ok := lea.availableIn(); ok {
			limit = min(limit, left)
		}
	}
	return limit
}

// watchExpiry stops duties whose lease expires while a renewal is blocked on the
// platform.
func (kee *Keeper) watchExpiry(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			kee.reconcileHooks()
		}
	}
}

// Step acquires, renews and releases leases once.
func (kee *Keeper) Step(ctx context.Context) {
	kee.reconcileHooks()
	kee.reconcile(ctx, kee.desired(kee.members()))
}

func (kee *Keeper) reconcile(ctx context.Context, desired []wick.Duty) {
	isDesired := make(map[wick.Duty]bool, len(desired))
	kee.mu.Lock()
	for _, duty := range desired {
		isDesired[duty] = true
		if kee.leases[duty] == nil {
			lea := New(kee.sto, kee.clk, duty, kee.id, kee.inc)
			lea.expiry = kee.timing.Expiry
			kee.leases[duty] = lea
		}
	}
	keep, release := map[wick.Duty]*Lease{}, map[wick.Duty]*Lease{}
	for duty, lea := range kee.leases {
		if isDesired[duty] {
			keep[duty] = lea
		} else {
			release[duty] = lea
			// This prevents start from starting the duty again.
			delete(kee.leases, duty)
		}
	}
	kee.mu.Unlock()
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentCalls)
	for duty, lea := range keep {
		grp.Go(func() error {
			if state, err := lea.Step(ctx); err != nil {
				log.WithError(err).WithField("duty", duty).WithField("state", state).Warn("lease: step failed")
			}
			return nil
		})
	}
	for duty, lea := range release {
		grp.Go(func() error {
			kee.hookMu.Lock()
			kee.stop(duty)
			kee.hookMu.Unlock()
			if err := lea.Release(ctx); err != nil {
				log.WithError(err).WithField("duty", duty).Warn("lease: release failed")
			}
			return nil
		})
	}
	if err := grp.Wait(); err != nil {
		log.WithError(err).Error("lease: reconciliation failed")
	}
	kee.reconcileHooks()
}

// reconcileHooks starts duties whose lease is held. It stops those whose lease is
// not held, or is held with another fencing token.
func (kee *Keeper) reconcileHooks() {
	kee.hookMu.Lock()
	defer kee.hookMu.Unlock()
	kee.mu.Lock()
	leases := make(map[wick.Duty]*Lease, len(kee.leases))
	for duty, lea := range kee.leases {
		leases[duty] = lea
	}
	kee.mu.Unlock()
	for duty, lea := range leases {
		fence, ok := lea.Holds()
		kee.mu.Lock()
		startedFence, running := kee.started[duty]
		kee.mu.Unlock()
		if running && (!ok || startedFence != fence) {
			kee.stop(duty)
			running = false
		}
		if ok && !running {
			kee.start(duty, fence)
		}
	}
}

func (kee *Keeper) start(duty wick.Duty, fence wick.Fence) {
	kee.mu.Lock()
	_, running := kee.started[duty]
	isDesired := kee.leases[duty] != nil
	if isDesired && !running {
		kee.started[duty] = fence
	}
	kee.mu.Unlock()
	if isDesired && !running && kee.hooks.Start != nil {
		kee.hooks.Start(duty, fence)
	}
}

func (kee *Keeper) stop(duty wick.Duty) {
	kee.mu.Lock()
	fence, running := kee.started[duty]
	delete(kee.started, duty)
	kee.mu.Unlock()
	if running && kee.hooks.Stop != nil {
		kee.hooks.Stop(duty, fence)
	}
}

// AcquiredAt returns when this entry acquired the lease of a duty, and whether it
// holds the lease now.
func (kee *Keeper) AcquiredAt(duty wick.Duty) (time.Time, bool) {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return time.Time{}, false
	}
	_, ok := lea.Holds()
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.local(lea.acquiredAt), ok
}

// ValidUntil returns when the lease of a duty expires unless it is renewed, the zero
// time if this entry does not hold it.
func (kee *Keeper) ValidUntil(duty wick.Duty) time.Time {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return time.Time{}
	}
	return lea.validUntil()
}

// Retains reports whether no other entry can have acquired the lease of a duty since this
// one did. Unlike with Holds, its last renewal may have failed.
func (kee *Keeper) Retains(duty wick.Duty) bool {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return false
	}
	_, held := lea.Holds()
	return held || lea.retriesSoon()
}

// IsFirst reports whether this entry is the first ever to acquire the lease of a duty. Any
// other holder has a predecessor that may still act.
func (kee *Keeper) IsFirst(duty wick.Duty) bool {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return false
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.first
}

// EraSince returns the newest era of the store in which this entry observed the lease of a
// duty, and when it first did so.
func (kee *Keeper) EraSince(duty wick.Duty) (wick.Era, time.Time) {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return 0, time.Time{}
	}
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.rev.Era(), lea.local(lea.eraSince)
}

// Holds returns the fencing token of a duty, and whether this entry holds its
// lease now.
func (kee *Keeper) Holds(duty wick.Duty) (wick.Fence, bool) {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return 0, false
	}
	return lea.Holds()
}

// A DutyDump is the state of one lease in a state dump.
type DutyDump struct {
	Duty     wick.Duty     `json:"duty"`
	State    State         `json:"state"`
	Doc      Record        `json:"doc"`
	Revision wick.Revision `json:"revision"`
	Started  bool          `json:"started"`
}

// Dump returns the state of the keeper's leases, ordered by duty.
func (kee *Keeper) Dump() []DutyDump {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	out := make([]DutyDump, 0, len(kee.leases))
	for duty, lea := range kee.leases {
		_, started := kee.started[duty]
		lea.mu.Lock()
		out = append(out, DutyDump{Duty: duty, State: lea.state, Doc: lea.rec, Revision: lea.rev, Started: started})
		lea.mu.Unlock()
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Duty < out[jdx].Duty })
	return out
}
