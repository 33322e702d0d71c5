package move

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func testMove(now time.Time, deadline time.Duration) wick.Move {
	return wick.Move{
		Name: "m", Service: "quote", From: "v1", To: "v2", Deadline: now.Add(deadline),
		MaxShareBeforeProof: 0.05, WatchMillis: 30_000,
	}
}

// TestStep guards the transitions of each state, including the undo.
func TestStep(t *testing.T) {
	now := time.Unix(1000, 0)
	base := New("1-m", testMove(now, time.Hour), now)
	with := func(state State, share wick.Share) Record {
		rec := base
		rec.State, rec.Share, rec.WatchUntil = state, share, now.Add(30*time.Second)
		return rec
	}
	for name, tc := range map[string]struct {
		rec   Record
		inp   Input
		after time.Duration
		want  State
		share wick.Share
	}{
		"ready":       {base, Input{Ready: true}, 0, StateProving, 0.05},
		"notReady":    {base, Input{}, 0, StatePending, 0},
		"proved":      {with(StateProving, 0.05), Input{Proved: true}, 0, StateRamping, 0.05},
		"step":        {with(StateRamping, 0.05), Input{}, maxStep, StateRamping, 0.1},
		"suspicion":   {with(StateRamping, 0.05), Input{Level: 200, StopLevel: 1000}, maxStep, StateRamping, 0.05},
		"full":        {with(StateRamping, 0.6), Input{}, maxStep, StateWatching, 1},
		"watched":     {with(StateWatching, 1), Input{}, 31 * time.Second, StateDone, 1},
		"badProving":  {with(StateProving, 0.05), Input{Stop: "bad"}, 0, StateUndone, 0},
		"badWatching": {with(StateWatching, 1), Input{Stop: "bad"}, 0, StateUndone, 0},
		"badDone":     {with(StateDone, 1), Input{Stop: "bad"}, 10 * time.Second, StateUndone, 0},
		"badTooLate":  {with(StateDone, 1), Input{Stop: "bad"}, 31 * time.Second, StateDone, 1},
		"unmet":       {with(StateProving, 0.05), Input{Proved: true}, time.Hour - 40*time.Second, StateUndone, 0},
		"undone":      {with(StateUndone, 0), Input{Proved: true, Ready: true}, 0, StateUndone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tc.inp.Now, tc.inp.Move = now.Add(tc.after), testMove(now, time.Hour)
			got, _ := Step(tc.rec, tc.inp)
			if got.State != tc.want || got.Share != tc.share {
				t.Errorf("got %s %.3f, want %s %.3f", got.State, got.Share, tc.want, tc.share)
			}
		})
	}
}

// TestUndoneIsFinal guards the object against paused and concurrent holders, lost
// responses and stale reads: no other state is ever read after undone.
func TestUndoneIsFinal(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			sto := &fake.Store{}
			sto.SetFaults(fake.StoreFaults{LatencyMillis: 5, LoseReplies: 0.3, StaleReads: 0.3}, seed)
			chk := &invar.Checker{OnViolation: func(name invar.Name, detail string) { t.Errorf("%s: %s", name, detail) }}
			start := time.Now()
			mov := testMove(start, 10*time.Minute)
			var grp sync.WaitGroup
			for idx := range 3 {
				grp.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, uint64(idx)))
					kep := &Keeper{Store: sto, Self: wick.EntryID(rune('a' + idx)), Checker: chk}
					for range 60 {
						inp := Input{Now: time.Now(), Move: mov, Ready: true, Proved: true}
						// The input is stale after the pause.
						time.Sleep(time.Duration(rnd.IntN(8000)) * time.Millisecond)
						if rnd.IntN(40) == 0 {
							inp.Stop = "bad"
						}
						_, err := kep.Update(t.Context(), New("1-m", mov, start), wick.Fence(1+rnd.IntN(3)),
							func(rec Record) (Record, bool) { return Step(rec, inp) })
						if err != nil && !errors.Is(err, wick.ErrStaleFence) && !errors.Is(err, wick.ErrUnavailable) && !errors.Is(err, wick.ErrConflict) {
							t.Errorf("seed %d: %v", seed, err)
						}
					}
				})
			}
			grp.Go(func() { watchFinal(t, sto) })
			grp.Wait()
		})
	}
}

// watchFinal watches the object and requires that undone is final and that the
// fencing token never decreases.
func watchFinal(t *testing.T, sto *fake.Store) {
	t.Helper()
	var rev wick.Revision
	var last Record
	for range 30 {
		objs, next, err := sto.Watch(t.Context(), wick.KindMove, rev)
		if err != nil {
			t.Error(err)
			return
		}
		rev = next
		for _, obj := range objs {
			rec, err := Parse(obj)
			if err != nil || last.State == StateUndone && rec.State != StateUndone || rec.Fence < last.Fence {
				t.Errorf("%+v after %+v: %v", rec, last, err)
			}
			last = rec
		}
	}
}
