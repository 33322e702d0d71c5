// Package edge implements an entry, a reverse proxy in front of the endpoints in
// the platform's registry. An entry watches the plan, the endpoints and the other
// entries in the platform's store and forwards requests to endpoints. The holder
// of the control duty also reports usage, scales services and advances rollouts
// for all entries. An entry keeps no state on its VM's disk.
package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/admin"
	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/internal/feed"
	"github.com/wagtailwick/wagtailwick/internal/lease"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/quota"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/internal/usage"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "edge")

// DutyControl is the duty to report usage, scale services and advance rollouts
// for all entries. One entry at a time holds it by a lease.
const DutyControl wick.Duty = "control"

const (
	// minBackendInterval is the least time between two reads of the registry. It
	// batches the changes of endpoints, whose records change with every
	// heartbeat. The interval grows with the number of entries, since they read
	// at different times and notify each other of leaving endpoints.
	minBackendInterval = 600 * time.Millisecond
	maxBackendInterval = 1600 * time.Millisecond
	// minMemberInterval is the least time between two reads and two writes of
	// the entries' records.
	minMemberInterval = time.Second
	maxMemberInterval = 2 * time.Second
	// minIntervalEntries is the number of entries up to which the least
	// intervals apply.
	minIntervalEntries = 6
	// planMaxAge is the time since the store's last reply up to which the plan
	// counts as current.
	planMaxAge = 10 * time.Second
	// endpointDialTimeout is the connect timeout for endpoints, which are in the
	// entry's region.
	endpointDialTimeout = 400 * time.Millisecond
	// endpointIdleTimeout is how long an idle connection to an endpoint stays pooled at most.
	endpointIdleTimeout = 4 * time.Second
)

// leaseTiming bounds the failover time of the control duty to about 6 s.
var leaseTiming = lease.Timing{Renew: 1500 * time.Millisecond, Expiry: 4500 * time.Millisecond}

// Kinds are the names of the object kinds that operators and endpoints write.
type Kinds struct {
	Plan, Backend, VersionOrder wick.Kind
	// Evacuation is only read if Bounds.Evacuation is set.
	Evacuation wick.Kind
}

// Bounds are the service-level bounds agreed with the platform.
type Bounds struct {
	// RetryRatio and RetryCapacity define the retry budget of all entries
	// together: retries in a window may be RetryRatio of its requests plus
	// RetryCapacity.
	RetryRatio    float64
	RetryCapacity float64
	// QuotaOvershoot is the fraction by which all entries together may exceed a
	// customer's quota, QuotaSlack a number of units on top of it.
	QuotaOvershoot, QuotaSlack float64
	// QuotaWindow is the window over which the quota is enforced.
	QuotaWindow time.Duration
	// CandidateShare is the fraction of a service's requests that may reach a
	// bad version during a version order, CandidateSlack a number of requests on
	// top of it.
	CandidateShare, CandidateSlack float64
	// UsageWindow is the length of a usage window, UsageDeadline the time after
	// its end by which it must be reported.
	UsageWindow, UsageDeadline time.Duration
	// HandoverDelay is the least time between the calls of two successive
	// holders of a duty.
	HandoverDelay time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// StableWindow is the time after a disturbance of an entry or its connections for which the
	// bounds don't hold for it; zero is 3 s.
	StableWindow time.Duration
	// Evacuation is the time after which no request may reach an endpoint in an evacuated
	// availability zone. It is 0 where operators evacuate none.
	Evacuation time.Duration
	// In any second, a cold endpoint may receive ColdOvershoot times the rate of its
	// service's plan, plus ColdSlack requests, from all entries together.
	ColdOvershoot, ColdSlack float64
	// Entries is the assumed number of entries until their records are read.
	Entries int
}

