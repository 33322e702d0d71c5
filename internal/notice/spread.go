package notice

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// sendTimeout ends the attempt to pass a notice on. Digests in heartbeats
	// cover a peer that missed it.
	sendTimeout = 2 * time.Second
	// syncEvery spaces full exchanges with one peer, whose digest may differ
	// for as long as its list lags.
	syncEvery = 5 * time.Second
	// maxSends bounds the messages being sent at once: two notices to a view
	// of 64 members.
	maxSends = 128
)

// stopBody is the body of a stopNotice and of its reply.
type stopBody struct {
	Stops []Stop `cbor:"1,keyasint,omitempty"`
	// Sync asks for all stops in the reply.
	Sync bool `cbor:"2,keyasint,omitempty"`
}

// leavingBody is the body of a leavingNotice and of its reply.
type leavingBody struct {
	Leaving []Leaving `cbor:"1,keyasint,omitempty"`
	Sync    bool      `cbor:"2,keyasint,omitempty"`
}

// A Spreader passes the notices of a set on to peers.
type Spreader struct {
	Set   *Set
	Peers wick.Peers
	Clock wick.Clock
	// View returns the peers to which a new notice is sent.
	View func() []wick.Member

	mu sync.Mutex
	// synced holds the time of the last full exchange by peer.
	synced  map[wick.EntryID]time.Time
	sending int
	sends   sync.WaitGroup
}

// Stop adds a stop and passes it on if it is new.
func (spr *Spreader) Stop(ctx context.Context, stp Stop) {
	if added := spr.Set.AddStops(stp); len(added) > 0 {
		spr.toAll(ctx, "", wick.MsgStop, stopBody{Stops: added})
	}
}

// Leaving adds leaving endpoints and passes on the new ones.
func (spr *Spreader) Leaving(ctx context.Context, lvs ...Leaving) {
	spr.passLeaving(ctx, "", spr.Set.AddLeaving(spr.Clock.Now(), lvs...))
}

// List takes the platform's list and passes on the endpoints that are new.
func (spr *Spreader) List(ctx context.Context, vms []wick.VM) {
	spr.passLeaving(ctx, "", spr.Set.SetList(vms, spr.Clock.Now()))
}

func (spr *Spreader) passLeaving(ctx context.Context, except wick.EntryID, added []Leaving) {
	if len(added) > 0 {
		spr.toAll(ctx, except, wick.MsgLeaving, leavingBody{Leaving: added})
	}
}

// toAll sends a message to all peers of the view. Messages beyond maxSends are
// left to the digests.
func (spr *Spreader) toAll(ctx context.Context, except wick.EntryID, typ wick.MessageType, body any) {
	for _, mem := range spr.View() {
		if mem.ID != except {
			spr.goSend(ctx, func(ctx context.Context) {
				spr.Peers.Call(ctx, mem, typ, body, nil) //nolint:errcheck // digests cover a lost notice
			})
		}
	}
}

func (spr *Spreader) goSend(ctx context.Context, fn func(ctx context.Context)) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	if spr.sending >= maxSends {
		return
	}
	spr.sending++
	spr.sends.Add(1)
	go func() {
		defer spr.sends.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		fn(ctx)
		spr.mu.Lock()
		defer spr.mu.Unlock()
		spr.sending--
	}()
}

// Wait waits until the messages being sent have ended.
func (spr *Spreader) Wait() { spr.sends.Wait() }

// Heard compares a peer's digests with the own ones and exchanges the sets
// that differ.
func (spr *Spreader) Heard(ctx context.Context, from wick.Member, stops, leaving uint64) {
	ownStops, ownLeaving := spr.Set.Digests()
	if stops == ownStops && leaving == ownLeaving || !spr.mayExchange(from.ID) {
		return
	}
	if stops != ownStops {
		spr.goSend(ctx, func(ctx context.Context) {
			var out stopBody
			if spr.Peers.Call(ctx, from, wick.MsgStop, stopBody{Stops: spr.Set.Stops(), Sync: true}, &out) == nil {
				spr.takeStops(ctx, from.ID, out.Stops)
			}
		})
	}
	if leaving != ownLeaving {
		spr.goSend(ctx, func(ctx context.Context) {
			var out leavingBody
			if spr.Peers.Call(ctx, from, wick.MsgLeaving, leavingBody{Leaving: spr.Set.Leaving(), Sync: true}, &out) == nil {
				spr.passLeaving(ctx, from.ID, spr.Set.AddLeaving(spr.Clock.Now(), out.Leaving...))
			}
		})
	}
}

// mayExchange tells whether a full exchange with a peer is due.
func (spr *Spreader) mayExchange(eid wick.EntryID) bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	now := spr.Clock.Now()
	if spr.synced == nil {
		spr.synced = make(map[wick.EntryID]time.Time)
	}
	for other, when := range spr.synced {
		if now.Sub(when) >= syncEvery {
			delete(spr.synced, other)
		}
	}
	if _, recent := spr.synced[eid]; recent {
		return false
	}
	spr.synced[eid] = now
	return true
}

func (spr *Spreader) takeStops(ctx context.Context, from wick.EntryID, stops []Stop) {
	if added := spr.Set.AddStops(stops...); len(added) > 0 {
		spr.toAll(ctx, from, wick.MsgStop, stopBody{Stops: added})
	}
}

// HandleStop takes stops from a peer and forwards those that are new. It is a
// wick.PeerHandler.
func (spr *Spreader) HandleStop(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out stopBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Stops = spr.Set.Stops()
	}
	spr.takeStops(ctx, from, msg.Stops)
	return out, nil
}

// HandleLeaving takes leaving endpoints from a peer and forwards those that
// are new. It is a wick.PeerHandler.
func (spr *Spreader) HandleLeaving(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out leavingBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Leaving = spr.Set.Leaving()
	}
	spr.passLeaving(ctx, from, spr.Set.AddLeaving(spr.Clock.Now(), msg.Leaving...))
	return out, nil
}
