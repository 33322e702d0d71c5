package member_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/member"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(num, zones int) wick.Member {
	eid := wick.EntryID(fmt.Sprintf("e%04d", num))
	return wick.Member{ID: eid, Incarnation: 1, Zone: wick.Zone(fmt.Sprintf("z%d", num%zones)), Address: string(eid) + ":1", State: wick.EntryServing}
}

func list(num, zones int) []wick.VM {
	var out []wick.VM
	for idx := range num {
		mem := entry(idx, zones)
		out = append(out, wick.VM{ID: wick.VMID(mem.ID), Role: wick.RoleEntry, Zone: mem.Zone, Address: mem.Address, State: wick.VMLive})
	}
	return append(out, wick.VM{ID: "gpu", Role: wick.RoleEndpoint, Zone: "z0"})
}

func heartbeatOf(mem wick.Member) member.Heartbeat {
	return member.New(mem, start).Heartbeat(start, true)
}

// Guards against a view that grows with the number of entries, and against an
// incomplete view of a small group.
func TestViewBounds(t *testing.T) {
	for _, tc := range []struct{ entries, zones, zone, elsewhere int }{{5, 4, 1, 3}, {1900, 13, 16, 48}} {
		viw := member.New(entry(0, tc.zones), start)
		viw.SetList(list(tc.entries, tc.zones), start)
		zone := len(place.Within("z0", viw.Others()))
		if elsewhere := len(viw.Others()) - zone; zone != tc.zone || elsewhere != tc.elsewhere {
			t.Errorf("%d entries: %d in the zone, %d elsewhere", tc.entries, zone, elsewhere)
		}
	}
}

// Guards against delayed updates of an earlier incarnation and state regressions.
func TestIncarnations(t *testing.T) {
	viw := member.New(entry(0, 4), start)
	mem := entry(1, 4)
	state := func() wick.Member { return viw.Others()[0] }
	mem.Incarnation, mem.Bundle, mem.State = 5, 9, wick.EntryDraining
	viw.Receive(heartbeatOf(mem), start)
	mem.State, mem.Bundle = wick.EntryServing, 8
	viw.Receive(heartbeatOf(mem), start)
	if got := state(); got.State != wick.EntryDraining || got.Bundle != 9 {
		t.Fatalf("stale update overwrote a newer one: %+v", got)
	}
	if len(viw.Serving(start)) != 1 {
		t.Fatal("a draining member is assigned work")
	}
	mem.Incarnation = 4
	if viw.Receive(heartbeatOf(mem), start) {
		t.Fatal("earlier incarnation accepted")
	}
	mem.Incarnation = 6
	if !viw.Receive(heartbeatOf(mem), start) || state().Bundle != 8 || state().State != wick.EntryServing {
		t.Fatalf("new incarnation not merged: %+v", state())
	}
	mem.State = wick.EntryStopped
	viw.Receive(heartbeatOf(mem), start)
	if len(viw.Others()) != 0 {
		t.Fatal("a stopped member is still a target")
	}
}

// Guards against work placed in the excluded zone or reassigned between
// remaining members.
func TestRank(t *testing.T) {
	mbs := make([]wick.Member, 0, 9)
	for num := range 9 {
		mbs = append(mbs, entry(num, 4))
	}
	for key := range 50 {
		name := strconv.Itoa(key)
		all := place.Rank(name, mbs)
		slices.Reverse(mbs)
		if !slices.Equal(all, place.Rank(name, mbs)) {
			t.Fatal("order depends on the input's order")
		}
		without := slices.DeleteFunc(slices.Clone(mbs), func(mem wick.Member) bool { return mem.ID == all[0].ID })
		if !slices.Equal(all[1:], place.Rank(name, without)) {
			t.Fatal("removing a member changed the order of the others")
		}
		if out := place.Outside("z1", all); len(out) != 7 || slices.ContainsFunc(out, func(mem wick.Member) bool { return mem.Zone == "z1" }) {
			t.Fatal(out)
		}
	}
}

type cluster struct {
	ntw   peer.Network
	views []*member.View
	stop  []context.CancelFunc
}

