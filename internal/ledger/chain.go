package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// Retention is how long a sealed segment is kept after sealing.
	Retention = 24 * time.Hour
	// retentionSlack extends the retention before deletion, because the clocks
	// of the sealing and the deleting entry may differ.
	retentionSlack = 10 * time.Minute
	// maxRetained bounds the list of sealed segments in the open one. At 30
	// bytes an item the list takes 120 KB, and the indexes of 256 KB segments
	// take about 32 MB.
	maxRetained = 4096
	// maxPendingDeletes bounds the expired segments in one write of the open
	// segment.
	maxPendingDeletes = 16
	// maxCachedSegments bounds the cache of sealed segments, which have up to
	// 700 KB each.
	maxCachedSegments = 2
	// callTimeout bounds one platform call, which normally takes milliseconds.
	callTimeout = 2 * time.Second
)

// errSegmentChanged reports that the open segment has changed since it was
// read.
var errSegmentChanged = errors.New("ledger: open segment has changed")

// errNeedsReload reports that a decision requires a new read of the open
// segment.
var errNeedsReload = errors.New("ledger: open segment must be reloaded")

// A chain caches the segments of a shard as this entry last read or wrote them.
// It is not safe for concurrent use.
type chain struct {
	sto   wick.Store
	shard wick.Shard
	cfg   *settings
	// rev is the revision of seg, zero when the shard has none yet.
	rev wick.Revision
	seg *segment
	// size is the length of seg's JSON.
	size int
	// pos holds the index of each key in seg.Claims.
	pos map[digest]int
	// encoded holds the JSON of each of seg.Claims, nil where it has changed.
	encoded [][]byte
	// index holds the sorted key bits of each sealed segment, 8 bytes a claim.
	index map[uint64][]uint64
	// cache holds the sealed segments loaded last, at most maxCachedSegments,
	// since the outcomes of a segment's last claims arrive shortly after its
	// sealing.
	cache []*sealedSegment
	// reads and writes count platform calls.
	reads, writes int64
}

// A sealedSegment is a sealed segment with the index of each key.
type sealedSegment struct {
	seg *segment
	pos map[digest]int
}

// positions returns the index of each key in claims.
func positions(claims []claim) map[digest]int {
	pos := make(map[digest]int, len(claims))
	for idx := range claims {
		pos[claims[idx].Key] = idx
	}
	return pos
}

// load reads the open segment. A missing object is an empty chain: the first
// write is conditional on its absence, so a stale read can't overwrite claims.
func (chn *chain) load(ctx context.Context, now time.Time) error {
	chn.invalidate()
	obj, err := chn.get(ctx, openKey(chn.shard))
	seg := &segment{Shard: chn.shard, Seq: 1, Opened: unix(now)}
	if err == nil {
		err = json.Unmarshal(obj.Data, seg)
	} else if errors.Is(err, wick.ErrNotFound) {
		err = nil
	}
	if err != nil {
		return err
	}
	chn.seg, chn.rev, chn.size = seg, obj.Revision, len(obj.Data)
	chn.pos, chn.encoded = positions(seg.Claims), make([][]byte, len(seg.Claims))
	return chn.loadIndexes(ctx)
}

// invalidate discards the cached open segment, which may differ from the stored
// one.
func (chn *chain) invalidate() { chn.seg, chn.rev, chn.pos, chn.encoded = nil, 0, nil, nil }

func (chn *chain) loadIndexes(ctx context.Context) error {
	listed := make(map[uint64]bool, len(chn.seg.Retained))
	for _, ref := range chn.seg.Retained {
		listed[ref.Seq] = true
		if _, ok := chn.index[ref.Seq]; ok {
			continue
		}
		old, err := chn.readSealed(ctx, ref.Seq)
		if err != nil {
			return err
		}
		chn.addIndex(old)
	}
	for seq := range chn.index {
		if !listed[seq] {
			delete(chn.index, seq)
		}
	}
	return nil
}

