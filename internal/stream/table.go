// Package stream runs the requests that an entry has accepted: it keeps the log
// of each answer, the attempts that produce it and its replica on a peer, and
// implements resume, handover and takeover. It also sends the calls of plain
// services.
package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	shardCount = 64
	// requestOverhead and eventOverhead are the memory overheads of a request
	// and of an event in the table's byte count.
	requestOverhead = 1024
	eventOverhead   = 24
	// maxTokenBytes bounds the text of one token from an endpoint.
	maxTokenBytes = 4 << 10

	defaultMaxRequests = 20000
	defaultMaxBytes    = 512 << 20

	// keepAliveInterval is the longest time between copies of a running
	// request. In a bounded membership view, heartbeats of one entry arrive up
	// to 20 s apart; without keepalives a replica took over requests that
	// waited 12 s for their first token.
	keepAliveInterval = time.Second
	// originTimeout is the failure-detection timeout after which a replica
	// takes over from its origin, as specified on the design page.
	originTimeout = 3 * time.Second
	// idleTimeout is how long a request runs without a reader.
	idleTimeout = 5 * time.Second
	// movedIdleTimeout is the idle timeout after a takeover or handover. The
	// caller first has to detect the loss of its connection.
	movedIdleTimeout = 15 * time.Second
	// retention is how long a finished request stays in the table.
	retention = 60 * time.Second
	// replicaRetention is how long a replica is kept without a new copy.
	replicaRetention = 10 * time.Minute
	sweepInterval    = 500 * time.Millisecond
)

// Members is the membership view that the table needs.
type Members interface {
	// Members returns the live entries without this one.
	Members() []wick.Member
	// LastSeen returns when the last heartbeat of the entry arrived, or the
	// zero time if it is unknown.
	LastSeen(eid wick.EntryID) time.Time
}

// A Config configures a Table. All interfaces but Clock must be set; Plain and
// Ledger only for plain calls.
type Config struct {
	Self wick.EntryID
	// Incarnation must grow with every start of the entry.
	Incarnation wick.Incarnation
	Zone        wick.Zone
	Router      wick.Router
	Admitter    wick.Admitter
	Engine      wick.Engine
	Plain       wick.PlainCaller
	Ledger      wick.Ledger
	Peers       wick.Peers
	Members     Members
	// Clock is the system's clock if nil.
	Clock wick.Clock
	// Invar counts violations; nil is a checker of the table's own.
	Invar *invar.Checker
	// Budget is the retry budget of the entry; nil is a budget of the table's
	// own with default values.
	Budget *retry.Budget
	// HedgeAfter is the delay before an idempotent plain call is hedged; 0
	// turns hedging off.
	HedgeAfter time.Duration
	// TrustsRejections reports whether an explicit rejection by the endpoint means that
	// the call did not run (bundle.Class.ReportsNotExecuted); nil trusts all.
	TrustsRejections func(vm wick.VM) bool
	// MaxRequests and MaxBytes bound the table; 0 is the default.
	MaxRequests int64
	MaxBytes    int64
}

// ablation turns off mechanisms in tests, which must then detect violations.
type ablation struct {
	attemptCheck bool
	replica      bool
	handover     bool
	phases       bool
}

// A Table contains the requests of one entry.
type Table struct {
	cfg      Config
	chk      *invar.Checker
	bud      *retry.Budget
	disabled ablation
	shards   [shardCount]shard
	// count and bytes are sums over the shards.
	count atomic.Int64
	bytes atomic.Int64
	// calls counts plain calls in flight.
	calls atomic.Int64
	// admitting counts model requests that wait for admission.
	admitting atomic.Int64

	// refuseAt is when the table starts to reject new work, in Unix
	// nanoseconds; 0 is never.
	refuseAt atomic.Int64
	draining atomic.Bool

	dirty    dirtySet
	flushNow chan struct{}
	// ctx ends when the table is closed.
	ctx  context.Context //nolint:containedctx // runners outlive the callers' contexts
	stop context.CancelFunc
	// admitCtx ends when requests that wait for admission are rejected.
	admitCtx     context.Context //nolint:containedctx // shared by all waits
	cancelAdmits context.CancelFunc
	wg           sync.WaitGroup
	// closeMu guards closed, after which wg does not grow.
	closeMu sync.Mutex
	closed  bool
}

