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

// maxCalls bounds the concurrent platform calls of a keeper.
const maxCalls = 8

// Wants returns the duties that an entry should hold, given the membership.
type Wants func(mems []wick.Member) []wick.Duty

// Hooks are called when a duty starts and stops. Start returns quickly and
// leaves its work to goroutines; Stop returns when they have ended.
type Hooks struct {
	Start func(duty wick.Duty, fence wick.Fence)
	Stop  func(duty wick.Duty, fence wick.Fence)
}

// A Keeper acquires, renews and gives up the leases of the duties that an
// entry wants.
type Keeper struct {
	sto     wick.Store
	clk     wick.Clock
	id      wick.EntryID
	inc     wick.Incarnation
	members func() []wick.Member
	wants   Wants
	hooks   Hooks
	timing  Timing

	// hookMu serialises calls of hooks, so that a duty's stop has ended
	// before its next start.
	hookMu sync.Mutex

	mu     sync.Mutex
	leases map[wick.Duty]*Lease
	// started holds the fencing number with which a duty was started.
	started map[wick.Duty]wick.Fence
}

// An Option sets up a Keeper.
type Option func(kee *Keeper)

// WithClock replaces the clock of the machine.
func WithClock(clk wick.Clock) Option { return func(kee *Keeper) { kee.clk = clk } }

// WithHooks sets the functions that start and stop duties.
func WithHooks(hks Hooks) Option { return func(kee *Keeper) { kee.hooks = hks } }

// A Timing sets the pace of leases. All entries must use the same.
type Timing struct {
	// Renew is the time between renewals, Expiry how long a lease lasts
	// without one, at least three times Renew.
	Renew, Expiry time.Duration
}

// WithTiming replaces RenewEvery and Expiry.
func WithTiming(tim Timing) Option { return func(kee *Keeper) { kee.timing = tim } }

// NewKeeper returns a keeper for the entry. The membership is asked for at
// every renewal.
func NewKeeper(sto wick.Store, id wick.EntryID, inc wick.Incarnation, members func() []wick.Member, wants Wants, opts ...Option) *Keeper {
	kee := &Keeper{
		sto: sto, clk: wick.SystemClock{}, id: id, inc: inc, members: members, wants: wants,
		timing: Timing{Renew: RenewEvery, Expiry: Expiry},
		leases: make(map[wick.Duty]*Lease), started: make(map[wick.Duty]wick.Fence),
	}
	for _, opt := range opts {
		opt(kee)
	}
	return kee
}

// Run keeps leases until ctx ends, then stops all duties and releases their
// leases.
func (kee *Keeper) Run(ctx context.Context) {
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		kee.watch(ctx)
	}()
	for ctx.Err() == nil {
		kee.Step(ctx)
		// The jitter keeps entries that started together from renewing together.
		pause := kee.timing.Renew - time.Duration(rand.Int64N(int64(kee.timing.Renew/10))) //nolint:gosec // jitter
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	<-watch
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeout)
	defer cancel()
	kee.reconcile(end, nil)
}

// watch stops duties whose lease expired while a renewal waits for the
// platform.
func (kee *Keeper) watch(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			kee.settleHooks()
		}
	}
}

// Step runs one round of acquiring, renewing and giving up.
func (kee *Keeper) Step(ctx context.Context) {
	kee.settleHooks()
	kee.reconcile(ctx, kee.wants(kee.members()))
}

func (kee *Keeper) reconcile(ctx context.Context, want []wick.Duty) {
	wanted := make(map[wick.Duty]bool, len(want))
	kee.mu.Lock()
	for _, duty := range want {
		wanted[duty] = true
		if kee.leases[duty] == nil {
			lea := New(kee.sto, kee.clk, duty, kee.id, kee.inc)
			lea.expiry = kee.timing.Expiry
			kee.leases[duty] = lea
		}
	}
	keep, drop := map[wick.Duty]*Lease{}, map[wick.Duty]*Lease{}
	for duty, lea := range kee.leases {
		if wanted[duty] {
			keep[duty] = lea
		} else {
			drop[duty] = lea
			// From here on, start refuses the duty.
			delete(kee.leases, duty)
		}
	}
	kee.mu.Unlock()
	var grp errgroup.Group
	grp.SetLimit(maxCalls)
	for duty, lea := range keep {
		grp.Go(func() error {
			if state, err := lea.Step(ctx); err != nil {
				log.WithError(err).WithField("duty", duty).WithField("state", state).Warn("lease: step failed")
			}
			return nil
		})
	}
	for duty, lea := range drop {
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
		log.WithError(err).Error("lease: round failed")
	}
	kee.settleHooks()
}

// settleHooks starts duties that are held and stops those that are not, or
// are held under another fencing number.
func (kee *Keeper) settleHooks() {
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
		old, running := kee.started[duty]
		kee.mu.Unlock()
		if running && (!ok || old != fence) {
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
	wanted := kee.leases[duty] != nil
	if wanted && !running {
		kee.started[duty] = fence
	}
	kee.mu.Unlock()
	if wanted && !running && kee.hooks.Start != nil {
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

// Since returns when this entry acquired a duty that it holds now.
func (kee *Keeper) Since(duty wick.Duty) (time.Time, bool) {
	kee.mu.Lock()
	lea := kee.leases[duty]
	kee.mu.Unlock()
	if lea == nil {
		return time.Time{}, false
	}
	_, ok := lea.Holds()
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return lea.since, ok
}

// Holds returns the fencing number of a duty that this entry holds now.
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
	Doc      Doc           `json:"doc"`
	Revision wick.Revision `json:"revision"`
	Started  bool          `json:"started"`
}

// Dump returns the leases that the keeper wants, ordered by duty.
func (kee *Keeper) Dump() []DutyDump {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	out := make([]DutyDump, 0, len(kee.leases))
	for duty, lea := range kee.leases {
		_, started := kee.started[duty]
		lea.mu.Lock()
		out = append(out, DutyDump{Duty: duty, State: lea.state, Doc: lea.doc, Revision: lea.rev, Started: started})
		lea.mu.Unlock()
	}
	sort.Slice(out, func(idx, jdx int) bool { return out[idx].Duty < out[jdx].Duty })
	return out
}
