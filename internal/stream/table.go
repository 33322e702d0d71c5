// Package stream holds the requests that an entry has accepted: the log of
// each answer, the attempts that produce it, its replica on a peer, resume,
// handover and takeover. It also sends the calls of plain services.
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
	// requestOverhead and eventOverhead are the overheads of a request and of an
	// event in the table's count of bytes.
	requestOverhead = 1024
	eventOverhead   = 24
	// maxTokenBytes bounds the text of one token from an endpoint.
	maxTokenBytes = 4 << 10

	defaultMaxRequests = 20000
	defaultMaxBytes    = 512 << 20

	// keepAliveInterval is the longest time between copies of a running request. With
	// a bounded view, heartbeats of one entry come up to 20 s apart, and a
	// replica took over requests that waited 12 s for their first token.
	keepAliveInterval = time.Second
	// originTimeout is how long an origin is not heard of before its replica takes
	// over, as the design page sets it.
	originTimeout = 3 * time.Second
	// idleTimeout is how long a request goes on without a reader.
	idleTimeout = 5 * time.Second
	// movedIdleTimeout is idleTimeout after a takeover or handover. The caller has to
	// notice the loss of its connection first.
	movedIdleTimeout = 15 * time.Second
	// retention is how long a finished request can be fetched.
	retention = 60 * time.Second
	// replicaRetention is how long a replica is kept without any message.
	replicaRetention = 10 * time.Minute
	sweepInterval    = 500 * time.Millisecond
)

// Members is the view of the other entries that the table needs.
type Members interface {
	// Members returns the entries that are alive, without this one.
	Members() []wick.Member
	// LastHeard returns when the entry was last heard of; zero for never.
	LastHeard(eid wick.EntryID) time.Time
}

// A Config wires a Table. All interfaces but Clock must be set; Plain and
// Ledger only for plain calls.
type Config struct {
	Self wick.EntryID
	// Incarnation must grow with every start of the entry.
	Incarnation wick.Incarnation
	Zone        wick.Zone
	Router      wick.Router
	Admitter    wick.Admitter
	Engine      wick.Engine
	Plain       wick.Plain
	Ledger      wick.Ledger
	Peers       wick.Peers
	Members     Members
	// Clock is the system's clock if nil.
	Clock wick.Clock
	// Invar counts violations; nil is a checker of the table's own.
	Invar *invar.Checker
	// Budget is shared by all retries of the entry; nil is a budget of the
	// table's own with default values.
	Budget *retry.Budget
	// HedgeAfter is the delay of hedges of idempotent plain calls; 0 is off.
	HedgeAfter time.Duration
	// Trusts reports whether the endpoint's explicit rejections mean that the
	// call did not run (bundle.Class.ReportsNotExecuted); nil trusts all.
	Trusts func(vm wick.VM) bool
	// MaxRequests and MaxBytes bound what the table holds; 0 is the default.
	MaxRequests int64
	MaxBytes    int64
}

// disabled switches off mechanisms in tests, which must then see violations.
type disabled struct {
	attemptCheck bool
	replica      bool
	handover     bool
	phases       bool
}

// A Table holds the requests of one entry.
type Table struct {
	cfg      Config
	chk      *invar.Checker
	bud      *retry.Budget
	disabled disabled
	shards   [shardCount]shard
	// count and bytes are sums over the shards.
	count atomic.Int64
	bytes atomic.Int64
	// calls counts plain calls that run.
	calls atomic.Int64
	// admitting counts model requests that wait for admission.
	admitting atomic.Int64

	// refuseAt is when new work is refused, in Unix nanoseconds; 0 is never.
	refuseAt atomic.Int64
	draining atomic.Bool

	dirty    dirtySet
	flushNow chan struct{}
	// ctx ends with the table.
	ctx  context.Context //nolint:containedctx // runners outlive the callers' contexts
	stop context.CancelFunc
	// admitCtx ends when work that waits for admission is refused.
	admitCtx     context.Context //nolint:containedctx // shared by all waits
	cancelAdmits context.CancelFunc
	wg           sync.WaitGroup
	// closeMu guards closed, after which wg does not grow.
	closeMu sync.Mutex
	closed  bool
}

// A shard is one part of the table.
type shard struct {
	mu       sync.Mutex
	requests map[wick.RequestID]*Request
}

// New returns a table. Run must be called for copies, takeover and retention.
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

// Run copies events to replicas, takes over from silent origins and drops what
// is past its retention, until ctx ends or Close is called.
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

// Close ends all work at once and waits for it. Drain goes before it in an
// orderly shutdown.
func (tab *Table) Close() {
	tab.closeMu.Lock()
	tab.closed = true
	tab.closeMu.Unlock()
	tab.stop()
	tab.wg.Wait()
}

// spawn starts a goroutine that Close waits for. It returns false after Close:
// a wait group must not grow from zero while it is waited for. Goroutines that
// are counted already may use the wait group directly.
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
		return eris.Wrap(wick.ErrConflict, "stream: request id is taken")
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

// forEach calls fun for every request, without any lock held.
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

// Held returns the number of requests and bytes that the table holds.
func (tab *Table) Held() (requests, bytes int64) { return tab.count.Load(), tab.bytes.Load() }

// Counts returns the number of requests by state; replicas count as queued.
func (tab *Table) Counts() map[State]int {
	out := make(map[State]int)
	tab.forEach(func(req *Request) { out[req.State()]++ })
	return out
}

// Ready reports whether the entry takes new work for the load balancer.
func (tab *Table) Ready() bool { return !tab.draining.Load() }

// rejectsNewWork reports whether a drain refuses new work by now.
func (tab *Table) rejectsNewWork() bool {
	at := tab.refuseAt.Load()
	return at != 0 && tab.now().UnixNano() >= at
}

// Accept admits a model request and starts it. The head's ID and CreatedMillis
// are set here. An error is always a *FailError. The request is in the table when
// Accept returns, and the caller attaches a reader.
func (tab *Table) Accept(ctx context.Context, hea Head) (*Request, error) {
	if tab.rejectsNewWork() {
		return nil, refusal(wick.ErrLeaving)
	}
	hea.ID = wick.NewRequestID(tab.cfg.Self)
	hea.CreatedMillis = tab.now().UnixMilli()
	// Until it is admitted, the request is neither run nor handed over here.
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

// admit waits for the admission of new work. The end of a drain's time refuses
// what still waits.
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

// admitQuery estimates four bytes of prompt per token.
func (tab *Table) admitQuery(hea *Head, accepted bool) wick.AdmitQuery {
	return wick.AdmitQuery{
		Service: hea.Service, Customer: hea.Customer, Priority: hea.Priority,
		Cost:     wick.Tokens(hea.inputBytes()/bytesPerToken) + hea.MaxTokens,
		Deadline: hea.Deadline(), Accepted: accepted,
	}
}

// sweep drops requests past their retention, ends requests without a caller
// and takes over from silent origins.
func (tab *Table) sweep() {
	now := tab.now()
	mems := tab.cfg.Members.Members()
	tab.forEach(func(req *Request) {
		req.mu.Lock()
		var drop, cancel bool
		if req.owned && req.state != StateHandedOver {
			// A replica that is gone is replaced even without new events, and
			// one that waits for events is told that the request still runs.
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
