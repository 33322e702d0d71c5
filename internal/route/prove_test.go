package route

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	simSteps = flag.Int("steps", 1200, "ticks of 100 ms per run")
	simSeed  = flag.Uint64("seed", 1, "first seed")
	simSeeds = flag.Uint64("seeds", 5, "seeds")
)

const (
	// listBound is the time after the list shows that a VM leaves, and
	// knowBound the time after the endpoint knows it, from which P6 forbids
	// new work.
	listBound = 2 * time.Second
	knowBound = 3 * time.Second
)

// A simVM is the truth about one endpoint.
type simVM struct {
	vm     wick.VM
	knows  time.Time
	listed time.Time
	dead   time.Time
	// mute endpoints do not answer polls; stale ones answer from an old copy
	// for a while.
	mute, stale time.Time
	copied      wick.LoadReport
}

// A p6Sim runs entries' tables against endpoints that leave, with lagging and
// wrong lists, lost polls and notices, and entries without peers.
type p6Sim struct {
	rnd    *rand.Rand
	chk    *invar.Checker
	vms    []*simVM
	tabs   []*Table
	alone  []time.Time
	lists  [][]wick.VM
	events map[int][]func()
	tick   int
	// noAge and noSet switch mechanisms off.
	noAge, noSet bool
	picks        int
	errs         int
}

func newP6Sim(seed uint64, chk *invar.Checker) *p6Sim {
	sm := &p6Sim{rnd: rand.New(rand.NewPCG(seed, 3)), chk: chk, events: make(map[int][]func())}
	for _, vm := range makeVMs(12, "a", "b", "c", "d") {
		sm.vms = append(sm.vms, &simVM{vm: vm})
	}
	for idx := range 5 {
		sm.tabs = append(sm.tabs, New(wick.EntryID(strconv.Itoa(idx)), wick.Zone("abcda"[idx:idx+1]), WithChecker(chk)))
	}
	sm.alone = make([]time.Time, len(sm.tabs))
	return sm
}

func (sm *p6Sim) later(ticks int, do func()) {
	sm.events[sm.tick+ticks] = append(sm.events[sm.tick+ticks], do)
}

// trouble draws what happens in a tick.
func (sm *p6Sim) trouble(now time.Time) {
	if sm.rnd.IntN(60) == 0 {
		vm := sm.vms[sm.rnd.IntN(len(sm.vms))]
		switch sm.rnd.IntN(4) {
		case 0:
			vm.mute = now.Add(time.Duration(sm.rnd.IntN(8)) * time.Second)
		case 1:
			vm.stale = now.Add(time.Duration(sm.rnd.IntN(8)) * time.Second)
		default:
			sm.leave(vm, now)
		}
	}
	if sm.rnd.IntN(100) == 0 {
		sm.alone[sm.rnd.IntN(len(sm.tabs))] = now.Add(time.Duration(sm.rnd.IntN(20)) * time.Second)
	}
	if sm.rnd.IntN(400) == 0 {
		zone := sm.vms[sm.rnd.IntN(4)].vm.Zone
		for _, vm := range sm.vms {
			if vm.vm.Zone == zone {
				sm.leave(vm, now)
			}
		}
	}
}

// leave starts a reclaim: the endpoint knows at once and the list later, or the
// other way round. A new VM takes the place.
func (sm *p6Sim) leave(vm *simVM, now time.Time) {
	if !vm.knows.IsZero() || !vm.listed.IsZero() {
		return
	}
	show := func() {
		vm.vm.State = wick.VMLeaving
		vm.listed = time.Now()
	}
	if sm.rnd.IntN(2) == 0 {
		// The network around a lost machine often fails before it does.
		vm.mute = now.Add(time.Duration(sm.rnd.IntN(10)) * time.Second)
	}
	if sm.rnd.IntN(2) == 0 {
		vm.knows = now
		sm.later(sm.rnd.IntN(100), show)
	} else {
		show()
		sm.later(sm.rnd.IntN(100), func() { vm.knows = time.Now() })
	}
	sm.later(100+sm.rnd.IntN(50), func() {
		vm.dead = time.Now()
		fresh := &simVM{vm: vm.vm}
		fresh.vm.ID = wick.VMID(fmt.Sprintf("vm%d", 100+sm.tick+sm.rnd.IntN(1<<20)))
		fresh.vm.State = wick.VMLive
		sm.vms[slices.Index(sm.vms, vm)] = fresh
	})
}

// poll asks all watched endpoints of an entry for reports.
func (sm *p6Sim) poll(tab *Table, now time.Time) {
	byID := make(map[wick.VMID]*simVM)
	for _, vm := range sm.vms {
		byID[vm.vm.ID] = vm
	}
	for _, watched := range tab.Watched() {
		vm := byID[watched.ID]
		if vm == nil || now.Before(vm.mute) {
			if sm.noAge && vm != nil {
				rep := vm.copied
				rep.At = now
				tab.Report(watched.ID, rep, now, now)
			}
			continue
		}
		if !now.Before(vm.stale) || vm.copied.At.IsZero() {
			vm.copied = wick.LoadReport{Slots: 50, At: now, Leaving: !vm.knows.IsZero()}
		}
		rep := vm.copied
		if sm.noAge {
			rep.At = now
		}
		sm.later(sm.rnd.IntN(4), func() { tab.Report(watched.ID, rep, now, time.Now()) })
	}
}

