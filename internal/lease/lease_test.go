package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func newLease(sto wick.Store, id wick.EntryID, inc wick.Incarnation) *Lease {
	return New(sto, wick.SystemClock{}, "duty", id, inc)
}

func assertStep(t *testing.T, lea *Lease, want State) {
	t.Helper()
	if state, err := lea.Step(t.Context()); state != want {
		t.Fatalf("state %s, want %s (error %v)", state, want, err)
	}
}

func assertFence(t *testing.T, lea *Lease, want wick.Fence) {
	t.Helper()
	if fence, ok := lea.Holds(); !ok || fence != want {
		t.Fatalf("fence %d held %v, want %d", fence, ok, want)
	}
}

// TestHolderPausedPastExpiry guards against a holder that resumes after the expiry
// and continues with a stale fencing token.
func TestHolderPausedPastExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		one, two := newLease(sto, "e1", 1), newLease(sto, "e2", 1)
		assertStep(t, one, Held)
		assertFence(t, one, 1)
		assertStep(t, two, Free)
		time.Sleep(Expiry)
		if _, ok := one.Holds(); ok {
			t.Fatal("expired lease is still held")
		}
		assertStep(t, two, Held)
		assertFence(t, two, 2)
		assertStep(t, one, Lost)
		assertStep(t, one, Free)
	})
}

// TestLostWriteResponse guards against attributing an entry's own write to another
// holder when its response was lost.
func TestLostWriteResponse(t *testing.T) {
	sto := &fake.Store{}
	lea := newLease(sto, "e1", 1)
	sto.SetFaults(fake.StoreFaults{LoseReplies: 1}, 1)
	assertStep(t, lea, Held)
	assertStep(t, lea, Held)
	assertFence(t, lea, 1)
}

// TestPlatformOutage guards against a holder that does not become suspect during
// an outage, or that loses its lease although no other entry acquired it.
func TestPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		lea := newLease(sto, "e1", 1)
		assertStep(t, lea, Held)
		sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		assertStep(t, lea, Suspect)
		time.Sleep(time.Minute)
		assertStep(t, lea, Suspect)
		sto.SetFaults(fake.StoreFaults{}, 1)
		assertStep(t, lea, Held)
		assertFence(t, lea, 1)
	})
}

// TestHolderRestart guards against a restarted entry that waits for the expiry of
// its previous process's lease, or that reuses its fencing token.
func TestHolderRestart(t *testing.T) {
	sto := &fake.Store{}
	assertStep(t, newLease(sto, "e1", 1), Held)
	next := newLease(sto, "e1", 2)
	assertStep(t, next, Held)
	assertFence(t, next, 2)
}

// TestDutyHandover guards against duties without a holder after a member leaves or
// shuts down, and against unpaired calls of the Start and Stop hooks.
func TestDutyHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		duties := []wick.Duty{"a", "b", "c", "d", "e", "f", "g", "h"}
		mems := make([]wick.Member, 0, 3)
		for idx := range 3 {
			mems = append(mems, wick.Member{ID: wick.EntryID(fmt.Sprint("e", idx)), State: wick.EntryServing})
		}
		memberView := make(chan []wick.Member, 1)
		memberView <- mems
		currentMembers := func() []wick.Member {
			view := <-memberView
			memberView <- view
			return view
		}
		running := make(chan int, 1)
		running <- 0
		addRunning := func(idx int) { running <- <-running + idx }
		hks := Hooks{
			Start: func(wick.Duty, wick.Fence) { addRunning(1) },
			Stop:  func(wick.Duty, wick.Fence) { addRunning(-1) },
		}
		cancels := make([]context.CancelFunc, 0, len(mems))
		for _, mem := range mems {
			kee := NewKeeper(sto, mem.ID, 1, currentMembers, func(view []wick.Member) []wick.Duty {
				return AssignedDuties(duties, view, mem.ID)
			}, WithHooks(hks))
			ctx, cancel := context.WithCancel(t.Context())
			cancels = append(cancels, cancel)
			go kee.Run(ctx)
		}
		assertRunning := func(want int) {
			t.Helper()
			time.Sleep(3 * Expiry)
			synctest.Wait()
			got := <-running
			running <- got
			if got != want {
				t.Fatalf("%d duties running, want %d", got, want)
			}
		}
		assertRunning(len(duties))
		cancels[0]()
		<-memberView
		memberView <- mems[1:]
		assertRunning(len(duties))
		cancels[1]()
		cancels[2]()
		assertRunning(0)
	})
}

// TestFencingTokenUnique guards against two holders of a duty with the same fencing
// token. It combines outages, lost responses, stale reads and restarts of entries
// that all desire the same duties.
func TestFencingTokenUnique(t *testing.T) {
	type grant struct {
		duty  wick.Duty
		fence wick.Fence
	}
	starts := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			sto := &fake.Store{}
			rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable
			var mu sync.Mutex
			holders := make(map[grant]string)
			cancels := make([]context.CancelFunc, 3)
			for inc := range wick.Incarnation(60) {
				idx := rnd.IntN(3)
				if cancels[idx] != nil {
					cancels[idx]()
				}
				id := fmt.Sprint("e", idx, ".", inc)
				hks := Hooks{Start: func(duty wick.Duty, fence wick.Fence) {
					mu.Lock()
					defer mu.Unlock()
					starts++
					got, ok := holders[grant{duty, fence}]
					if ok && got != id {
						t.Errorf("seed %d: %s %d held by %s and %s", seed, duty, fence, got, id)
					}
					holders[grant{duty, fence}] = id
				}}
				desired := func([]wick.Member) []wick.Duty { return []wick.Duty{"a", "b"} }
				kee := NewKeeper(sto, wick.EntryID(fmt.Sprint("e", idx)), inc+1, func() []wick.Member { return nil }, desired, WithHooks(hks))
				ctx, cancel := context.WithCancel(t.Context())
				cancels[idx] = cancel
				go kee.Run(ctx)
				sto.SetFaults(fake.StoreFaults{
					Down: rnd.IntN(4) == 0, LatencyMillis: wick.Millis(rnd.IntN(1200)),
					LoseReplies: wick.Share(rnd.Float64()), StaleReads: wick.Share(rnd.Float64() / 2),
				}, seed)
				time.Sleep(time.Duration(rnd.Int64N(int64(3 * Expiry))))
			}
			for _, cancel := range cancels {
				if cancel != nil {
					cancel()
				}
			}
			time.Sleep(time.Minute)
		})
	}
	if starts == 0 {
		t.Fatal("no duty started")
	}
	t.Logf("%d starts", starts)
}
