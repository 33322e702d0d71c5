package notice_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/notice"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func stop(ver int) notice.Stop {
	return notice.Stop{Move: wick.MoveID(fmt.Sprintf("%d-mv", ver)), Service: "svc", Version: "v2", Reason: "late"}
}

// TestStopBounds guards against sets that depend on the order of arrival, grow
// without bound or accept malformed stops.
func TestStopBounds(t *testing.T) {
	var up, down notice.Set
	const count = 1500
	for num := 1; num <= count; num++ {
		up.AddStops(stop(num))
		down.AddStops(stop(count + 1 - num))
	}
	one, _ := up.Digests()
	two, _ := down.Digests()
	if one != two || len(up.Stops()) != 1024 || !up.Stopped("1500-mv") || up.Stopped("400-mv") {
		t.Fatalf("digests %d and %d of %d stops", one, two, len(up.Stops()))
	}
	if got := up.AddStops(stop(count), stop(1), notice.Stop{Move: "x-mv"}, notice.Stop{Move: "7"}, notice.Stop{Move: wick.MoveID("9-" + strings.Repeat("x", 300))}); len(got) != 0 {
		t.Fatalf("accepted: %+v", got)
	}
}

// TestLeavingExpiry guards against leaving endpoints that are lost while the
// list lags, or that never expire because peers resend them.
func TestLeavingExpiry(t *testing.T) {
	var set notice.Set
	listed := []wick.VM{{ID: "vm1", Role: wick.RoleEndpoint, State: wick.VMLeaving}, {ID: "e1", Role: wick.RoleEntry, State: wick.VMLeaving}}
	if got := set.ApplyList(listed, start); len(got) != 1 {
		t.Fatal(got)
	}
	listed[0].State = wick.VMLive
	for _, tc := range []struct {
		after  time.Duration
		listed bool
		want   bool
	}{
		{time.Hour, true, true},
		{time.Hour + time.Second, false, true},
		{time.Hour + 10*time.Minute, false, true},
		{time.Hour + 10*time.Minute + time.Second, false, false},
	} {
		vms := listed
		if !tc.listed {
			vms = nil
		}
		set.ApplyList(vms, start.Add(tc.after))
		if got := set.IsLeaving("vm1"); got != tc.want {
			t.Errorf("after %v: leaving is %t, want %t", tc.after, got, tc.want)
		}
	}
	if set.AddLeaving(start.Add(2*time.Hour), notice.Leaving{VM: "vm1"}); set.IsLeaving("vm1") {
		t.Error("an expired endpoint was accepted again from a peer")
	}
	for num := range 5000 {
		set.AddLeaving(start, notice.Leaving{VM: wick.VMID(fmt.Sprint("x", num))})
	}
	if got := len(set.Leaving()); got != 4096 {
		t.Errorf("%d leaving endpoints", got)
	}
	// A full set must fit into one message.
	data, err := peer.Encode(set.Leaving())
	if err != nil || len(data) > wick.MaxMessageBytes*3/4 {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// TestBroadcast guards against notices that reach only the view of their origin,
// or that an entry misses permanently because a message was lost.
func TestBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 40
		ntw := &peer.Network{}
		ntw.SetFaults(peer.Faults{Delay: 2 * time.Millisecond, Loss: 0.1, Duplicate: 0.1, Reorder: 0.1}, 3)
		eid := func(num int) wick.EntryID { return wick.EntryID(fmt.Sprint("e", num%entries)) }
		var rep [entries]*notice.Replicator
		for num := range rep {
			loc := ntw.Join(eid(num), 1)
			rep[num] = &notice.Replicator{Set: &notice.Set{}, Peers: loc, Clock: wick.SystemClock{}, View: func() (out []wick.Member) {
				for _, step := range []int{1, 3, 9, 27} {
					out = append(out, wick.Member{ID: eid(num + step)})
				}
				return out
			}}
			loc.Handle(wick.MsgStop, rep[num].HandleStop)
			loc.Handle(wick.MsgLeaving, rep[num].HandleLeaving)
		}
		// The last entry is partitioned from all others at first.
		ntw.SetReachable(func(from, to wick.EntryID) bool { return from != eid(entries-1) && to != eid(entries-1) })
		calls := 0
		rep[5].Set.OnStop(func(notice.Stop) { calls++ })
		rep[0].AddStop(context.Background(), stop(7))
		rep[1].AddLeaving(context.Background(), notice.Leaving{VM: "vm1"})
		time.Sleep(time.Second)
		for num := range entries - 1 {
			if !rep[num].Set.Stopped("7-mv") || !rep[num].Set.IsLeaving("vm1") {
				t.Errorf("entry %d misses a notice", num)
			}
		}
		ntw.SetReachable(nil)
		last := rep[entries-1]
		for range 3 {
			stops, leaving := rep[4].Set.Digests()
			last.CompareDigests(context.Background(), wick.Member{ID: eid(4)}, stops, leaving)
			time.Sleep(6 * time.Second)
		}
		if !last.Set.Stopped("7-mv") || !last.Set.IsLeaving("vm1") || calls != 1 {
			t.Errorf("anti-entropy did not repair: %+v, %d calls", last.Set.Dump(), calls)
		}
		for num := range rep {
			rep[num].Wait()
		}
		time.Sleep(time.Minute)
	})
}
