package bench

import (
	"container/list"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxEvents is the maximum number of cache events in one reply, as in
// internal/fake.
const maxEvents = 1000

// Rates are the capacity and speed of an engine model. The fields correspond to
// those of fake.Engine.
type Rates struct {
	Slots       int
	MaxWaiting  int
	PrefillRate wick.Tokens
	DecodeTime  time.Duration
	DecodeLoad  time.Duration
	CacheBlocks int
	// Lag is the delay of load reports and cache events.
	Lag time.Duration
}

// A cacheEvent is a cache event with its time.
type cacheEvent struct {
	wick.CacheEvent
	at time.Time
}

// An engine is a model of one endpoint. Unlike fake.Engine it does not cache
// the text of answers, because no trace reuses it.
type engine struct {
	Rates
	tml        *timeline
	vm         wick.VM
	leaving    bool
	terminated bool
	running    int
	waiting    []*call
	// calls are the running and waiting calls in order of arrival.
	calls []*call
	// prefill is the number of tokens queued for prefill. The prefill queue is
	// empty from prefillIdleAt on.
	prefill       wick.Tokens
	prefillIdleAt time.Time
	recomputed    wick.Tokens

	order  list.List
	items  map[uint64]*list.Element
	seq    uint64
	events []cacheEvent
	// startedAt and stoppedAt bound the billed time of the VM.
	startedAt, stoppedAt time.Time
}

// A call is one attempt at an engine.
type call struct {
	version wick.ModelVersion
	// tokens is the length of the input including the continuation. blocks are
	// the hashes of the complete blocks of the prompt.
	tokens wick.Tokens
	blocks []uint64
	// next is the index of the next token, count the length of the answer.
	next, count wick.Tokens
	cached      wick.Tokens
	ended       bool
	// step is the extra latency of each token, first that of the first token;
	// slow versions set them.
	step, first time.Duration
	fail        error
	// onToken is called for every token, onEnd once unless the call is
	// cancelled.
	onToken func()
	onEnd   func(err error)
}

func newEngine(tml *timeline, vm wick.VM, rts Rates) *engine {
	return &engine{
		Rates: rts, tml: tml, vm: vm, items: make(map[uint64]*list.Element),
		startedAt: tml.now,
	}
}

// start accepts a call or returns the reason for its rejection.
func (eng *engine) start(cll *call) error {
	switch {
	case eng.terminated:
		return wick.ErrNotSent
	case eng.leaving:
		return wick.ErrLeaving
	case eng.running < eng.Slots:
		eng.calls = append(eng.calls, cll)
		eng.begin(cll)
	case len(eng.waiting) >= eng.MaxWaiting:
		return wick.ErrBusy
	default:
		eng.calls = append(eng.calls, cll)
		eng.waiting = append(eng.waiting, cll)
	}
	return nil
}

// begin occupies a slot and prefills the input. Prefills run sequentially.
func (eng *engine) begin(cll *call) {
	eng.running++
	if cll.fail != nil {
		eng.tml.after(0, func() { eng.end(cll, cll.fail) })
		return
	}
	cll.cached = min(wick.Tokens(eng.match(cll.blocks)*wick.PrefixBlockBytes/bytesPerToken), cll.tokens)
	uncached := max(1, cll.tokens-cll.cached)
	if eng.prefillIdleAt.Before(eng.tml.now) {
		eng.prefillIdleAt = eng.tml.now
	}
	eng.prefillIdleAt = eng.prefillIdleAt.Add(time.Duration(float64(uncached) / float64(eng.PrefillRate) * float64(time.Second)))
	eng.prefill += uncached
	eng.tml.after(eng.prefillIdleAt.Sub(eng.tml.now)+cll.first, func() {
		eng.prefill -= uncached
		if cll.ended {
			return
		}
		eng.recomputed += uncached
		eng.store(cll.blocks)
		eng.decode(cll)
	})
}

// decode generates the next token until the answer is complete.
func (eng *engine) decode(cll *call) {
	if cll.next >= cll.count {
		// Completing an answer marks its prompt blocks as recently used.
		eng.store(cll.blocks)
		eng.end(cll, nil)
		return
	}
	step := eng.DecodeTime + time.Duration(eng.running-1)*eng.DecodeLoad + cll.step
	eng.tml.after(step, func() {
		if cll.ended {
			return
		}
		cll.next++
		cll.onToken()
		if !cll.ended {
			eng.decode(cll)
		}
	})
}

// end ends a call, frees its slot for the next one and notifies the caller.
func (eng *engine) end(cll *call, err error) {
	if cll.ended {
		return
	}
	eng.cancel(cll)
	cll.onEnd(err)
}

// cancel ends a call and frees its slot without notifying the caller.
func (eng *engine) cancel(cll *call) {
	if cll.ended {
		return
	}
	cll.ended = true
	eng.calls = slices.DeleteFunc(eng.calls, func(oth *call) bool { return oth == cll })
	if idx := slices.Index(eng.waiting, cll); idx >= 0 {
		eng.waiting = slices.Delete(eng.waiting, idx, idx+1)
		return
	}
	eng.running--
	if len(eng.waiting) > 0 && !eng.terminated {
		next := eng.waiting[0]
		eng.waiting = eng.waiting[1:]
		eng.begin(next)
	}
}

// reclaim announces the termination of the VM and terminates it after notice.
func (eng *engine) reclaim(notice time.Duration) {
	eng.leaving = true
	eng.vm.State, eng.vm.ReclaimAt = wick.VMLeaving, eng.tml.now.Add(notice)
	eng.tml.after(notice, func() {
		eng.terminated, eng.stoppedAt = true, eng.tml.now
		eng.waiting = nil
		calls := eng.calls
		eng.calls = nil
		for _, cll := range calls {
			if !cll.ended {
				cll.ended = true
				cll.onEnd(wick.ErrTruncated)
			}
		}
	})
}

// load returns the current load report.
func (eng *engine) load() wick.LoadReport {
	return wick.LoadReport{
		VM: eng.vm.ID, Versions: eng.vm.Versions, Running: eng.running, Waiting: len(eng.waiting), Slots: eng.Slots,
		PrefillTokens: eng.prefill, Leaving: eng.leaving, ReclaimAt: eng.vm.ReclaimAt, At: eng.tml.now,
	}
}

// match returns the length in blocks of the longest cached prefix, as in
// fake.Engine.
func (eng *engine) match(blocks []uint64) int {
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		if elm, ok := eng.items[blocks[idx]]; ok {
			eng.order.MoveToFront(elm)
			return idx + 1
		}
	}
	return 0
}

