package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// callTimeout is the deadline of calls without an earlier one.
const callTimeout = 5 * time.Second

// Faults configures the fault injection of a Network. The zero value injects
// none.
type Faults struct {
	// Delay is the one-way delay, to which a random part of Jitter is added.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the share of requests and of replies that are lost.
	Loss wick.Share
	// Duplicate is the share of requests that are delivered twice.
	Duplicate wick.Share
	// Reorder is the share of messages that are delayed tenfold, so that later
	// ones overtake them.
	Reorder wick.Share
}

// A Network connects entries within one process. It uses only the time package
// for delays, so that it works with testing/synctest. The zero value injects no
// faults.
type Network struct {
	mu     sync.Mutex
	nodes  map[wick.EntryID]*Local
	faults Faults
	// reach reports whether the receiver is reachable; nil means always.
	reach func(from, to wick.EntryID) bool
	rnd   *rand.Rand
}

// SetFaults replaces the faults. The seed makes them reproducible.
func (ntw *Network) SetFaults(flt Faults, seed uint64) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.faults = flt
	ntw.rnd = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults need a reproducible generator
}

// SetReachable sets the reachability between entries, nil for a full mesh. Messages
// in flight are checked on arrival.
func (ntw *Network) SetReachable(reach func(from, to wick.EntryID) bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.reach = reach
}

// Join adds an entry. It replaces an entry of the same id, as a restart does.
func (ntw *Network) Join(eid wick.EntryID, inc wick.Incarnation) *Local {
	loc := &Local{ntw: ntw, eid: eid, inc: inc, Registry: metrics.NewRegistry()}
	loc.ctx, loc.cancel = context.WithCancel(context.Background())
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	if ntw.nodes == nil {
		ntw.nodes = make(map[wick.EntryID]*Local)
	}
	if old := ntw.nodes[eid]; old != nil {
		old.cancel()
	}
	ntw.nodes[eid] = loc
	return loc
}

// A delivery is the set of faults injected into one message.
type delivery struct {
	lost      bool
	duplicate bool
	delay     time.Duration
}

func (ntw *Network) drawDelivery() delivery {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	flt := ntw.faults
	dlv := delivery{delay: flt.Delay}
	if ntw.rnd == nil {
		return dlv
	}
	dlv.lost = ntw.rnd.Float64() < float64(flt.Loss)
	dlv.duplicate = ntw.rnd.Float64() < float64(flt.Duplicate)
	if flt.Jitter > 0 {
		dlv.delay += time.Duration(ntw.rnd.Int64N(int64(flt.Jitter)))
	}
	if ntw.rnd.Float64() < float64(flt.Reorder) {
		dlv.delay *= 10
	}
	return dlv
}

// receiver returns the receiving entry, or nil if it is unreachable from the
// sender.
func (ntw *Network) receiver(from, to wick.EntryID) *Local {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	if ntw.reach != nil && !ntw.reach(from, to) {
		return nil
	}
	return ntw.nodes[to]
}

// A Local is one entry of a Network.
type Local struct {
	Handlers
	// Registry counts messages and encoded bytes.
	Registry metrics.Registry
	ntw      *Network
	eid      wick.EntryID
	inc      wick.Incarnation
	ctx      context.Context
	cancel   context.CancelFunc
}

var _ wick.Peers = (*Local)(nil)

// Close stops the entry, which then neither sends nor handles messages.
func (loc *Local) Close() { loc.cancel() }

// Call sends a request through the network and waits for the reply.
func (loc *Local) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, out any) error {
	env := wick.Envelope{Version: wick.ProtocolVersion, Type: typ, From: loc.eid, Incarnation: loc.inc}
	var err error
	if env.Body, err = Encode(body); err != nil {
		return err
	}
	data, err := EncodeEnvelope(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(loc.ctx, cancel)()
	if loc.ctx.Err() != nil {
		return eris.Wrap(wick.ErrStopped, "peer closed")
	}
	counters{loc.Registry}.add(dirSent, typ, len(data))
	// The channel has a buffer for the replies to the request and its duplicate.
	replies := make(chan []byte, 2)
	dlv := loc.ntw.drawDelivery()
	if !dlv.lost {
		go loc.deliver(ctx, dlv.delay, to.ID, data, replies)
	}
	if dlv.duplicate {
		go loc.deliver(ctx, 2*dlv.delay+time.Millisecond, to.ID, data, replies)
	}
	select {
	case rawReply := <-replies:
		counters{loc.Registry}.add(dirReceived, typ, len(rawReply))
		return decodeReply(rawReply, to.ID, typ, out)
	case <-ctx.Done():
		return eris.Wrapf(wick.ErrUnavailable, "%s to %s: no reply before the deadline", typ, to.ID)
	}
}

// deliver transmits a request to its receiver and the reply back.
func (loc *Local) deliver(ctx context.Context, delay time.Duration, to wick.EntryID, data []byte, replies chan<- []byte) {
	if !sleep(loc.ctx, delay) {
		return
	}
	dst := loc.ntw.receiver(loc.eid, to)
	if dst == nil || dst.ctx.Err() != nil {
		return
	}
	rawReply, ok := dst.serve(data)
	if !ok {
		return
	}
	dlv := loc.ntw.drawDelivery()
	if dlv.lost || !sleep(ctx, dlv.delay) || loc.ntw.receiver(to, loc.eid) == nil {
		return
	}
	replies <- rawReply
}

// serve processes an encoded request like the QUIC transport.
func (loc *Local) serve(data []byte) ([]byte, bool) {
	env, err := DecodeEnvelope(data)
	rep := errorReply(wick.ErrInvalid)
	if err != nil {
		counters{loc.Registry}.reject(rejectedMessage)
	} else {
		counters{loc.Registry}.add(dirReceived, env.Type, len(data))
		ctx, cancel := context.WithTimeout(loc.ctx, callTimeout)
		rep = loc.dispatch(ctx, env)
		cancel()
	}
	rawReply, err := encodeReply(loc.eid, loc.inc, env.Type, rep)
	if err != nil || loc.ctx.Err() != nil {
		return nil, false
	}
	counters{loc.Registry}.add(dirSent, env.Type, len(rawReply))
	return rawReply, true
}

// sleep blocks for the delay or until ctx is canceled, and returns whether ctx is
// still active.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
