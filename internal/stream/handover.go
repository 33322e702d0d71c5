package stream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// drainAcceptDuration is how long a draining entry accepts new work, until
	// the load balancer has detected the drain. With a notice below shortNotice
	// it accepts none.
	drainAcceptDuration = 2 * time.Second
	shortNotice         = 5 * time.Second
	// handoverReserve is the part of the notice that Drain reserves for
	// handovers.
	handoverReserve   = 2 * time.Second
	handoverTimeout   = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// maxConcurrentHandovers bounds concurrent handovers.
	maxConcurrentHandovers = 64
	// maxHandoverPeers bounds the peers that one handover tries.
	maxHandoverPeers = 3
)

// takeOverIfOriginFailed runs a replica whose origin exceeded the
// failure-detection timeout or has restarted.
func (tab *Table) takeOverIfOriginFailed(req *Request, now time.Time, mems []wick.Member) {
	req.mu.Lock()
	source, inc := req.source, req.sourceInc
	replica, expired := req.isReplica(), now.Sub(req.lastCopy) >= originTimeout
	req.mu.Unlock()
	if !replica {
		return
	}
	restarted := slices.ContainsFunc(mems, func(mem wick.Member) bool {
		return mem.ID == source && mem.Incarnation > inc
	})
	if !restarted && (!expired || now.Sub(tab.cfg.Members.LastSeen(source)) < originTimeout) {
		return
	}
	req.mu.Lock()
	if !req.isReplica() {
		req.mu.Unlock()
		return
	}
	req.owned = true
	// The origin may have sent more than it replicated.
	req.attempts.maybeRan = max(1, req.attempts.maybeRan)
	req.idleTimeout, req.verified = movedIdleTimeout, len(req.texts)
	req.mu.Unlock()
	metrics.GetOrRegisterCounter("stream.takeovers", nil).Inc(1)
	logrus.WithField("request", req.Head.ID).Info("stream: replica takes over")
	if tab.start(req, nil, "") {
		tab.markDirty(req)
	}
}

// isReplica reports whether this entry is the replica of a request. The caller
// holds req.mu.
func (req *Request) isReplica() bool {
	return !req.owned && req.state == StateQueued && req.source != ""
}

// Drain ends the work of this entry in order: it accepts new work for 2 s, or
// not at all when the notice is shorter than 5 s, lets running requests finish
// while time is left, and hands over the rest. The notice is the time until the
// entry must exit; 0 is no limit but that of ctx. Drain returns an error if a
// request could be neither finished nor handed over.
func (tab *Table) Drain(ctx context.Context, notice time.Duration) error {
	started := tab.now()
	acceptFor := drainAcceptDuration
	if notice > 0 && notice < shortNotice {
		acceptFor = 0
	}
	tab.refuseAt.Store(started.Add(acceptFor).UnixNano())
	tab.draining.Store(true)
	if notice > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, notice)
		defer cancel()
	}
	finishCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		finishCtx, cancel = context.WithDeadline(ctx, deadline.Add(-handoverReserve))
		defer cancel()
	}
	retry.Sleep(finishCtx, acceptFor)
	for tab.runningCount() > 0 && retry.Sleep(finishCtx, drainPollInterval) {
		continue
	}
	tab.cancelAdmits()
	if !tab.disabled.handover {
		tab.handOverAll(ctx)
	}
	for tab.hasStaleReplicas() && retry.Sleep(ctx, drainPollInterval) {
		tab.triggerFlush()
	}
	if num := tab.runningCount(); num > 0 {
		return eris.Wrapf(wick.ErrBusy, "stream: %d requests neither finished nor handed over", num)
	}
	return nil
}

// runningCount returns the number of requests and plain calls that this entry
// runs or that wait for admission.
func (tab *Table) runningCount() int {
	num := int(tab.calls.Load() + tab.admitting.Load())
	tab.forEach(func(req *Request) {
		if req.isRunning() {
			num++
		}
	})
	return num
}

func (req *Request) isRunning() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.owned && !req.state.final() && req.state != StateHandedOver
}

