package stream

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// resumeTimeout covers the failure-detection timeout before a replica takes
	// over and the time until its first token.
	resumeTimeout = 12 * time.Second
	// notFoundTimeout bounds the search for a request that is on no entry.
	notFoundTimeout = time.Second
	// maxCandidates is how many entries in rendezvous order outside of the
	// origin's zone are polled; twice as many are polled regardless of the
	// zone.
	maxCandidates = 3
)

// A remote identifies a request on another entry.
type remote struct {
	rid wick.RequestID
	cus wick.Customer
	// owner is the entry that last replied as the owner or was reported as the
	// successor, or "".
	owner wick.EntryID
}

// Resume returns a reader of a request on any entry. The error of its first
// Next wraps wick.ErrNotFound if no entry has the request, or if it belongs to
// another customer.
func (tab *Table) Resume(rid wick.RequestID, cus wick.Customer, cur Cursor) *Reader {
	if req := tab.find(rid); req != nil && req.Head.Customer == cus && req.readable() {
		return req.Attach(cur)
	}
	return &Reader{tab: tab, cur: cur, remote: &remote{rid: rid, cus: cus}}
}

// readable reports whether events can be read on this entry.
func (req *Request) readable() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state.final() || (req.owned && req.state != StateHandedOver)
}

// Follow returns a reader that continues at the entry which the request was
// handed over to. The original reader must still be closed.
func (rdr *Reader) Follow() *Reader {
	if rdr.req == nil {
		return rdr
	}
	return rdr.tab.Resume(rdr.req.Head.ID, rdr.req.Head.Customer, rdr.cur)
}

// remoteNext polls the entries that may have the request until one returns
// events or the end.
func (rdr *Reader) remoteNext(ctx context.Context) (Batch, error) {
	started := rdr.tab.now()
	for num := 0; ; num++ {
		attached, exists := rdr.attachLocal()
		if attached {
			return rdr.Next(ctx)
		}
		bat, res, err := rdr.pollEntries(ctx)
		if exists {
			res = max(res, searchPossible)
		}
		switch {
		case err != nil || res == searchEvents:
			return bat, err
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case res == searchOwner:
			// The owner runs the request and has no new event.
			started, num = rdr.tab.now(), 0
		case res == searchNone:
			rdr.remote.owner = ""
		}
		waited := rdr.tab.now().Sub(started)
		if waited >= resumeTimeout || (res == searchNone && waited >= notFoundTimeout) {
			return Batch{}, &FailError{Err: eris.Wrap(wick.ErrNotFound, "stream: request"), Executed: ExecutedUnknown}
		}
		retry.Sleep(ctx, retry.Backoff(num, backoffBase, repickInterval))
	}
}

// A searchResult is the outcome of polling the other entries, in ascending
// order of certainty.
type searchResult uint8

const (
	searchNone searchResult = iota
	// searchPossible: an entry has a replica or a successor of the request, or
	// an entry that may have the request did not reply.
	searchPossible
	searchOwner
	searchEvents
)

// pollEntries polls each entry once and stops at events or the end.
func (rdr *Reader) pollEntries(ctx context.Context) (Batch, searchResult, error) {
	res := searchNone
	for _, mem := range rdr.fetchOrder() {
		rep, err := rdr.fetch(ctx, mem)
		switch {
		case errors.Is(err, wick.ErrUnavailable):
			res = max(res, searchPossible)
		case err == nil && rep.Found:
			bat, got, err := rdr.applyReply(mem, rep)
			if err != nil || got == searchEvents {
				return bat, got, err
			}
			res = max(res, got)
		}
	}
	return Batch{}, res, nil
}

// attachLocal attaches the reader to this entry's own copy if it is readable by
// now. It also reports whether this entry has the request at all.
func (rdr *Reader) attachLocal() (attached, exists bool) {
	req := rdr.tab.find(rdr.remote.rid)
	if req == nil || req.Head.Customer != rdr.remote.cus {
		return false, false
	}
	if req.readable() {
		local := req.Attach(rdr.cur)
		rdr.req, rdr.remote = local.req, nil
		return true, true
	}
	req.mu.Lock()
	defer req.mu.Unlock()
	if rdr.remote.owner == "" {
		rdr.remote.owner = req.successor
	}
	return false, true
}

// fetchOrder returns the entries to poll: the last owner, the origin, then the
// first entries in rendezvous order, outside of the origin's zone and overall.
func (rdr *Reader) fetchOrder() []wick.Member {
	mems := rdr.tab.cfg.Members.Members()
	var zone wick.Zone
	var out []wick.Member
	add := func(more ...wick.Member) {
		for _, mem := range more {
			if !slices.ContainsFunc(out, func(old wick.Member) bool { return old.ID == mem.ID }) {
				out = append(out, mem)
			}
		}
	}
	for _, eid := range []wick.EntryID{rdr.remote.owner, rdr.remote.rid.Origin()} {
		for _, mem := range mems {
			if mem.ID == eid {
				add(mem)
				zone = mem.Zone
			}
		}
	}
	outside := rank(rdr.remote.rid, mems, zone)
	add(outside[:min(maxCandidates, len(outside))]...)
	all := rank(rdr.remote.rid, mems, "")
	add(all[:min(2*maxCandidates, len(all))]...)
	return out
}

// fetch polls one entry.
func (rdr *Reader) fetch(ctx context.Context, mem wick.Member) (fetchReply, error) {
	fet := fetchBody{
		ID: rdr.remote.rid, Customer: rdr.remote.cus, Events: rdr.cur.Events,
		Digest: rdr.cur.Digest, HasDigest: rdr.cur.HasDigest, WaitMillis: wick.Millis(maxFetchWait.Milliseconds()),
	}
	ctx, cancel := context.WithTimeout(ctx, maxFetchWait+copyTimeout)
	defer cancel()
	var rep fetchReply
	err := rdr.tab.cfg.Peers.Call(ctx, mem, wick.MsgStreamFetch, fet, &rep)
	return rep, eris.Wrap(err, "stream: fetch")
}

// applyReply advances the reader by a reply.
func (rdr *Reader) applyReply(mem wick.Member, rep fetchReply) (Batch, searchResult, error) {
	rdr.info = rep.Info
	switch {
	case rep.Failure != nil:
		return Batch{}, searchEvents, rep.Failure.failure()
	case rep.Successor != "":
		rdr.remote.owner = rep.Successor
		return Batch{}, searchPossible, nil
	case rep.Waiting:
		return Batch{}, searchPossible, nil
	}
	rdr.remote.owner = mem.ID
	if len(rep.Texts) == 0 && rep.End == nil {
		return Batch{}, searchOwner, nil
	}
	bat := Batch{From: Cursor{Events: rdr.cur.Events, Digest: rep.Before, HasDigest: true}, Texts: rep.Texts}
	rdr.cur = Cursor{Events: rdr.cur.Events + len(rep.Texts), Digest: rep.Digest, HasDigest: true}
	if rep.End != nil {
		bat.Done, bat.End = true, *rep.End
	}
	return bat, searchEvents, nil
}
