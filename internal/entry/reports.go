package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// readsPerRound is the number of endpoints whose load reports are read every
	// 500 ms. More endpoints are spread over up to maxStride rounds: reading 64
	// endpoints twice a second took 73 KB/s per entry. A report every 2 s is
	// within the 3 s after which an endpoint with a stale report gets no calls.
	readsPerRound = 16
	maxStride     = 4
)

// reportLoop polls load reports and cache events and disseminates notices of
// leaving endpoints. It doesn't wait for slow endpoints, so that the reports of
// others don't go stale.
func (ent *Entry) reportLoop(ctx context.Context) {
	rds := &reportReads{events: eventCursors{after: make(map[wick.VMID]uint64)}, inFlight: make(map[wick.VMID]bool)}
	round := uint64(0)
	every(ctx, reportInterval, func(ctx context.Context) {
		watched := ent.route.PollTargets()
		for _, vm := range watched {
			if (!ent.loadsRead.Load() || isDue(vm.ID, round, len(watched))) && rds.begin(vm.ID) {
				rds.reads.Go(func() {
					defer rds.end(vm.ID)
					ent.readReport(ctx, vm, &rds.events)
				})
			}
		}
		if len(watched) > 0 && !ent.loadsRead.Load() {
			rds.reads.Wait()
			ent.loadsRead.Store(true)
		}
		round++
		ent.route.Tick(time.Now())
		for _, ntc := range ent.route.PopNotices() {
			ent.spread.AddLeaving(ctx, notice.Leaving{VM: ntc.VM, Since: ntc.Since, Source: ntc.Source})
		}
	})
	rds.reads.Wait()
}

// isDue reports whether an endpoint's report is read in a round.
func isDue(vid wick.VMID, round uint64, watched int) bool {
	stride := uint64(min((watched+readsPerRound-1)/readsPerRound, maxStride)) //nolint:gosec // positive
	return xxhash.Sum64String(string(vid))%stride == round%stride
}

// A reportReads tracks the reads of load reports that are in flight.
type reportReads struct {
	events eventCursors
	reads  sync.WaitGroup

	mu       sync.Mutex
	inFlight map[wick.VMID]bool
}

// begin reports whether no read of the endpoint was in flight, and marks one as
// started if so.
func (rds *reportReads) begin(vid wick.VMID) bool {
	rds.mu.Lock()
	defer rds.mu.Unlock()
	if rds.inFlight[vid] {
		return false
	}
	rds.inFlight[vid] = true
	return true
}

func (rds *reportReads) end(vid wick.VMID) {
	rds.mu.Lock()
	defer rds.mu.Unlock()
	delete(rds.inFlight, vid)
}

// An eventCursors holds the last cache event read from each endpoint.
type eventCursors struct {
	mu    sync.Mutex
	after map[wick.VMID]uint64
}

func (ecs *eventCursors) get(vid wick.VMID) uint64 {
	ecs.mu.Lock()
	defer ecs.mu.Unlock()
	return ecs.after[vid]
}

func (ecs *eventCursors) set(vid wick.VMID, after uint64) {
	ecs.mu.Lock()
	defer ecs.mu.Unlock()
	ecs.after[vid] = after
}

func (ent *Entry) readReport(ctx context.Context, vm wick.VM, events *eventCursors) {
	sent := time.Now()
	if ent.isPlain(vm.Service) {
		if rep, err := ent.plain.Load(ctx, vm); err == nil {
			ent.route.Report(vm.ID, rep, sent, time.Now())
		}
		return
	}
	rep, err := ent.engine.Load(ctx, vm)
	if err != nil {
		return
	}
	ent.route.Report(vm.ID, rep, sent, time.Now())
	evs, err := ent.engine.CacheEvents(ctx, vm, events.get(vm.ID))
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			logrus.WithError(err).WithField("vm", vm.ID).Debug("entry: reading cache events failed")
		}
		return
	}
	if len(evs) > 0 {
		events.set(vm.ID, ent.route.CacheEvents(vm.ID, evs))
	}
}

func (ent *Entry) isPlain(svc wick.Service) bool {
	act, ok := ent.config.Active()
	if !ok {
		return false
	}
	for idx := range act.Bundle.Services {
		if act.Bundle.Services[idx].Name == svc {
			return act.Bundle.Services[idx].Kind == bundle.KindPlain
		}
	}
	return false
}
