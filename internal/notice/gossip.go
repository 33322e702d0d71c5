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

// A Replicator replicates the notices of a set to peers: it broadcasts new notices
// and exchanges whole sets with peers whose digests differ.
type Replicator struct {
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

// AddStop adds a stop and broadcasts it if it is new.
func (rep *Replicator) AddStop(ctx context.Context, stp Stop) {
	if added := rep.Set.AddStops(stp); len(added) > 0 {
		rep.broadcast(ctx, "", wick.MsgStop, stopBody{Stops: added})
	}
}

// AddLeaving adds leaving endpoints and broadcasts the new ones.
func (rep *Replicator) AddLeaving(ctx context.Context, lvs ...Leaving) {
	rep.broadcastLeaving(ctx, "", rep.Set.AddLeaving(rep.Clock.Now(), lvs...))
}

// ApplyList applies the platform's VM list and broadcasts endpoints that are newly
// leaving.
func (rep *Replicator) ApplyList(ctx context.Context, vms []wick.VM) {
	rep.broadcastLeaving(ctx, "", rep.Set.ApplyList(vms, rep.Clock.Now()))
}

func (rep *Replicator) broadcastLeaving(ctx context.Context, except wick.EntryID, added []Leaving) {
	if len(added) > 0 {
		rep.broadcast(ctx, except, wick.MsgLeaving, leavingBody{Leaving: added})
	}
}

// broadcast sends a message to all peers of the view but one. Messages beyond
// maxInFlight are dropped; anti-entropy repairs them.
func (rep *Replicator) broadcast(ctx context.Context, except wick.EntryID, typ wick.MessageType, body any) {
	for _, mem := range rep.View() {
		if mem.ID != except {
			rep.sendAsync(ctx, func(ctx context.Context) {
				rep.Peers.Call(ctx, mem, typ, body, nil) //nolint:errcheck // anti-entropy repairs a lost notice
			})
		}
	}
}

func (rep *Replicator) sendAsync(ctx context.Context, fn func(ctx context.Context)) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.inFlight >= maxInFlight {
		return
	}
	rep.inFlight++
	rep.sends.Add(1)
	go func() {
		defer rep.sends.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		fn(ctx)
		rep.mu.Lock()
		defer rep.mu.Unlock()
		rep.inFlight--
	}()
}

// Wait waits until no message is in flight.
func (rep *Replicator) Wait() { rep.sends.Wait() }

// CompareDigests compares the digests in a peer's heartbeat with the entry's own and
// exchanges the sets that differ.
func (rep *Replicator) CompareDigests(ctx context.Context, from wick.Member, stops, leaving uint64) {
	ownStops, ownLeaving := rep.Set.Digests()
	if stops == ownStops && leaving == ownLeaving || !rep.startExchange(from.ID) {
		return
	}
	if stops != ownStops {
		rep.sendAsync(ctx, func(ctx context.Context) {
			var out stopBody
			if rep.Peers.Call(ctx, from, wick.MsgStop, stopBody{Stops: rep.Set.Stops(), Sync: true}, &out) == nil {
				rep.addStops(ctx, from.ID, out.Stops)
			}
		})
	}
	if leaving != ownLeaving {
		rep.sendAsync(ctx, func(ctx context.Context) {
			var out leavingBody
			if rep.Peers.Call(ctx, from, wick.MsgLeaving, leavingBody{Leaving: rep.Set.Leaving(), Sync: true}, &out) == nil {
				rep.broadcastLeaving(ctx, from.ID, rep.Set.AddLeaving(rep.Clock.Now(), out.Leaving...))
			}
		})
	}
}

// startExchange reports whether a full exchange with a peer is due and, if so,
// records its start.
func (rep *Replicator) startExchange(eid wick.EntryID) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	now := rep.Clock.Now()
	if rep.lastExchange == nil {
		rep.lastExchange = make(map[wick.EntryID]time.Time)
	}
	for other, when := range rep.lastExchange {
		if now.Sub(when) >= exchangeInterval {
			delete(rep.lastExchange, other)
		}
	}
	if _, recent := rep.lastExchange[eid]; recent {
		return false
	}
	rep.lastExchange[eid] = now
	return true
}

func (rep *Replicator) addStops(ctx context.Context, from wick.EntryID, stops []Stop) {
	if added := rep.Set.AddStops(stops...); len(added) > 0 {
		rep.broadcast(ctx, from, wick.MsgStop, stopBody{Stops: added})
	}
}

// HandleStop adds stops received from a peer and broadcasts the new ones. It is
// a wick.PeerHandler.
func (rep *Replicator) HandleStop(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out stopBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Stops = rep.Set.Stops()
	}
	rep.addStops(ctx, from, msg.Stops)
	return out, nil
}

// HandleLeaving adds leaving endpoints received from a peer and broadcasts the
// new ones. It is a wick.PeerHandler.
func (rep *Replicator) HandleLeaving(ctx context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg, out leavingBody
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err
	}
	if msg.Sync {
		out.Leaving = rep.Set.Leaving()
	}
	rep.broadcastLeaving(ctx, from, rep.Set.AddLeaving(rep.Clock.Now(), msg.Leaving...))
	return out, nil
}
