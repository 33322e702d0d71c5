package stream

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Head is the immutable part of a request.
type Head struct {
	ID       wick.RequestID `cbor:"id"`
	Customer wick.Customer  `cbor:"customer"`
	Service  wick.Service   `cbor:"service"`
	// Route is the path of the call; canary statistics are grouped by route.
	Route  string      `cbor:"route"`
	Prompt wick.Prompt `cbor:"prompt"`
	// MaxTokens bounds the answer. It is positive.
	MaxTokens wick.Tokens   `cbor:"maxTokens"`
	Priority  wick.Priority `cbor:"priority"`
	// DeadlineMillis is in Unix milliseconds; 0 is no deadline.
	DeadlineMillis int64 `cbor:"deadlineMillis"`
	// CreatedMillis is in Unix milliseconds.
	CreatedMillis int64 `cbor:"createdMillis"`
}

// Deadline returns the deadline, or the zero time for none.
func (hea *Head) Deadline() time.Time {
	if hea.DeadlineMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(hea.DeadlineMillis)
}

// inputBytes returns the size of the prompt.
func (hea *Head) inputBytes() int64 {
	num := len(hea.Prompt.Text)
	for _, msg := range hea.Prompt.Messages {
		num += len(msg.Role) + len(msg.Content)
	}
	return int64(num)
}

// A Request is a model request in the table of this entry: as its owner, which
// runs it, or as a replica.
type Request struct {
	tab *Table
	// Head is immutable.
	Head Head

	mu    sync.Mutex
	state State
	// texts is the answer so far; texts[i] is the event with id i+1. It is
	// append-only.
	texts []string
	// digests[i] is the digest of texts[:i+1]. It has the length of texts.
	digests []uint64
	// bytes is the share of the request in the table's bytes.
	bytes int64
	end   wick.Generated
	fail  *FailError
	// changed is closed at the next change. It is nil while no reader waits.
	changed chan struct{}

	// current is the attempt whose events are accepted, or "".
	current wick.AttemptID
	// endedAttempt is the last attempt whose engine call returned. Its events
	// are stale even before the runner has settled it.
	endedAttempt wick.AttemptID
	// vm is the VM of the current attempt.
	vm       wick.VM
	attempts attempts
	// frozen is set during a handover: events are not accepted and the end of
	// the runner does not end the request.
	frozen bool
	// epoch is the generation of the runner; a runner of an older epoch cannot
	// change the request.
	epoch int
	// owned is set while this entry runs the request or has finished it.
	owned bool
	// verified is the number of events up to which a cursor without a digest is
	// accepted: later events may differ from what an earlier owner sent. -1
	// accepts any.
	verified int
	// stop cancels the runner. It is nil unless this entry has started one.
	stop context.CancelFunc
	// source is the entry that sends copies to this replica.
	source    wick.EntryID
	sourceInc wick.Incarnation
	// lastCopy is when the last copy was received.
	lastCopy time.Time
	// successor is the entry that runs the request after a handover.
	successor wick.EntryID
	rep       replicaState
	// replicated is closed once a replica has the head of the request, or when
	// there is no entry for a replica. isReplicated prevents a second close.
	replicated   chan struct{}
	isReplicated bool
	// readers counts attached readers; idleSince is when the last one was
	// closed.
	readers   int
	idleSince time.Time
	// idleTimeout is how long the request runs without a reader.
	idleTimeout time.Duration
	ended       time.Time
	// removed is set when the request was removed from the table.
	removed bool
}

// A replicaState is the owner's view of its replica.
type replicaState struct {
	member wick.Member
	// hasHead is set when the replica has the head.
	hasHead bool
	// acked is the number of events that the replica has acknowledged.
	acked int
	// hasFinal is set when the replica has the final state.
	hasFinal bool
	// ackedAt is when the last copy was acknowledged.
	ackedAt time.Time
	// excluded lists entries that rejected a copy or a handover.
	excluded []wick.EntryID
}

// newRequest returns a queued request.
func newRequest(tab *Table, hea Head) *Request {
	return &Request{
		tab: tab, Head: hea, state: StateQueued, bytes: hea.inputBytes() + requestOverhead,
		idleSince: tab.now(), lastCopy: tab.now(), idleTimeout: idleTimeout, replicated: make(chan struct{}),
	}
}

// maxReplicaWait bounds the wait for a replica, so that a lost first copy does
// not keep the id of the request from the caller.
const maxReplicaWait = 100 * time.Millisecond

// AwaitReplica waits until a replica has the head of the request, so that a
// caller with its id can resume even if this entry is killed. The wait is
// bounded; the request runs meanwhile.
func (req *Request) AwaitReplica(ctx context.Context) {
	tim := time.NewTimer(maxReplicaWait)
	defer tim.Stop()
	select {
	case <-req.replicated:
	case <-tim.C:
		metrics.GetOrRegisterCounter("stream.unsecured", nil).Inc(1)
	case <-ctx.Done():
	}
}

