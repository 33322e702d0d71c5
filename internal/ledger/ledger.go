// Package ledger grants claims, so that a call that is not idempotent is
// executed at most once. A claim is durable in the platform before the call is
// sent, and only the attempt that was granted it may send.
package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "ledger")

const (
	// DefaultShards is the number of shards unless the bundle sets another.
	DefaultShards = 8
	// InlineReplyBytes is the largest reply, as encoded, that is stored in the
	// segment itself. A larger one is an object of its own, which costs one
	// more write.
	InlineReplyBytes = 1 << 10
	// MaxReplyBytes is the largest reply that is recorded. With base64 its
	// object stays below wick.MaxObjectBytes. The outcome of a call with a
	// larger reply is recorded as unknown.
	MaxReplyBytes = 512 << 10
	// MaxKeyBytes is the largest idempotency key.
	MaxKeyBytes = 256

	// segmentBytes is below the limit of 900 KB for a segment because every
	// write carries the whole open segment.
	segmentBytes = 256 << 10
	// segmentAge bounds how long beyond the retention a claim is kept.
	segmentAge = time.Hour
	// runningFor is longer than the deadline of any call that is not a model
	// call.
	runningFor   = 60 * time.Second
	claimTimeout = 5 * time.Second
	// peerTimeout leaves time for other paths when a peer does not respond.
	peerTimeout = 1200 * time.Millisecond
	// suspectTimeout is how long an unresponsive owner is skipped, which saves
	// most claims the peerTimeout.
	suspectTimeout = 2 * time.Second
	// maxRelays bounds the peers that are tried when neither the owner nor the
	// platform can be reached.
	maxRelays = 2
)

type settings struct {
	clk          wick.Clock
	shards       int
	segmentBytes int
	segmentAge   time.Duration
	runningFor   time.Duration
}

// A Ledger implements wick.Ledger on the platform's objects. An attempt id is
// used for one call only; a repeated Claim with it after an error is allowed.
type Ledger struct {
	sto     wick.Store
	peers   wick.Peers
	id      wick.EntryID
	inc     wick.Incarnation
	cfg     settings
	owner   func(shd wick.Shard) (wick.Member, bool)
	members func() []wick.Member
	shards  []*shard

	mu     sync.Mutex
	counts map[string]int64
	// suspectUntil maps an owner that did not respond to the time until which
	// it is skipped.
	suspectUntil map[wick.EntryID]time.Time
}

var _ wick.Ledger = (*Ledger)(nil)

// An Option configures a Ledger.
type Option func(led *Ledger)

// WithClock replaces the system clock.
func WithClock(clk wick.Clock) Option { return func(led *Ledger) { led.cfg.clk = clk } }

// WithShards sets the number of shards. All entries must use the same number
// and never change it, because it determines the shard of a key.
func WithShards(num int) Option { return func(led *Ledger) { led.cfg.shards = max(num, 1) } }

// WithPeers sets the transport to other entries, the function that returns the
// likely owner of a shard, and the one that lists the members. A wrong owner
// causes write conflicts but never a second grant.
func WithPeers(peers wick.Peers, owner func(shd wick.Shard) (wick.Member, bool), members func() []wick.Member) Option {
	return func(led *Ledger) { led.peers, led.owner, led.members = peers, owner, members }
}

// WithSegments sets the size in bytes and the age at which a segment is sealed.
func WithSegments(size int, age time.Duration) Option {
	return func(led *Ledger) { led.cfg.segmentBytes, led.cfg.segmentAge = min(size, segmentBytes), age }
}

// WithRunningFor sets how long a claim without an outcome is reported as
// running rather than unknown.
func WithRunningFor(dur time.Duration) Option { return func(led *Ledger) { led.cfg.runningFor = dur } }

// New returns the ledger of one entry process.
func New(sto wick.Store, id wick.EntryID, inc wick.Incarnation, opts ...Option) *Ledger {
	led := &Ledger{
		sto: sto, id: id, inc: inc, counts: make(map[string]int64), suspectUntil: make(map[wick.EntryID]time.Time),
		cfg: settings{
			clk: wick.SystemClock{}, shards: DefaultShards,
			segmentBytes: segmentBytes, segmentAge: segmentAge, runningFor: runningFor,
		},
		owner:   func(wick.Shard) (wick.Member, bool) { return wick.Member{}, false },
		members: func() []wick.Member { return nil },
	}
	for _, opt := range opts {
		opt(led)
	}
	dec := &decider{machine: newMachine(), runningFor: led.cfg.runningFor}
	led.shards = make([]*shard, led.cfg.shards)
	for num := range led.shards {
		led.shards[num] = newShard(sto, wick.Shard(num), &led.cfg, dec) //nolint:gosec // small
	}
	return led
}

