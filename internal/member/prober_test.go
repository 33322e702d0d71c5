package member

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A stubPeers answers heartbeats for a member while it is alive.
type stubPeers struct {
	alive bool
	calls atomic.Int64
}

func (stb *stubPeers) Call(_ context.Context, to wick.Member, _ wick.MessageType, _, reply any) error {
	stb.calls.Add(1)
	if !stb.alive {
		return wick.ErrUnavailable
	}
	hbt, ok := reply.(*Heartbeat)
	if !ok {
		return wick.ErrInvalid
	}
	hbt.Self = sampleOf(to, 0)
	return nil
}

// TestProber guards against a replica that takes over from an origin that runs
// but is seldom heard of, and against one that waits for a dead one for ever.
func TestProber(t *testing.T) {
	for name, tc := range map[string]struct {
		members int
		alive   bool
		asks    bool
		silent  bool
	}{
		"running":          {40, true, true, false},
		"dead":             {40, false, true, true},
		"small view, dead": {4, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				viw := New(wick.Member{ID: "self", Zone: "a", Incarnation: 1, State: wick.EntryServing})
				vms := make([]wick.VM, 0, tc.members)
				for num := range tc.members {
					vms = append(vms, wick.VM{ID: wick.VMID("e" + strconv.Itoa(num)), Zone: "b", Role: wick.RoleEntry})
				}
				viw.SetList(vms, time.Now())
				stb := &stubPeers{alive: tc.alive}
				prb := &Prober{
					Beater: &Beater{View: viw, Peers: stb, Clock: wick.SystemClock{}},
					Find: func(eid wick.EntryID) (wick.Member, bool) {
						return wick.Member{ID: eid, Zone: "b", Incarnation: 1, State: wick.EntryServing, Address: "x"}, true
					},
				}
				silent := false
				for _, eid := range []wick.EntryID{"e1", "outside"} {
					for range 20 {
						silent = time.Since(prb.LastHeard(eid)) >= SuspectAfter
						if silent && tc.alive {
							t.Fatalf("%s counts as silent", eid)
						}
						time.Sleep(500 * time.Millisecond)
					}
				}
				if silent != tc.silent || stb.calls.Load() > 0 != tc.asks {
					t.Errorf("silent %v, %d questions; want %v, %v", silent, stb.calls.Load(), tc.silent, tc.asks)
				}
			})
		})
	}
}
