package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A claimMessage is the body of the messages claim and claimResult. The
// attempt belongs to the sender of the message, whose id the transport
// authenticates.
type claimMessage struct {
	Query       wick.ClaimQuery  `cbor:"query"`
	Incarnation wick.Incarnation `cbor:"incarnation"`
	// WaitMillis is the timeout of the receiver.
	WaitMillis wick.Millis `cbor:"waitMillis"`
	// Outcome is set in claimResult.
	Outcome wick.ClaimOutcome `cbor:"outcome"`
}

// A claimReply is the reply to both messages. Error is a key of wireErrors or
// empty.
type claimReply struct {
	Result wick.ClaimResult `cbor:"result"`
	Error  string           `cbor:"error"`
}

// wireErrors maps the error names in replies to sentinel errors.
var wireErrors = map[string]error{
	"keyReused":   wick.ErrKeyReused,
	"invalid":     wick.ErrInvalid,
	"conflict":    wick.ErrConflict,
	"notFound":    wick.ErrNotFound,
	"busy":        wick.ErrBusy,
	"unavailable": wick.ErrUnavailable,
}

func errorName(err error) string {
	if err == nil {
		return ""
	}
	for name, sentinel := range wireErrors {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	return "unavailable"
}

// isFinal reports whether a result is final, so that no other path is tried.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, wick.ErrKeyReused) || errors.Is(err, wick.ErrInvalid) ||
		errors.Is(err, wick.ErrConflict)
}

// routeClaim tries the paths to the shard in order: its owner, the platform,
// other entries. All carry the same attempt, so a claim that was written over
// an earlier path whose reply was lost is recognised as the attempt's own.
func (led *Ledger) routeClaim(ctx context.Context, query wick.ClaimQuery) (wick.ClaimResult, error) {
	var res wick.ClaimResult
	err := led.route(ctx, led.newRequest(&query, led.id, led.inc), wick.MsgClaim, &claimMessage{Query: query},
		func(ctx context.Context) error {
			var err error
			res, err = led.claimLocal(ctx, query, led.id, led.inc)
			return err
		}, &res)
	return res, err
}

// routeOutcome sends an outcome over the same paths.
func (led *Ledger) routeOutcome(ctx context.Context, query wick.ClaimQuery, out wick.ClaimOutcome) error {
	if replySize(&out.Reply) > MaxReplyBytes {
		out = wick.ClaimOutcome{State: wick.OutcomeUnknown}
		led.count("replyTooLarge")
	}
	msg := &claimMessage{Query: query, Outcome: out}
	return led.route(ctx, led.newRequest(&query, led.id, led.inc), wick.MsgClaimResult, msg,
		func(ctx context.Context) error { return led.recordLocal(ctx, query, out, led.id, led.inc) },
		&wick.ClaimResult{})
}

func (led *Ledger) route(ctx context.Context, req *request, typ wick.MessageType, msg *claimMessage,
	local func(ctx context.Context) error, res *wick.ClaimResult,
) error {
	own, known := led.owner(req.shard)
	remote := known && own.ID != led.id && led.peers != nil && !led.suspected(own.ID)
	if remote {
		err := led.callPeer(ctx, own, typ, msg, res)
		if isFinal(err) {
			return err
		}
		if errors.Is(err, wick.ErrUnavailable) {
			led.suspect(own.ID)
		}
	}
	err := local(ctx)
	if isFinal(err) || led.peers == nil {
		return err
	}
	tried := wick.EntryID("")
	if remote {
		tried = own.ID
	}
	if rerr := led.relay(ctx, tried, typ, msg, res); isFinal(rerr) {
		return rerr
	}
	return err
}

// relay forwards the message to entries other than the one already tried, which
// may reach the platform when this entry can't.
func (led *Ledger) relay(ctx context.Context, tried wick.EntryID, typ wick.MessageType, msg *claimMessage, res *wick.ClaimResult) error {
	err := wick.ErrUnavailable
	relays := 0
	for _, mem := range led.members() {
		if mem.ID == led.id || mem.ID == tried || mem.State != wick.EntryServing {
			continue
		}
		if relays == maxRelays || ctx.Err() != nil {
			break
		}
		relays++
		if err = led.callPeer(ctx, mem, typ, msg, res); isFinal(err) {
			led.count("relayed")
			return err
		}
	}
	return err
}

