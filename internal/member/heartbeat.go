package member

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// heartbeatInterval is the mean time between rounds of heartbeats.
	heartbeatInterval = time.Second
	// An unanswered heartbeat is retried once in its round. A single attempt
	// caused false suspicions among 80 entries at 2% message loss.
	heartbeatTimeout  = 450 * time.Millisecond
	heartbeatAttempts = 2
	fanout            = 3
	zoneFanout        = 1
	// maxSample bounds the gossiped members of a reply. Three in requests and
	// replies took 2.1 KB/s per entry without QUIC overhead; 3 KB/s are allowed.
	maxSample = 2
	// suspectProbeInterval is the time between probes of a suspect member.
	suspectProbeInterval = 3 * time.Second
)

// A Sample is the gossiped state of one member in a heartbeat.
type Sample struct {
	_           struct{} `cbor:",toarray"`
	ID          wick.EntryID
	Incarnation wick.Incarnation
	Zone        wick.Zone
	Address     string
	State       wick.EntryState
	Bundle      wick.BundleVersion
	// AgeMillis is the time since the last heartbeat.
	AgeMillis wick.Millis
}

func (smp Sample) member() wick.Member {
	return wick.Member{ID: smp.ID, Incarnation: smp.Incarnation, Zone: smp.Zone, Address: smp.Address, State: smp.State, Bundle: smp.Bundle}
}

func sampleOf(mem wick.Member, age time.Duration) Sample {
	return Sample{
		ID: mem.ID, Incarnation: mem.Incarnation, Zone: mem.Zone, Address: mem.Address,
		State: mem.State, Bundle: mem.Bundle, AgeMillis: wick.Millis(age / time.Millisecond),
	}
}

// A Heartbeat is the body of a heartbeat and of its reply.
type Heartbeat struct {
	Self Sample `cbor:"1,keyasint"`
	// Platform reports whether the sender has its own connection to the platform.
	Platform bool `cbor:"2,keyasint,omitempty"`
	// Stops and Leaving are digests of the sender's notice sets.
	Stops   uint64 `cbor:"3,keyasint,omitempty"`
	Leaving uint64 `cbor:"4,keyasint,omitempty"`
	// Sample contains at most maxSample other members; it is empty in requests.
	Sample []Sample `cbor:"5,keyasint,omitempty"`
	// Answered is the age of the last platform response that had no version
	// above the sender's, plus one; 0 means that there was none.
	Answered wick.Millis `cbor:"6,keyasint,omitempty"`
}

// Heartbeat returns the heartbeat to send, without the digests. A reply
// includes a random sample of other members.
func (viw *View) Heartbeat(now time.Time, isReply bool) Heartbeat {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	hbt := Heartbeat{Self: sampleOf(viw.self, 0), Platform: viw.platform}
	if age := now.Sub(viw.currentAt); !viw.currentAt.IsZero() && age < answerTTL {
		hbt.Answered = wick.Millis(max(age, 0)/time.Millisecond) + 1
	}
	if !isReply {
		return hbt
	}
	mbs := viw.live(now)
	for _, idx := range viw.rnd.Perm(len(mbs))[:min(maxSample, len(mbs))] {
		mem := mbs[idx]
		// Incarnation zero means that the member is known from the list only.
		if mem.Incarnation > 0 {
			hbt.Sample = append(hbt.Sample, sampleOf(mem, now.Sub(viw.known[mem.ID].lastSeen)))
		}
	}
	return hbt
}

