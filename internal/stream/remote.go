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
	// resumeTimeout covers the silence after which a replica takes over and
	// the time until its first token.
	resumeTimeout = 12 * time.Second
	// unknownTimeout bounds the search for a request that no entry knows.
	unknownTimeout = time.Second
	// candidates is how many entries of the rendezvous order are asked.
	candidates = 3
)

// A remote reads a request that another entry holds.
type remote struct {
	rid wick.RequestID
	cus wick.Customer
	// holder answered last, or is "".
	holder wick.EntryID
}

// Resume returns a reader of a request that any entry holds. The error of its
// first Next wraps wick.ErrNotFound if no entry knows the request, or if it
// belongs to another customer.
func (tab *Table) Resume(rid wick.RequestID, cus wick.Customer, cur Cursor) *Reader {
	if req := tab.find(rid); req != nil && req.Head.Customer == cus && req.readable() {
		return req.Attach(cur)
	}
	return &Reader{tab: tab, cur: cur, remote: &remote{rid: rid, cus: cus}}
}

// readable reports whether events can be read here.
func (req *Request) readable() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state.final() || (req.holding && req.state != StateHandedOver)
}

// Follow returns a reader that goes on at the entry which took the request.
// The reader itself must still be closed.
func (rdr *Reader) Follow() *Reader {
	if rdr.req == nil {
		return rdr
	}
	return rdr.tab.Resume(rdr.req.Head.ID, rdr.req.Head.Customer, rdr.cur)
}

// remoteNext asks the entries that may hold the request, in turn, until one
// returns events or an end.
func (rdr *Reader) remoteNext(ctx context.Context) (Batch, error) {
	began := rdr.tab.now()
	for num := 0; ; num++ {
		here, known := rdr.local()
		if here {
			return rdr.Next(ctx)
		}
		bat, fnd, err := rdr.askAll(ctx)
		if known {
			fnd = max(fnd, foundTrace)
		}
		switch {
		case err != nil || fnd == foundEvents:
			return bat, err
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case fnd == foundHolder:
			// The holder runs the request and had no event yet.
			began, num = rdr.tab.now(), 0
		case fnd == foundNone:
			rdr.remote.holder = ""
		}
		waited := rdr.tab.now().Sub(began)
		if waited >= resumeTimeout || (fnd == foundNone && waited >= unknownTimeout) {
			return Batch{}, &FailError{Err: eris.Wrap(wick.ErrNotFound, "stream: request"), Executed: ExecutedUnknown}
		}
		retry.Sleep(ctx, retry.Backoff(num, backoffBase, repickEvery))
	}
}

// A found tells what asking the other entries gave.
type found uint8

const (
	foundNone found = iota
	// foundTrace: an entry knows the request, or one that may know it did not
	// answer.
	foundTrace
	foundHolder
	foundEvents
)

// askAll asks each entry once and stops at events or an end.
func (rdr *Reader) askAll(ctx context.Context) (Batch, found, error) {
	fnd := foundNone
	for _, mem := range rdr.places() {
		rep, err := rdr.fetch(ctx, mem)
		switch {
		case errors.Is(err, wick.ErrUnavailable):
			fnd = max(fnd, foundTrace)
		case err == nil && rep.Found:
			bat, got, err := rdr.take(mem, rep)
			if err != nil || got == foundEvents {
				return bat, got, err
			}
			fnd = max(fnd, got)
		}
	}
	return Batch{}, fnd, nil
}

// local moves the reader to this entry if it runs the request by now. It also
// reports whether this entry knows the request at all.
func (rdr *Reader) local() (here, known bool) {
	req := rdr.tab.find(rdr.remote.rid)
	if req == nil || req.Head.Customer != rdr.remote.cus {
		return false, false
	}
	if req.readable() {
		here := req.Attach(rdr.cur)
		rdr.req, rdr.remote = here.req, nil
		return true, true
	}
	req.mu.Lock()
	defer req.mu.Unlock()
	if rdr.remote.holder == "" {
		rdr.remote.holder = req.successor
	}
	return false, true
}

// places returns the entries to ask: the last holder, the origin, the head of
// the rendezvous order outside of the origin's zone and of the order of all.
func (rdr *Reader) places() []wick.Member {
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
	for _, eid := range []wick.EntryID{rdr.remote.holder, rdr.remote.rid.Origin()} {
		for _, mem := range mems {
			if mem.ID == eid {
				add(mem)
				zone = mem.Zone
			}
		}
	}
	outside := rank(rdr.remote.rid, mems, zone)
	add(outside[:min(candidates, len(outside))]...)
	all := rank(rdr.remote.rid, mems, "")
	add(all[:min(2*candidates, len(all))]...)
	return out
}

// fetch asks one entry, which may be this one.
func (rdr *Reader) fetch(ctx context.Context, mem wick.Member) (fetchReply, error) {
	fet := fetchBody{
		ID: rdr.remote.rid, Customer: rdr.remote.cus, Events: rdr.cur.Events,
		Digest: rdr.cur.Digest, Checked: rdr.cur.Checked, WaitMillis: wick.Millis(fetchWait.Milliseconds()),
	}
	ctx, cancel := context.WithTimeout(ctx, fetchWait+copyTimeout)
	defer cancel()
	var rep fetchReply
	err := rdr.tab.cfg.Peers.Call(ctx, mem, wick.MsgStreamFetch, fet, &rep)
	return rep, eris.Wrap(err, "stream: fetch")
}

// take moves the reader over a reply.
func (rdr *Reader) take(mem wick.Member, rep fetchReply) (Batch, found, error) {
	rdr.info = rep.Info
	switch {
	case rep.Failure != nil:
		return Batch{}, foundEvents, rep.Failure.failure()
	case rep.Successor != "":
		rdr.remote.holder = rep.Successor
		return Batch{}, foundTrace, nil
	case rep.Waiting:
		return Batch{}, foundTrace, nil
	}
	rdr.remote.holder = mem.ID
	if len(rep.Texts) == 0 && rep.End == nil {
		return Batch{}, foundHolder, nil
	}
	bat := Batch{From: Cursor{Events: rdr.cur.Events, Digest: rep.Before, Checked: true}, Texts: rep.Texts}
	rdr.cur = Cursor{Events: rdr.cur.Events + len(rep.Texts), Digest: rep.Digest, Checked: true}
	if rep.End != nil {
		bat.Done, bat.End = true, *rep.End
	}
	return bat, foundEvents, nil
}