func (led *Ledger) callPeer(ctx context.Context, to wick.Member, typ wick.MessageType, msg *claimMessage, res *wick.ClaimResult) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	msg.Incarnation = led.inc
	msg.WaitMillis = wick.Millis(peerTimeout / time.Millisecond)
	var rep claimReply
	if err := led.peers.Call(ctx, to, typ, msg, &rep); err != nil {
		return eris.Wrapf(wick.ErrUnavailable, "ledger: call %s: %v", to.ID, err)
	}
	if rep.Error != "" {
		sentinel, ok := wireErrors[rep.Error]
		if !ok {
			sentinel = wick.ErrUnavailable
		}
		return eris.Wrapf(sentinel, "ledger: reply from %s", to.ID)
	}
	*res = rep.Result
	return nil
}

// claimLocal handles a claim in this entry, for itself or for a peer.
func (led *Ledger) claimLocal(ctx context.Context, query wick.ClaimQuery, from wick.EntryID, inc wick.Incarnation) (wick.ClaimResult, error) {
	req := led.newRequest(&query, from, inc)
	ans := led.shards[req.shard].submit(ctx, req)
	if ans.err != nil {
		return wick.ClaimResult{}, ans.err
	}
	res := wick.ClaimResult{State: ans.state}
	if ans.state != wick.ClaimDone {
		return res, nil
	}
	if ans.claim.Reply != nil {
		res.Reply = *ans.claim.Reply
		return res, nil
	}
	if ans.claim.Stored {
		obj, err := led.sto.Get(ctx, replyKey(req.shard, ans.claim.Owner))
		if err != nil {
			return wick.ClaimResult{}, eris.Wrapf(wick.ErrUnavailable, "ledger: read reply: %v", err)
		}
		if err := json.Unmarshal(obj.Data, &res.Reply); err != nil {
			return wick.ClaimResult{}, eris.Wrap(err, "ledger: decode reply")
		}
	}
	return res, nil
}

// recordLocal records an outcome in this entry. A large reply is written before
// the record that refers to it.
func (led *Ledger) recordLocal(ctx context.Context, query wick.ClaimQuery, out wick.ClaimOutcome, from wick.EntryID, inc wick.Incarnation) error {
	req := led.newRequest(&query, from, inc)
	req.outcome = out.State
	if out.State == wick.OutcomeDone {
		req.reply = &out.Reply
		if replySize(&out.Reply) > InlineReplyBytes {
			if err := led.storeReply(ctx, req); err != nil {
				return err
			}
			req.reply, req.stored = nil, true
		}
	}
	return led.shards[req.shard].submit(ctx, req).err
}

// storeReply writes a reply as an object of its own. A conflict means that an
// earlier try of the same attempt wrote it.
func (led *Ledger) storeReply(ctx context.Context, req *request) error {
	data, err := json.Marshal(req.reply)
	if err != nil {
		return eris.Wrap(err, "ledger: encode reply")
	}
	if len(data) > wick.MaxObjectBytes {
		return eris.Wrap(wick.ErrInvalid, "ledger: reply is too large")
	}
	backoff := firstBackoff
	for range maxFailures {
		_, err = led.sto.Put(ctx, replyKey(req.shard, req.owner), data, 0)
		if err == nil || errors.Is(err, wick.ErrConflict) {
			return nil
		}
		time.Sleep(backoff)
		backoff *= 2
	}
	return eris.Wrapf(wick.ErrUnavailable, "ledger: write reply: %v", err)
}

func replySize(rep *wick.PlainReply) int {
	size := len(rep.Body)
	for _, hdr := range rep.Headers {
		size += len(hdr.Name) + len(hdr.Value) + 16
	}
	return size
}

// Handlers returns the handlers of the ledger's messages between entries. They
// write to the platform and never forward.
func (led *Ledger) Handlers() map[wick.MessageType]wick.PeerHandler {
	return map[wick.MessageType]wick.PeerHandler{
		wick.MsgClaim: func(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
			return led.handle(ctx, body, func(ctx context.Context, msg *claimMessage) (wick.ClaimResult, error) {
				return led.claimLocal(ctx, msg.Query, from, msg.Incarnation)
			})
		},
		wick.MsgClaimResult: func(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
			return led.handle(ctx, body, func(ctx context.Context, msg *claimMessage) (wick.ClaimResult, error) {
				return wick.ClaimResult{}, led.recordLocal(ctx, msg.Query, msg.Outcome, from, msg.Incarnation)
			})
		},
	}
}

func (led *Ledger) handle(ctx context.Context, body []byte,
	apply func(ctx context.Context, msg *claimMessage) (wick.ClaimResult, error),
) (any, error) {
	var msg claimMessage
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	wait := min(max(msg.WaitMillis.Duration(), 0), claimTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	res, err := apply(ctx, &msg)
	led.count("handled")
	return claimReply{Result: res, Error: errorName(err)}, nil
}

func formatIncarnation(inc wick.Incarnation) string { return strconv.FormatUint(uint64(inc), 10) }
