package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// writesPerSecond bounds a shard's writes of the open segment by one entry.
	writesPerSecond = 20
	// maxQueued bounds the queue of a shard.
	maxQueued = 8192
	// maxBatchBytes bounds the growth of a segment by one write, so that a
	// segment of 256 KB stays under 900 KB with its list of sealed ones.
	maxBatchBytes = 384 << 10
	// maxFailures is the number of consecutive platform errors that fail a
	// batch. With the backoff this takes about 0.4 s, after which the claim is
	// refused or another path is tried.
	maxFailures = 4
	// maxConflicts bounds the consecutive write conflicts of a batch. Each one
	// means that another writer succeeded.
	maxConflicts = 100
	firstBackoff = 25 * time.Millisecond
)

// A task is a request in the queue of a shard.
type task struct {
	ctx    context.Context //nolint:containedctx // tasks with a canceled context are dropped
	req    *request
	answer chan answer
}

// A shard batches requests into conditional updates of its open segment. Its
// goroutine runs only while requests are queued.
type shard struct {
	cfg *settings
	dec *decider
	lim *rate.Limiter

	mu      sync.Mutex
	queue   []*task
	running bool
	// sweeping is set while a sweep runs; swept lists the segments that the
	// last one deleted.
	sweeping bool
	swept    []uint64
	// batches, conflicts and failures are counters for the state dump.
	batches, conflicts, failures int64

	// chn is owned by the goroutine while running is set.
	chn chain
}

func newShard(sto wick.Store, num wick.Shard, cfg *settings, dec *decider) *shard {
	return &shard{
		cfg: cfg, dec: dec, lim: rate.NewLimiter(writesPerSecond, 1),
		chn: chain{sto: sto, shard: num, cfg: cfg},
	}
}

// submit queues a request and waits for its answer.
func (shd *shard) submit(ctx context.Context, req *request) answer {
	tsk := &task{ctx: ctx, req: req, answer: make(chan answer, 1)}
	shd.mu.Lock()
	if len(shd.queue) >= maxQueued {
		shd.mu.Unlock()
		return answer{err: eris.Wrap(wick.ErrBusy, "ledger: queue is full")}
	}
	shd.queue = append(shd.queue, tsk)
	start := !shd.running
	shd.running = true
	shd.mu.Unlock()
	if start {
		go shd.drainQueue()
	}
	select {
	case ans := <-tsk.answer:
		return ans
	case <-ctx.Done():
		return answer{err: eris.Wrap(wick.ErrUnavailable, "ledger: no answer before the deadline")}
	}
}

func (shd *shard) drainQueue() {
	ctx := context.Background()
	for {
		shd.mu.Lock()
		if len(shd.queue) == 0 {
			shd.running = false
			shd.chn.cache = nil
			shd.mu.Unlock()
			return
		}
		shd.mu.Unlock()
		// Requests that arrive during this wait are added to the batch.
		if err := shd.lim.Wait(ctx); err != nil {
			log.WithError(err).Error("ledger: rate limit failed")
		}
		shd.processBatch(ctx, shd.nextBatch())
	}
}

// nextBatch dequeues the next requests, up to the size limit of one write.
func (shd *shard) nextBatch() []*task {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	num, size := 0, 0
	for num < len(shd.queue) {
		size += shd.queue[num].req.size()
		if num > 0 && size > maxBatchBytes {
			break
		}
		num++
	}
	out := shd.queue[:num:num]
	shd.queue = append([]*task(nil), shd.queue[num:]...)
	return out
}

