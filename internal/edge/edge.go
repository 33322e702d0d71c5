// Package edge is one entry in front of endpoints that the platform's registry
// lists. It follows the plan, the endpoints and the other entries through the
// platform's store, passes requests through to endpoints, and takes the duty of
// the calls that one entry makes for all. It keeps nothing on its VM.
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

// DutyControl is the duty of the calls that one entry makes for all.
const DutyControl wick.Duty = "control"

const (
	// backendPause batches the changes of endpoints, whose entries change with
	// every heartbeat. With many entries, which read at different times and
	// tell each other who leaves, each reads less often.
	backendPause        = 600 * time.Millisecond
	longestBackendPause = 1600 * time.Millisecond
	// silence is how long kinds that change all the time stay silent at most.
	silence = 3 * time.Second
	// planSilence bounds how long a lost connection may hide a new plan: an
	// entry that was cut off must know it 3 s after the cut has healed.
	planSilence = 3200 * time.Millisecond
	// memberPause is the pace of the entries' records.
	memberPause        = time.Second
	longestMemberPause = 2 * time.Second
	// fewEntries is the number of entries up to which the shortest pauses hold.
	fewEntries = 6
	// planConfirmedFor is how long after the store's last answer the plan is
	// taken to be the newest.
	planConfirmedFor = 10 * time.Second
	// endpointDial bounds the time to connect to an endpoint. All are within
	// a region.
	endpointDial = 400 * time.Millisecond
	// endpointIdle is how long a connection to an endpoint is kept.
	endpointIdle = 4 * time.Second
)

// leaseTiming lets another entry take the control duty within about 6 s.
var leaseTiming = lease.Timing{Renew: 1500 * time.Millisecond, Expiry: 4500 * time.Millisecond}

// Kinds name the kinds of objects that operators and endpoints write.
type Kinds struct {
	Plan, Backend, VersionOrder wick.Kind
}

// Bounds are the figures that operators agree with the platform.
type Bounds struct {
	// RetryRatio and RetryCapacity bound the requests that are sent to
	// endpoints again, over all entries, in any RetryWindow.
	RetryRatio    float64
	RetryCapacity float64
	// QuotaOvershoot is the share by which all entries together may exceed a
	// customer's quota, QuotaSlack the units beyond that.
	QuotaOvershoot, QuotaSlack float64
	// QuotaWindow is the span over which the quota is judged.
	QuotaWindow time.Duration
	// CandidateShare of a service's requests and CandidateSlack more may reach
	// a bad version during an order.
	CandidateShare, CandidateSlack float64
	// UsageWindow is the length of a usage window, UsageDeadline the time after
	// its end by which it must be reported.
	UsageWindow, UsageDeadline time.Duration
	// HandoverDelay passes between the calls of two holders of a duty.
	HandoverDelay time.Duration
	// Grace is the time from the order to stop until the process is killed.
	GracePeriod time.Duration
	// Entries is the number of entries before any record is read.
	Entries int
}

// A Config wires an Edge. All fields must be set, but Duties may be nil.
type Config struct {
	ID          wick.EntryID
	Incarnation wick.Incarnation
	Zone        wick.Zone
	Store       wick.Store
	// Lagging reads the same objects at a lower price, seconds old perhaps; nil
	// if the store has no such reads.
	StaleReads wick.Store
	Dialect    wick.Dialect
	Mover      wick.Mover
	// Loads is nil if endpoints report no load.
	Loads wick.LoadReader
	// Prober is nil if endpoints can't be asked for their runs.
	Prober  wick.RunProber
	Catalog wick.Catalog
	Duties  wick.Duties
	Orders  wick.VersionOrders
	Kinds   Kinds
	Bounds  Bounds
	// CallerAddr, Ready, Admin and Peer are "host:port". Admin and Peer may be "".
	CallerAddr, ReadyAddr, AdminAddr, PeerAddr string
	MaxConnections                             int
}

