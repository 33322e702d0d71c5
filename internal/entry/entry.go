// Package entry runs one entry: it wires the parts and takes them through the
// entry's lifecycle.
package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/admin"
	"github.com/wagtailwick/wagtailwick/internal/canary"
	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/config"
	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/fleet"
	"github.com/wagtailwick/wagtailwick/internal/front"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/internal/limit"
	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/plain"
	"github.com/wagtailwick/wagtailwick/internal/route"
	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/internal/vmlist"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An Entry is one entry process. Use New.
type Entry struct {
	set  setup.Settings
	self wick.Member

	store  wick.Store
	cloud  wick.Cloud
	engine wick.Engine
	plain  wick.Plain

	invar   *invar.Checker
	peers   *peer.Transport
	view    *member.View
	beater  *member.Beater
	notices *notice.Set
	spread  *notice.Spreader
	vms     *vmlist.List
	config  *config.Keeper
	route   *route.Table
	limit   *limit.Limiter
	judge   *canary.Judge
	moves   *moveTable
	leases  *lease.Keeper
	// duties holds the work of the duties that this entry holds. The keeper
	// of the leases is its only user.
	duties map[wick.Duty]*duty
	// fleet is nil while the entry does not hold the fleet duty.
	fleet   atomic.Pointer[fleet.Runner]
	ledger  *ledgerSwitch
	streams *stream.Table
	front   *front.Server
	admin   *admin.Server

	// machine is the lifecycle: starting, serving, draining, stopped.
	machine *stateless.StateMachine
	// drainNow receives the notice with which the entry is reclaimed.
	drainNow  chan time.Duration
	drainOnce sync.Once
	// listed holds the entries of the list of VMs that are not leaving.
	listed atomic.Pointer[[]wick.Member]
	// surveyed is set when the endpoints' load reports were read once.
	surveyed atomic.Bool
}

// New builds an entry from valid settings. Start must be called.
func New(set setup.Settings) *Entry {
	ent := &Entry{
		set:      set,
		drainNow: make(chan time.Duration, 1),
		self: wick.Member{
			ID: set.Entry.ID, Zone: set.Entry.Zone, State: wick.EntryStarting,
			// The start time orders the incarnations of an entry: its VM keeps
			// nothing that could count them.
			Incarnation: wick.Incarnation(time.Now().UnixMicro()), //nolint:gosec // positive until far in the future
			Address:     set.Listen.Peers,
		},
	}
	timeout := set.Platform.TimeoutMillis.Duration()
	ent.store = &store.Client{URL: set.Platform.StoreURL, Timeout: timeout, HTTP: wire.Client{Meter: "store"}}
	ent.cloud = &cloud.Client{URL: set.Platform.CloudURL, Timeout: timeout, HTTP: wire.Client{Meter: "cloud"}}
	ent.engine = &engine.Client{HTTP: wire.Client{Meter: "engine"}, Control: wire.Client{Meter: "engineControl"}}
	ent.plain = &plain.Client{HTTP: wire.Client{Meter: "plain"}, Control: wire.Client{Meter: "plainControl"}}
	ent.invar = &invar.Checker{}
	ent.machine = lifecycle()
	return ent
}

// Triggers of the lifecycle.
const (
	triggerReady   = "ready"
	triggerDrain   = "drain"
	triggerStopped = "stopped"
)

func lifecycle() *stateless.StateMachine {
	mac := stateless.NewStateMachine(wick.EntryStarting)
	mac.Configure(wick.EntryStarting).
		Permit(triggerReady, wick.EntryServing).
		Permit(triggerDrain, wick.EntryDraining).
		Permit(triggerStopped, wick.EntryStopped)
	mac.Configure(wick.EntryServing).
		Permit(triggerDrain, wick.EntryDraining).
		Permit(triggerStopped, wick.EntryStopped)
	mac.Configure(wick.EntryDraining).
		Ignore(triggerReady).
		Ignore(triggerDrain).
		Permit(triggerStopped, wick.EntryStopped)
	mac.Configure(wick.EntryStopped).
		Ignore(triggerReady).
		Ignore(triggerDrain).
		Ignore(triggerStopped)
	return mac
}

// fire moves the lifecycle and tells the membership.
func (ent *Entry) fire(trigger string) {
	if err := ent.machine.Fire(trigger); err != nil {
		logrus.WithError(err).Error("entry: lifecycle refused a trigger")
		return
	}
	state := ent.State()
	ent.view.SetState(state)
	logrus.WithFields(logrus.Fields{"entry": ent.self.ID, "state": state}).Info("entry: state changed")
}

// State returns the lifecycle state.
func (ent *Entry) State() wick.EntryState {
	state, ok := ent.machine.MustState().(wick.EntryState)
	if !ok {
		return wick.EntryStopped
	}
	return state
}

// Violations returns the invariants that were violated, with their counts.
func (ent *Entry) Violations() map[invar.Name]int64 { return ent.invar.Counts() }

// credentials returns the keys of the connections between entries.
func (ent *Entry) credentials() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.X509KeyPair([]byte(ent.set.Peers.Certificate), []byte(ent.set.Peers.Key))
	if err != nil {
		return tls.Certificate{}, nil, eris.Wrap(err, "entry: peer certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(ent.set.Peers.Authority)) {
		return tls.Certificate{}, nil, eris.Wrap(wick.ErrInvalid, "entry: peer authority")
	}
	return cert, pool, nil
}

// Drain asks the entry to end in order. The notice is how long it has; zero
// takes the settings' time.
func (ent *Entry) Drain(notice time.Duration) {
	if notice <= 0 {
		notice = ent.set.Limits.DrainMillis.Duration()
	}
	ent.drainOnce.Do(func() { ent.drainNow <- notice })
}

// Run serves until Drain is called and done, or ctx ends. When ctx ends, work
// is cut off; orderly shutdowns go through Drain.
func (ent *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := ent.wire(); err != nil {
		return err
	}
	if err := ent.admin.Start(ent.set.Listen.Admin); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, loop := range ent.loops() {
		wg.Go(func() { loop(ctx) })
	}
	err := ent.serve(ctx)
	cancel()
	wg.Wait()
	ent.fire(triggerStopped)
	return err
}

// serve waits for the end of the entry: a drain, or the end of ctx.
func (ent *Entry) serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		ent.streams.Close()
		return ent.shutdown(0)
	case notice := <-ent.drainNow:
		ent.fire(triggerDrain)
		logrus.WithField("notice", notice.String()).Info("entry: draining")
		if err := ent.streams.Drain(ctx, notice); err != nil {
			logrus.WithError(err).Error("entry: drain left requests behind")
		}
		ent.streams.Close()
		return ent.shutdown(closeTime)
	}
}

// closeTime bounds the end of the connections after all requests have ended.
const closeTime = 3 * time.Second

func (ent *Entry) shutdown(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := errors.Join(ent.front.Shutdown(ctx), ent.peers.Close(ctx), ent.admin.Stop(ctx))
	if wait == 0 && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Bundle returns the active bundle version, 0 before there is one.
func (ent *Entry) Bundle() wick.BundleVersion {
	act, ok := ent.config.Active()
	if !ok {
		return 0
	}
	return act.Bundle.Version
}