// store adds blocks and evicts the least recently used ones.
func (eng *engine) store(blocks []uint64) {
	for _, hash := range blocks {
		if elm, ok := eng.items[hash]; ok {
			eng.order.MoveToFront(elm)
			continue
		}
		eng.items[hash] = eng.order.PushFront(hash)
		eng.recordEvent(hash, true)
		if len(eng.items) > eng.CacheBlocks {
			if evicted, ok := eng.order.Remove(eng.order.Back()).(uint64); ok {
				delete(eng.items, evicted)
				eng.recordEvent(evicted, false)
			}
		}
	}
}

func (eng *engine) recordEvent(hash uint64, stored bool) {
	eng.seq++
	eng.events = append(eng.events, cacheEvent{wick.CacheEvent{Seq: eng.seq, Hash: hash, Stored: stored}, eng.tml.now})
	if len(eng.events) > 16*maxEvents {
		eng.events = append([]cacheEvent(nil), eng.events[8*maxEvents:]...)
	}
}

// cacheEvents returns the events after sequence number after that are at least
// Lag old.
func (eng *engine) cacheEvents(after uint64) []wick.CacheEvent {
	var out []wick.CacheEvent
	if len(eng.events) == 0 {
		return out
	}
	first := eng.events[0].Seq
	for idx := max(0, int64(after+1)-int64(first)); idx < int64(len(eng.events)) && len(out) < maxEvents; idx++ { //nolint:gosec // sequence numbers are small
		if eng.tml.now.Sub(eng.events[idx].at) < eng.Lag {
			break
		}
		out = append(out, eng.events[idx].CacheEvent)
	}
	return out
}