// An Edge is one entry.
type Edge struct {
	cfg      Config
	plans    plan.Current
	backends *feed.Follower
	config   *feed.Follower
	members  *feed.Follower
	pool     *pool.Pool
	roster   *roster.Roster
	quotas   quotas
	peers    atomic.Pointer[peer.Transport]
	rollouts *rollouts
	orders   *feed.Follower
	moves    *feed.Follower
	budget   retry.Budget
	tally    usage.Tally
	client   wire.Client
	leases   *lease.Keeper
	relay    *relay.Server
	ready    *readyServer
	admin    admin.Server
	found    foundBook
	beat     atomic.Uint64
}

// New returns an edge. Run must be called.
func New(cfg Config) *Edge {
	edg := &Edge{cfg: cfg, pool: pool.New(cfg.Zone), roster: roster.New(cfg.Store, cfg.ID)}
	edg.budget = retry.Budget{Share: retryMargin * cfg.Bounds.RetryRatio, Reserve: edg.retryReserve(cfg.Bounds.Entries)}
	trm := quota.Terms{Overshoot: cfg.Bounds.QuotaOvershoot, Slack: cfg.Bounds.QuotaSlack, Window: cfg.Bounds.QuotaWindow}
	edg.quotas = quotas{edg: edg, book: quota.Book{Terms: trm}, reserve: quota.Reserve{Terms: trm}}
	edg.tally.Window = cfg.Bounds.UsageWindow
	edg.client = wire.Client{
		DialTimeout: endpointDial, ConnTimeout: endpointDial, IdleTimeout: endpointIdle, Meter: "endpoints",
	}
	edg.config = &feed.Follower{Store: cfg.Store, Kind: cfg.Kinds.Plan, Handler: &planHandler{edg}, Patience: planSilence}
	edg.backends = &feed.Follower{
		Store: cfg.Store, Kind: cfg.Kinds.Backend, Handler: &backendHandler{edg: edg}, Patience: silence,
		Pause: func() time.Duration { return edg.pace(backendPause, longestBackendPause) },
	}
	edg.members = &feed.Follower{Store: cfg.Store, Kind: wick.KindMember, Handler: edg.roster, Pause: edg.memberPause, Patience: silence}
	edg.members.Lagging, edg.members.MayLag = cfg.StaleReads, edg.mayLag
	edg.rollouts = newRollouts(edg)
	edg.orders = &feed.Follower{Store: cfg.Store, Kind: cfg.Kinds.VersionOrder, Handler: feed.Each(edg.rollouts.takeOrder)}
	edg.moves = &feed.Follower{Store: cfg.Store, Kind: wick.KindMove, Handler: feed.Each(edg.rollouts.takeRecord), Active: edg.rollouts.anyMoving}
	edg.leases = lease.NewKeeper(cfg.Store, cfg.ID, cfg.Incarnation,
		func() []wick.Member { return edg.roster.Members(time.Now(), quotaMemory) },
		edg.wants,
		lease.WithTiming(leaseTiming))
	return edg
}

// candidates is the number of entries that try to hold a duty. The others would
// only read its lease.
const candidates = 3

// wants returns the duties that this entry should hold or wait for.
func (edg *Edge) wants(mems []wick.Member) []wick.Duty {
	duties := []wick.Duty{DutyControl}
	if _, held := edg.leases.Holds(DutyControl); held || len(mems) <= candidates {
		return duties
	}
	for _, mem := range place.Rank(string(DutyControl), mems)[:candidates] {
		if mem.ID == edg.cfg.ID {
			return duties
		}
	}
	return nil
}

// pace stretches a pause with the number of entries, up to a limit.
func (edg *Edge) pace(pause, limit time.Duration) time.Duration {
	num := len(edg.roster.Alive(time.Now(), quotaMemory, false))
	return min(pause*time.Duration(max(num, fewEntries))/fewEntries, limit)
}