func (chn *chain) addIndex(seg *segment) {
	bits := make([]uint64, len(seg.Claims))
	for idx := range seg.Claims {
		bits[idx] = seg.Claims[idx].Key.bits()
	}
	slices.Sort(bits)
	if chn.index == nil {
		chn.index = make(map[uint64][]uint64)
	}
	chn.index[seg.Seq] = bits
}

// readSealed reads a sealed segment. One that is listed but not found was
// deleted since, or the read is stale. Neither proves that its keys are free,
// so the caller has to reload the open segment.
func (chn *chain) readSealed(ctx context.Context, seq uint64) (*segment, error) {
	obj, err := chn.get(ctx, sealedKey(chn.shard, seq))
	if errors.Is(err, wick.ErrNotFound) {
		return nil, errSegmentChanged
	}
	if err != nil {
		return nil, err
	}
	seg := &segment{}
	if err := json.Unmarshal(obj.Data, seg); err != nil {
		return nil, eris.Wrap(err, "ledger: decode sealed segment")
	}
	if seg.Seq != seq || seg.Sealed == 0 {
		return nil, errSegmentChanged
	}
	return seg, nil
}

// cachedSegment returns a sealed segment from the cache, or reads it from the
// platform on a miss.
func (chn *chain) cachedSegment(ctx context.Context, seq uint64) (*sealedSegment, error) {
	for _, old := range chn.cache {
		if old.seg.Seq == seq {
			return old, nil
		}
	}
	seg, err := chn.readSealed(ctx, seq)
	if err != nil {
		return nil, err
	}
	return chn.cacheSegment(seg), nil
}

func (chn *chain) cacheSegment(seg *segment) *sealedSegment {
	old := &sealedSegment{seg: seg, pos: positions(seg.Claims)}
	chn.cache = append(chn.cache, old)
	if len(chn.cache) > maxCachedSegments {
		chn.cache = slices.Clone(chn.cache[1:])
	}
	return old
}

// lookup returns the newest record of a key, or nil.
func (chn *chain) lookup(ctx context.Context, key digest) (*claim, error) {
	if idx, ok := chn.pos[key]; ok {
		clm := chn.seg.Claims[idx]
		return &clm, nil
	}
	for idx := len(chn.seg.Retained) - 1; idx >= 0; idx-- {
		seq := chn.seg.Retained[idx].Seq
		if _, ok := slices.BinarySearch(chn.index[seq], key.bits()); !ok {
			continue
		}
		old, err := chn.cachedSegment(ctx, seq)
		if err != nil {
			return nil, err
		}
		if jdx, ok := old.pos[key]; ok {
			clm := old.seg.Claims[jdx]
			return &clm, nil
		}
	}
	return nil, nil //nolint:nilnil // a missing record is not an error
}

// set inserts or replaces a claim in the open segment, in memory.
func (chn *chain) set(clm claim) {
	if idx, ok := chn.pos[clm.Key]; ok {
		chn.seg.Claims[idx], chn.encoded[idx] = clm, nil
		return
	}
	chn.pos[clm.Key] = len(chn.seg.Claims)
	chn.seg.Claims, chn.encoded = append(chn.seg.Claims, clm), append(chn.encoded, nil)
}

// encode returns the JSON of seg, which has the claims of the open segment.
// Claims that have not changed since the last write are not encoded again,
// because a write carries up to some thousand of them 20 times a second.
func (chn *chain) encode(seg segment) ([]byte, error) {
	size := 0
	for idx := range seg.Claims {
		if chn.encoded[idx] == nil {
			raw, err := json.Marshal(&seg.Claims[idx])
			if err != nil {
				return nil, eris.Wrap(err, "ledger: encode claim")
			}
			chn.encoded[idx] = raw
		}
		size += len(chn.encoded[idx]) + 1
	}
	seg.Claims = nil
	head, err := json.Marshal(&seg)
	if err != nil {
		return nil, eris.Wrap(err, "ledger: encode segment")
	}
	// Claims is the last field.
	head, ok := bytes.CutSuffix(head, []byte("null}"))
	if !ok {
		return nil, eris.New("ledger: encode segment: claims are not last")
	}
	out := make([]byte, 0, len(head)+size+2)
	out = append(append(out, head...), '[')
	for idx, raw := range chn.encoded {
		if idx > 0 {
			out = append(out, ',')
		}
		out = append(out, raw...)
	}
	return append(out, "]}"...), nil
}

