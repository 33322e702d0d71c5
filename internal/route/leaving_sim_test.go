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
	// invar.NoWorkToLeaving forbids attempts later than listedBound after a
	// list poll shows that a VM is leaving, and later than noticedBound after
	// the endpoint has received its reclaim notice.
	listedBound  = 2 * time.Second
	noticedBound = 3 * time.Second
)

// A simEndpoint is the actual state of one simulated endpoint.
type simEndpoint struct {
	vm           wick.VM
	noticedAt    time.Time
	listedAt     time.Time
	terminatedAt time.Time
	// Until silentUntil the endpoint does not answer polls. Until staleUntil
	// it answers them with cachedReport.
	silentUntil, staleUntil time.Time
	cachedReport            wick.LoadReport
}

// A leavingSim runs the tables of several entries against endpoints that leave,
// with stale and incomplete lists, lost polls and notices, and entries that are
// isolated from the others.
type leavingSim struct {
	rnd           *rand.Rand
	chk           *invar.Checker
	vms           []*simEndpoint
	tabs          []*Table
	isolatedUntil []time.Time
	lists         [][]wick.VM
	events        map[int][]func()
	tick          int
	// ignoreReportAge and disableLeavingSet disable a mechanism each.
	ignoreReportAge, disableLeavingSet bool
	picks                              int
	errs                               int
}

func newLeavingSim(seed uint64, chk *invar.Checker) *leavingSim {
	sm := &leavingSim{rnd: rand.New(rand.NewPCG(seed, 3)), chk: chk, events: make(map[int][]func())}
	for _, vm := range makeVMs(12, "a", "b", "c", "d") {
		sm.vms = append(sm.vms, &simEndpoint{vm: vm})
	}
	for idx := range 5 {
		sm.tabs = append(sm.tabs, New(wick.EntryID(strconv.Itoa(idx)), wick.Zone("abcda"[idx:idx+1]), WithChecker(chk)))
	}
	sm.isolatedUntil = make([]time.Time, len(sm.tabs))
	return sm
}

func (sm *leavingSim) schedule(ticks int, action func()) {
	sm.events[sm.tick+ticks] = append(sm.events[sm.tick+ticks], action)
}

// injectFaults draws the faults and reclaims of a tick.
func (sm *leavingSim) injectFaults(now time.Time) {
	if sm.rnd.IntN(60) == 0 {
		vm := sm.vms[sm.rnd.IntN(len(sm.vms))]
		switch sm.rnd.IntN(4) {
		case 0:
			vm.silentUntil = now.Add(time.Duration(sm.rnd.IntN(8)) * time.Second)
		case 1:
			vm.staleUntil = now.Add(time.Duration(sm.rnd.IntN(8)) * time.Second)
		default:
			sm.reclaim(vm, now)
		}
	}
	if sm.rnd.IntN(100) == 0 {
		sm.isolatedUntil[sm.rnd.IntN(len(sm.tabs))] = now.Add(time.Duration(sm.rnd.IntN(20)) * time.Second)
	}
	if sm.rnd.IntN(400) == 0 {
		zone := sm.vms[sm.rnd.IntN(4)].vm.Zone
		for _, vm := range sm.vms {
			if vm.vm.Zone == zone {
				sm.reclaim(vm, now)
			}
		}
	}
}

// reclaim starts a reclaim: the endpoint receives its notice first and the list
// shows it later, or the other way round. A new VM replaces the endpoint.
func (sm *leavingSim) reclaim(vm *simEndpoint, now time.Time) {
	if !vm.noticedAt.IsZero() || !vm.listedAt.IsZero() {
		return
	}
	markListed := func() {
		vm.vm.State = wick.VMLeaving
		vm.listedAt = time.Now()
	}
	if sm.rnd.IntN(2) == 0 {
		// The network of a failing machine often fails before the machine.
		vm.silentUntil = now.Add(time.Duration(sm.rnd.IntN(10)) * time.Second)
	}
	if sm.rnd.IntN(2) == 0 {
		vm.noticedAt = now
		sm.schedule(sm.rnd.IntN(100), markListed)
	} else {
		markListed()
		sm.schedule(sm.rnd.IntN(100), func() { vm.noticedAt = time.Now() })
	}
	sm.schedule(100+sm.rnd.IntN(50), func() {
		vm.terminatedAt = time.Now()
		replacement := &simEndpoint{vm: vm.vm}
		replacement.vm.ID = wick.VMID(fmt.Sprintf("vm%d", 100+sm.tick+sm.rnd.IntN(1<<20)))
		replacement.vm.State = wick.VMLive
		sm.vms[slices.Index(sm.vms, vm)] = replacement
	})
}

// poll requests load reports from all endpoints that an entry polls.
func (sm *leavingSim) poll(tab *Table, now time.Time) {
	byID := make(map[wick.VMID]*simEndpoint)
	for _, vm := range sm.vms {
		byID[vm.vm.ID] = vm
	}
	for _, watched := range tab.PollTargets() {
		vm := byID[watched.ID]
		if vm == nil || now.Before(vm.silentUntil) {
			if sm.ignoreReportAge && vm != nil {
				rep := vm.cachedReport
				rep.At = now
				tab.Report(watched.ID, rep, now, now)
			}
			continue
		}
		if !now.Before(vm.staleUntil) || vm.cachedReport.At.IsZero() {
			vm.cachedReport = wick.LoadReport{Slots: 50, At: now, Leaving: !vm.noticedAt.IsZero()}
		}
		rep := vm.cachedReport
		if sm.ignoreReportAge {
			rep.At = now
		}
		sm.schedule(sm.rnd.IntN(4), func() { tab.Report(watched.ID, rep, now, time.Now()) })
	}
}

