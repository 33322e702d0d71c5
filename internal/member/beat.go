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
	// beatEvery is the time between rounds of heartbeats.
	beatEvery = time.Second
	// An unanswered heartbeat is sent once more in its round. One attempt per
	// round gave false suspicions at 2% loss in a run of 80 entries.
	beatTimeout = 450 * time.Millisecond
	beatTries   = 2
	fanout      = 3
	zoneFanout  = 1
	// maxSample members go into a reply. Three in both directions took 2.1 KB/s
	// per entry before QUIC's own bytes, of the 3 KB/s allowed.
	maxSample = 2
	// suspectEvery spaces attempts to reach a suspect member.
	suspectEvery = 3 * time.Second
)

// A Sample is one member as a heartbeat carries it.
type Sample struct {
	_           struct{} `cbor:",toarray"`
	ID          wick.EntryID
	Incarnation wick.Incarnation
	Zone        wick.Zone
	Address     string
	State       wick.EntryState
	Bundle      wick.BundleVersion
	// AgeMillis is the age of the last sign of life.
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
	// Platform is whether the sender reaches the platform itself.
	Platform bool `cbor:"2,keyasint,omitempty"`
	// Stops and Leaving are digests of the sender's sets of notices.
	Stops   uint64 `cbor:"3,keyasint,omitempty"`
	Leaving uint64 `cbor:"4,keyasint,omitempty"`
	// Sample holds up to two other members. Requests have none.
	Sample []Sample `cbor:"5,keyasint,omitempty"`
	// Answered is one more than the age of the platform's last answer that
	// showed no version above the sender's, or 0.
	Answered wick.Millis `cbor:"6,keyasint,omitempty"`
}

// Heartbeat returns the heartbeat to send, without the digests. A reply has a
// sample of other members.
func (viw *View) Heartbeat(now time.Time, isReply bool) Heartbeat {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	hbt := Heartbeat{Self: sampleOf(viw.self, 0), Platform: viw.platform}
	if age := now.Sub(viw.answered); !viw.answered.IsZero() && age < answerFor {
		hbt.Answered = wick.Millis(max(age, 0)/time.Millisecond) + 1
	}
	if !isReply {
		return hbt
	}
	mbs := viw.live(now)
	for _, idx := range viw.rnd.Perm(len(mbs))[:min(maxSample, len(mbs))] {
		mem := mbs[idx]
		// An incarnation of zero is known from the list only.
		if mem.Incarnation > 0 {
			hbt.Sample = append(hbt.Sample, sampleOf(mem, now.Sub(viw.known[mem.ID].heard)))
		}
	}
	return hbt
}

// Targets returns the members to send the next heartbeats to: one in the own
// zone and two elsewhere, the longest without contact first. A member that did
// not answer comes first until it is suspect.
func (viw *View) Targets(now time.Time) []wick.Member {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	urgency := func(rec *record) time.Duration {
		age := now.Sub(rec.contact)
		switch {
		case viw.suspect(rec, now):
			return age - suspectEvery
		case !rec.unanswered.IsZero():
			return age + goneAfter
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

// A Beater sends and answers heartbeats for a view.
type Beater struct {
	View  *View
	Peers wick.Peers
	Clock wick.Clock
	// Fill adds the digests to a heartbeat. It may be nil.
	Fill func(hbt *Heartbeat)
	// Heard is called for every heartbeat and reply that came directly from
	// its sender, and tells what the sender holds or lacks. It may be nil.
	Heard func(from wick.Member, hbt Heartbeat)
}

func (btr *Beater) make(isReply bool) Heartbeat {
	hbt := btr.View.Heartbeat(btr.Clock.Now(), isReply)
	if btr.Fill != nil {
		btr.Fill(&hbt)
	}
	return hbt
}

// take handles a heartbeat or reply of a peer.
func (btr *Beater) take(from wick.EntryID, hbt Heartbeat) error {
	if hbt.Self.ID != from {
		return eris.Wrapf(wick.ErrInvalid, "heartbeat of %q from %q", hbt.Self.ID, from)
	}
	if !btr.View.Receive(hbt, btr.Clock.Now()) {
		return eris.Wrapf(wick.ErrInvalid, "heartbeat of an earlier incarnation of %q", from)
	}
	if btr.Heard != nil {
		btr.Heard(hbt.Self.member(), hbt)
	}
	return nil
}

// Handle answers a heartbeat with the own one. It is a wick.PeerHandler.
func (btr *Beater) Handle(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var hbt Heartbeat
	if err := peer.Decode(body, &hbt); err != nil {
		return nil, err
	}
	if err := btr.take(from, hbt); err != nil {
		return nil, err
	}
	return btr.make(true), nil
}

// Run sends heartbeats until ctx ends.
func (btr *Beater) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	rnd := Rand("beat", btr.View.Self())
	for {
		now := btr.Clock.Now()
		for _, mem := range btr.View.Targets(now) {
			btr.View.Tried(mem.ID, now)
			calls.Add(1)
			go func() {
				defer calls.Done()
				btr.send(ctx, mem, now)
			}()
		}
		// The jitter keeps entries that started together from beating
		// together.
		pause := beatEvery*9/10 + time.Duration(rnd.Int64N(int64(beatEvery/5)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (btr *Beater) send(ctx context.Context, mem wick.Member, now time.Time) {
	for range beatTries {
		var hbt Heartbeat
		tctx, cancel := context.WithTimeout(ctx, beatTimeout)
		err := btr.Peers.Call(tctx, mem, wick.MsgHeartbeat, btr.make(false), &hbt)
		cancel()
		if err == nil {
			err = btr.take(mem.ID, hbt)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		btr.View.Failed(mem.ID, now)
	}
}
