package bench

import (
	"container/list"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxEvents bounds the cache events of one reply, as at the engines.
const maxEvents = 1000

// A Rates is what an engine model can do. The fields are those of fake.Engine.
type Rates struct {
	Slots       int
	MaxWaiting  int
	PrefillRate wick.Tokens
	DecodeTime  time.Duration
	DecodeLoad  time.Duration
	CacheBlocks int
	// Lag is how late load reports and cache events are.
	Lag time.Duration
}

// A cacheEvent is a cache event and when it happened.
type cacheEvent struct {
	wick.CacheEvent
	at time.Time
}

// An engine is a model of one endpoint. Unlike fake.Engine it does not cache
// the text of answers, which no trace asks for again.
type engine struct {
	Rates
	tml     *timeline
	vm      wick.VM
	leaving bool
	gone    bool
	running int
	waiting []*call
	// calls are those running or waiting, in the order of arrival.
	calls []*call
	// prefill counts tokens that wait for their prefill, up to prefillFree.
	prefill     wick.Tokens
	prefillFree time.Time
	recomputed  wick.Tokens

	order  list.List
	items  map[uint64]*list.Element
	seq    uint64
	events []cacheEvent
	// bornAt and diedAt bound the hours that the VM costs.
	bornAt, diedAt time.Time
}

// A call is one attempt at an engine.
type call struct {
	version wick.ModelVersion
	// tokens of the input, the continuation included. blocks are the hashes
	// of the prompt's whole blocks.
	tokens wick.Tokens
	blocks []uint64
	// next is the index of the next token, count the length of the answer.
	next, count wick.Tokens
	cached      wick.Tokens
	ended       bool
	// step is added to each token, first to the first one: a slow version.
	step, first time.Duration
	fail        error
	// onToken is called per token, onEnd once unless the call was cancelled.
	onToken func()
	onEnd   func(err error)
}

func newEngine(tml *timeline, vm wick.VM, rts Rates) *engine {
	return &engine{
		Rates: rts, tml: tml, vm: vm, items: make(map[uint64]*list.Element),
		bornAt: tml.now,
	}
}

// start takes a call or refuses it.
func (eng *engine) start(cll *call) error {
	switch {
	case eng.gone:
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

// begin gives a call a slot and prefills its input, one input after another.
func (eng *engine) begin(cll *call) {
	eng.running++
	if cll.fail != nil {
		eng.tml.after(0, func() { eng.end(cll, cll.fail) })
		return
	}
	cll.cached = min(wick.Tokens(eng.match(cll.blocks)*wick.PrefixBlockBytes/bytesPerToken), cll.tokens)
	todo := max(1, cll.tokens-cll.cached)
	if eng.prefillFree.Before(eng.tml.now) {
		eng.prefillFree = eng.tml.now
	}
	eng.prefillFree = eng.prefillFree.Add(time.Duration(float64(todo) / float64(eng.PrefillRate) * float64(time.Second)))
	eng.prefill += todo
	eng.tml.after(eng.prefillFree.Sub(eng.tml.now)+cll.first, func() {
		eng.prefill -= todo
		if cll.ended {
			return
		}
		eng.recomputed += todo
		eng.store(cll.blocks)
		eng.decode(cll)
	})
}

// decode generates one token after another.
func (eng *engine) decode(cll *call) {
	if cll.next >= cll.count {
		// The end of an answer is a use of its prompt's blocks.
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

// end ends a call and gives its slot to the next one.
func (eng *engine) end(cll *call, err error) {
	if cll.ended {
		return
	}
	eng.cancel(cll)
	cll.onEnd(err)
}

// cancel ends a call without telling its caller.
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
	if len(eng.waiting) > 0 && !eng.gone {
		next := eng.waiting[0]
		eng.waiting = eng.waiting[1:]
		eng.begin(next)
	}
}

// reclaim announces the end of the VM.
func (eng *engine) reclaim(notice time.Duration) {
	eng.leaving = true
	eng.vm.State, eng.vm.ReclaimAt = wick.VMLeaving, eng.tml.now.Add(notice)
	eng.tml.after(notice, func() {
		eng.gone, eng.diedAt = true, eng.tml.now
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

// load returns the load report of this moment.
func (eng *engine) load() wick.LoadReport {
	return wick.LoadReport{
		VM: eng.vm.ID, Versions: eng.vm.Versions, Running: eng.running, Waiting: len(eng.waiting), Slots: eng.Slots,
		PrefillTokens: eng.prefill, Leaving: eng.leaving, ReclaimAt: eng.vm.ReclaimAt, At: eng.tml.now,
	}
}

// match returns how many blocks the cache holds, as fake.Engine counts them.
func (eng *engine) match(blocks []uint64) int {
	for idx := len(blocks) - 1; idx >= 0; idx-- {
		if elm, ok := eng.items[blocks[idx]]; ok {
			eng.order.MoveToFront(elm)
			return idx + 1
		}
	}
	return 0
}

// store adds blocks and drops those that were unused for longest.
func (eng *engine) store(blocks []uint64) {
	for _, hash := range blocks {
		if elm, ok := eng.items[hash]; ok {
			eng.order.MoveToFront(elm)
			continue
		}
		eng.items[hash] = eng.order.PushFront(hash)
		eng.note(hash, true)
		if len(eng.items) > eng.CacheBlocks {
			if old, ok := eng.order.Remove(eng.order.Back()).(uint64); ok {
				delete(eng.items, old)
				eng.note(old, false)
			}
		}
	}
}

func (eng *engine) note(hash uint64, stored bool) {
	eng.seq++
	eng.events = append(eng.events, cacheEvent{wick.CacheEvent{Seq: eng.seq, Hash: hash, Stored: stored}, eng.tml.now})
	if len(eng.events) > 16*maxEvents {
		eng.events = append([]cacheEvent(nil), eng.events[8*maxEvents:]...)
	}
}

// cacheEvents returns the events after seq that are visible.
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
