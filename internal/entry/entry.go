// Package entry runs one entry: it wires the components and drives the entry's
// lifecycle.
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
	plain  wick.PlainCaller

	invar   *invar.Checker
	peers   *peer.Transport
	view    *member.View
	beater  *member.Heartbeater
	notices *notice.Set
	spread  *notice.Replicator
	vms     *vmlist.List
	config  *config.Keeper
	route   *route.Table
	limit   *limit.Limiter
	judge   *canary.Judge
	moves   *moveTable
	leases  *lease.Keeper
	// duties holds the running tasks of the duties that this entry owns. Only
	// the goroutine of the lease keeper accesses it.
	duties map[wick.Duty]*duty
	// fleet is nil while the entry does not own the fleet duty.
	fleet   atomic.Pointer[fleet.Runner]
	ledger  *lazyLedger
	streams *stream.Table
	front   *front.Server
	admin   *admin.Server

	// machine is the lifecycle: starting, serving, draining, stopped.
	machine *stateless.StateMachine
	// drainRequests receives the time available for the drain.
	drainRequests chan time.Duration
	drainOnce     sync.Once
	// listed holds the entries of the list of VMs that are not leaving.
	listed atomic.Pointer[[]wick.Member]
	// loadsRead is set after the first read of the load reports of all endpoints.
	loadsRead atomic.Bool
}

// New builds an entry from valid settings. Run starts it.
func New(set setup.Settings) *Entry {
	ent := &Entry{
		set:           set,
		drainRequests: make(chan time.Duration, 1),
		self: wick.Member{
			ID: set.Entry.ID, Zone: set.Entry.Zone, State: wick.EntryStarting,
			// The start time orders the incarnations of an entry: its VM has no
			// persistent storage for a counter.
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

// fire triggers a lifecycle transition and publishes the new state to the
// membership.
func (ent *Entry) fire(trigger string) {
	if err := ent.machine.Fire(trigger); err != nil {
		logrus.WithError(err).Error("entry: invalid lifecycle transition")
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

// credentials returns the certificate and the authority for the connections
// between entries.
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

// Drain starts a graceful shutdown that takes at most notice; zero uses the
// drain time of the settings.
func (ent *Entry) Drain(notice time.Duration) {
	if notice <= 0 {
		notice = ent.set.Limits.DrainMillis.Duration()
	}
	ent.drainOnce.Do(func() { ent.drainRequests <- notice })
}

// Run serves until a drain completes or ctx ends. The end of ctx aborts requests
// in flight; graceful shutdowns go through Drain.
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

// serve blocks until a drain completes or ctx ends, then shuts down.
func (ent *Entry) serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		ent.streams.Close()
		return ent.shutdown(0)
	case notice := <-ent.drainRequests:
		ent.fire(triggerDrain)
		logrus.WithField("notice", notice.String()).Info("entry: draining")
		if err := ent.streams.Drain(ctx, notice); err != nil {
			logrus.WithError(err).Error("entry: drain ended with requests in flight")
		}
		ent.streams.Close()
		return ent.shutdown(closeTimeout)
	}
}

// closeTimeout bounds closing the connections after the drain.
const closeTimeout = 3 * time.Second

func (ent *Entry) shutdown(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := errors.Join(ent.front.Shutdown(ctx), ent.peers.Close(ctx), ent.admin.Stop(ctx))
	if wait == 0 && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Bundle returns the active bundle version, 0 if none is active yet.
func (ent *Entry) Bundle() wick.BundleVersion {
	act, ok := ent.config.Active()
	if !ok {
		return 0
	}
	return act.Bundle.Version
}