// A shard is one partition of the table.
type shard struct {
	mu       sync.Mutex
	requests map[wick.RequestID]*Request
}

// New returns a table. Run must be called for replication, takeover and
// retention.
func New(cfg Config) *Table {
	if cfg.Clock == nil {
		cfg.Clock = wick.SystemClock{}
	}
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = defaultMaxRequests
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	tab := &Table{cfg: cfg, chk: cfg.Invar, bud: cfg.Budget, flushNow: make(chan struct{}, 1)}
	if tab.chk == nil {
		tab.chk = &invar.Checker{}
	}
	if tab.bud == nil {
		tab.bud = &retry.Budget{}
	}
	for idx := range tab.shards {
		tab.shards[idx].requests = make(map[wick.RequestID]*Request)
	}
	tab.ctx, tab.stop = context.WithCancel(context.Background())
	tab.admitCtx, tab.cancelAdmits = context.WithCancel(tab.ctx)
	return tab
}

func (tab *Table) now() time.Time { return tab.cfg.Clock.Now() }

// Run replicates events, takes over from failed origins and removes what is
// past its retention, until ctx ends or Close is called.
func (tab *Table) Run(ctx context.Context) {
	copies := time.NewTicker(copyInterval)
	defer copies.Stop()
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tab.ctx.Done():
			return
		case <-copies.C:
			tab.flush()
		case <-tab.flushNow:
			tab.flush()
		case <-sweeps.C:
			tab.sweep()
		}
	}
}

// Close cancels all work and waits for it. An orderly shutdown calls Drain
// first.
func (tab *Table) Close() {
	tab.closeMu.Lock()
	tab.closed = true
	tab.closeMu.Unlock()
	tab.stop()
	tab.wg.Wait()
}

// spawn starts a goroutine that Close waits for. It returns false after Close,
// because a WaitGroup must not grow from zero during Wait. Goroutines started
// by spawn may use the wait group directly.
func (tab *Table) spawn(fn func()) bool {
	tab.closeMu.Lock()
	defer tab.closeMu.Unlock()
	if tab.closed {
		return false
	}
	tab.wg.Go(fn)
	return true
}

func (tab *Table) shardOf(rid wick.RequestID) *shard {
	return &tab.shards[xxhash.Sum64String(string(rid))%shardCount]
}

// insert adds a request unless the table is full.
func (tab *Table) insert(req *Request) error {
	if tab.count.Add(1) > tab.cfg.MaxRequests || tab.bytes.Load()+req.bytes > tab.cfg.MaxBytes {
		tab.count.Add(-1)
		metrics.GetOrRegisterCounter("stream.full", nil).Inc(1)
		return eris.Wrap(wick.ErrBusy, "stream: table is full")
	}
	sha := tab.shardOf(req.Head.ID)
	sha.mu.Lock()
	defer sha.mu.Unlock()
	if _, ok := sha.requests[req.Head.ID]; ok {
		tab.count.Add(-1)
		return eris.Wrap(wick.ErrConflict, "stream: request id already exists")
	}
	sha.requests[req.Head.ID] = req
	tab.bytes.Add(req.bytes)
	return nil
}

func (tab *Table) remove(req *Request) {
	sha := tab.shardOf(req.Head.ID)
	sha.mu.Lock()
	_, ok := sha.requests[req.Head.ID]
	delete(sha.requests, req.Head.ID)
	sha.mu.Unlock()
	if !ok {
		return
	}
	req.mu.Lock()
	req.removed = true
	num := req.bytes
	req.mu.Unlock()
	tab.count.Add(-1)
	tab.bytes.Add(-num)
}

func (tab *Table) find(rid wick.RequestID) *Request {
	sha := tab.shardOf(rid)
	sha.mu.Lock()
	defer sha.mu.Unlock()
	return sha.requests[rid]
}

// forEach calls fun for every request, without holding a lock.
func (tab *Table) forEach(fun func(req *Request)) {
	for idx := range tab.shards {
		sha := &tab.shards[idx]
		sha.mu.Lock()
		reqs := make([]*Request, 0, len(sha.requests))
		for _, req := range sha.requests {
			reqs = append(reqs, req)
		}
		sha.mu.Unlock()
		for _, req := range reqs {
			fun(req)
		}
	}
}