// memberPause is the pause between reads and writes of the entries' records.
// mayLag reports whether the other entries' records may be seconds old. They
// must be new for the holder of the control duty, which reports what the entries
// have counted, and while a version is judged by them.
func (edg *Edge) mayLag() bool {
	_, holds := edg.leases.Holds(DutyControl)
	return !holds && !edg.rollouts.anyMoving()
}

func (edg *Edge) memberPause() time.Duration { return edg.pace(memberPause, longestMemberPause) }

// retryMargin keeps the entries' retries below the agreed bound, since windows
// of the entries and of the bound do not coincide.
const retryMargin = 0.8

func (edg *Edge) retryReserve(entries int) float64 {
	return retryMargin * edg.cfg.Bounds.RetryCapacity / float64(max(entries, 1))
}

// Run serves until ctx ends, then drains and returns.
func (edg *Edge) Run(ctx context.Context) error {
	if err := edg.listen(ctx); err != nil {
		return err
	}
	// Loops go on while the entry drains.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var grp errgroup.Group
	for _, loop := range []func(context.Context){
		edg.config.Run, edg.backends.Run, edg.members.Run, edg.publishLoop, edg.shareLoop, edg.peerLoop,
		edg.orders.Run, edg.moves.Run, edg.rollouts.loop, edg.reportLoop,
	} {
		grp.Go(func() error { loop(work); return nil })
	}
	control, stopControl := context.WithCancel(work)
	defer stopControl()
	if edg.cfg.Duties != nil {
		grp.Go(func() error { edg.leases.Run(control); return nil })
		grp.Go(func() error { edg.usageLoop(control); return nil })
		grp.Go(func() error { edg.sweepLoop(control); return nil })
		grp.Go(func() error { edg.scaleLoop(control); return nil })
	}
	served := make(chan error, 1)
	go func() { served <- edg.relay.Serve() }()
	log.WithFields(logrus.Fields{"id": edg.cfg.ID, "zone": edg.cfg.Zone, "incarnation": edg.cfg.Incarnation}).Info(logs.MsgStarted)
	select {
	case err := <-served:
		return eris.Wrap(err, "edge: server ended")
	case <-ctx.Done():
	}
	stopControl()
	edg.drain()
	stop()
	_ = grp.Wait() // the loops return no errors
	log.Info(logs.MsgStopped)
	return nil
}

// listen opens the entry's addresses.
func (edg *Edge) listen(ctx context.Context) error {
	var lcf net.ListenConfig
	lis, err := lcf.Listen(ctx, "tcp", edg.cfg.CallerAddr)
	if err != nil {
		return eris.Wrap(err, "edge: listen for callers")
	}
	edg.relay = relay.New(relay.Config{
		Listener: lis, MaxConnections: edg.cfg.MaxConnections, Dialect: edg.cfg.Dialect, Plans: &edg.plans,
		Pool: edg.pool, Quotas: &edg.quotas, Versions: edg.rollouts, Mover: edg.cfg.Mover, Prober: edg.cfg.Prober, Budget: &edg.budget, Client: &edg.client, Meter: &edg.tally,
		PlanConfirmed: edg.planConfirmed,
		RegistryAge:   func() time.Duration { return time.Since(edg.backends.Answered()) },
	})
	edg.ready, err = newReadyServer(ctx, edg.cfg.ReadyAddr)
	if err != nil {
		return err
	}
	if edg.cfg.AdminAddr == "" {
		return nil
	}
	edg.admin.Gather = edg.gather
	edg.admin.Add("pool", func() any { return edg.pool.Summaries() })
	edg.admin.Add("leases", func() any { return edg.leases.Dump() })
	edg.admin.Add("members", func() any { return edg.roster.All() })
	return eris.Wrap(edg.admin.Start(edg.cfg.AdminAddr), "edge")
}

// planConfirmed reports whether the plan was lately known to be the newest.
func (edg *Edge) planConfirmed() bool {
	return time.Since(edg.config.Answered()) < planConfirmedFor
}
