package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A mutation disables one mechanism, to show that the checks detect its
// absence.
type mutation string

const (
	ignoreCondition mutation = "ignoreCondition"
	dropWrite       mutation = "dropWrite"
	resendUnknown   mutation = "resendUnknown"
	sendAfterError  mutation = "sendAfterError"
	forgetSealed    mutation = "forgetSealed"
	freeUnknown     mutation = "freeUnknown"
	runningIsDone   mutation = "runningIsDone"
	fastClock       mutation = "fastClock"
)

// A simulation is a platform, entries, and endpoints that count executions.
type simulation struct {
	sto   fake.Store
	mut   mutation
	chk   invar.Checker
	nodes []*node

	mu sync.Mutex
	// executions maps a key to the times of its executions; attempts has the
	// attempts that ran.
	executions map[wick.IdempotencyKey][]time.Time
	attempts   map[wick.AttemptID]bool
	stats      map[string]int
}

func newSimulation(num int, mut mutation) *simulation {
	sim := &simulation{
		mut: mut, executions: make(map[wick.IdempotencyKey][]time.Time),
		attempts: make(map[wick.AttemptID]bool), stats: make(map[string]int),
	}
	for idx := range num {
		nod := &node{sim: sim, id: wick.EntryID(fmt.Sprint("e", idx)), partitions: make(map[wick.EntryID]bool)}
		sim.nodes = append(sim.nodes, nod)
		sim.restart(idx)
	}
	return sim
}

// restart replaces an entry by a new incarnation with no state in memory.
func (sim *simulation) restart(idx int) {
	old := sim.nodes[idx]
	old.crash()
	nod := &node{sim: sim, id: old.id, inc: old.inc + 1, ownerOffset: old.ownerOffset, partitions: make(map[wick.EntryID]bool)}
	opts := []Option{
		WithShards(2), WithSegments(1500, 10*time.Minute), WithRunningFor(20 * time.Second),
		WithPeers(&nodePeers{nod: nod}, nod.owner, sim.members),
	}
	if sim.mut == fastClock && idx == 0 {
		opts = append(opts, WithClock(skewedClock(26*time.Hour)))
	}
	nod.led = New(&nodeStore{nod: nod}, nod.id, nod.inc, opts...)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[idx] = nod
}

type skewedClock time.Duration

func (skc skewedClock) Now() time.Time { return time.Now().Add(time.Duration(skc)) }

func (sim *simulation) members() []wick.Member {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := make([]wick.Member, 0, len(sim.nodes))
	for _, nod := range sim.nodes {
		out = append(out, wick.Member{ID: nod.id, State: wick.EntryServing})
	}
	return out
}

func (sim *simulation) node(id wick.EntryID) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, nod := range sim.nodes {
		if nod.id == id {
			return nod
		}
	}
	return nil
}

func (sim *simulation) count(stat string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.stats[stat]++
}

// execute runs a call at an endpoint. Without deduplication, two executions of
// a key within the retention period violate at-most-once execution (P5).
func (sim *simulation) execute(query wick.ClaimQuery) wick.PlainReply {
	now := time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.attempts[query.Attempt] = true
	runs := sim.executions[query.Key]
	if query.Deduplicates && len(runs) > 0 {
		return replyOf(query.Key, runs[0])
	}
	if num := len(runs); num > 0 {
		gap := now.Sub(runs[num-1])
		sim.chk.Check(gap >= Retention, invar.AtMostOnce, "key %s executed again after %s", query.Key, gap)
	}
	sim.executions[query.Key] = append(runs, now)
	sim.stats["executed"]++
	return replyOf(query.Key, now)
}

// replyOf returns a reply that exceeds the inline limit for keys of odd length.
func replyOf(key wick.IdempotencyKey, at time.Time) wick.PlainReply {
	body := fmt.Appendf(nil, "%s at %d", key, at.UnixNano())
	if len(key)%2 == 1 {
		body = append(body, make([]byte, InlineReplyBytes)...)
	}
	return wick.PlainReply{Status: 200, Body: body}
}

// checkSuccess checks that the caller's reply was produced by an execution of
// the key.
func (sim *simulation) checkSuccess(query wick.ClaimQuery, rep wick.PlainReply) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.stats["success"]++
	for _, at := range sim.executions[query.Key] {
		if string(replyOf(query.Key, at).Body) == string(rep.Body) {
			return
		}
	}
	sim.chk.Check(false, invar.WholeAnswer, "key %s: success without an execution", query.Key)
}