// A Config configures an Edge. All fields must be set unless they are documented
// as optional.
type Config struct {
	ID          wick.EntryID
	Incarnation wick.Incarnation
	Zone        wick.Zone
	// Regions maps each availability zone to its region. It may be nil.
	Regions map[wick.Zone]wick.Region
	Store   wick.Store
	// StaleReads is Store with cheaper reads that may be seconds out of date. It
	// is nil if the store has none.
	StaleReads wick.Store
	Dialect    wick.Dialect
	Mover      wick.Mover
	// Loads may be nil if endpoints don't report their load.
	Loads wick.LoadReader
	// Prober may be nil if endpoints don't list their runs.
	Prober  wick.RunProber
	Catalog wick.Catalog
	// Duties may be nil: the entry then never holds the control duty.
	Duties wick.Duties
	Orders wick.VersionOrders
	Kinds  Kinds
	Bounds Bounds
	// The listen addresses are "host:port". AdminAddr and PeerAddr may be "", which
	// disables the listener.
	CallerAddr, ReadyAddr, AdminAddr, PeerAddr string
	MaxConnections                             int
	// Memory is that of the machine in bytes; zero is unknown.
	Memory int64
	// IDHeader is the request header with the request's id, for log lines; it may be "".
	IDHeader string
}

// An Edge is an entry.
type Edge struct {
	cfg        Config
	plans      plan.Current
	planObject planObject
	backends   *feed.Follower
	config     *feed.Follower
	members    *feed.Follower
	pool       *pool.Pool
	// costs estimates the work of requests from earlier ones.
	costs         cost.Learner
	roster        *roster.Roster
	quotas        quotas
	peers         atomic.Pointer[peer.Transport]
	rollouts      *rollouts
	orders        *feed.Follower
	evacuations   evacuations
	paces         zonePaces
	moves         *feed.Follower
	budget        retry.Budget
	tally         usage.Tally
	client        wire.Client
	leases        *lease.Keeper
	informants    informants
	relayed       relayedRecords
	crashes       crashes
	outage        feed.Outage
	relay         *relay.Server
	ready         *readyServer
	admin         admin.Server
	initialCounts initialCounts
	// restored receives a value when the store was restored from an older copy.
	restored chan struct{}
	// heartbeat counts the writes of the entry's record.
	heartbeat atomic.Uint64
}

// New returns an Edge, which serves once Run is called.
func New(cfg Config) *Edge {
	edg := &Edge{cfg: cfg, pool: pool.New(cfg.Zone), roster: roster.New(cfg.Store, cfg.ID), restored: make(chan struct{}, 1)}
	edg.pool.SetNewLimitShare(1 / float64(max(cfg.Bounds.Entries, 1)))
	edg.budget = retry.Budget{Ratio: retryMargin * cfg.Bounds.RetryRatio, Capacity: edg.retryCapacity(cfg.Bounds.Entries)}
	trm := quota.Tolerance{Overshoot: cfg.Bounds.QuotaOvershoot, Slack: cfg.Bounds.QuotaSlack, Window: cfg.Bounds.QuotaWindow}
	edg.quotas = quotas{edg: edg, book: quota.Allocation{Tolerance: trm}, reserve: quota.Reserve{Tolerance: trm}}
	edg.tally.Window = cfg.Bounds.UsageWindow
	edg.client = wire.Client{
		DialTimeout: endpointDialTimeout, ConnTimeout: endpointDialTimeout, IdleTimeout: min(endpointIdleTimeout, edg.silenceBound()), Meter: "endpoints",
	}
	edg.config = &feed.Follower{Store: cfg.Store, Kind: cfg.Kinds.Plan, Handler: &planHandler{edg}}
	edg.backends = &feed.Follower{
		Store: cfg.Store, Kind: cfg.Kinds.Backend, Handler: &backendHandler{edg: edg}, WatchTimeout: edg.silenceBound,
		Pause: edg.backendInterval, Lagging: cfg.StaleReads, MayLag: edg.informed, CurrentLists: true,
	}
	edg.members = &feed.Follower{Store: cfg.Store, Kind: wick.KindMember, Handler: &memberHandler{edg.roster, edg}, Pause: edg.memberInterval, WatchTimeout: edg.silenceBound, CurrentLists: true}
	edg.members.Lagging, edg.members.MayLag = cfg.StaleReads, edg.allowStale
	edg.rollouts = newRollouts(edg)
	edg.crashes = crashes{edg: edg, wake: make(chan struct{}, 1)}
	edg.orders = &feed.Follower{Store: cfg.Store, Kind: cfg.Kinds.VersionOrder, Handler: &orderHandler{edg.rollouts.handleOrder, edg}}
	edg.moves = &feed.Follower{Store: cfg.Store, Kind: wick.KindMove, Handler: feed.Each(edg.rollouts.handleRecord), Active: edg.rollouts.anyInProgress}
	edg.pool.SetRegions(cfg.Regions)
	edg.evacuations.init(edg)
	for _, fol := range edg.followers() {
		if fol.Active == nil {
			// One that is inactive while it fails would never end its outage.
			fol.Outage = &edg.outage
		}
		if fol.WatchTimeout == nil {
			fol.WatchTimeout = edg.watchTimeout
		}
	}
	edg.leases = lease.NewKeeper(cfg.Store, cfg.ID, cfg.Incarnation,
		func() []wick.Member { return edg.roster.Members(time.Now(), memberTimeout) },
		edg.eligibleDuties,
		lease.WithTiming(leaseTiming))
	return edg
}

