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

// A sabotage switches one mechanism off, to show that a run notices.
type sabotage string

const (
	ignoreCondition sabotage = "ignoreCondition"
	dropWrite       sabotage = "dropWrite"
	resendUnknown   sabotage = "resendUnknown"
	sendAfterError  sabotage = "sendAfterError"
	forgetSealed    sabotage = "forgetSealed"
	freeUnknown     sabotage = "freeUnknown"
	runningIsDone   sabotage = "runningIsDone"
	fastClock       sabotage = "fastClock"
)

// A world is a platform, entries, and endpoints that count executions.
type world struct {
	sto   fake.Store
	sab   sabotage
	chk   invar.Checker
	nodes []*node

	mu sync.Mutex
	// ran holds the execution times by key, attempts the attempts that ran.
	ran      map[wick.IdempotencyKey][]time.Time
	attempts map[wick.AttemptID]bool
	stats    map[string]int
}

func newWorld(num int, sab sabotage) *world {
	wld := &world{
		sab: sab, ran: make(map[wick.IdempotencyKey][]time.Time),
		attempts: make(map[wick.AttemptID]bool), stats: make(map[string]int),
	}
	for idx := range num {
		nod := &node{wld: wld, id: wick.EntryID(fmt.Sprint("e", idx)), cut: make(map[wick.EntryID]bool)}
		wld.nodes = append(wld.nodes, nod)
		wld.restart(idx)
	}
	return wld
}

// restart replaces an entry by one that has kept nothing.
func (wld *world) restart(idx int) {
	old := wld.nodes[idx]
	old.crash()
	nod := &node{wld: wld, id: old.id, inc: old.inc + 1, skew: old.skew, cut: make(map[wick.EntryID]bool)}
	opts := []Option{
		WithShards(2), WithSegments(1500, 10*time.Minute), WithRunningFor(20 * time.Second),
		WithPeers(&nodePeers{nod: nod}, nod.owner, wld.members),
	}
	if wld.sab == fastClock && idx == 0 {
		opts = append(opts, WithClock(skewedClock(26*time.Hour)))
	}
	nod.led = New(&nodeStore{nod: nod}, nod.id, nod.inc, opts...)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.nodes[idx] = nod
}

type skewedClock time.Duration

func (skc skewedClock) Now() time.Time { return time.Now().Add(time.Duration(skc)) }

func (wld *world) members() []wick.Member {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	out := make([]wick.Member, 0, len(wld.nodes))
	for _, nod := range wld.nodes {
		out = append(out, wick.Member{ID: nod.id, State: wick.EntryServing})
	}
	return out
}

func (wld *world) node(id wick.EntryID) *node {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, nod := range wld.nodes {
		if nod.id == id {
			return nod
		}
	}
	return nil
}

func (wld *world) add(stat string) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.stats[stat]++
}

// execute runs a call at an endpoint. Without deduplication, two executions
// of a key within the retention period violate P5.
func (wld *world) execute(query wick.ClaimQuery) wick.PlainReply {
	now := time.Now()
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.attempts[query.Attempt] = true
	runs := wld.ran[query.Key]
	if query.Deduplicates && len(runs) > 0 {
		return replyOf(query.Key, runs[0])
	}
	if num := len(runs); num > 0 {
		gap := now.Sub(runs[num-1])
		wld.chk.Check(gap >= Retention, invar.AtMostOnce, "key %s ran again after %s", query.Key, gap)
	}
	wld.ran[query.Key] = append(runs, now)
	wld.stats["executed"]++
	return replyOf(query.Key, now)
}

// replyOf is larger than the inline limit for a part of the keys.
func replyOf(key wick.IdempotencyKey, at time.Time) wick.PlainReply {
	body := fmt.Appendf(nil, "%s at %d", key, at.UnixNano())
	if len(key)%2 == 1 {
		body = append(body, make([]byte, InlineReplyBytes)...)
	}
	return wick.PlainReply{Status: 200, Body: body}
}