// processBatch answers all tasks. It retries after conflicts and platform
// errors. Requests are idempotent, so a retry also resolves a write whose
// response was lost.
func (shd *shard) processBatch(ctx context.Context, tsks []*task) {
	failures, conflicts := 0, 0
	backoff := firstBackoff
	var err error
	for failures < maxFailures && conflicts < maxConflicts {
		tsks = dropCanceled(tsks)
		if len(tsks) == 0 {
			return
		}
		writes := shd.chn.writes
		err = shd.tryBatch(ctx, tsks)
		shd.reserveWrites(shd.chn.writes - writes)
		if err == nil {
			return
		}
		if errors.Is(err, wick.ErrBusy) {
			break
		}
		shd.chn.invalidate()
		if errors.Is(err, errNeedsReload) {
			continue
		}
		if errors.Is(err, wick.ErrConflict) || errors.Is(err, errSegmentChanged) {
			conflicts++
			shd.count(&shd.conflicts)
			if errors.Is(err, errSegmentChanged) {
				time.Sleep(firstBackoff)
			}
			if werr := shd.lim.Wait(ctx); werr != nil {
				log.WithError(werr).Error("ledger: rate limit failed")
			}
			continue
		}
		failures++
		shd.count(&shd.failures)
		time.Sleep(backoff/2 + time.Duration(rand.Int64N(int64(backoff)))) //nolint:gosec // jitter
		backoff *= 2
	}
	if !errors.Is(err, wick.ErrBusy) {
		err = eris.Wrapf(wick.ErrUnavailable, "ledger: %v", err)
	}
	log.WithError(err).WithField("shard", shd.chn.shard).WithField("requests", len(tsks)).Warn("ledger: batch failed")
	for _, tsk := range tsks {
		tsk.answer <- answer{err: err}
	}
}

// reserveWrites charges the writes beyond the first, which seal and copy a
// segment, to the rate limit of later batches.
func (shd *shard) reserveWrites(writes int64) {
	for ; writes > 1; writes-- {
		shd.lim.Reserve()
	}
}

func (shd *shard) count(num *int64) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	*num++
}

// dropCanceled drops the tasks whose context has ended.
func dropCanceled(tsks []*task) []*task {
	out := tsks[:0]
	for _, tsk := range tsks {
		if tsk.ctx.Err() == nil {
			out = append(out, tsk)
		}
	}
	return out
}

// tryBatch decides the tasks on the open segment and makes the decisions
// durable by one conditional update. They are answered only after it succeeded.
// If nothing changes, the answers require a segment that was read after the
// requests arrived.
func (shd *shard) tryBatch(ctx context.Context, tsks []*task) error {
	now := shd.cfg.clk.Now()
	chn := &shd.chn
	fresh := chn.seg == nil
	if fresh {
		if err := chn.load(ctx, now); err != nil {
			return err
		}
	}
	if err := chn.rollOver(ctx, now); err != nil {
		return err
	}
	chn.expire(now)
	shd.clearDeleted()
	answers := make([]answer, len(tsks))
	changed := chn.seg.WriteID == ""
	for idx, tsk := range tsks {
		old, err := chn.lookup(ctx, tsk.req.key)
		if err != nil {
			return err
		}
		ans, next := shd.dec.decide(tsk.req, old, now)
		if next != nil {
			chn.set(*next)
		}
		// A stale read may miss the claim that an outcome belongs to. An error
		// for an outcome therefore forces a write, which succeeds only if the
		// read was current.
		changed = changed || next != nil || tsk.req.outcome != "" && ans.err != nil
		answers[idx] = ans
	}
	if !changed && !fresh {
		return errNeedsReload
	}
	if changed {
		if err := chn.put(ctx); err != nil {
			return err
		}
		shd.count(&shd.batches)
		shd.startSweep(chn.seg.PendingDeletes)
	}
	for idx, tsk := range tsks {
		tsk.answer <- answers[idx]
	}
	return nil
}

// startSweep deletes the objects of expired segments in the background. The
// stored list no longer refers to them, so no reader needs them.
func (shd *shard) startSweep(expired []uint64) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if len(expired) == 0 || shd.sweeping {
		return
	}
	shd.sweeping = true
	seqs := append([]uint64(nil), expired...)
	swp := sweeper{sto: shd.chn.sto, shard: shd.chn.shard, lim: rate.NewLimiter(writesPerSecond, 1)}
	go func() {
		done := swp.sweep(context.Background(), seqs)
		shd.mu.Lock()
		defer shd.mu.Unlock()
		shd.sweeping, shd.swept = false, done
	}()
}

// clearDeleted removes the deleted segments from PendingDeletes, in memory.
func (shd *shard) clearDeleted() {
	shd.mu.Lock()
	swept := shd.swept
	shd.swept = nil
	shd.mu.Unlock()
	seg := shd.chn.seg
	seg.PendingDeletes = slices.DeleteFunc(seg.PendingDeletes, func(seq uint64) bool { return slices.Contains(swept, seq) })
}