// followers returns all that watch the store.
func (edg *Edge) followers() []*feed.Follower {
	return []*feed.Follower{edg.config, edg.backends, edg.members, edg.orders, edg.moves, &edg.evacuations.fol}
}

// dutyCandidates is the number of entries that compete for a duty. Further
// candidates would only add reads of the lease.
const dutyCandidates = 3

// eligibleDuties returns the duties that this entry should hold or compete for.
func (edg *Edge) eligibleDuties(mems []wick.Member) []wick.Duty {
	duties := []wick.Duty{DutyControl}
	if edg.leases.Retains(DutyControl) || len(mems) <= dutyCandidates {
		return duties
	}
	for _, mem := range place.Rank(string(DutyControl), mems)[:dutyCandidates] {
		if mem.ID == edg.cfg.ID {
			return duties
		}
	}
	return nil
}

// scaledInterval returns least scaled by the number of entries, and at most limit.
func (edg *Edge) scaledInterval(least, limit time.Duration) time.Duration {
	num := len(edg.roster.Alive(time.Now(), memberTimeout, false))
	return min(least*time.Duration(max(num, minIntervalEntries))/minIntervalEntries, limit)
}

// allowStale reports whether the other entries' records may be read with stale
// reads. The holder of the control duty needs current records, since it reports
// the entries' usage counts, and all entries need them during a rollout, since
// the evidence for the version is in the records.
func (edg *Edge) allowStale() bool {
	_, holds := edg.leases.Holds(DutyControl)
	return !holds && !edg.rollouts.anyInProgress()
}

// backendInterval returns the interval of reads of the registry.
func (edg *Edge) backendInterval() time.Duration {
	if edg.isLoadPoller() {
		return minBackendInterval
	}
	return edg.scaledInterval(minBackendInterval, maxBackendInterval)
}

// memberInterval returns the interval of reads and writes of the entries' records.
func (edg *Edge) memberInterval() time.Duration {
	return edg.scaledInterval(minMemberInterval, maxMemberInterval)
}

// retryMargin is the fraction of the agreed retry budget that the entries use,
// since their windows don't coincide with those of the agreed bound.
const retryMargin = 0.8

// retryCapacity returns this entry's part of the retry budget's capacity.
func (edg *Edge) retryCapacity(entries int) float64 {
	return retryMargin * edg.cfg.Bounds.RetryCapacity / float64(max(entries, 1))
}