// toldSuccess checks that the reply is one that an execution of the key gave.
func (wld *world) toldSuccess(query wick.ClaimQuery, rep wick.PlainReply) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.stats["success"]++
	for _, at := range wld.ran[query.Key] {
		if string(replyOf(query.Key, at).Body) == string(rep.Body) {
			return
		}
	}
	wld.chk.Check(false, invar.WholeAnswer, "key %s: success without an execution", query.Key)
}

// A node is one entry process.
type node struct {
	wld  *world
	id   wick.EntryID
	inc  wick.Incarnation
	led  *Ledger
	mu   sync.Mutex
	dead bool
	// paused is closed when the process resumes.
	paused  chan struct{}
	noStore bool
	cut     map[wick.EntryID]bool
	// skew makes entries disagree about the owner of a shard.
	skew int
}

func (nod *node) crash() {
	nod.resume()
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.dead = true
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

// gate waits while the process is paused. It returns false for a dead one.
func (nod *node) gate() bool {
	for {
		nod.mu.Lock()
		dead, paused := nod.dead, nod.paused
		nod.mu.Unlock()
		if dead || paused == nil {
			return !dead
		}
		<-paused
	}
}

func (nod *node) set(change func()) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	change()
}

func (nod *node) cutOff(id wick.EntryID) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.cut[id]
}

func (nod *node) owner(shd wick.Shard) (wick.Member, bool) {
	nod.mu.Lock()
	skew := nod.skew
	nod.mu.Unlock()
	mems := nod.wld.members()
	return mems[(int(shd)+skew)%len(mems)], true
}

// A nodeStore is the platform as one entry reaches it.
type nodeStore struct {
	nod *node
	// onPut is called before each write if it is not nil.
	onPut func(key wick.ObjectKey)
}

func (nst *nodeStore) reach() error {
	if !nst.nod.gate() {
		return wick.ErrUnavailable
	}
	nst.nod.mu.Lock()
	defer nst.nod.mu.Unlock()
	if nst.nod.noStore {
		return wick.ErrUnavailable
	}
	return nil
}

func (nst *nodeStore) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if err := nst.reach(); err != nil {
		return wick.Object{}, err
	}
	obj, err := nst.nod.wld.sto.Get(ctx, key)
	if rerr := nst.reach(); rerr != nil {
		return wick.Object{}, rerr
	}
	var seg segment
	if nst.nod.wld.sab == forgetSealed && json.Unmarshal(obj.Data, &seg) == nil {
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
	if err := nst.reach(); err != nil {
		return 0, err
	}
	wld := nst.nod.wld
	next, err := wld.sto.Put(ctx, key, data, rev)
	switch {
	case wld.sab == ignoreCondition && errors.Is(err, wick.ErrConflict):
		if obj, gerr := wld.sto.Get(ctx, key); gerr == nil {
			next, err = wld.sto.Put(ctx, key, data, obj.Revision)
		}
	case wld.sab == dropWrite && err == nil && rev != 0 && next%4 == 0:
		// The write is undone but reported as durable.
		if obj, gerr := wld.sto.Get(ctx, key); gerr == nil {
			_ = wld.sto.Delete(ctx, key, obj.Revision)
		}
	}
	if rerr := nst.reach(); rerr != nil {
		return 0, rerr
	}
	return next, err
}

func (nst *nodeStore) Delete(ctx context.Context, key wick.ObjectKey, rev wick.Revision) error {
	if err := nst.reach(); err != nil {
		return err
	}
	return nst.nod.wld.sto.Delete(ctx, key, rev)
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
	// loseReply is asked after each delivery if it is not nil.
	loseReply func() bool
}