// exchange gives lists and notices to the tables.
func (sm *p6Sim) exchange(now time.Time) {
	list := make([]wick.VM, 0, len(sm.vms))
	for _, vm := range sm.vms {
		if sm.rnd.IntN(50) > 0 {
			list = append(list, vm.vm)
		}
	}
	sm.lists = append(sm.lists, list)
	for idx, tab := range sm.tabs {
		if now.Before(sm.alone[idx]) {
			continue
		}
		seen := sm.lists[len(sm.lists)-1]
		if sm.rnd.IntN(5) == 0 {
			// The list is eventually consistent: an old one comes again.
			seen = sm.lists[max(0, len(sm.lists)-1-sm.rnd.IntN(8))]
		}
		if sm.noSet {
			for sid := range tab.shards {
				clear(tab.shards[sid].leaving)
				clear(tab.shards[sid].eps)
			}
		}
		tab.SetVMs(seen, now)
	}
}

// notices spreads what entries learnt to the connected others.
func (sm *p6Sim) notices(now time.Time) {
	for idx, tab := range sm.tabs {
		if now.Before(sm.alone[idx]) {
			continue
		}
		for _, ntc := range tab.TakeNotices() {
			for jdx, peer := range sm.tabs {
				sm.later(1+sm.rnd.IntN(8), func() {
					if !time.Now().Before(sm.alone[jdx]) {
						peer.MarkLeaving(ntc, time.Now())
					}
				})
			}
		}
		if sm.tick%10 == 0 {
			// Digests in heartbeats bring what was missed while alone.
			peer := sm.tabs[sm.rnd.IntN(len(sm.tabs))]
			for _, ntc := range peer.Leaving() {
				tab.MarkLeaving(ntc, now)
			}
		}
	}
}

// request makes one attempt and asserts P6 on the truth.
func (sm *p6Sim) request(now time.Time) {
	idx := sm.rnd.IntN(len(sm.tabs))
	asg, err := sm.tabs[idx].Pick(wick.RouteQuery{Service: svcQuote, InputTokens: 200, Now: now})
	if err != nil {
		sm.errs++
		return
	}
	sm.picks++
	out := wick.Outcome{FirstToken: 100 * time.Millisecond}
	pos := slices.IndexFunc(sm.vms, func(vm *simVM) bool { return vm.vm.ID == asg.VM.ID })
	switch {
	case pos < 0:
		out.Err = wick.ErrNotSent
	case !sm.vms[pos].knows.IsZero():
		vm := sm.vms[pos]
		sm.chk.Check(now.Sub(vm.knows) <= knowBound, invar.NoWorkToLeaving, "entry %d sends to %s %s after it knows", idx, asg.VM.ID, now.Sub(vm.knows))
		if out.Err = wick.ErrUnknownOutcome; !now.Before(vm.mute) {
			out.Err = errors.Join(wick.ErrNotExecuted, wick.ErrLeaving)
		}
	}
	if pos >= 0 && !sm.vms[pos].listed.IsZero() && !now.Before(sm.alone[idx]) {
		since := now.Sub(sm.vms[pos].listed)
		connected := now.Sub(sm.alone[idx]) > listBound+time.Second
		sm.chk.Check(since <= listBound+time.Second || !connected, invar.NoWorkToLeaving,
			"entry %d sends to %s %s after the list changed", idx, asg.VM.ID, since)
	}
	sm.later(1+sm.rnd.IntN(20), func() { asg.Done(out) })
}

func (sm *p6Sim) run(steps int) {
	for sm.tick = range steps {
		now := time.Now()
		for _, do := range sm.events[sm.tick] {
			do()
		}
		delete(sm.events, sm.tick)
		if sm.tick > 20 {
			sm.trouble(now)
		}
		if sm.tick%10 == 0 {
			sm.exchange(now)
		}
		if !sm.noSet {
			sm.notices(now)
		}
		if sm.tick%5 == 0 {
			for _, tab := range sm.tabs {
				tab.Tick(now)
				sm.poll(tab, now)
			}
		}
		for range 5 {
			sm.request(now)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestLeavingBounds guards P6 under lagging and wrong lists, silent and stale
// endpoints, lost zones and entries that are cut off: nothing is sent 3 s after
// the endpoint knows, or 2 s after a list poll (every second) shows it.
func TestLeavingBounds(t *testing.T) {
	picks, errs := 0, 0
	for seed := *simSeed; seed < *simSeed+*simSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			sm := newP6Sim(seed, &invar.Checker{OnViolation: func(name invar.Name, detail string) {
				t.Errorf("seed %d: %s: %s", seed, name, detail)
			}})
			sm.run(*simSteps)
			picks += sm.picks
			errs += sm.errs
		})
	}
	t.Logf("seeds %d, attempts %d, refused %d", *simSeeds, picks, errs)
	if errs*4 > picks {
		t.Errorf("%d of %d requests found no endpoint", errs, picks+errs)
	}
}

// TestLeavingMechanismsAreNeeded guards the runs themselves: without the age of
// reports or without the leaving set they must report violations.
func TestLeavingMechanismsAreNeeded(t *testing.T) {
	for name, change := range map[string]func(sm *p6Sim){
		"age": func(sm *p6Sim) { sm.noAge = true },
		"set": func(sm *p6Sim) { sm.noSet = true },
	} {
		t.Run(name, func(t *testing.T) {
			num := 0
			for seed := range uint64(5) {
				synctest.Test(t, func(*testing.T) {
					sm := newP6Sim(seed, &invar.Checker{OnViolation: func(invar.Name, string) { num++ }})
					change(sm)
					sm.run(1200)
				})
			}
			if num == 0 {
				t.Error("no violation")
			}
		})
	}
}
