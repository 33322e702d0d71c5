package notice

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// sendTimeout bounds the sending of a notice. Anti-entropy by the digests
	// in heartbeats repairs a peer that missed it.
	sendTimeout = 2 * time.Second
	// exchangeInterval is the minimum time between full exchanges with one
	// peer, whose digest may differ for as long as its list lags.
	exchangeInterval = 5 * time.Second
	// maxInFlight bounds the messages in flight: two notices to a view of 64
	// members.
	maxInFlight = 128
)

// stopBody is the body of a stopNotice and of its reply.
type stopBody struct {
	Stops []Stop `cbor:"1,keyasint,omitempty"`
	// Sync requests all stops in the reply.
	Sync bool `cbor:"2,keyasint,omitempty"`
}

// leavingBody is the body of a leavingNotice and of its reply.
type leavingBody struct {
	Leaving []Leaving `cbor:"1,keyasint,omitempty"`
	// Sync requests all leaving endpoints in the reply.
	Sync bool `cbor:"2,keyasint,omitempty"`
}

// A Spreader replicates the notices of a set to peers: it broadcasts new notices
// and exchanges whole sets with peers whose digests differ.
type Spreader struct {
	Set   *Set
	Peers wick.Peers
	Clock wick.Clock
	// View returns the peers to which new notices are sent.
	View func() []wick.Member

	mu sync.Mutex
	// lastExchange holds the time of the last full exchange by peer.
	lastExchange map[wick.EntryID]time.Time
	inFlight     int
	sends        sync.WaitGroup
}

// Stop adds a stop and broadcasts it if it is new.
func (spr *Spreader) Stop(ctx context.Context, stp Stop) {
	if added := spr.Set.AddStops(stp); len(added) > 0 {
		spr.broadcast(ctx, "", wick.MsgStop, stopBody{Stops: added})
	}
}

// Leaving adds leaving endpoints and broadcasts the new ones.
func (spr *Spreader) Leaving(ctx context.Context, lvs ...Leaving) {
	spr.broadcastLeaving(ctx, "", spr.Set.AddLeaving(spr.Clock.Now(), lvs...))
}

// List applies the platform's VM list and broadcasts endpoints that are newly
// leaving.
func (spr *Spreader) List(ctx context.Context, vms []wick.VM) {
	spr.broadcastLeaving(ctx, "", spr.Set.ApplyList(vms, spr.Clock.Now()))
}

func (spr *Spreader) broadcastLeaving(ctx context.Context, except wick.EntryID, added []Leaving) {
	if len(added) > 0 {
		spr.broadcast(ctx, except, wick.MsgLeaving, leavingBody{Leaving: added})
	}
}

// broadcast sends a message to all peers of the view but one. Messages beyond
// maxInFlight are dropped; anti-entropy repairs them.
func (spr *Spreader) broadcast(ctx context.Context, except wick.EntryID, typ wick.MessageType, body any) {
	for _, mem := range spr.View() {
		if mem.ID != except {
			spr.sendAsync(ctx, func(ctx context.Context) {
				spr.Peers.Call(ctx, mem, typ, body, nil) //nolint:errcheck // anti-entropy repairs a lost notice
			})
		}
	}
}

func (spr *Spreader) sendAsync(ctx context.Context, fn func(ctx context.Context)) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	if spr.inFlight >= maxInFlight {
		return
	}
	spr.inFlight++
	spr.sends.Add(1)
	go func() {
		defer spr.sends.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		fn(ctx)
		spr.mu.Lock()
		defer spr.mu.Unlock()
		spr.inFlight--
	}()
}

// Wait waits until no message is in flight.
func (spr *Spreader) Wait() { spr.sends.Wait() }

// Heard compares the digests in a peer's heartbeat with the entry's own and
// exchanges the sets that differ.
func (spr *Spreader) Heard(ctx context.Context, from wick.Member, stops, leaving uint64) {
	ownStops, ownLeaving := spr.Set.Digests()
	if stops == ownStops && leaving == ownLeaving || !spr.startExchange(from.ID) {
		return
	}
	if stops != ownStops {
		spr.sendAsync(ctx, func(ctx context.Context) {
			var out stopBody
			if spr.Peers.Call(ctx, from, wick.MsgStop, stopBody{Stops: spr.Set.Stops(), Sync: true}, &out) == nil {
				spr.addStops(ctx, from.ID, out.Stops)
			}
		})
	}
	if leaving != ownLeaving {
		spr.sendAsync(ctx, func(ctx context.Context) {
			var out leavingBody
			if spr.Peers.Call(ctx, from, wick.MsgLeaving, leavingBody{Leaving: spr.Set.Leaving(), Sync: true}, &out) == nil {
				spr.broadcastLeaving(ctx, from.ID, spr.Set.AddLeaving(spr.Clock.Now(), out.Leaving...))
			}
		})
	}
}

// startExchange reports whether a full exchange with a peer is due and, if so,
// records its start.
func (spr *Spreader) startExchange(eid wick.EntryID) bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	now := spr.Clock.Now()
	if spr.lastExchange == nil {
		spr.lastExchange = make(map[wick.EntryID]time.Time)
	}
	for other, when := range spr.lastExchange {
		if now.Sub(when) >= exchangeInterval {
			delete(spr.lastExchange, other)
		}
	}
	if _, recent := spr.lastExchange[eid]; recent {
		return false
	}
	spr.lastExchange[eid] = now
	return true
}

func (spr *Spreader) addStops(ctx context.Context, from wick.EntryID, stops []Stop) {
	if added := spr.Set.AddStops(stops...); len(added) > 0 {
		spr.broadcast(ctx, from, wick.MsgStop, stopBody{Stops: added})
	}
}

// HandleStop adds stops received from a peer and broadcasts the new ones. It is
// a wick.PeerHandler.
func (spr *Spreader) HandleStop(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out stopBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Stops = spr.Set.Stops()
	}
	spr.addStops(ctx, from, msg.Stops)
	return out, nil
}

// HandleLeaving adds leaving endpoints received from a peer and broadcasts the
// new ones. It is a wick.PeerHandler.
func (spr *Spreader) HandleLeaving(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out leavingBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Leaving = spr.Set.Leaving()
	}
	spr.broadcastLeaving(ctx, from, spr.Set.AddLeaving(spr.Clock.Now(), msg.Leaving...))
	return out, nil
}
