package member

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// probeEvery spaces the questions to one member.
	probeEvery = 500 * time.Millisecond
	// maxProbes bounds the members that are remembered as asked.
	maxProbes = 4096
)

// A Prober tells when a member was last heard of. It asks members that a large
// or bounded view hears of less often than every SuspectAfter: with 40 entries
// and slow first tokens, replicas took over 40 times from origins that ran.
// All fields must be set.
type Prober struct {
	Beater *Beater
	// Find returns a member, which need not be in the view.
	Find func(eid wick.EntryID) (wick.Member, bool)

	mu     sync.Mutex
	probes map[wick.EntryID]*probe
}

// A probe is the state of asking one member.
type probe struct {
	// since is the first question without an answer, or zero.
	since    time.Time
	answered time.Time
	asked    time.Time
	running  bool
}

// LastHeard returns when a member was last heard of; zero for never. While it
// is being asked, that is the time of the first question, so that a member
// counts as silent SuspectAfter later.
func (prb *Prober) LastHeard(eid wick.EntryID) time.Time {
	viw, now := prb.Beater.View, prb.Beater.Clock.Now()
	heard := viw.LastHeard(eid)
	if viw.hearsAll() || now.Sub(heard) < SuspectAfter {
		return heard
	}
	mem, ok := prb.Find(eid)
	if !ok {
		return heard
	}
	prb.mu.Lock()
	defer prb.mu.Unlock()
	pro := prb.probes[eid]
	if pro == nil {
		if prb.probes == nil || len(prb.probes) >= maxProbes {
			prb.probes = make(map[wick.EntryID]*probe)
		}
		pro = &probe{}
		prb.probes[eid] = pro
	}
	heard = later(heard, pro.answered)
	if now.Sub(heard) < SuspectAfter {
		return heard
	}
	if pro.since.IsZero() {
		pro.since = now
	}
	if !pro.running && now.Sub(pro.asked) >= probeEvery {
		pro.running, pro.asked = true, now
		go prb.ask(mem, pro)
	}
	return later(heard, pro.since)
}

func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}

func (prb *Prober) ask(mem wick.Member, pro *probe) {
	answered := prb.Beater.send(context.Background(), mem, prb.Beater.Clock.Now())
	prb.mu.Lock()
	defer prb.mu.Unlock()
	pro.running = false
	if answered {
		pro.answered, pro.since = prb.Beater.Clock.Now(), time.Time{}
	}
}

// hearsAll tells whether the view is small enough that every member exchanges
// a heartbeat with this entry within SuspectAfter.
func (viw *View) hearsAll() bool {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	return len(viw.known) <= fullView
}
