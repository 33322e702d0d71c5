package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A sweeper deletes the objects of expired segments.
type sweeper struct {
	sto   wick.Store
	shard wick.Shard
	lim   *rate.Limiter
}

// sweep deletes segments until an error occurs and returns those that no longer
// exist. The others stay pending for a later sweep.
func (swp *sweeper) sweep(ctx context.Context, seqs []uint64) []uint64 {
	var done []uint64
	for _, seq := range seqs {
		if err := swp.deleteSegment(ctx, seq); err != nil {
			log.WithError(err).WithField("shard", swp.shard).WithField("segment", seq).Warn("ledger: sweep failed")
			break
		}
		done = append(done, seq)
	}
	return done
}

// deleteSegment deletes the replies of a segment before the segment that refers
// to them.
func (swp *sweeper) deleteSegment(ctx context.Context, seq uint64) error {
	obj, err := swp.sto.Get(ctx, sealedKey(swp.shard, seq))
	if errors.Is(err, wick.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "ledger: read expired segment")
	}
	seg := &segment{}
	if err := json.Unmarshal(obj.Data, seg); err != nil {
		return eris.Wrap(err, "ledger: decode expired segment")
	}
	for idx := range seg.Claims {
		if !seg.Claims[idx].Stored {
			continue
		}
		if err := swp.deleteReply(ctx, replyKey(swp.shard, seg.Claims[idx].Owner)); err != nil {
			return err
		}
	}
	return swp.deleteObject(ctx, obj.Key, obj.Revision)
}

func (swp *sweeper) deleteReply(ctx context.Context, key wick.ObjectKey) error {
	obj, err := swp.sto.Get(ctx, key)
	if errors.Is(err, wick.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "ledger: read expired reply")
	}
	return swp.deleteObject(ctx, key, obj.Revision)
}

func (swp *sweeper) deleteObject(ctx context.Context, key wick.ObjectKey, rev wick.Revision) error {
	if err := swp.lim.Wait(ctx); err != nil {
		return eris.Wrap(err, "ledger: rate limit")
	}
	err := swp.sto.Delete(ctx, key, rev)
	if errors.Is(err, wick.ErrNotFound) {
		return nil
	}
	return eris.Wrap(err, "ledger: delete expired object")
}
