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

// assertHolds asserts whether a lease is held.
func assertHolds(t *testing.T, lea *Lease, want bool) {
	t.Helper()
	if fence, ok := lea.Holds(); ok != want {
		t.Fatalf("held %v with fence %d, want %v", ok, fence, want)
	}
}

// assertFenceAbove asserts that a lease is held with a token above another one.
func assertFenceAbove(t *testing.T, lea *Lease, old wick.Fence) {
	t.Helper()
	if fence, ok := lea.Holds(); !ok || fence <= old {
		t.Fatalf("fence %d held %v, want one above %d", fence, ok, old)
	}
}

// stepUntilHeld steps a lease at the default interval until it is held and returns how
// long that took.
func stepUntilHeld(t *testing.T, lea *Lease) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < time.Minute {
		if state, err := lea.Step(t.Context()); err == nil && state == Held {
			return time.Since(start)
		}
		time.Sleep(RenewInterval)
	}
	t.Fatal("lease is not held after a minute")
	return 0
}

// TestRestoreKeepsHolder guards against duties that stop when the store returns from an
// older copy: the record read then is older than the one known, so that all entries'
// writes conflict for good (acep-casca, restored, seed 1: no usage report after 17 s).
func TestRestoreKeepsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		empty := sto.Backup()
		one, two := newLease(sto, "e1", 1), newLease(sto, "e2", 1)
		assertStep(t, one, Held)
		older := sto.Backup()
		for _, cpy := range []fake.StoreCopy{older, empty, older} {
			time.Sleep(RenewInterval)
			assertStep(t, one, Held)
			sto.Restore(cpy)
			assertStep(t, two, Free)
			time.Sleep(RenewInterval)
			assertStep(t, one, Held)
			assertFence(t, one, 1)
			time.Sleep(Expiry - RenewInterval)
			assertStep(t, two, Free)
			assertStep(t, one, Held)
		}
	})
}

// TestRestoreOfPredecessor guards against a holder that gives up its lease, or a former
// one that returns at once, because the copy names the former one.
func TestRestoreOfPredecessor(t *testing.T) {
	for _, tst := range []struct {
		name string
		// again is the incarnation in which the former holder returns.
		again   wick.Incarnation
		release bool
	}{
		{"same process", 1, false}, {"restarted", 2, false}, {"released in the copy", 1, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sto := &fake.Store{}
				one, two := newLease(sto, "e1", 1), newLease(sto, "e2", 1)
				assertStep(t, one, Held)
				if tst.release {
					if err := one.Release(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				cpy := sto.Backup()
				stepUntilHeld(t, two)
				assertFence(t, two, 2)
				if !tst.release {
					assertStep(t, one, Lost)
				}
				sto.Restore(cpy)
				if tst.again > 1 {
					one = newLease(sto, "e1", tst.again)
				}
				assertStep(t, one, Free)
				assertHolds(t, one, false)
				assertStep(t, two, Held)
				assertFence(t, two, 2)
				// The holder ends without a word: its token must not be used again.
				took := stepUntilHeld(t, one)
				if took < Expiry {
					t.Errorf("acquired %v after the restore, want %v", took, Expiry)
				}
				assertFenceAbove(t, one, 2)
			})
		})
	}
}

// TestRestoreWithoutHolder guards against a token that is used twice: the holder is lost
// in the restore together with the record of its acquisition.
func TestRestoreWithoutHolder(t *testing.T) {
	for _, missing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sto := &fake.Store{}
			cpy := sto.Backup()
			if !missing {
				assertStep(t, newLease(sto, "e0", 1), Held)
				cpy = sto.Backup()
				time.Sleep(Expiry)
			}
			one, two := newLease(sto, "e1", 1), newLease(sto, "e2", 1)
			stepUntilHeld(t, one)
			fence, _ := one.Holds()
			assertStep(t, two, Free)
			sto.Restore(cpy)
			if took := stepUntilHeld(t, two); took < Expiry {
				t.Errorf("missing %v: acquired %v after the restore, want %v", missing, took, Expiry)
			}
			assertFenceAbove(t, two, fence)
			// The former holder was paused all the while.
			assertHolds(t, one, false)
			assertStep(t, one, Lost)
			// So was the store restored once more, and the second holder ends.
			fence, _ = two.Holds()
			sto.Restore(cpy)
			if took := stepUntilHeld(t, one); took < Expiry {
				t.Errorf("missing %v: acquired %v after the second restore, want %v", missing, took, Expiry)
			}
			assertFenceAbove(t, one, fence)
		})
	}
}

// TestRestoreBeforeStart guards against an entry that takes a missing or released record
// for a free one. It starts after the restore, and the holder may not have written back yet.
func TestRestoreBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		cpy := sto.Backup()
		one := newLease(sto, "e1", 1)
		assertStep(t, one, Held)
		sto.Restore(cpy)
		sto.Restore(cpy)
		assertStep(t, newLease(sto, "e2", 1), Free)
		assertStep(t, one, Held)
		assertFence(t, one, 1)
	})
}

// A racingStore is restored between the check and the write of the next Put, which then
// succeeds in the new era: the store has assigned its revision again.
type racingStore struct {
	*fake.Store
	restore func()
}

func (sto *racingStore) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	if sto.restore == nil {
		return sto.Store.Put(ctx, key, data, rev)
	}
	restore := sto.restore
	sto.restore = nil
	restore()
	obj, err := sto.Get(ctx, key)
	if err != nil {
		return sto.Store.Put(ctx, key, data, 0)
	}
	return sto.Store.Put(ctx, key, data, obj.Revision)
}