// Claim requests permission to send a call. A call without a key is granted
// without a record, since it is never retried. During an outage a call to
// endpoints that deduplicate is granted without a record too.
func (led *Ledger) Claim(ctx context.Context, query wick.ClaimQuery) (wick.ClaimResult, error) {
	if query.Key == "" {
		return wick.ClaimResult{State: wick.ClaimGranted}, nil
	}
	if len(query.Key) > MaxKeyBytes || query.Attempt == "" {
		return wick.ClaimResult{}, eris.Wrap(wick.ErrInvalid, "ledger: claim has no attempt or its key is too long")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res, err := led.routeClaim(ctx, query)
	if err != nil && query.Deduplicates && errors.Is(err, wick.ErrUnavailable) {
		led.count("grantedUnrecorded")
		return wick.ClaimResult{State: wick.ClaimGranted}, nil
	}
	if err != nil {
		led.count("refused")
		log.WithError(err).WithField("customer", query.Customer).Warn("ledger: claim refused")
		return wick.ClaimResult{}, err
	}
	led.count(string(res.State))
	return res, nil
}

// Record stores the outcome of a granted claim. After an error the claim is
// reported as running and then as unknown; the caller may repeat the record.
func (led *Ledger) Record(ctx context.Context, query wick.ClaimQuery, out wick.ClaimOutcome) error {
	if query.Key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := led.routeOutcome(ctx, query, out)
	if err != nil {
		led.count("recordFailed")
		log.WithError(err).WithField("customer", query.Customer).Warn("ledger: record failed")
	}
	return err
}

func (led *Ledger) newRequest(query *wick.ClaimQuery, from wick.EntryID, inc wick.Incarnation) *request {
	key := digestOf(string(query.Customer), string(query.Key))
	return &request{
		shard:       wick.Shard(key.bits() % uint64(len(led.shards))), //nolint:gosec // small
		key:         key,
		fingerprint: digestOf(string(query.Service), string(query.Fingerprint)),
		owner:       digestOf(string(query.Attempt), string(from), formatIncarnation(inc)),
		dedup:       query.Deduplicates,
	}
}

func (led *Ledger) count(name string) {
	metrics.GetOrRegisterCounter("ledger."+name, nil).Inc(1)
	led.mu.Lock()
	defer led.mu.Unlock()
	led.counts[name]++
}

// suspected reports whether a call to the entry failed within the last
// suspectTimeout.
func (led *Ledger) suspected(id wick.EntryID) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	until, ok := led.suspectUntil[id]
	if ok && !led.cfg.clk.Now().Before(until) {
		delete(led.suspectUntil, id)
		return false
	}
	return ok
}

func (led *Ledger) suspect(id wick.EntryID) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.suspectUntil[id] = led.cfg.clk.Now().Add(suspectTimeout)
}

// A ShardDump is the state of one shard in a state dump.
type ShardDump struct {
	Shard     wick.Shard `json:"shard"`
	Queued    int        `json:"queued"`
	Batches   int64      `json:"batches"`
	Conflicts int64      `json:"conflicts"`
	Failures  int64      `json:"failures"`
}

// A Dump is the state of a ledger.
type Dump struct {
	Shards []ShardDump      `json:"shards"`
	Counts map[string]int64 `json:"counts"`
}

// Dump returns the state of the ledger.
func (led *Ledger) Dump() Dump {
	out := Dump{Counts: make(map[string]int64)}
	led.mu.Lock()
	for name, num := range led.counts {
		out.Counts[name] = num
	}
	led.mu.Unlock()
	for num, shd := range led.shards {
		shd.mu.Lock()
		out.Shards = append(out.Shards, ShardDump{
			Shard: wick.Shard(num), Queued: len(shd.queue), //nolint:gosec // small
			Batches: shd.batches, Conflicts: shd.conflicts, Failures: shd.failures,
		})
		shd.mu.Unlock()
	}
	return out
}