// put writes the open segment if its revision in the platform is unchanged.
// After an error the chain must be loaded again.
func (chn *chain) put(ctx context.Context) error {
	chn.seg.WriteID = wick.NewWriteID()
	data, err := chn.encode(*chn.seg)
	if err != nil {
		chn.invalidate()
		return err
	}
	chn.writes++
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := chn.sto.Put(cctx, openKey(chn.shard), data, chn.rev)
	if err != nil {
		chn.invalidate()
		return err
	}
	chn.rev, chn.size = rev, len(data)
	return nil
}

// needsSeal reports whether the open segment has to be sealed.
func (chn *chain) needsSeal(now time.Time) bool {
	old := now.Sub(time.Unix(chn.seg.Opened, 0)) >= chn.cfg.segmentAge
	return len(chn.seg.Claims) > 0 && (old || chn.size >= chn.cfg.segmentBytes)
}

// rollOver seals a full segment by a conditional update, copies it to an object
// of its own and replaces it by an empty one in memory; the next put makes the
// empty one durable. Any entry can complete a rollover that another one
// started, because a sealed segment is immutable and all copies of it are
// equal.
func (chn *chain) rollOver(ctx context.Context, now time.Time) error {
	if chn.seg.Sealed == 0 {
		if !chn.needsSeal(now) {
			return nil
		}
		if len(chn.seg.Retained) >= maxRetained {
			return eris.Wrap(wick.ErrBusy, "ledger: too many retained segments")
		}
		chn.seg.Sealed = unix(now)
		if num := len(chn.seg.Retained); num > 0 {
			chn.seg.Sealed = max(chn.seg.Sealed, chn.seg.Retained[num-1].Sealed)
		}
		if err := chn.put(ctx); err != nil {
			return err
		}
	}
	dup := *chn.seg
	dup.Retained, dup.PendingDeletes = nil, nil
	data, err := chn.encode(dup)
	if err != nil {
		return err
	}
	chn.writes++
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = chn.sto.Put(cctx, sealedKey(chn.shard, dup.Seq), data, 0)
	// A conflict means that the copy exists already.
	if err != nil && !errors.Is(err, wick.ErrConflict) {
		return err
	}
	chn.addIndex(&dup)
	chn.cacheSegment(&dup)
	refs := append(slices.Clone(chn.seg.Retained), sealedRef{Seq: dup.Seq, Sealed: dup.Sealed})
	chn.seg = &segment{
		Shard: chn.shard, Seq: dup.Seq + 1, Opened: unix(now), Retained: refs, PendingDeletes: chn.seg.PendingDeletes,
	}
	chn.pos, chn.encoded = make(map[digest]int), nil
	return nil
}

// expire moves segments past the retention period from Retained to
// PendingDeletes, in memory. The objects are deleted only after this change is
// durable.
func (chn *chain) expire(now time.Time) {
	cutoff := unix(now.Add(-Retention - retentionSlack))
	for len(chn.seg.Retained) > 0 && len(chn.seg.PendingDeletes) < maxPendingDeletes && chn.seg.Retained[0].Sealed < cutoff {
		seq := chn.seg.Retained[0].Seq
		chn.seg.PendingDeletes = append(chn.seg.PendingDeletes, seq)
		chn.seg.Retained = chn.seg.Retained[1:]
		delete(chn.index, seq)
	}
}

func (chn *chain) get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	chn.reads++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return chn.sto.Get(ctx, key)
}