// markReplicated unblocks AwaitReplica. The caller holds req.mu.
func (req *Request) markReplicated() {
	if !req.isReplicated {
		req.isReplicated = true
		close(req.replicated)
	}
}

// digestAfter extends the digest of a prefix by one event.
func digestAfter(prev uint64, text string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], prev)
	_, _ = dig.Write(buf[:]) // never fails
	_, _ = dig.WriteString(text)
	return dig.Sum64()
}

// digestAt returns the digest of the first num events. The caller holds req.mu.
func (req *Request) digestAt(num int) uint64 {
	if num == 0 {
		return 0
	}
	return req.digests[num-1]
}

// appendEvent appends one event to the log. The caller holds req.mu.
func (req *Request) appendEvent(text string) {
	req.digests = append(req.digests, digestAfter(req.digestAt(len(req.texts)), text))
	req.texts = append(req.texts, text)
	num := int64(len(text)) + eventOverhead
	req.bytes += num
	if !req.removed {
		req.tab.bytes.Add(num)
	}
}

// notify unblocks all waiting readers. The caller holds req.mu.
func (req *Request) notify() {
	if req.changed != nil {
		close(req.changed)
		req.changed = nil
	}
}

// begin makes att the current attempt and returns the tokens to continue from.
func (req *Request) begin(epoch int, att wick.AttemptID, vm wick.VM) []string {
	req.mu.Lock()
	defer req.mu.Unlock()
	if !req.frozen && req.epoch == epoch && req.state == StateRunning {
		req.current, req.vm = att, vm
	}
	req.attempts.begin()
	return req.texts[:len(req.texts):len(req.texts)]
}

// accept receives one token of an attempt. Only the next index of the current
// attempt extends the log; a duplicate index is ignored.
func (req *Request) accept(att wick.AttemptID, tok wick.Token) error {
	req.mu.Lock()
	if !req.tab.disabled.attemptCheck {
		switch {
		case req.current != att || req.endedAttempt == att || (tok.Attempt != "" && tok.Attempt != att):
			req.mu.Unlock()
			return errStale
		case tok.Index < wick.Tokens(len(req.texts)):
			req.mu.Unlock()
			return nil
		case tok.Index > wick.Tokens(len(req.texts)):
			req.mu.Unlock()
			return eris.Wrapf(errGap, "index %d", tok.Index)
		case tok.Index >= req.Head.MaxTokens || len(tok.Text) > maxTokenBytes:
			req.mu.Unlock()
			return eris.Wrap(wick.ErrTruncated, "token outside of the answer's bounds")
		}
	}
	req.appendEvent(tok.Text)
	req.notify()
	req.mu.Unlock()
	req.tab.markDirty(req)
	return nil
}

// markAttemptEnded makes events after the end of an attempt stale.
func (req *Request) markAttemptEnded(att wick.AttemptID) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.endedAttempt = att
}

// detachAttempt makes later events of the attempt stale and reports whether the
// attempt was still current.
func (req *Request) detachAttempt(att wick.AttemptID) bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.current != att {
		return false
	}
	req.current = ""
	return true
}

// settle ends an attempt with the engine's result. A complete answer ends the
// request.
func (req *Request) settle(att wick.AttemptID, gen wick.Generated, err error, pha phase) error {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.attempts.settle(pha)
	if req.current != att {
		return errStale
	}
	req.current = ""
	if err != nil {
		return err
	}
	if gen.Attempt != "" && gen.Attempt != att {
		return eris.Wrap(wick.ErrTruncated, "end marker of another attempt")
	}
	if gen.Finish != wick.FinishStop && gen.Finish != wick.FinishLength {
		return eris.Wrap(wick.ErrTruncated, "no end marker")
	}
	if gen.Count != wick.Tokens(len(req.texts)) {
		return eris.Wrapf(wick.ErrTruncated, "%d tokens announced, %d received", gen.Count, len(req.texts))
	}
	return req.finish(gen)
}

// finish ends the request with a complete answer. The caller holds req.mu.
func (req *Request) finish(gen wick.Generated) error {
	if err := req.fire(trgFinish); err != nil {
		return err
	}
	req.tab.chk.Check(gen.Count == wick.Tokens(len(req.texts)), invar.WholeAnswer,
		"%s: %d tokens announced, %d in the log", req.Head.ID, gen.Count, len(req.texts))
	req.end = gen
	req.finalize()
	return nil
}

// abort ends the request with an explicit failure, unless the runner's epoch is
// outdated.
func (req *Request) abort(epoch int, err error) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.epoch != epoch || req.frozen || req.state.final() || req.state == StateHandedOver {
		return
	}
	req.current = ""
	req.fail = req.attempts.failure(req.tab.chk, err)
	if err := req.fire(trgFail); err == nil {
		req.finalize()
	}
}

// finalize is called after every transition to a final state. The caller holds
// req.mu.
func (req *Request) finalize() {
	req.ended = req.tab.now()
	req.notify()
	req.tab.markDirty(req)
}

// State returns the state on this entry.
func (req *Request) State() State {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state
}
