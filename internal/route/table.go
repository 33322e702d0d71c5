// Package route chooses endpoints for attempts. It is fed with VM lists, load
// reports, cache events, leaving notices and outcomes, and does no I/O.
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
	// leavingKept is how long the leaving set keeps a VM that the list no
	// longer shows.
	leavingKept = 10 * time.Minute
	// goneKept is how long an endpoint that is gone stays in the table, so
	// that a wrong list does not lose what was learnt about it.
	goneKept      = time.Minute
	defaultTarget = time.Second
)

// A Notice tells that an endpoint is leaving.
type Notice struct {
	VM     wick.VMID `cbor:"vm" json:"vm"`
	Since  time.Time `cbor:"since" json:"since"`
	Source string    `cbor:"source" json:"source"`
}

// A shard holds part of the endpoints under one lock.
type shard struct {
	mu  sync.Mutex
	eps map[wick.VMID]*endpoint
	// leaving is a grow-only set: an entry is removed only long after the
	// VM has gone from the list.
	leaving map[wick.VMID]Notice
	// lastListed is when the list last showed a leaving VM.
	lastListed map[wick.VMID]time.Time
}

// A Table is a wick.Router over the endpoints that an entry knows. Use New.
type Table struct {
	zone     wick.Zone
	seed     uint64
	clock    wick.Clock
	checker  *invar.Checker
	versions wick.Versions
	policy   policy
	machine  *stateless.StateMachine
	prefixes *prefixIndex
	rnd      atomic.Uint64

	shards [tableShards]shard
	// feedMu serialises feeds that change pools.
	feedMu sync.Mutex
	pools  atomic.Pointer[map[poolKey]*pool]
	dirty  atomic.Bool
	bands  atomic.Pointer[map[bandKey]wick.LoadBand]
	// ejectMu serialises ejections, so that their bound holds.
	ejectMu sync.Mutex

	infoMu  sync.RWMutex
	targets map[wick.Service]target
	delays  map[wick.Zone]time.Duration
	// active holds the version of each service that serves outside of moves.
	active map[wick.Service]wick.ModelVersion
	// stopped holds versions that get nothing until a newer bundle allows them.
	stopped map[poolKey]bool
	// notices were learnt here and not yet taken for the peers.
	notices []Notice
}

var _ wick.Router = (*Table)(nil)

type bandKey struct {
	service wick.Service
	zone    wick.Zone
}

// An Option changes a Table.
type Option func(tab *Table)

// WithClock sets the clock.
func WithClock(clk wick.Clock) Option { return func(tab *Table) { tab.clock = clk } }

// WithVersions sets what chooses versions for services under a move.
func WithVersions(ver wick.Versions) Option { return func(tab *Table) { tab.versions = ver } }

// WithChecker sets the receiver of violations.
func WithChecker(chk *invar.Checker) Option { return func(tab *Table) { tab.checker = chk } }

// WithRoundRobin replaces the prediction by a round robin without prefix
// affinity, the baseline of measurements.
func WithRoundRobin() Option { return func(tab *Table) { tab.policy = roundRobin{} } }

// WithPrefixBlocks bounds the prefix index.
func WithPrefixBlocks(blocks int) Option {
	return func(tab *Table) { tab.prefixes = newPrefixIndex(blocks) }
}

