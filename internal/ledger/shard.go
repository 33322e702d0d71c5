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
	// maxQueued bounds the requests that wait at a shard.
	maxQueued = 8192
	// maxBatchBytes bounds the growth of a segment by one write, so that a
	// segment of 256 KB stays under 900 KB with its list of sealed ones.
	maxBatchBytes = 384 << 10
	// maxFailures is how many platform errors in a row fail a batch. With the
	// back-off this takes about 0.2 s, after which the caller is refused or
	// another path is tried.
	maxFailures = 4
	// maxConflicts bounds the updates lost in a row to other writers. Each
	// one means that another writer succeeded.
	maxConflicts = 100
	firstBackoff = 25 * time.Millisecond
)

// A task is a request waiting at a shard.
type task struct {
	ctx    context.Context //nolint:containedctx // the batch drops tasks whose caller has gone
	req    *request
	answer chan answer
}

// A shard batches requests into conditional updates of its open segment. Its
// goroutine exists only while requests wait.
type shard struct {
	cfg *settings
	jud *judge
	lim *rate.Limiter

	mu      sync.Mutex
	queue   []*task
	running bool
	// sweeping is set while a sweep runs, swept lists what the last deleted.
	sweeping bool
	swept    []uint64
	// batches, conflicts and failures count for the state dump.
	batches, conflicts, failures int64

	// chn belongs to the goroutine while running is set.
	chn chain
}

func newShard(sto wick.Store, num wick.Shard, cfg *settings, jud *judge) *shard {
	return &shard{
		cfg: cfg, jud: jud, lim: rate.NewLimiter(writesPerSecond, 1),
		chn: chain{sto: sto, shard: num, cfg: cfg},
	}
}

// do queues a request and waits for its answer.
func (shd *shard) do(ctx context.Context, req *request) answer {
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
		go shd.work()
	}
	select {
	case ans := <-tsk.answer:
		return ans
	case <-ctx.Done():
		return answer{err: eris.Wrap(wick.ErrUnavailable, "ledger: no answer in time")}
	}
}

func (shd *shard) work() {
	ctx := context.Background()
	for {
		shd.mu.Lock()
		if len(shd.queue) == 0 {
			shd.running = false
			shd.chn.recent = nil
			shd.mu.Unlock()
			return
		}
		shd.mu.Unlock()
		// Requests that arrive during this wait join the batch.
		if err := shd.lim.Wait(ctx); err != nil {
			log.WithError(err).Error("ledger: rate limit failed")
		}
		shd.batch(ctx, shd.take())
	}
}

// take returns the next requests, up to the size limit of one write.
func (shd *shard) take() []*task {
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

// batch answers all tasks. It tries again after conflicts and platform errors;
// since a request finds its own earlier effect, a write whose response was
// lost is settled by the next try.
func (shd *shard) batch(ctx context.Context, tsks []*task) {
	failures, conflicts := 0, 0
	backoff := firstBackoff
	var err error
	for failures < maxFailures && conflicts < maxConflicts {
		tsks = waiting(tsks)
		if len(tsks) == 0 {
			return
		}
		writes := shd.chn.writes
		err = shd.try(ctx, tsks)
		shd.charge(shd.chn.writes - writes)
		if err == nil {
			return
		}
		if errors.Is(err, wick.ErrBusy) {
			break
		}
		shd.chn.forget()
		if errors.Is(err, errCached) {
			continue
		}
		if errors.Is(err, wick.ErrConflict) || errors.Is(err, errChanged) {
			conflicts++
			shd.count(&shd.conflicts)
			if errors.Is(err, errChanged) {
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

// charge takes the writes beyond the first, which seal and copy a segment, from
// the rate limit of later batches.
func (shd *shard) charge(writes int64) {
	for ; writes > 1; writes-- {
		shd.lim.Reserve()
	}
}

func (shd *shard) count(num *int64) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	*num++
}

// waiting drops the tasks whose caller has gone.
func waiting(tsks []*task) []*task {
	out := tsks[:0]
	for _, tsk := range tsks {
		if tsk.ctx.Err() == nil {
			out = append(out, tsk)
		}
	}
	return out
}

// try decides the tasks on the open segment and makes the decisions durable by
// one conditional update. Only after it succeeded are they answered. If
// nothing changes, the answers need a segment read after the request came.
func (shd *shard) try(ctx context.Context, tsks []*task) error {
	now := shd.cfg.clk.Now()
	chn := &shd.chn
	fresh := chn.seg == nil
	if fresh {
		if err := chn.load(ctx, now); err != nil {
			return err
		}
	}
	if err := chn.roll(ctx, now); err != nil {
		return err
	}
	chn.expire(now)
	shd.clearTrash()
	answers := make([]answer, len(tsks))
	changed := chn.seg.WriteID == ""
	for idx, tsk := range tsks {
		old, err := chn.find(ctx, tsk.req.key)
		if err != nil {
			return err
		}
		ans, next := shd.jud.decide(tsk.req, old, now)
		if next != nil {
			chn.set(*next)
		}
		// A stale read could hide the claim of an outcome. A write succeeds
		// only if the read was current.
		changed = changed || next != nil || tsk.req.outcome != "" && ans.err != nil
		answers[idx] = ans
	}
	if !changed && !fresh {
		return errCached
	}
	if changed {
		if err := chn.put(ctx); err != nil {
			return err
		}
		shd.count(&shd.batches)
		shd.startSweep(chn.seg.Trash)
	}
	for idx, tsk := range tsks {
		tsk.answer <- answers[idx]
	}
	return nil
}

// startSweep deletes the objects of expired segments in the background. The
// list in the platform no longer names them, so no reader needs them.
func (shd *shard) startSweep(trash []uint64) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if len(trash) == 0 || shd.sweeping {
		return
	}
	shd.sweeping = true
	seqs := append([]uint64(nil), trash...)
	swp := sweeper{sto: shd.chn.sto, shard: shd.chn.shard, lim: rate.NewLimiter(writesPerSecond, 1)}
	go func() {
		done := swp.sweep(context.Background(), seqs)
		shd.mu.Lock()
		defer shd.mu.Unlock()
		shd.sweeping, shd.swept = false, done
	}()
}

// clearTrash takes the segments that were deleted from the trash, in memory.
func (shd *shard) clearTrash() {
	shd.mu.Lock()
	swept := shd.swept
	shd.swept = nil
	shd.mu.Unlock()
	seg := shd.chn.seg
	seg.Trash = slices.DeleteFunc(seg.Trash, func(seq uint64) bool { return slices.Contains(swept, seq) })
}
