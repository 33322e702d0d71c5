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

// callTimeout ends an exchange whose caller set no earlier deadline.
const callTimeout = 5 * time.Second

// Faults are the faults of a Network. The zero value is no fault.
type Faults struct {
	// Delay is the one-way delay, Jitter is added at random.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the share of requests and of replies that are lost.
	Loss wick.Share
	// Duplicate is the share of requests that arrive twice.
	Duplicate wick.Share
	// Reorder is the share of messages that are held back for ten times the
	// delay, so that later ones overtake them.
	Reorder wick.Share
}

// A Network connects entries within one process. It uses the time package
// only, so that it runs under testing/synctest. The zero value has no faults.
type Network struct {
	mu     sync.Mutex
	nodes  map[wick.EntryID]*Local
	faults Faults
	// reach tells whether messages pass; nil lets all pass.
	reach func(from, to wick.EntryID) bool
	rnd   *rand.Rand
}

// SetFaults replaces the faults. The seed makes them repeatable.
func (ntw *Network) SetFaults(flt Faults, seed uint64) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.faults = flt
	ntw.rnd = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults need a repeatable generator
}

// SetReach sets which messages pass. Messages on their way are checked when
// they arrive.
func (ntw *Network) SetReach(reach func(from, to wick.EntryID) bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.reach = reach
}

// Join adds an entry. An entry of the same id is replaced, as by a restart.
func (ntw *Network) Join(eid wick.EntryID, inc wick.Incarnation) *Local {
	loc := &Local{ntw: ntw, eid: eid, inc: inc, Registry: metrics.NewRegistry()}
	loc.stop, loc.cancel = context.WithCancel(context.Background())
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

// A fate is what happens to one message.
type fate struct {
	lost  bool
	twice bool
	delay time.Duration
}

func (ntw *Network) fate() fate {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	flt := ntw.faults
	fat := fate{delay: flt.Delay}
	if ntw.rnd == nil {
		return fat
	}
	fat.lost = ntw.rnd.Float64() < float64(flt.Loss)
	fat.twice = ntw.rnd.Float64() < float64(flt.Duplicate)
	if flt.Jitter > 0 {
		fat.delay += time.Duration(ntw.rnd.Int64N(int64(flt.Jitter)))
	}
	if ntw.rnd.Float64() < float64(flt.Reorder) {
		fat.delay *= 10
	}
	return fat
}

// target returns the entry if messages from the sender reach it.
func (ntw *Network) target(from, to wick.EntryID) *Local {
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
	stop     context.Context
	cancel   context.CancelFunc
}

var _ wick.Peers = (*Local)(nil)

// Close ends the entry: it sends and handles nothing any more.
func (loc *Local) Close() { loc.cancel() }

// Call sends a message through the network.
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
	defer context.AfterFunc(loc.stop, cancel)()
	if loc.stop.Err() != nil {
		return eris.Wrap(wick.ErrStopped, "peer closed")
	}
	counters{loc.Registry}.add(dirSent, typ, len(data))
	// The channel holds the replies to the request and its duplicate.
	replies := make(chan []byte, 2)
	fat := loc.ntw.fate()
	if !fat.lost {
		go loc.deliver(ctx, fat.delay, to.ID, data, replies)
	}
	if fat.twice {
		go loc.deliver(ctx, 2*fat.delay+time.Millisecond, to.ID, data, replies)
	}
	select {
	case answer := <-replies:
		counters{loc.Registry}.add(dirReceived, typ, len(answer))
		return decodeReply(answer, to.ID, typ, out)
	case <-ctx.Done():
		return eris.Wrapf(wick.ErrUnavailable, "%s to %s: no reply", typ, to.ID)
	}
}

// deliver takes a request to its receiver and the reply back.
func (loc *Local) deliver(ctx context.Context, delay time.Duration, to wick.EntryID, data []byte, replies chan<- []byte) {
	if !pause(loc.stop, delay) {
		return
	}
	dst := loc.ntw.target(loc.eid, to)
	if dst == nil || dst.stop.Err() != nil {
		return
	}
	answer, ok := dst.serve(data)
	if !ok {
		return
	}
	fat := loc.ntw.fate()
	if fat.lost || !pause(ctx, fat.delay) || loc.ntw.target(to, loc.eid) == nil {
		return
	}
	replies <- answer
}

// serve handles an encoded request as the QUIC transport does.
func (loc *Local) serve(data []byte) ([]byte, bool) {
	env, err := DecodeEnvelope(data)
	rep := failure(wick.ErrInvalid)
	if err != nil {
		counters{loc.Registry}.refuse(refusedMessage)
	} else {
		counters{loc.Registry}.add(dirReceived, env.Type, len(data))
		ctx, cancel := context.WithTimeout(loc.stop, callTimeout)
		rep = loc.dispatch(ctx, env)
		cancel()
	}
	answer, err := encodeReply(loc.eid, loc.inc, env.Type, rep)
	if err != nil || loc.stop.Err() != nil {
		return nil, false
	}
	counters{loc.Registry}.add(dirSent, env.Type, len(answer))
	return answer, true
}

// pause waits and returns whether the context is still live.
func pause(ctx context.Context, delay time.Duration) bool {
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