// hasStaleReplicas reports whether the replica of a finished request lags
// behind, and marks such requests dirty.
func (tab *Table) hasStaleReplicas() bool {
	if tab.disabled.replica {
		return false
	}
	mems := tab.cfg.Members.Members()
	behind := false
	tab.forEach(func(req *Request) {
		req.mu.Lock()
		defer req.mu.Unlock()
		if req.owned && req.state.final() && !req.rep.hasFinal {
			_, ok := req.target(mems)
			if ok {
				behind = true
				tab.markDirty(req)
			}
		}
	})
	return behind
}

// handOverAll hands over every running request and retries until none is left
// or ctx ends.
func (tab *Table) handOverAll(ctx context.Context) {
	for num := 0; ; num++ {
		var wgr sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentHandovers)
		remaining := 0
		tab.forEach(func(req *Request) {
			if !req.isRunning() {
				return
			}
			remaining++
			slots <- struct{}{}
			wgr.Go(func() {
				defer func() { <-slots }()
				tab.handOver(ctx, req)
			})
		})
		wgr.Wait()
		if (remaining == 0 && tab.admitting.Load() == 0) || !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return
		}
	}
}

// handOver hands one request over to a peer. The local attempt ends before the
// peer starts another one; if no peer accepts the request, it continues here.
func (tab *Table) handOver(ctx context.Context, req *Request) {
	handle := tab.exportKV(ctx, req)
	if !req.freeze() {
		return
	}
	for range maxHandoverPeers {
		req.mu.Lock()
		to, ok := req.target(tab.cfg.Members.Members())
		req.mu.Unlock()
		if !ok {
			break
		}
		if tab.handOverToPeer(ctx, req, to, handle) {
			req.finishHandover(to.ID)
			metrics.GetOrRegisterCounter("stream.handedOver", nil).Inc(1)
			return
		}
		req.mu.Lock()
		req.rep = replicaState{excluded: append(req.rep.excluded, to.ID)}
		req.mu.Unlock()
	}
	req.mu.Lock()
	req.frozen = false
	// Every peer may be tried again next time.
	req.rep = replicaState{}
	req.mu.Unlock()
	tab.start(req, nil, handle)
}

// exportKV exports the KV cache of the request's current attempt if there is
// one.
func (tab *Table) exportKV(ctx context.Context, req *Request) wick.KVHandle {
	req.mu.Lock()
	att, vm, num := req.current, req.vm, len(req.texts)
	req.mu.Unlock()
	if att == "" || num == 0 {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	handle, err := tab.cfg.Engine.Export(ctx, vm, att)
	if err != nil {
		return ""
	}
	return handle
}

// freeze ends the attempt and the runner without ending the request.
func (req *Request) freeze() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	if !req.owned || req.frozen || req.state.final() || req.state == StateHandedOver {
		return false
	}
	req.frozen, req.current = true, ""
	if req.stop != nil {
		req.stop()
	}
	return true
}

// handOverToPeer brings the replica up to date and requests that its entry runs
// the request.
func (tab *Table) handOverToPeer(ctx context.Context, req *Request, to wick.Member, handle wick.KVHandle) bool {
	for num := 0; ; num++ {
		itm := req.nextItem(maxBatchBytes)
		rep, err := tab.sendBatch(to, []*Request{req}, []copyItem{itm})
		if err != nil || rep.Results[0].Full || rep.Results[0].Running {
			return false
		}
		if rep.Results[0].Have == req.count() && !rep.Results[0].NeedHead {
			break
		}
		if num > 0 && ctx.Err() != nil {
			return false
		}
	}
	req.mu.Lock()
	hov := handoverBody{ID: req.Head.ID, Events: len(req.texts), Digest: req.digestAt(len(req.texts)), KV: handle}
	req.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var rep handoverReply
	err := tab.cfg.Peers.Call(ctx, to, wick.MsgStreamTakeover, hov, &rep)
	return err == nil && rep.Accepted
}

// finishHandover ends the request on this entry after a handover.
func (req *Request) finishHandover(eid wick.EntryID) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.frozen = false
	if err := req.fire(trgHandOver); err != nil {
		return
	}
	req.successor, req.ended = eid, req.tab.now()
	req.notify()
}
