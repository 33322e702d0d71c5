package stream

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxFetchWait bounds how long a streamFetch waits for an event.
const maxFetchWait = 2 * time.Second

// Handlers returns the message handlers of this package.
func (tab *Table) Handlers() map[wick.MessageType]wick.PeerHandler {
	return map[wick.MessageType]wick.PeerHandler{
		wick.MsgStreamCopy:     tab.handleCopy,
		wick.MsgStreamTakeover: tab.handleHandover,
		wick.MsgStreamFetch:    tab.handleFetch,
	}
}

// checkCount returns an error for a number of events that no entry sends.
func checkCount(num int) error {
	if num < 0 {
		return eris.Wrapf(wick.ErrInvalid, "stream: %d events", num)
	}
	return nil
}

func (tab *Table) handleCopy(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var cop copyBody
	if err := peer.Decode(body, &cop); err != nil {
		return nil, err
	}
	for idx := range cop.Items {
		if err := checkCount(cop.Items[idx].After); err != nil {
			return nil, err
		}
	}
	rep := copyReply{Results: make([]copyResult, len(cop.Items))}
	for idx := range cop.Items {
		rep.Results[idx] = tab.applyCopy(from, cop.Incarnation, &cop.Items[idx])
	}
	return rep, nil
}

// applyCopy creates or extends a replica.
func (tab *Table) applyCopy(from wick.EntryID, inc wick.Incarnation, itm *copyItem) copyResult {
	req := tab.find(itm.ID)
	if req == nil {
		if itm.Head == nil {
			return copyResult{NeedHead: true}
		}
		if tab.rejectsNewWork() {
			return copyResult{Full: true}
		}
		req = newRequest(tab, *itm.Head)
		if err := tab.insert(req); err != nil {
			return copyResult{Full: true}
		}
	}
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.owned && req.state != StateHandedOver {
		return copyResult{Running: true, Have: len(req.texts)}
	}
	if req.state.final() {
		return copyResult{Have: len(req.texts), Final: true}
	}
	if req.state == StateHandedOver {
		if err := req.fire(trgCopy); err != nil {
			return copyResult{Full: true}
		}
		req.owned, req.successor = false, ""
	}
	req.source, req.sourceInc, req.lastCopy = from, inc, tab.now()
	if itm.MaybeRan {
		req.attempts.maybeRan = max(1, req.attempts.maybeRan)
	}
	if itm.After <= len(req.texts) {
		for idx, text := range itm.Texts {
			if itm.After+idx == len(req.texts) {
				req.appendEvent(text)
			}
		}
		req.applyFinal(itm)
	}
	return copyResult{Have: len(req.texts), Final: req.state.final()}
}

// applyFinal completes a replica that has received every event. The caller
// holds req.mu.
func (req *Request) applyFinal(itm *copyItem) {
	if itm.After+len(itm.Texts) != len(req.texts) {
		return
	}
	switch {
	case itm.End != nil:
		if err := req.fire(trgFinish); err != nil {
			return
		}
		req.end = *itm.End
	case itm.Failure != nil:
		if err := req.fire(trgFail); err != nil {
			return
		}
		req.fail = itm.Failure.failure()
	default:
		return
	}
	req.verified = -1
	req.ended = req.tab.now()
	req.notify()
}

func (tab *Table) handleHandover(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var hov handoverBody
	if err := peer.Decode(body, &hov); err != nil {
		return nil, err
	}
	if err := checkCount(hov.Events); err != nil {
		return nil, err
	}
	req := tab.find(hov.ID)
	if req == nil || tab.draining.Load() {
		return handoverReply{}, nil
	}
	req.mu.Lock()
	switch {
	case req.owned && req.state != StateHandedOver:
		// A duplicate of a message whose reply was lost.
		same := len(req.texts) >= hov.Events && req.digestAt(hov.Events) == hov.Digest
		req.mu.Unlock()
		return handoverReply{Accepted: same}, nil
	case req.state != StateQueued || len(req.texts) != hov.Events || req.digestAt(hov.Events) != hov.Digest:
		req.mu.Unlock()
		return handoverReply{}, nil
	}
	req.owned, req.idleTimeout, req.verified = true, movedIdleTimeout, -1
	req.mu.Unlock()
	metrics.GetOrRegisterCounter("stream.taken", nil).Inc(1)
	ok := tab.start(req, nil, hov.KV)
	if ok {
		tab.markDirty(req)
	}
	return handoverReply{Accepted: ok}, nil
}

func (tab *Table) handleFetch(ctx context.Context, _ wick.EntryID, body []byte) (any, error) {
	var fet fetchBody
	if err := peer.Decode(body, &fet); err != nil {
		return nil, err
	}
	if err := checkCount(fet.Events); err != nil {
		return nil, err
	}
	req := tab.find(fet.ID)
	if req == nil || req.Head.Customer != fet.Customer {
		return fetchReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(fet.WaitMillis.Duration(), maxFetchWait))
	defer cancel()
	cur := Cursor{Events: fet.Events, Digest: fet.Digest, HasDigest: fet.HasDigest}
	rdr := req.Attach(cur)
	defer rdr.Close()
	bat, err := rdr.Next(ctx)
	rep := fetchReply{Found: true, Info: req.Head.info()}
	var fai *FailError
	switch {
	case err == nil:
		rep.Texts = limitTexts(bat.Texts, maxBatchBytes)
		req.mu.Lock()
		rep.Before = bat.From.Digest
		rep.Digest = req.digestAt(fet.Events + len(rep.Texts))
		req.mu.Unlock()
		if bat.Done && len(rep.Texts) == len(bat.Texts) {
			rep.End = &bat.End
		}
	case eris.Is(err, ErrHandedOver):
		req.mu.Lock()
		rep.Successor = req.successor
		req.mu.Unlock()
	case eris.Is(err, errNotOwner):
		rep.Waiting = true
	case eris.As(err, &fai):
		rep.Failure = fai.wire()
	}
	return rep, nil
}
