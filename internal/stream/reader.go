package stream

import (
	"context"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Cursor is a caller's position in the events of a request. Its zero value is
// the start. Its text form "<events>-<digest>" is the event id, so that another
// entry can verify that its log continues what the caller received.
type Cursor struct {
	// Events is the number of events received.
	Events int
	// Digest is the digest of the received texts if HasDigest is set.
	Digest    uint64
	HasDigest bool
}

// String returns the event id.
func (cur Cursor) String() string { return string(cur.Append(nil)) }

// Append appends the event id.
func (cur Cursor) Append(buf []byte) []byte {
	buf = strconv.AppendInt(buf, int64(cur.Events), 10)
	if cur.HasDigest {
		buf = append(buf, '-')
		buf = strconv.AppendUint(buf, cur.Digest, 16)
	}
	return buf
}

// ParseCursor parses an event id. An id without a digest is accepted, but
// reading cannot resume from it where the log may differ from what the caller
// received.
func ParseCursor(text string) (Cursor, error) {
	if text == "" {
		return Cursor{}, nil
	}
	num, dig, checked := strings.Cut(text, "-")
	events, err := strconv.ParseUint(num, 10, 31)
	if err != nil {
		return Cursor{}, eris.Wrap(wick.ErrInvalid, "event id")
	}
	cur := Cursor{Events: int(events), HasDigest: checked}
	if checked {
		if cur.Digest, err = strconv.ParseUint(dig, 16, 64); err != nil {
			return Cursor{}, eris.Wrap(wick.ErrInvalid, "event id")
		}
	}
	return cur, nil
}

// Advance returns the cursor, with digest, after one more event.
func (cur Cursor) Advance(text string) Cursor {
	return Cursor{Events: cur.Events + 1, Digest: digestAfter(cur.Digest, text), HasDigest: true}
}

// An Info is the metadata of a request in the caller's response.
type Info struct {
	ID            wick.RequestID
	Service       wick.Service
	Route         string
	CreatedMillis int64
}

// A Batch is the result of one read.
type Batch struct {
	// From is the cursor, with digest, before Texts.
	From Cursor
	// Texts are the next events. The reader must not modify them.
	Texts []string
	// Done is set when Texts complete the answer, which End describes.
	Done bool
	End  wick.Generated
}

// A Reader returns the events of a request after a cursor exactly once and in
// order. It must be closed.
type Reader struct {
	tab  *Table
	req  *Request
	cur  Cursor
	info Info
	// remote is set when another entry runs the request.
	remote *remote
}

// Attach returns a reader of a request in this entry's table.
func (req *Request) Attach(cur Cursor) *Reader {
	req.mu.Lock()
	req.readers++
	req.mu.Unlock()
	return &Reader{tab: req.tab, req: req, cur: cur}
}

// Close detaches the reader.
func (rdr *Reader) Close() {
	if rdr.req == nil {
		return
	}
	rdr.req.mu.Lock()
	rdr.req.readers--
	rdr.req.idleSince = rdr.tab.now()
	rdr.req.mu.Unlock()
	rdr.req = nil
}

// Next waits for the next events. Its error is a *FailError, ErrHandedOver or
// the error of ctx. After a batch with Done it must not be called again.
func (rdr *Reader) Next(ctx context.Context) (Batch, error) {
	if rdr.remote != nil {
		return rdr.remoteNext(ctx)
	}
	for {
		bat, changed, err := rdr.req.eventsAfter(&rdr.cur)
		if err != nil || changed == nil {
			return bat, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// eventsAfter returns the events after the cursor and advances it. Without new
// events it returns a channel that is closed at the next change.
func (req *Request) eventsAfter(cur *Cursor) (Batch, <-chan struct{}, error) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.state == StateHandedOver {
		return Batch{}, nil, ErrHandedOver
	}
	if !req.owned && !req.state.final() {
		return Batch{}, nil, errNotOwner
	}
	num := len(req.texts)
	if cur.Events > num {
		switch req.state {
		case StateDone:
			return Batch{}, nil, req.divergedError()
		case StateFailed:
			return Batch{}, nil, req.fail
		case StateQueued, StateRunning, StateHandedOver:
		}
		return Batch{}, req.changeChan(), nil
	}
	if !req.matches(cur) {
		return Batch{}, nil, req.divergedError()
	}
	bat := Batch{
		From:  Cursor{Events: cur.Events, Digest: req.digestAt(cur.Events), HasDigest: true},
		Texts: req.texts[cur.Events:num:num],
	}
	switch req.state {
	case StateDone:
		bat.Done, bat.End = true, req.end
		req.tab.chk.Check(wick.Tokens(num) == req.end.Count, invar.WholeAnswer,
			"%s: answer of %d tokens ends at %d", req.Head.ID, req.end.Count, num)
	case StateFailed:
		if len(bat.Texts) == 0 {
			return Batch{}, nil, req.fail
		}
	case StateQueued, StateRunning, StateHandedOver:
		if len(bat.Texts) == 0 {
			return Batch{}, req.changeChan(), nil
		}
	}
	*cur = Cursor{Events: num, Digest: req.digestAt(num), HasDigest: true}
	return bat, nil, nil
}

// matches reports whether the log continues what the caller received. The
// caller holds req.mu and has checked that the log is long enough.
func (req *Request) matches(cur *Cursor) bool {
	if cur.HasDigest {
		return cur.Digest == req.digestAt(cur.Events)
	}
	return cur.Events <= req.verified || req.verified < 0
}

func (req *Request) divergedError() *FailError {
	return &FailError{Err: ErrDiverged, Executed: ExecutedUnknown}
}

// changeChan returns a channel that is closed at the next change. The caller
// holds req.mu.
func (req *Request) changeChan() <-chan struct{} {
	if req.changed == nil {
		req.changed = make(chan struct{})
	}
	return req.changed
}

// Info returns the metadata of the request. Its ID is "" until an entry that
// has the request has replied.
func (rdr *Reader) Info() Info {
	if rdr.req != nil {
		return rdr.req.Head.info()
	}
	return rdr.info
}

func (hea *Head) info() Info {
	return Info{ID: hea.ID, Service: hea.Service, Route: hea.Route, CreatedMillis: hea.CreatedMillis}
}

// Cursor returns the reader's position.
func (rdr *Reader) Cursor() Cursor { return rdr.cur }