// Run serves until ctx is cancelled, then drains and returns.
func (edg *Edge) Run(ctx context.Context) error {
	if err := edg.listen(ctx); err != nil {
		return err
	}
	// The background loops keep running while the entry drains.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var grp errgroup.Group
	for _, loop := range []func(context.Context){
		edg.config.Run, edg.backends.Run, edg.members.Run, edg.publishLoop, edg.allocationLoop, edg.peerLoop,
		edg.orders.Run, edg.moves.Run, edg.rollouts.run, edg.loadLoop, edg.crashes.run, edg.evacuations.run,
	} {
		grp.Go(func() error { loop(loopCtx); return nil })
	}
	dutyCtx, stopDuties := context.WithCancel(loopCtx)
	defer stopDuties()
	if edg.cfg.Duties != nil {
		grp.Go(func() error { edg.leases.Run(dutyCtx); return nil })
		grp.Go(func() error { edg.usageLoop(dutyCtx); return nil })
		grp.Go(func() error { edg.sweepLoop(dutyCtx); return nil })
		grp.Go(func() error { edg.scaleLoop(dutyCtx); return nil })
	}
	served := make(chan error, 1)
	go func() { served <- edg.relay.Serve() }()
	log.WithFields(logrus.Fields{"id": edg.cfg.ID, "zone": edg.cfg.Zone, "incarnation": edg.cfg.Incarnation}).Info(logs.MsgStarted)
	select {
	case err := <-served:
		return eris.Wrap(err, "edge: caller server failed")
	case <-ctx.Done():
	}
	stopDuties()
	edg.drain()
	stop()
	_ = grp.Wait() // the loops return no errors
	log.Info(logs.MsgStopped)
	return nil
}

// listen starts the caller, readiness and admin listeners.
func (edg *Edge) listen(ctx context.Context) error {
	var lcf net.ListenConfig
	lis, err := lcf.Listen(ctx, "tcp", edg.cfg.CallerAddr)
	if err != nil {
		return eris.Wrap(err, "edge: listen for callers")
	}
	edg.relay = relay.New(relay.Config{
		Listener: lis, MaxConnections: edg.cfg.MaxConnections, Memory: edg.cfg.Memory, Dialect: edg.cfg.Dialect, Plans: &edg.plans,
		Pool: edg.pool, Quotas: &edg.quotas, Versions: edg.rollouts, Mover: edg.cfg.Mover, Prober: edg.cfg.Prober, Crashes: &edg.crashes, Views: views{edg}, Costs: &edg.costs, Budget: &edg.budget, Client: &edg.client, Meter: &edg.tally,
		IDHeader: edg.cfg.IDHeader, PlanConfirmed: edg.planConfirmed, EndpointLeaves: edg.announceLeaving,
		RegistryAge: func() time.Duration { return time.Since(edg.backends.LastSuccess()) },
	})
	edg.ready, err = newReadyServer(ctx, edg.cfg.ReadyAddr)
	if err != nil {
		return err
	}
	edg.ready.needsEvacuations.Store(edg.evacuations.enabled)
	if edg.cfg.AdminAddr == "" {
		return nil
	}
	edg.admin.Gather = edg.updateGauges
	edg.admin.Add("pool", func() any { return edg.pool.Summaries() })
	edg.admin.Add("leases", func() any { return edg.leases.Dump() })
	edg.admin.Add("crashes", func() any { return edg.crashes.tracker.Record(time.Now()) })
	edg.admin.Add("members", func() any { return edg.roster.All() })
	edg.admin.AddQuery(WherePath, edg.where)
	return eris.Wrap(edg.admin.Start(edg.cfg.AdminAddr), "edge")
}

// planConfirmed reports whether the store confirmed the plan within planMaxAge.
func (edg *Edge) planConfirmed() bool {
	return time.Since(edg.config.LastSuccess()) < planMaxAge
}