// New returns an empty table of the entry self in a zone.
func New(self wick.EntryID, zone wick.Zone, opts ...Option) *Table {
	tab := &Table{
		zone: zone, seed: xxhash.Sum64String(string(self)), clock: wick.SystemClock{},
		checker: &invar.Checker{}, policy: predicted{}, machine: newMachine(),
		prefixes: newPrefixIndex(defaultPrefixBlocks),
		targets:  make(map[wick.Service]target),
		delays:   make(map[wick.Zone]time.Duration),
		active:   make(map[wick.Service]wick.ModelVersion),
		stopped:  make(map[poolKey]bool),
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

// find returns the endpoint with its shard locked, or nil with it unlocked.
func (tab *Table) find(vid wick.VMID) *endpoint {
	shd := tab.shard(vid)
	shd.mu.Lock()
	if ep := shd.eps[vid]; ep != nil {
		return ep
	}
	shd.mu.Unlock()
	return nil
}

// A target holds the latency targets of a service; zero is none.
type target struct{ first, between time.Duration }

// SetBundle takes the active versions and latency targets of a bundle.
func (tab *Table) SetBundle(bun *bundle.Bundle) {
	tab.infoMu.Lock()
	defer tab.infoMu.Unlock()
	for _, svc := range bun.Services {
		tab.targets[svc.Name] = target{
			first:   max(svc.Targets.FirstTokenMillis, svc.Targets.ReplyMillis).Duration(),
			between: svc.Targets.BetweenTokensMillis.Duration(),
		}
		tab.active[svc.Name] = svc.Active
	}
}

// activeVersion returns the version that serves outside of moves, "" before
// the first bundle.
func (tab *Table) activeVersion(svc wick.Service) wick.ModelVersion {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.active[svc]
}

// AllowVersion takes back the stop of a version, because a newer bundle names
// it in a move that was not stopped.
func (tab *Table) AllowVersion(svc wick.Service, ver wick.ModelVersion) {
	tab.infoMu.Lock()
	key := poolKey{service: svc, version: ver}
	known := tab.stopped[key]
	delete(tab.stopped, key)
	tab.infoMu.Unlock()
	if known {
		tab.feedMu.Lock()
		tab.rebuild()
		tab.feedMu.Unlock()
	}
}

func (tab *Table) target(svc wick.Service) time.Duration {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	if tgt := tab.targets[svc]; tgt.first > 0 {
		return tgt.first
	}
	return defaultTarget
}

// late reports whether a complete answer missed the service's targets.
func (tab *Table) late(svc wick.Service, out wick.Outcome) bool {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	tgt := tab.targets[svc]
	return out.Err == nil && (tgt.first > 0 && out.FirstToken > tgt.first || tgt.between > 0 && out.BetweenTokens > tgt.between)
}

func (tab *Table) isStopped(svc wick.Service, ver wick.ModelVersion) bool {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.stopped[poolKey{service: svc, version: ver}]
}

// StopVersion sends nothing more to a version and moves its running work.
func (tab *Table) StopVersion(svc wick.Service, ver wick.ModelVersion) {
	tab.infoMu.Lock()
	known := tab.stopped[poolKey{service: svc, version: ver}]
	tab.stopped[poolKey{service: svc, version: ver}] = true
	tab.infoMu.Unlock()
	if known {
		return
	}
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			if ep.vm.Service != svc || !serves(ep.vm.Versions, ver) {
				continue
			}
			ep.closeMoving()
			if ep.state != StateLeaving && ep.state != StateGone && len(ep.vm.Versions) > 1 {
				// Work of the endpoint's other versions goes on later.
				ep.moving = make(chan struct{})
			}
		}
		shd.mu.Unlock()
	}
	tab.feedMu.Lock()
	tab.rebuild()
	tab.feedMu.Unlock()
}

func serves(vers []wick.ModelVersion, ver wick.ModelVersion) bool {
	for _, have := range vers {
		if have == ver {
			return true
		}
	}
	return false
}

// closedMoving is given for endpoints that the table does not know.
var closedMoving = func() chan struct{} {
	out := make(chan struct{})
	close(out)
	return out
}()

// Moving returns a channel that is closed when work must leave the endpoint.
func (tab *Table) Moving(vid wick.VMID) <-chan struct{} {
	ep := tab.find(vid)
	if ep == nil {
		return closedMoving
	}
	defer ep.shd.mu.Unlock()
	return ep.moving
}

// An EndpointStatus is one endpoint in the state dump.
type EndpointStatus struct {
	VM       wick.VMID     `json:"vm"`
	Zone     wick.Zone     `json:"zone"`
	Service  wick.Service  `json:"service"`
	State    State         `json:"state"`
	Own      int           `json:"own"`
	Load     int           `json:"load"`
	Slots    int           `json:"slots"`
	ReportAt time.Time     `json:"reportAt"`
	Wait     time.Duration `json:"wait"`
}

// Status lists the endpoints for the state dump.
func (tab *Table) Status() []EndpointStatus {
	var out []EndpointStatus
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			out = append(out, EndpointStatus{
				VM: ep.vid, Zone: ep.vm.Zone, Service: ep.vm.Service, State: ep.state, Own: ep.own,
				Load: ep.load(), Slots: ep.report.Slots, ReportAt: ep.reportAt, Wait: ep.wait(),
			})
		}
		shd.mu.Unlock()
	}
	return out
}
