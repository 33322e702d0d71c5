// Package route chooses endpoints for attempts. Its inputs are VM lists, load
// reports, cache events, leaving notices and outcomes. It does no I/O.
package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/qmuntal/stateless"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	tableShards = 32
	// leavingRetention is how long the leaving set keeps a VM as a tombstone
	// after the VM was last listed.
	leavingRetention = 10 * time.Minute
	// goneRetention is how long an endpoint in StateGone stays in the table,
	// so that a VM that an incomplete list lacked keeps its entries in the
	// prefix index, which refers to the endpoint.
	goneRetention           = time.Minute
	defaultFirstTokenTarget = time.Second
)

// A Notice reports that an endpoint is leaving.
type Notice struct {
	VM     wick.VMID `cbor:"vm" json:"vm"`
	Since  time.Time `cbor:"since" json:"since"`
	Source string    `cbor:"source" json:"source"`
}

// A shard holds a part of the endpoints, guarded by one lock.
type shard struct {
	mu  sync.Mutex
	eps map[wick.VMID]*endpoint
	// leaving holds a tombstone for each leaving VM. It is removed only
	// leavingRetention after the VM was last listed.
	leaving map[wick.VMID]Notice
	// lastListed is when a leaving VM was last in the list.
	lastListed map[wick.VMID]time.Time
}

// A Table is a wick.Router over the endpoints of an entry. Use New to create
// one.
type Table struct {
	zone     wick.Zone
	seed     uint64
	clock    wick.Clock
	checker  *invar.Checker
	versions wick.VersionChooser
	policy   policy
	machine  *stateless.StateMachine
	prefixes *prefixIndex
	rnd      atomic.Uint64

	shards [tableShards]shard
	// updateMu serialises updates of the pools.
	updateMu sync.Mutex
	pools    atomic.Pointer[map[poolKey]*pool]
	dirty    atomic.Bool
	bands    atomic.Pointer[map[bandKey]wick.LoadBand]
	// ejectMu serialises ejections, so that concurrent ones can't exceed the
	// bound on ejected endpoints of a pool.
	ejectMu sync.Mutex

	infoMu  sync.RWMutex
	targets map[wick.Service]target
	delays  map[wick.Zone]time.Duration
	// activeVersions is the default version of each service, used unless the
	// rollout of another version selects that one for a request.
	activeVersions map[wick.Service]wick.ModelVersion
	// stoppedVersions receive no attempts until a newer bundle allows them.
	stoppedVersions map[poolKey]bool
	// pendingNotices were raised here and not yet collected for the peers.
	pendingNotices []Notice
}

var _ wick.Router = (*Table)(nil)

type bandKey struct {
	service wick.Service
	zone    wick.Zone
}

// An Option configures a Table.
type Option func(tab *Table)

// WithClock sets the clock.
func WithClock(clk wick.Clock) Option { return func(tab *Table) { tab.clock = clk } }

// WithVersions sets the chooser of versions for services with a move in
// progress.
func WithVersions(ver wick.VersionChooser) Option { return func(tab *Table) { tab.versions = ver } }

// WithChecker sets the checker that receives invariant violations.
func WithChecker(chk *invar.Checker) Option { return func(tab *Table) { tab.checker = chk } }

// WithRoundRobin selects round-robin routing without prefix affinity, the
// baseline of benchmarks, in place of the latency prediction.
func WithRoundRobin() Option { return func(tab *Table) { tab.policy = roundRobin{} } }

// WithPrefixBlocks sets the maximum number of blocks in the prefix index.
func WithPrefixBlocks(blocks int) Option {
	return func(tab *Table) { tab.prefixes = newPrefixIndex(blocks) }
}

// New returns an empty table for the entry self in a zone.
func New(self wick.EntryID, zone wick.Zone, opts ...Option) *Table {
	tab := &Table{
		zone: zone, seed: xxhash.Sum64String(string(self)), clock: wick.SystemClock{},
		checker: &invar.Checker{}, policy: leastLatency{}, machine: newMachine(),
		prefixes:        newPrefixIndex(defaultPrefixBlocks),
		targets:         make(map[wick.Service]target),
		delays:          make(map[wick.Zone]time.Duration),
		activeVersions:  make(map[wick.Service]wick.ModelVersion),
		stoppedVersions: make(map[poolKey]bool),
	}
	tab.rnd.Store(tab.seed)
	for idx := range tab.shards {
		tab.shards[idx] = shard{
			eps:        make(map[wick.VMID]*endpoint),
			leaving:    make(map[wick.VMID]Notice),
			lastListed: make(map[wick.VMID]time.Time),
		}
	}
	tab.pools.Store(&map[poolKey]*pool{})
	tab.bands.Store(&map[bandKey]wick.LoadBand{})
	for _, opt := range opts {
		opt(tab)
	}
	return tab
}

func (tab *Table) shard(vid wick.VMID) *shard {
	return &tab.shards[xxhash.Sum64String(string(vid))%tableShards]
}

