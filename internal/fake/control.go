package fake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Cancel cancels an attempt.
func (eng *Engine) Cancel(ctx context.Context, aid wick.AttemptID) error {
	const op = "fake: cancel"
	if err := eng.beginControl(ctx, op); err != nil {
		return err
	}
	eng.lock()
	defer eng.mu.Unlock()
	att, ok := eng.attempts[aid]
	if !ok {
		return wire.NewError(wick.ErrNotFound, op, nil)
	}
	att.cancel(wick.ErrStopped)
	return nil
}

// Export copies the KV cache of a running attempt. The handle encodes the
// number of blocks and the hash of the last one.
func (eng *Engine) Export(ctx context.Context, aid wick.AttemptID) (wick.KVHandle, error) {
	const op = "fake: export"
	if err := eng.beginControl(ctx, op); err != nil {
		return "", err
	}
	eng.lock()
	att, ok := eng.attempts[aid]
	var blocks []uint64
	if ok {
		blocks = wick.PrefixBlocks(att.text.String())
	}
	eng.mu.Unlock()
	if len(blocks) == 0 {
		return "", wire.NewError(wick.ErrNotFound, op, nil)
	}
	if err := eng.transfer(ctx, len(blocks)); err != nil {
		return "", wire.NewError(wick.ErrUnavailable, op, err)
	}
	return wick.KVHandle(fmt.Sprintf("kv-%d-%x", len(blocks), blocks[len(blocks)-1])), nil
}

// Import adds exported KV cache to the prefix cache.
func (eng *Engine) Import(ctx context.Context, handle wick.KVHandle) error {
	const op = "fake: import"
	if err := eng.beginControl(ctx, op); err != nil {
		return err
	}
	var num int
	var hash uint64
	if _, err := fmt.Sscanf(string(handle), "kv-%d-%x", &num, &hash); err != nil || num < 1 {
		return wire.NewError(wick.ErrNotFound, op, err)
	}
	if err := eng.transfer(ctx, num); err != nil {
		return wire.NewError(wick.ErrUnavailable, op, err)
	}
	eng.lock()
	defer eng.mu.Unlock()
	eng.storeBlocks([]uint64{hash})
	return nil
}

func (eng *Engine) transfer(ctx context.Context, blocks int) error {
	ctx, cancel := eng.attach(ctx)
	defer cancel(nil)
	return sleep(ctx, perToken(wick.Tokens(blocks*blockTokens), orTokens(eng.KVRate, defaultKVRate)))
}

// CacheEvents returns the events after the given sequence number that are
// at least CacheLag old.
func (eng *Engine) CacheEvents(ctx context.Context, after uint64) ([]wick.CacheEvent, error) {
	if err := eng.beginControl(ctx, "fake: cache events"); err != nil {
		return nil, err
	}
	eng.lock()
	defer eng.mu.Unlock()
	return eng.cache.events(after, eng.CacheLag), nil
}

// Order executes an order. An engine that does not check fencing tokens also
// executes stale orders and counts them.
func (eng *Engine) Order(ctx context.Context, ord wick.Order) error {
	const op = "fake: order"
	if err := eng.beginControl(ctx, op); err != nil {
		return err
	}
	eng.lock()
	defer eng.mu.Unlock()
	if ord.Fence < eng.fence {
		if eng.ChecksFence {
			return wire.NewError(wick.ErrStaleFence, op, nil)
		}
		eng.staleOrders++
	}
	eng.fence = max(eng.fence, ord.Fence)
	switch ord.Kind {
	case wick.OrderLoad:
		if _, ok := eng.versions[ord.Version]; !ok {
			eng.versions[ord.Version] = time.Now().Add(eng.LoadTime)
		}
	case wick.OrderUnload:
		delete(eng.versions, ord.Version)
	case wick.OrderDrain:
		eng.leaving = true
	default:
		return wire.NewError(wick.ErrInvalid, op, nil)
	}
	eng.snapshot()
	return nil
}