// A node is one entry process.
type node struct {
	sim     *simulation
	id      wick.EntryID
	inc     wick.Incarnation
	led     *Ledger
	mu      sync.Mutex
	crashed bool
	// paused is closed when the process resumes.
	paused     chan struct{}
	storeDown  bool
	partitions map[wick.EntryID]bool
	// ownerOffset makes entries disagree about the owner of a shard.
	ownerOffset int
}

func (nod *node) crash() {
	nod.resume()
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.crashed = true
}

func (nod *node) pause() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	if nod.paused == nil {
		nod.paused = make(chan struct{})
	}
}

func (nod *node) resume() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	if nod.paused != nil {
		close(nod.paused)
		nod.paused = nil
	}
}

// awaitRunning blocks while the process is paused. It returns false for a
// crashed one.
func (nod *node) awaitRunning() bool {
	for {
		nod.mu.Lock()
		crashed, paused := nod.crashed, nod.paused
		nod.mu.Unlock()
		if crashed || paused == nil {
			return !crashed
		}
		<-paused
	}
}

func (nod *node) set(change func()) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	change()
}

func (nod *node) partitionedFrom(id wick.EntryID) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.partitions[id]
}

func (nod *node) owner(shd wick.Shard) (wick.Member, bool) {
	nod.mu.Lock()
	offset := nod.ownerOffset
	nod.mu.Unlock()
	mems := nod.sim.members()
	return mems[(int(shd)+offset)%len(mems)], true
}

// A nodeStore is the platform as seen by one entry.
type nodeStore struct {
	nod *node
	// onPut is called before each write if it is not nil.
	onPut func(key wick.ObjectKey)
}

func (nst *nodeStore) checkReachable() error {
	if !nst.nod.awaitRunning() {
		return wick.ErrUnavailable
	}
	nst.nod.mu.Lock()
	defer nst.nod.mu.Unlock()
	if nst.nod.storeDown {
		return wick.ErrUnavailable
	}
	return nil
}

func (nst *nodeStore) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if err := nst.checkReachable(); err != nil {
		return wick.Object{}, err
	}
	obj, err := nst.nod.sim.sto.Get(ctx, key)
	if rerr := nst.checkReachable(); rerr != nil {
		return wick.Object{}, rerr
	}
	var seg segment
	if nst.nod.sim.mut == forgetSealed && json.Unmarshal(obj.Data, &seg) == nil {
		seg.Retained = nil
		if data, merr := json.Marshal(&seg); merr == nil {
			obj.Data = data
		}
	}
	return obj, err
}

func (nst *nodeStore) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	if nst.onPut != nil {
		nst.onPut(key)
	}
	if err := nst.checkReachable(); err != nil {
		return 0, err
	}
	sim := nst.nod.sim
	next, err := sim.sto.Put(ctx, key, data, rev)
	switch {
	case sim.mut == ignoreCondition && errors.Is(err, wick.ErrConflict):
		if obj, gerr := sim.sto.Get(ctx, key); gerr == nil {
			next, err = sim.sto.Put(ctx, key, data, obj.Revision)
		}
	case sim.mut == dropWrite && err == nil && rev != 0 && next%4 == 0:
		// The write is rolled back but reported as durable.
		if obj, gerr := sim.sto.Get(ctx, key); gerr == nil {
			_ = sim.sto.Delete(ctx, key, obj.Revision)
		}
	}
	if rerr := nst.checkReachable(); rerr != nil {
		return 0, rerr
	}
	return next, err
}

func (nst *nodeStore) Delete(ctx context.Context, key wick.ObjectKey, rev wick.Revision) error {
	if err := nst.checkReachable(); err != nil {
		return err
	}
	return nst.nod.sim.sto.Delete(ctx, key, rev)
}

func (nst *nodeStore) List(context.Context, wick.Kind) ([]wick.Object, wick.Revision, error) {
	return nil, 0, wick.ErrUnavailable
}

func (nst *nodeStore) Watch(context.Context, wick.Kind, wick.Revision) ([]wick.Object, wick.Revision, error) {
	return nil, 0, wick.ErrUnavailable
}

// A nodePeers delivers messages between entries. A message can be handled
// although its sender sees an error.
type nodePeers struct {
	nod *node
	// loseReply is called after each delivery if it is not nil.
	loseReply func() bool
}