// findLocked returns the endpoint with its shard locked, or nil with the shard
// unlocked.
func (tab *Table) findLocked(vid wick.VMID) *endpoint {
	shd := tab.shard(vid)
	shd.mu.Lock()
	if ep := shd.eps[vid]; ep != nil {
		return ep
	}
	shd.mu.Unlock()
	return nil
}

// A target holds the latency targets of a service. Zero means no target.
type target struct{ firstToken, betweenTokens time.Duration }

// SetBundle applies the active versions and latency targets of a bundle.
func (tab *Table) SetBundle(bun *bundle.Bundle) {
	tab.infoMu.Lock()
	defer tab.infoMu.Unlock()
	for _, svc := range bun.Services {
		tab.targets[svc.Name] = target{
			firstToken:    max(svc.Targets.FirstTokenMillis, svc.Targets.ReplyMillis).Duration(),
			betweenTokens: svc.Targets.BetweenTokensMillis.Duration(),
		}
		tab.activeVersions[svc.Name] = svc.Active
	}
}

// activeVersion returns the active version of a service, "" before the first
// bundle.
func (tab *Table) activeVersion(svc wick.Service) wick.ModelVersion {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.activeVersions[svc]
}

// AllowVersion reverses StopVersion. The entry calls it when a newer bundle
// names the version in a move that was not stopped.
func (tab *Table) AllowVersion(svc wick.Service, ver wick.ModelVersion) {
	tab.infoMu.Lock()
	key := poolKey{service: svc, version: ver}
	wasStopped := tab.stoppedVersions[key]
	delete(tab.stoppedVersions, key)
	tab.infoMu.Unlock()
	if wasStopped {
		tab.updateMu.Lock()
		tab.rebuild()
		tab.updateMu.Unlock()
	}
}

func (tab *Table) firstTokenTarget(svc wick.Service) time.Duration {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	if tgt := tab.targets[svc]; tgt.firstToken > 0 {
		return tgt.firstToken
	}
	return defaultFirstTokenTarget
}

// late reports whether a complete answer missed one of the service's latency
// targets.
func (tab *Table) late(svc wick.Service, out wick.Outcome) bool {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	tgt := tab.targets[svc]
	return out.Err == nil && (tgt.firstToken > 0 && out.FirstToken > tgt.firstToken || tgt.betweenTokens > 0 && out.BetweenTokens > tgt.betweenTokens)
}

func (tab *Table) isStopped(svc wick.Service, ver wick.ModelVersion) bool {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.stoppedVersions[poolKey{service: svc, version: ver}]
}

// StopVersion stops assigning attempts to a version and signals its running
// attempts to migrate.
func (tab *Table) StopVersion(svc wick.Service, ver wick.ModelVersion) {
	tab.infoMu.Lock()
	wasStopped := tab.stoppedVersions[poolKey{service: svc, version: ver}]
	tab.stoppedVersions[poolKey{service: svc, version: ver}] = true
	tab.infoMu.Unlock()
	if wasStopped {
		return
	}
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			if ep.vm.Service != svc || !servesVersion(ep.vm.Versions, ver) {
				continue
			}
			ep.signalEvacuation()
			if ep.state != StateLeaving && ep.state != StateGone && len(ep.vm.Versions) > 1 {
				// The endpoint's other versions stay in service: later attempts
				// wait on a new channel.
				ep.evacuation = make(chan struct{})
			}
		}
		shd.mu.Unlock()
	}
	tab.updateMu.Lock()
	tab.rebuild()
	tab.updateMu.Unlock()
}

func servesVersion(vers []wick.ModelVersion, ver wick.ModelVersion) bool {
	for _, served := range vers {
		if served == ver {
			return true
		}
	}
	return false
}

// closedEvacuation is returned for endpoints that are not in the table.
var closedEvacuation = func() chan struct{} {
	out := make(chan struct{})
	close(out)
	return out
}()

// Evacuation returns a channel that is closed when running attempts must migrate
// from the endpoint to another one.
func (tab *Table) Evacuation(vid wick.VMID) <-chan struct{} {
	ep := tab.findLocked(vid)
	if ep == nil {
		return closedEvacuation
	}
	defer ep.shd.mu.Unlock()
	return ep.evacuation
}

// An EndpointStatus describes one endpoint in the state dump.
type EndpointStatus struct {
	VM       wick.VMID     `json:"vm"`
	Zone     wick.Zone     `json:"zone"`
	Service  wick.Service  `json:"service"`
	State    State         `json:"state"`
	InFlight int           `json:"own"`
	Load     int           `json:"load"`
	Slots    int           `json:"slots"`
	ReportAt time.Time     `json:"reportAt"`
	Wait     time.Duration `json:"wait"`
}

// Status returns the status of all endpoints for the state dump.
func (tab *Table) Status() []EndpointStatus {
	var out []EndpointStatus
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			out = append(out, EndpointStatus{
				VM: ep.vid, Zone: ep.vm.Zone, Service: ep.vm.Service, State: ep.state, InFlight: ep.inFlight,
				Load: ep.load(), Slots: ep.report.Slots, ReportAt: ep.reportAt, Wait: ep.wait(),
			})
		}
		shd.mu.Unlock()
	}
	return out
}
