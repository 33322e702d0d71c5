package stream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// copyInterval is the time between batches to replicas, as specified on the
	// design page.
	copyInterval = 50 * time.Millisecond
	// maxBatchBytes bounds the items of one message. It is well below
	// wick.MaxMessageBytes because sizes before encoding are estimates.
	maxBatchBytes = 256 << 10
	maxBatchItems = 512
	itemOverhead  = 128
	textOverhead  = 9
	copyTimeout   = time.Second
)

// A dirtySet contains the requests whose replica lags behind.
type dirtySet struct {
	mu   sync.Mutex
	reqs map[*Request]struct{}
	// inFlight contains the entries with a batch in flight.
	inFlight map[wick.EntryID]bool
}

func (tab *Table) markDirty(req *Request) {
	if tab.disabled.replica {
		return
	}
	tab.dirty.mu.Lock()
	defer tab.dirty.mu.Unlock()
	if tab.dirty.reqs == nil {
		tab.dirty.reqs = make(map[*Request]struct{})
	}
	tab.dirty.reqs[req] = struct{}{}
}

func (tab *Table) triggerFlush() {
	select {
	case tab.flushNow <- struct{}{}:
	default:
	}
}

// rank returns the serving members outside of the zone in rendezvous order of
// the request, or all serving members if there are none outside.
func rank(rid wick.RequestID, mems []wick.Member, zone wick.Zone) []wick.Member {
	out := make([]wick.Member, 0, len(mems))
	for _, mem := range mems {
		if mem.State == wick.EntryServing && mem.Zone != zone {
			out = append(out, mem)
		}
	}
	if len(out) == 0 {
		for _, mem := range mems {
			if mem.State == wick.EntryServing {
				out = append(out, mem)
			}
		}
	}
	return place.Rank(string(rid), out)
}

// target returns the entry of the replica. It selects another one if the last
// one has left, has restarted or runs the request itself. The caller holds
// req.mu.
func (req *Request) target(mems []wick.Member) (wick.Member, bool) {
	for _, mem := range mems {
		if mem.ID == req.rep.member.ID && mem.Incarnation == req.rep.member.Incarnation && mem.State == wick.EntryServing {
			return mem, true
		}
	}
	excluded := req.rep.excluded
	req.rep = replicaState{excluded: excluded}
	for _, mem := range rank(req.Head.ID, mems, req.tab.cfg.Zone) {
		if mem.ID != req.tab.cfg.Self && !slices.Contains(excluded, mem.ID) {
			req.rep.member = mem
			return mem, true
		}
	}
	// All candidates are excluded: clear the list and retry them next time.
	req.rep.excluded = nil
	return wick.Member{}, false
}

// flush sends pending events to the replicas, with at most one batch in flight
// per entry.
func (tab *Table) flush() {
	tab.dirty.mu.Lock()
	reqs := tab.dirty.reqs
	tab.dirty.reqs = nil
	tab.dirty.mu.Unlock()
	if len(reqs) == 0 {
		return
	}
	mems := tab.cfg.Members.Members()
	byEntry := make(map[wick.EntryID][]*Request)
	targets := make(map[wick.EntryID]wick.Member)
	for req := range reqs {
		req.mu.Lock()
		mem, ok := req.target(mems)
		if !ok {
			req.markReplicated()
		}
		skip := req.removed || !req.owned || req.state == StateHandedOver
		req.mu.Unlock()
		switch {
		case skip:
		case ok:
			byEntry[mem.ID] = append(byEntry[mem.ID], req)
			targets[mem.ID] = mem
		default:
			tab.markDirty(req)
		}
	}
	for eid, group := range byEntry {
		if !tab.acquireBatchSlot(eid) {
			for _, req := range group {
				tab.markDirty(req)
			}
			continue
		}
		if !tab.spawn(func() {
			defer tab.releaseBatchSlot(eid)
			tab.sendCopies(targets[eid], group)
		}) {
			tab.releaseBatchSlot(eid)
		}
	}
}