func (npr *nodePeers) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, reply any) error {
	target := npr.nod.sim.node(to.ID)
	if !npr.nod.awaitRunning() || npr.nod.partitionedFrom(to.ID) || target.partitionedFrom(npr.nod.id) {
		return wick.ErrUnavailable
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	done := make(chan []byte, 1)
	go func() {
		time.Sleep(time.Millisecond)
		if !target.awaitRunning() {
			return
		}
		// The handler continues after its caller has timed out.
		out, herr := target.led.Handlers()[typ](context.WithoutCancel(ctx), npr.nod.id, raw)
		if rep, merr := cbor.Marshal(out); herr == nil && merr == nil && target.awaitRunning() {
			done <- rep
		}
	}()
	select {
	case rep := <-done:
		lost := npr.loseReply != nil && npr.loseReply()
		if !npr.nod.awaitRunning() || lost || npr.nod.partitionedFrom(to.ID) || target.partitionedFrom(npr.nod.id) {
			return wick.ErrUnavailable
		}
		return cbor.Unmarshal(rep, reply)
	case <-ctx.Done():
		return wick.ErrUnavailable
	}
}

// An endpointFault is how an endpoint handles a call.
type endpointFault int

const (
	endpointReplies endpointFault = iota
	endpointLosesReply
	endpointRejects
	endpointUnreachable
)

// call handles one call of a caller at an entry, as its front does.
func (sim *simulation) call(nod *node, query wick.ClaimQuery, fault endpointFault, latency time.Duration) {
	ctx := context.Background()
	res, err := nod.led.Claim(ctx, query)
	if !nod.awaitRunning() {
		sim.count("died")
		return
	}
	if sim.mut == sendAfterError && errors.Is(err, wick.ErrUnavailable) {
		res, err = wick.ClaimResult{State: wick.ClaimGranted}, nil
	}
	if err != nil {
		sim.checkNotExecuted(query, err)
		return
	}
	sim.count(string(res.State))
	switch res.State {
	case wick.ClaimDone:
		sim.checkSuccess(query, res.Reply)
	case wick.ClaimRunning:
		if sim.mut == runningIsDone {
			sim.checkSuccess(query, replyOf(query.Key, time.Now()))
		}
	case wick.ClaimGranted:
		sim.send(ctx, nod, query, fault, latency)
	case wick.ClaimUnknown:
	}
}

func (sim *simulation) checkNotExecuted(query wick.ClaimQuery, err error) {
	switch {
	case errors.Is(err, wick.ErrKeyReused):
		sim.count("keyReused")
	case errors.Is(err, wick.ErrUnavailable), errors.Is(err, wick.ErrBusy):
		sim.count("refused")
	default:
		sim.count("otherError")
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.chk.Check(!sim.attempts[query.Attempt], invar.RefusalTruth, "attempt %s ran and was refused", query.Attempt)
}

func (sim *simulation) send(ctx context.Context, nod *node, query wick.ClaimQuery, fault endpointFault, latency time.Duration) {
	time.Sleep(latency / 2)
	if !nod.awaitRunning() {
		sim.count("diedBeforeSend")
		return
	}
	var out wick.ClaimOutcome
	switch fault {
	case endpointReplies:
		out = wick.ClaimOutcome{State: wick.OutcomeDone, Reply: sim.execute(query)}
	case endpointLosesReply:
		sim.execute(query)
		out.State = wick.OutcomeUnknown
		if sim.mut == resendUnknown {
			out = wick.ClaimOutcome{State: wick.OutcomeDone, Reply: sim.execute(query)}
		}
		if sim.mut == freeUnknown {
			out.State = wick.OutcomeNotExecuted
		}
	case endpointRejects, endpointUnreachable:
		out.State = wick.OutcomeNotExecuted
	}
	time.Sleep(latency / 2)
	if !nod.awaitRunning() {
		sim.count("diedBeforeRecord")
		return
	}
	if err := nod.led.Record(ctx, query, out); err != nil {
		sim.count("recordFailed")
	}
	if !nod.awaitRunning() {
		return
	}
	switch out.State {
	case wick.OutcomeDone:
		sim.checkSuccess(query, out.Reply)
	case wick.OutcomeNotExecuted:
		sim.checkNotExecuted(query, wick.ErrUnavailable)
	case wick.OutcomeUnknown:
		sim.count("toldUnknown")
	}
}