func (npr *nodePeers) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, reply any) error {
	target := npr.nod.wld.node(to.ID)
	if !npr.nod.gate() || npr.nod.cutOff(to.ID) || target.cutOff(npr.nod.id) {
		return wick.ErrUnavailable
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	done := make(chan []byte, 1)
	go func() {
		time.Sleep(time.Millisecond)
		if !target.gate() {
			return
		}
		// The handler outlives a caller that gives up.
		out, herr := target.led.Handlers()[typ](context.WithoutCancel(ctx), npr.nod.id, raw)
		if rep, merr := cbor.Marshal(out); herr == nil && merr == nil && target.gate() {
			done <- rep
		}
	}()
	select {
	case rep := <-done:
		lost := npr.loseReply != nil && npr.loseReply()
		if !npr.nod.gate() || lost || npr.nod.cutOff(to.ID) || target.cutOff(npr.nod.id) {
			return wick.ErrUnavailable
		}
		return cbor.Unmarshal(rep, reply)
	case <-ctx.Done():
		return wick.ErrUnavailable
	}
}

// An endpointFault is what an endpoint does to a call.
type endpointFault int

const (
	endpointAnswers endpointFault = iota
	endpointLosesReply
	endpointRefuses
	endpointUnreached
)

// call acts as the front of an entry for one call of a caller.
func (wld *world) call(nod *node, query wick.ClaimQuery, fault endpointFault, latency time.Duration) {
	ctx := context.Background()
	res, err := nod.led.Claim(ctx, query)
	if !nod.gate() {
		wld.add("died")
		return
	}
	if wld.sab == sendAfterError && errors.Is(err, wick.ErrUnavailable) {
		res, err = wick.ClaimResult{State: wick.ClaimGranted}, nil
	}
	if err != nil {
		wld.toldNotExecuted(query, err)
		return
	}
	wld.add(string(res.State))
	switch res.State {
	case wick.ClaimDone:
		wld.toldSuccess(query, res.Reply)
	case wick.ClaimRunning:
		if wld.sab == runningIsDone {
			wld.toldSuccess(query, replyOf(query.Key, time.Now()))
		}
	case wick.ClaimGranted:
		wld.send(ctx, nod, query, fault, latency)
	case wick.ClaimUnknown:
	}
}

func (wld *world) toldNotExecuted(query wick.ClaimQuery, err error) {
	switch {
	case errors.Is(err, wick.ErrKeyReused):
		wld.add("keyReused")
	case errors.Is(err, wick.ErrUnavailable), errors.Is(err, wick.ErrBusy):
		wld.add("refused")
	default:
		wld.add("otherError")
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.chk.Check(!wld.attempts[query.Attempt], invar.RefusalTruth, "attempt %s ran and was refused", query.Attempt)
}

func (wld *world) send(ctx context.Context, nod *node, query wick.ClaimQuery, fault endpointFault, latency time.Duration) {
	time.Sleep(latency / 2)
	if !nod.gate() {
		wld.add("diedBeforeSend")
		return
	}
	var out wick.ClaimOutcome
	switch fault {
	case endpointAnswers:
		out = wick.ClaimOutcome{State: wick.OutcomeDone, Reply: wld.execute(query)}
	case endpointLosesReply:
		wld.execute(query)
		out.State = wick.OutcomeUnknown
		if wld.sab == resendUnknown {
			out = wick.ClaimOutcome{State: wick.OutcomeDone, Reply: wld.execute(query)}
		}
		if wld.sab == freeUnknown {
			out.State = wick.OutcomeNotExecuted
		}
	case endpointRefuses, endpointUnreached:
		out.State = wick.OutcomeNotExecuted
	}
	time.Sleep(latency / 2)
	if !nod.gate() {
		wld.add("diedBeforeRecord")
		return
	}
	if err := nod.led.Record(ctx, query, out); err != nil {
		wld.add("recordFailed")
	}
	if !nod.gate() {
		return
	}
	switch out.State {
	case wick.OutcomeDone:
		wld.toldSuccess(query, out.Reply)
	case wick.OutcomeNotExecuted:
		wld.toldNotExecuted(query, wick.ErrUnavailable)
	case wick.OutcomeUnknown:
		wld.add("toldUnknown")
	}
}