// StaleOrders returns the number of stale orders that were executed.
func (eng *Engine) StaleOrders() int {
	eng.lock()
	defer eng.mu.Unlock()
	return eng.staleOrders
}

// Recomputed returns the number of prefilled tokens, excluding cached ones.
func (eng *Engine) Recomputed() wick.Tokens {
	eng.lock()
	defer eng.mu.Unlock()
	return eng.recomputed
}

// Engines is a wick.Engine that calls fake engines in process. Its zero value
// has no engines.
type Engines struct {
	mu   sync.Mutex
	byVM map[wick.VMID]*Engine
}

var _ wick.Engine = (*Engines)(nil)

// Add makes an engine reachable under the id of its VM.
func (egs *Engines) Add(eng *Engine) {
	egs.mu.Lock()
	defer egs.mu.Unlock()
	if egs.byVM == nil {
		egs.byVM = make(map[wick.VMID]*Engine)
	}
	egs.byVM[eng.VM.ID] = eng
}

func (egs *Engines) get(vm wick.VM, kind error) (*Engine, error) {
	egs.mu.Lock()
	defer egs.mu.Unlock()
	eng, ok := egs.byVM[vm.ID]
	if !ok {
		return nil, wire.NewError(kind, "fake: dial", nil)
	}
	return eng, nil
}

// Generate runs an attempt with the same stream checks as the real client.
func (egs *Engines) Generate(ctx context.Context, vm wick.VM, gen wick.Generation, sink func(wick.Token) error) (wick.Generated, error) {
	eng, err := egs.get(vm, wick.ErrNotSent)
	if err != nil {
		return wick.Generated{}, err
	}
	if gen.Import != "" {
		// A failed import only means that the prefix is prefilled again.
		_ = eng.Import(ctx, gen.Import)
	}
	chk := engine.Checker{Attempt: gen.Attempt, Next: wick.Tokens(len(gen.Continue)), Sink: sink}
	if err := eng.Stream(ctx, gen, completionRoute(gen.Prompt), chk.HandleEvent); err != nil {
		return wick.Generated{}, err
	}
	out, err := chk.Result()
	if err != nil {
		return out, wire.NewError(wick.ErrTruncated, "fake: generate", err)
	}
	return out, nil
}

func completionRoute(pro wick.Prompt) string {
	if len(pro.Messages) > 0 {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Cancel cancels an attempt.
func (egs *Engines) Cancel(ctx context.Context, vm wick.VM, att wick.AttemptID) error {
	eng, err := egs.get(vm, wick.ErrUnavailable)
	if err != nil {
		return err
	}
	return eng.Cancel(ctx, att)
}

// Export copies the KV cache of an attempt.
func (egs *Engines) Export(ctx context.Context, vm wick.VM, att wick.AttemptID) (wick.KVHandle, error) {
	eng, err := egs.get(vm, wick.ErrUnavailable)
	if err != nil {
		return "", err
	}
	return eng.Export(ctx, att)
}

// Load returns an engine's load report.
func (egs *Engines) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	eng, err := egs.get(vm, wick.ErrUnavailable)
	if err != nil {
		return wick.LoadReport{}, err
	}
	return eng.Load(ctx)
}

// CacheEvents returns an engine's cache events.
func (egs *Engines) CacheEvents(ctx context.Context, vm wick.VM, after uint64) ([]wick.CacheEvent, error) {
	eng, err := egs.get(vm, wick.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	return eng.CacheEvents(ctx, after)
}

// Order sends an order to an engine.
func (egs *Engines) Order(ctx context.Context, vm wick.VM, ord wick.Order) error {
	eng, err := egs.get(vm, wick.ErrUnavailable)
	if err != nil {
		return err
	}
	err = eng.Order(ctx, ord)
	if errors.Is(err, wick.ErrStaleFence) {
		return wire.NewError(wick.ErrNotExecuted, "fake: order", err)
	}
	return err
}