// deliverLists records the current VM list and delivers a recent one to each
// connected entry.
func (sm *leavingSim) deliverLists(now time.Time) {
	current := make([]wick.VM, 0, len(sm.vms))
	for _, vm := range sm.vms {
		if sm.rnd.IntN(50) > 0 {
			current = append(current, vm.vm)
		}
	}
	sm.lists = append(sm.lists, current)
	for idx, tab := range sm.tabs {
		if now.Before(sm.isolatedUntil[idx]) {
			continue
		}
		list := sm.lists[len(sm.lists)-1]
		if sm.rnd.IntN(5) == 0 {
			// The list is eventually consistent: deliver an old one again.
			list = sm.lists[max(0, len(sm.lists)-1-sm.rnd.IntN(8))]
		}
		if sm.disableLeavingSet {
			for sid := range tab.shards {
				clear(tab.shards[sid].leaving)
				clear(tab.shards[sid].eps)
			}
		}
		tab.SetVMs(list, now)
	}
}

// propagateNotices sends the pending notices of connected entries to the others.
func (sm *leavingSim) propagateNotices(now time.Time) {
	for idx, tab := range sm.tabs {
		if now.Before(sm.isolatedUntil[idx]) {
			continue
		}
		for _, ntc := range tab.PopNotices() {
			for jdx, peer := range sm.tabs {
				sm.schedule(1+sm.rnd.IntN(8), func() {
					if !time.Now().Before(sm.isolatedUntil[jdx]) {
						peer.MarkLeaving(ntc, time.Now())
					}
				})
			}
		}
		if sm.tick%10 == 0 {
			// Digests in heartbeats deliver what was lost while isolated.
			peer := sm.tabs[sm.rnd.IntN(len(sm.tabs))]
			for _, ntc := range peer.Leaving() {
				tab.MarkLeaving(ntc, now)
			}
		}
	}
}

// request makes one attempt and asserts invar.NoWorkToLeaving against the actual
// state of the endpoint.
func (sm *leavingSim) request(now time.Time) {
	idx := sm.rnd.IntN(len(sm.tabs))
	asg, err := sm.tabs[idx].Pick(wick.RouteQuery{Service: svcQuote, InputTokens: 200, Now: now})
	if err != nil {
		sm.errs++
		return
	}
	sm.picks++
	out := wick.Outcome{FirstToken: 100 * time.Millisecond}
	pos := slices.IndexFunc(sm.vms, func(vm *simEndpoint) bool { return vm.vm.ID == asg.VM.ID })
	switch {
	case pos < 0:
		out.Err = wick.ErrNotSent
	case !sm.vms[pos].noticedAt.IsZero():
		vm := sm.vms[pos]
		sm.chk.Check(now.Sub(vm.noticedAt) <= noticedBound, invar.NoWorkToLeaving, "entry %d sends to %s %s after its reclaim notice", idx, asg.VM.ID, now.Sub(vm.noticedAt))
		if out.Err = wick.ErrUnknownOutcome; !now.Before(vm.silentUntil) {
			out.Err = errors.Join(wick.ErrNotExecuted, wick.ErrLeaving)
		}
	}
	if pos >= 0 && !sm.vms[pos].listedAt.IsZero() && !now.Before(sm.isolatedUntil[idx]) {
		since := now.Sub(sm.vms[pos].listedAt)
		connected := now.Sub(sm.isolatedUntil[idx]) > listedBound+time.Second
		sm.chk.Check(since <= listedBound+time.Second || !connected, invar.NoWorkToLeaving,
			"entry %d sends to %s %s after the list shows that it is leaving", idx, asg.VM.ID, since)
	}
	sm.schedule(1+sm.rnd.IntN(20), func() { asg.Done(out) })
}

func (sm *leavingSim) run(steps int) {
	for sm.tick = range steps {
		now := time.Now()
		for _, action := range sm.events[sm.tick] {
			action()
		}
		delete(sm.events, sm.tick)
		if sm.tick > 20 {
			sm.injectFaults(now)
		}
		if sm.tick%10 == 0 {
			sm.deliverLists(now)
		}
		if !sm.disableLeavingSet {
			sm.propagateNotices(now)
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

// TestNoAttemptToLeavingSim guards against attempts at leaving endpoints under
// stale and incomplete lists, silent and stale endpoints, lost zones and
// isolated entries: none is sent later than 3 s after the endpoint has received
// its reclaim notice, or 2 s after a list poll (every second) shows it.
func TestNoAttemptToLeavingSim(t *testing.T) {
	picks, errs := 0, 0
	for seed := *simSeed; seed < *simSeed+*simSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			sm := newLeavingSim(seed, &invar.Checker{OnViolation: func(name invar.Name, detail string) {
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

// TestLeavingSimDetectsViolations guards against a simulation that can't fail:
// without the age check of reports or without the leaving set it must report
// violations.
func TestLeavingSimDetectsViolations(t *testing.T) {
	for name, weaken := range map[string]func(sm *leavingSim){
		"age": func(sm *leavingSim) { sm.ignoreReportAge = true },
		"set": func(sm *leavingSim) { sm.disableLeavingSet = true },
	} {
		t.Run(name, func(t *testing.T) {
			num := 0
			for seed := range uint64(5) {
				synctest.Test(t, func(*testing.T) {
					sm := newLeavingSim(seed, &invar.Checker{OnViolation: func(invar.Name, string) { num++ }})
					weaken(sm)
					sm.run(1200)
				})
			}
			if num == 0 {
				t.Error("no violation")
			}
		})
	}
}
