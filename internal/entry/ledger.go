package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/ledger"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A lazyLedger is a wick.Ledger that is unavailable until the first bundle
// sets the number of shards, which never changes afterwards.
type lazyLedger struct {
	inner atomic.Pointer[ledger.Ledger]
}

var _ wick.Ledger = (*lazyLedger)(nil)

func (lzl *lazyLedger) get() (*ledger.Ledger, error) {
	if led := lzl.inner.Load(); led != nil {
		return led, nil
	}
	return nil, eris.Wrap(wick.ErrUnavailable, "entry: no bundle yet")
}

// Claim requests permission to send a call.
func (lzl *lazyLedger) Claim(ctx context.Context, query wick.ClaimQuery) (wick.ClaimResult, error) {
	led, err := lzl.get()
	if err != nil {
		return wick.ClaimResult{}, err
	}
	return led.Claim(ctx, query)
}

// Record stores the outcome of a granted claim.
func (lzl *lazyLedger) Record(ctx context.Context, query wick.ClaimQuery, out wick.ClaimOutcome) error {
	led, err := lzl.get()
	if err != nil {
		return err
	}
	return led.Record(ctx, query, out)
}

func (lzl *lazyLedger) handler(typ wick.MessageType) wick.PeerHandler {
	return func(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
		led, err := lzl.get()
		if err != nil {
			return nil, err
		}
		return led.Handlers()[typ](ctx, from, body)
	}
}

func (lzl *lazyLedger) dump() any {
	led, err := lzl.get()
	if err != nil {
		return nil
	}
	return led.Dump()
}

// startLedger creates the ledger when the first bundle is active.
func (ent *Entry) startLedger(shards int) {
	if ent.ledger.inner.Load() != nil {
		return
	}
	led := ledger.New(ent.store, ent.self.ID, ent.self.Incarnation,
		ledger.WithShards(shards),
		ledger.WithPeers(ent.peers, ent.shardOwner, func() []wick.Member { return ent.view.Live(time.Now()) }))
	ent.ledger.inner.CompareAndSwap(nil, led)
}

// shardOwner returns the entry that batches the writes of a shard. It needs no
// lease: a wrong owner causes write conflicts but never affects safety.
func (ent *Entry) shardOwner(shd wick.Shard) (wick.Member, bool) {
	var listed []wick.Member
	if mbs := ent.listed.Load(); mbs != nil {
		listed = *mbs
	}
	return ent.view.Owner(fmt.Sprintf("ledger-%d", shd), listed, time.Now())
}