// TestRestoreDuringWrite guards against a holder whose conditional write succeeded only
// since the store was restored on its way: another entry may hold the lease, or have used
// the token.
func TestRestoreDuringWrite(t *testing.T) {
	t.Run("acquisition", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sto := &racingStore{Store: &fake.Store{}}
			one, two := newLease(sto, "e1", 1), newLease(sto.Store, "e2", 1)
			cpy := sto.Backup()
			sto.restore = func() {
				assertStep(t, two, Held)
				sto.Restore(cpy)
			}
			assertStep(t, one, Free)
			assertStep(t, two, Held)
			assertFence(t, two, 1)
		})
	})
	t.Run("renewal of an expired lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sto := &racingStore{Store: &fake.Store{}}
			one, two := newLease(sto, "e1", 1), newLease(sto.Store, "e2", 1)
			assertStep(t, one, Held)
			assertStep(t, two, Free)
			cpy := sto.Backup()
			time.Sleep(Expiry)
			sto.restore = func() {
				assertStep(t, two, Held)
				sto.Restore(cpy)
			}
			if state, err := one.Step(t.Context()); state == Held {
				t.Errorf("state %s (error %v), but the other entry holds the lease", state, err)
			}
			assertStep(t, two, Held)
			assertFence(t, two, 2)
		})
	})
}

// TestShortOutage guards against a lease that expires in an outage of 2 s because the next
// renewal comes too late after it.
func TestShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		desired := func([]wick.Member) []wick.Duty { return []wick.Duty{"a"} }
		tim := Timing{Renew: 1500 * time.Millisecond, Expiry: 4500 * time.Millisecond}
		kee := NewKeeper(sto, "e1", 1, func() []wick.Member { return nil }, desired, WithTiming(tim))
		ctx, cancel := context.WithCancel(t.Context())
		go kee.Run(ctx)
		for shift := time.Duration(0); shift < tim.Renew; shift += 100 * time.Millisecond {
			time.Sleep(10*tim.Expiry + shift)
			valid := kee.ValidUntil("a")
			// Calls fail late.
			sto.SetFaults(fake.StoreFaults{Down: true, LatencyMillis: 900}, 1)
			time.Sleep(2 * time.Second)
			sto.SetFaults(fake.StoreFaults{}, 1)
			time.Sleep(time.Until(valid))
			if _, ok := kee.Holds("a"); !ok {
				t.Errorf("lease expired in an outage that began %v later", shift)
			}
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestPromptTakeover guards against a lease that is taken over only at the next regular step
// after its expiry (acep-casca, holder killed in an outage, seed 2: a usage window 0.1 s late).
func TestPromptTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := &fake.Store{}
		tim := Timing{Renew: 1500 * time.Millisecond, Expiry: 4500 * time.Millisecond}
		for shift := time.Duration(0); shift < tim.Renew; shift += 100 * time.Millisecond {
			duty := wick.Duty(fmt.Sprint("a", shift))
			assertStep(t, New(sto, wick.SystemClock{}, duty, "e1", 1), Held)
			desired := func([]wick.Member) []wick.Duty { return []wick.Duty{duty} }
			kee := NewKeeper(sto, "e2", 1, func() []wick.Member { return nil }, desired, WithTiming(tim))
			ctx, cancel := context.WithCancel(t.Context())
			time.Sleep(shift)
			go kee.Run(ctx)
			time.Sleep(tim.Expiry + 10*time.Millisecond)
			if _, ok := kee.Holds(duty); !ok {
				t.Error("the lease has expired and is not taken over")
			}
			cancel()
			time.Sleep(time.Minute)
		}
	})
}

// TestRestoreSoak guards against tokens that are used twice or go back. Entries are
// restarted and paused while the store fails and is restored from copies of all ages.
func TestRestoreSoak(t *testing.T) {
	starts := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable
			sto := &fake.Store{}
			var mu sync.Mutex
			var highest wick.Fence
			holder := ""
			cancels := make([]context.CancelFunc, 3)
			copies := []fake.StoreCopy{sto.Backup()}
			for inc := range wick.Incarnation(80) {
				idx := rnd.IntN(len(cancels))
				if rnd.IntN(2) == 0 && cancels[idx] != nil {
					cancels[idx]()
					cancels[idx] = nil
				}
				if cancels[idx] == nil {
					id := fmt.Sprint("e", idx, ".", inc)
					hks := Hooks{Start: func(_ wick.Duty, fence wick.Fence) {
						mu.Lock()
						defer mu.Unlock()
						starts++
						if fence < highest || fence == highest && holder != id {
							t.Errorf("seed %d: %s starts with %d after %s with %d", seed, id, fence, holder, highest)
						}
						highest, holder = fence, id
					}}
					desired := func([]wick.Member) []wick.Duty { return []wick.Duty{"a"} }
					kee := NewKeeper(sto, wick.EntryID(fmt.Sprint("e", idx)), inc+1, func() []wick.Member { return nil }, desired, WithHooks(hks))
					var ctx context.Context
					ctx, cancels[idx] = context.WithCancel(t.Context())
					go kee.Run(ctx)
				}
				sto.SetFaults(fake.StoreFaults{
					Down: rnd.IntN(3) == 0, LatencyMillis: wick.Millis(rnd.IntN(1200)), LoseReplies: wick.Share(rnd.Float64() / 2),
				}, seed)
				if rnd.IntN(3) == 0 {
					copies = append(copies, sto.Backup())
				}
				if rnd.IntN(3) == 0 {
					sto.Restore(copies[rnd.IntN(len(copies))])
				}
				time.Sleep(time.Duration(rnd.Int64N(int64(2 * Expiry))))
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