// acquireBatchSlot marks a batch to the entry as in flight. It returns false if
// there is one already.
func (tab *Table) acquireBatchSlot(eid wick.EntryID) bool {
	tab.dirty.mu.Lock()
	defer tab.dirty.mu.Unlock()
	if tab.dirty.inFlight == nil {
		tab.dirty.inFlight = make(map[wick.EntryID]bool)
	}
	if tab.dirty.inFlight[eid] {
		return false
	}
	tab.dirty.inFlight[eid] = true
	return true
}

func (tab *Table) releaseBatchSlot(eid wick.EntryID) {
	tab.dirty.mu.Lock()
	defer tab.dirty.mu.Unlock()
	delete(tab.dirty.inFlight, eid)
}

// sendCopies sends the requests in messages of bounded size. After an error,
// requests that were not acknowledged stay dirty.
func (tab *Table) sendCopies(to wick.Member, reqs []*Request) {
	for len(reqs) > 0 {
		var size int64
		var items []copyItem
		for len(items) < len(reqs) && len(items) < maxBatchItems && size < maxBatchBytes {
			itm := reqs[len(items)].nextItem(maxBatchBytes)
			size += itm.size()
			items = append(items, itm)
		}
		if _, err := tab.sendBatch(to, reqs[:len(items)], items); err != nil {
			logrus.WithError(err).WithField("entry", to.ID).Debug("stream: cannot send copies to the replica; will retry")
			for _, req := range reqs {
				tab.markDirty(req)
			}
			return
		}
		reqs = reqs[len(items):]
	}
}

// nextItem returns the next unacknowledged part of the request for its replica.
func (req *Request) nextItem(bytes int64) copyItem {
	req.mu.Lock()
	defer req.mu.Unlock()
	itm := copyItem{ID: req.Head.ID, After: req.rep.acked, MaybeRan: req.attempts.maybeRan > 0}
	if !req.rep.hasHead {
		hea := req.Head
		itm.Head = &hea
	}
	itm.Texts = limitTexts(req.texts[req.rep.acked:len(req.texts):len(req.texts)], bytes)
	if itm.After+len(itm.Texts) == len(req.texts) {
		switch req.state {
		case StateDone:
			end := req.end
			itm.End = &end
		case StateFailed:
			itm.Failure = req.fail.wire()
		case StateQueued, StateRunning, StateHandedOver:
		}
	}
	return itm
}

// sendBatch sends one item per request and applies the results.
func (tab *Table) sendBatch(to wick.Member, reqs []*Request, items []copyItem) (copyReply, error) {
	ctx, cancel := context.WithTimeout(tab.ctx, copyTimeout)
	defer cancel()
	var rep copyReply
	if err := tab.cfg.Peers.Call(ctx, to, wick.MsgStreamCopy, copyBody{tab.cfg.Incarnation, items}, &rep); err != nil {
		return rep, eris.Wrap(err, "stream: send copies")
	}
	if len(rep.Results) != len(items) {
		return rep, eris.Wrap(wick.ErrInvalid, "stream: copy reply has the wrong number of results")
	}
	metrics.GetOrRegisterCounter("stream.copies", nil).Inc(1)
	for idx, req := range reqs {
		if !req.applyCopyResult(to, rep.Results[idx]) {
			tab.markDirty(req)
		}
	}
	return rep, nil
}

// applyCopyResult applies the replica's reply and reports whether the replica
// is up to date.
func (req *Request) applyCopyResult(from wick.Member, res copyResult) bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.rep.member.ID != from.ID {
		return false
	}
	if res.Running && req.readers == 0 && req.state == StateRunning && !req.frozen {
		// The replica took over while it received no messages from this entry.
		// There is no reader here, so the replica keeps the request.
		req.current, req.successor = "", from.ID
		if err := req.fire(trgHandOver); err == nil {
			req.stop()
			req.ended = req.tab.now()
		}
		return true
	}
	if res.Running || res.Full {
		req.rep = replicaState{excluded: append(req.rep.excluded, from.ID)}
		return false
	}
	req.rep.hasHead = !res.NeedHead
	if req.rep.hasHead {
		req.markReplicated()
	}
	if res.Have >= 0 && res.Have <= len(req.texts) {
		req.rep.acked = res.Have
	}
	req.rep.hasFinal = res.Final
	req.rep.ackedAt = req.tab.now()
	return req.rep.hasHead && req.rep.acked == len(req.texts) && (res.Final || !req.state.final())
}