// Size returns the number of requests in the table, and their bytes together
// with those of plain calls in flight.
func (tab *Table) Size() (requests, bytes int64) { return tab.count.Load(), tab.bytes.Load() }

// Counts returns the number of requests by state; replicas count as queued.
func (tab *Table) Counts() map[State]int {
	out := make(map[State]int)
	tab.forEach(func(req *Request) { out[req.State()]++ })
	return out
}

// Ready reports whether the load balancer may send new requests to the entry.
func (tab *Table) Ready() bool { return !tab.draining.Load() }

// rejectsNewWork reports whether a drain rejects new work by now.
func (tab *Table) rejectsNewWork() bool {
	at := tab.refuseAt.Load()
	return at != 0 && tab.now().UnixNano() >= at
}

// Accept admits a model request and starts it. It sets the head's ID and
// CreatedMillis. An error is always a *FailError. The request is in the table
// when Accept returns; the caller attaches a reader.
func (tab *Table) Accept(ctx context.Context, hea Head) (*Request, error) {
	if tab.rejectsNewWork() {
		return nil, refusal(wick.ErrLeaving)
	}
	hea.ID = wick.NewRequestID(tab.cfg.Self)
	hea.CreatedMillis = tab.now().UnixMilli()
	// Until it is admitted, the request is neither run nor handed over.
	req := newRequest(tab, hea)
	if err := tab.insert(req); err != nil {
		return nil, refusal(err)
	}
	tab.admitting.Add(1)
	defer tab.admitting.Add(-1)
	release, err := tab.admit(ctx, tab.admitQuery(&req.Head, false))
	if err != nil {
		tab.remove(req)
		return nil, refusal(err)
	}
	tab.start(req, release, "")
	tab.markDirty(req)
	tab.triggerFlush()
	return req, nil
}

// admit waits for the admission of new work. During a drain, cancelAdmits
// rejects what still waits.
func (tab *Table) admit(ctx context.Context, query wick.AdmitQuery) (func(wick.Outcome), error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(tab.admitCtx, cancel)()
	release, err := tab.cfg.Admitter.Admit(ctx, query)
	if tab.admitCtx.Err() == nil {
		return release, eris.Wrap(err, "stream")
	}
	if err == nil {
		release(wick.Outcome{Cancelled: true})
	}
	return nil, eris.Wrap(wick.ErrLeaving, "stream: not admitted in time")
}

// admitQuery returns the admission query for a request, with an estimated token
// count for the prompt.
func (tab *Table) admitQuery(hea *Head, accepted bool) wick.AdmitQuery {
	return wick.AdmitQuery{
		Service: hea.Service, Customer: hea.Customer, Priority: hea.Priority,
		Cost:     wick.Tokens(hea.inputBytes()/bytesPerToken) + hea.MaxTokens,
		Deadline: hea.Deadline(), Accepted: accepted,
	}
}

// sweep removes requests past their retention, cancels requests without a
// reader and takes over from failed origins.
func (tab *Table) sweep() {
	now := tab.now()
	mems := tab.cfg.Members.Members()
	tab.forEach(func(req *Request) {
		req.mu.Lock()
		var drop, cancel bool
		if req.owned && req.state != StateHandedOver {
			// Replace a replica whose entry has left even without new events,
			// and send keepalives while the replica waits for events.
			_, ok := req.target(mems)
			if ok && (!req.rep.hasHead || !req.state.final() && now.Sub(req.rep.ackedAt) >= keepAliveInterval) {
				tab.markDirty(req)
			}
		}
		switch {
		case req.state.final() || req.state == StateHandedOver:
			drop = now.Sub(req.ended) >= retention
		case req.owned:
			cancel = req.readers == 0 && now.Sub(req.idleSince) >= req.idleTimeout
		default:
			drop = now.Sub(req.lastCopy) >= replicaRetention
		}
		req.mu.Unlock()
		switch {
		case drop:
			tab.remove(req)
		case cancel:
			req.cancel()
		default:
			tab.takeOverIfOriginFailed(req, now, mems)
		}
	})
}