// Targets returns the members to send the next heartbeats to: one in the own
// zone and two in other zones, least recently contacted first. A member with an
// unanswered heartbeat has priority until it is suspect.
func (viw *View) Targets(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	urgency := func(rec *record) time.Duration {
		age := now.Sub(rec.lastContact)
		switch {
		case viw.suspect(rec, now):
			return age - suspectProbeInterval
		case !rec.unansweredSince.IsZero():
			return age + removeAfter
		default:
			return age
		}
	}
	var zone, elsewhere []*record
	for _, mem := range place.Rank(string(viw.self.ID), viw.others()) {
		rec := viw.known[mem.ID]
		if viw.suspect(rec, now) && urgency(rec) < 0 {
			continue
		}
		if rec.Zone == viw.self.Zone {
			zone = append(zone, rec)
		} else {
			elsewhere = append(elsewhere, rec)
		}
	}
	byUrgency := func(recs []*record, num int) []wick.Member {
		var out []wick.Member
		for ; num > 0 && len(recs) > 0; num-- {
			best := 0
			for idx, rec := range recs {
				if urgency(rec) > urgency(recs[best]) {
					best = idx
				}
			}
			out = append(out, recs[best].Member)
			recs = append(recs[:best:best], recs[best+1:]...)
		}
		return out
	}
	out := byUrgency(zone, max(zoneFanout, fanout-len(elsewhere)))
	return append(out, byUrgency(elsewhere, fanout-len(out))...)
}

func (viw *View) others() []wick.Member {
	out := make([]wick.Member, 0, len(viw.known))
	for _, rec := range viw.known {
		if rec.State != wick.EntryStopped {
			out = append(out, rec.Member)
		}
	}
	return out
}

// A Heartbeater sends heartbeats for a view and replies to those of peers.
type Heartbeater struct {
	View  *View
	Peers wick.Peers
	Clock wick.Clock
	// AddDigests adds the digests to a heartbeat. It may be nil.
	AddDigests func(hbt *Heartbeat)
	// OnHeartbeat is called for every heartbeat and reply received directly from its
	// sender, to compare versions and digests. It may be nil.
	OnHeartbeat func(from wick.Member, hbt Heartbeat)
}

func (btr *Heartbeater) newHeartbeat(isReply bool) Heartbeat {
	hbt := btr.View.Heartbeat(btr.Clock.Now(), isReply)
	if btr.AddDigests != nil {
		btr.AddDigests(&hbt)
	}
	return hbt
}

// receive processes a heartbeat or a reply from a peer.
func (btr *Heartbeater) receive(from wick.EntryID, hbt Heartbeat) error {
	if hbt.Self.ID != from {
		return eris.Wrapf(wick.ErrInvalid, "heartbeat identifies its sender as %q but came from %q", hbt.Self.ID, from)
	}
	if !btr.View.Receive(hbt, btr.Clock.Now()) {
		return eris.Wrapf(wick.ErrInvalid, "heartbeat of an earlier incarnation of %q", from)
	}
	if btr.OnHeartbeat != nil {
		btr.OnHeartbeat(hbt.Self.member(), hbt)
	}
	return nil
}

// Handle replies to a heartbeat. It is a wick.PeerHandler.
func (btr *Heartbeater) Handle(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var hbt Heartbeat
	if err := peer.Decode(body, &hbt); err != nil {
		return nil, err
	}
	if err := btr.receive(from, hbt); err != nil {
		return nil, err
	}
	return btr.newHeartbeat(true), nil
}

// Run sends heartbeats until ctx is canceled.
func (btr *Heartbeater) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	rnd := Rand("beat", btr.View.Self())
	for {
		now := btr.Clock.Now()
		for _, mem := range btr.View.Targets(now) {
			btr.View.RecordAttempt(mem.ID, now)
			calls.Add(1)
			go func() {
				defer calls.Done()
				btr.send(ctx, mem, now)
			}()
		}
		// Jitter desynchronizes entries that started at the same time.
		pause := heartbeatInterval*9/10 + time.Duration(rnd.Int64N(int64(heartbeatInterval/5)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (btr *Heartbeater) send(ctx context.Context, mem wick.Member, now time.Time) {
	for range heartbeatAttempts {
		var hbt Heartbeat
		tctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		err := btr.Peers.Call(tctx, mem, wick.MsgHeartbeat, btr.newHeartbeat(false), &hbt)
		cancel()
		if err == nil {
			err = btr.receive(mem.ID, hbt)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		btr.View.RecordFailure(mem.ID, now)
	}
}