func startCluster(t *testing.T, entries, zones int, faults peer.Faults) *cluster {
	t.Helper()
	clu := &cluster{}
	clu.ntw.SetFaults(faults, 1)
	for num := range entries {
		mem := entry(num, zones)
		loc := clu.ntw.Join(mem.ID, 1)
		btr := &member.Heartbeater{View: member.New(mem, time.Now()), Peers: loc, Clock: wick.SystemClock{}}
		btr.View.SetList(list(entries, zones), time.Now())
		loc.Handle(wick.MsgHeartbeat, btr.Handle)
		ctx, cancel := context.WithCancel(t.Context())
		go btr.Run(ctx)
		clu.views = append(clu.views, btr.View)
		clu.stop = append(clu.stop, func() { cancel(); loc.Close() })
	}
	return clu
}

// countLive counts the other views in which the first entry is live.
func (clu *cluster) countLive() (live int) {
	for _, viw := range clu.views[1:] {
		if slices.ContainsFunc(viw.Live(time.Now()), func(mem wick.Member) bool { return mem.ID == "e0000" }) {
			live++
		}
	}
	return live
}

// Guards against failed entries that are not detected, and false suspicions
// caused by message loss.
func TestSuspicion(t *testing.T) {
	for _, tc := range []struct {
		entries, zones int
		within         time.Duration
	}{{5, 4, member.SuspectAfter + 200*time.Millisecond}, {80, 13, 40 * time.Second}} {
		t.Run(strconv.Itoa(tc.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clu := startCluster(t, tc.entries, tc.zones, peer.Faults{Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.02})
				defer func() {
					for _, stop := range clu.stop {
						stop()
					}
					time.Sleep(time.Minute)
				}()
				time.Sleep(30 * time.Second)
				before := clu.countLive()
				if tc.entries == 5 && before != 4 {
					t.Fatalf("live in %d of 4 views", before)
				}
				for _, viw := range clu.views {
					for _, sta := range viw.Dump(time.Now()) {
						if sta.Suspect {
							t.Errorf("%s suspects %s", viw.Self().ID, sta.ID)
						}
					}
				}
				clu.stop[0]()
				begin := time.Now()
				for clu.countLive() > 0 && time.Since(begin) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(begin)
				t.Logf("%d entries, live in %d views: suspected by all after %v", tc.entries, before, took)
				if took > tc.within {
					t.Errorf("still live in %d views after %v", clu.countLive(), took)
				}
			})
		})
	}
}

// Guards against zones in which no entry or every entry watches the platform.
func TestShouldWatch(t *testing.T) {
	const entries = 8
	views := make([]*member.View, entries)
	watching := func() (out []int) {
		for num, viw := range views {
			if viw.ShouldWatch(start) {
				out = append(out, num)
			}
		}
		return out
	}
	exchange := func(reaching int) {
		for num := range views {
			views[num].SetBundle(1, num == reaching)
		}
		for num := range views {
			for other := range views {
				views[num].Receive(views[other].Heartbeat(start, true), start)
			}
		}
	}
	for num := range views {
		views[num] = member.New(entry(num, 1), start)
	}
	exchange(-1)
	cand := watching()
	if len(cand) != 3 {
		t.Fatalf("%v watch while none is connected to the platform, want 3", cand)
	}
	for _, num := range cand {
		exchange(num)
		if got := watching(); !slices.Contains(got, num) || len(got) > 3 {
			t.Errorf("%v watch, but %d is connected to the platform", got, num)
		}
	}
}

// Guards against confirmation by a platform response from before the start, by
// an expired one, or by one for a higher version.
func TestConfirmed(t *testing.T) {
	now := start.Add(time.Minute)
	for _, tc := range []struct {
		name     string
		age      wick.Millis
		peer     wick.BundleVersion
		after    time.Duration
		confirms bool
	}{
		{"recent", 1000, 5, 0, true},
		{"peer behind", 1000, 4, 0, true},
		{"peer ahead", 1000, 6, 0, false},
		{"before the start", 59_000, 5, 0, false},
		{"none", -1, 5, 0, false},
		{"old", 1000, 5, 40 * time.Second, false},
	} {
		viw := member.New(entry(0, 4), start)
		viw.SetBundle(5, false)
		mem := entry(1, 4)
		mem.Bundle = tc.peer
		hbt := heartbeatOf(mem)
		hbt.Answered = tc.age + 1
		viw.Receive(hbt, now)
		if got := viw.Confirmed(5, now.Add(tc.after)); got != tc.confirms {
			t.Errorf("%s: confirmed is %t", tc.name, got)
		}
	}
}
