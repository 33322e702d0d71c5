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
	// acceptWhileDraining is how long a draining entry takes new work, until
	// the load balancer has noticed. Below shortNotice it takes none.
	acceptWhileDraining = 2 * time.Second
	shortNotice         = 5 * time.Second
	// handoverTime is what Drain keeps of its time for handing over.
	handoverTime = 2 * time.Second
	takeTimeout  = 500 * time.Millisecond
	drainPoll    = 20 * time.Millisecond
	// handovers bounds handovers that run at once.
	handovers = 64
	// maxTakers bounds the peers that are asked to take a request.
	maxTakers = 3
)

// takeOverIfLost runs a replica whose origin was silent for too long or has
// restarted.
func (tab *Table) takeOverIfLost(req *Request, now time.Time, mems []wick.Member) {
	req.mu.Lock()
	source, inc := req.source, req.sourceInc
	replica, silent := req.isReplica(), now.Sub(req.heard) >= silence
	req.mu.Unlock()
	if !replica {
		return
	}
	restarted := slices.ContainsFunc(mems, func(mem wick.Member) bool {
		return mem.ID == source && mem.Incarnation > inc
	})
	if !restarted && (!silent || now.Sub(tab.cfg.Members.LastHeard(source)) < silence) {
		return
	}
	req.mu.Lock()
	if !req.isReplica() {
		req.mu.Unlock()
		return
	}
	req.holding = true
	// The origin may have sent more than it copied.
	req.tries.maybeRan = max(1, req.tries.maybeRan)
	req.grace, req.verified = movedGrace, len(req.texts)
	req.mu.Unlock()
	metrics.GetOrRegisterCounter("stream.takeovers", nil).Inc(1)
	logrus.WithField("request", req.Head.ID).Info("stream: replica takes over")
	if tab.start(req, nil, "") {
		tab.markDirty(req)
	}
}

// isReplica reports whether this entry holds the request for another one. The
// caller holds req.mu.
func (req *Request) isReplica() bool {
	return !req.holding && req.state == StateQueued && req.source != ""
}

// Drain ends the work of this entry in order: new work is accepted for 2 s, or
// not at all when the notice is shorter than 5 s, running requests finish
// while time is left, and the rest is handed over. The notice is the time
// until the entry must be gone; 0 is no limit but that of ctx. Drain returns
// an error if a request could be neither finished nor handed over.
func (tab *Table) Drain(ctx context.Context, notice time.Duration) error {
	began := tab.now()
	accept := acceptWhileDraining
	if notice > 0 && notice < shortNotice {
		accept = 0
	}
	tab.refuseAt.Store(began.Add(accept).UnixNano())
	tab.draining.Store(true)
	if notice > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, notice)
		defer cancel()
	}
	finish := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		finish, cancel = context.WithDeadline(ctx, deadline.Add(-handoverTime))
		defer cancel()
	}
	retry.Sleep(finish, accept)
	for tab.running() > 0 && retry.Sleep(finish, drainPoll) {
		continue
	}
	tab.stopAdmit()
	if !tab.off.handover {
		tab.handOverAll(ctx)
	}
	for tab.uncopied() && retry.Sleep(ctx, drainPoll) {
		tab.kickCopies()
	}
	if num := tab.running(); num > 0 {
		return eris.Wrapf(wick.ErrBusy, "stream: %d requests neither finished nor handed over", num)
	}
	return nil
}

// running returns the number of requests and plain calls that this entry runs.
func (tab *Table) running() int {
	num := int(tab.calls.Load() + tab.admitting.Load())
	tab.each(func(req *Request) {
		if req.runs() {
			num++
		}
	})
	return num
}

func (req *Request) runs() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.holding && !req.state.final() && req.state != StateHandedOver
}

// uncopied reports whether the replica of a finished request is behind.
func (tab *Table) uncopied() bool {
	if tab.off.replica {
		return false
	}
	mems := tab.cfg.Members.Members()
	behind := false
	tab.each(func(req *Request) {
		req.mu.Lock()
		defer req.mu.Unlock()
		if req.holding && req.state.final() && !req.rep.final {
			_, ok := req.target(mems)
			if ok {
				behind = true
				tab.markDirty(req)
			}
		}
	})
	return behind
}

// handOverAll hands over every running request, as often as ctx allows.
func (tab *Table) handOverAll(ctx context.Context) {
	for num := 0; ; num++ {
		var wgr sync.WaitGroup
		slots := make(chan struct{}, handovers)
		left := 0
		tab.each(func(req *Request) {
			if !req.runs() {
				return
			}
			left++
			slots <- struct{}{}
			wgr.Go(func() {
				defer func() { <-slots }()
				tab.handOver(ctx, req)
			})
		})
		wgr.Wait()
		if (left == 0 && tab.admitting.Load() == 0) || !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return
		}
	}
}

// handOver moves one request to a peer. Its attempt ends before the peer
// starts another one; when no peer takes it, it goes on here.
func (tab *Table) handOver(ctx context.Context, req *Request) {
	handle := tab.exportFor(ctx, req)
	if !req.freeze() {
		return
	}
	for range maxTakers {
		req.mu.Lock()
		to, ok := req.target(tab.cfg.Members.Members())
		req.mu.Unlock()
		if !ok {
			break
		}
		if tab.handOverTo(ctx, req, to, handle) {
			req.succeed(to.ID)
			metrics.GetOrRegisterCounter("stream.handedOver", nil).Inc(1)
			return
		}
		req.mu.Lock()
		req.rep = replica{refused: append(req.rep.refused, to.ID)}
		req.mu.Unlock()
	}
	req.mu.Lock()
	req.frozen = false
	// Every peer may be asked again next time.
	req.rep = replica{}
	req.mu.Unlock()
	tab.start(req, nil, handle)
}

// exportFor exports the KV cache of the request's attempt if it has one.
func (tab *Table) exportFor(ctx context.Context, req *Request) wick.KVHandle {
	req.mu.Lock()
	att, vm, num := req.current, req.vm, len(req.texts)
	req.mu.Unlock()
	if att == "" || num == 0 {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
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
	if !req.holding || req.frozen || req.state.final() || req.state == StateHandedOver {
		return false
	}
	req.frozen, req.current = true, ""
	if req.stop != nil {
		req.stop()
	}
	return true
}

// handOverTo brings the replica up to date and asks it to run the request.
func (tab *Table) handOverTo(ctx context.Context, req *Request, to wick.Member, handle wick.KVHandle) bool {
	for num := 0; ; num++ {
		itm := req.item(batchBytes)
		rep, err := tab.copyTo(to, []*Request{req}, []copyItem{itm})
		if err != nil || rep.Results[0].Full || rep.Results[0].Taken {
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
	tak := takeBody{ID: req.Head.ID, Events: len(req.texts), Digest: req.digestAt(len(req.texts)), KV: handle}
	req.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var rep takeReply
	err := tab.cfg.Peers.Call(ctx, to, wick.MsgStreamTake, tak, &rep)
	return err == nil && rep.Taken
}

// succeed ends the request on this entry after a handover.
func (req *Request) succeed(eid wick.EntryID) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.frozen = false
	if err := req.fire(trgHandOver); err != nil {
		return
	}
	req.successor, req.ended = eid, req.tab.now()
	req.notify()
}
