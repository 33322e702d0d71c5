package peer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Guards against fault injection without effect, which would make the fault
// tests of other packages pass vacuously.
func TestLocalFaults(t *testing.T) {
	const calls = 200
	run := func(flt Faults) (failed, handled int, sorted bool, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			ntw := &Network{}
			ntw.SetFaults(flt, 1)
			one, two := ntw.Join("one", 1), ntw.Join("two", 1)
			var mu sync.Mutex
			var order []int
			two.Handle(wick.MsgStop, func(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
				var num int
				err := Decode(body, &num)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, num)
				return num, err
			})
			begin := time.Now()
			for num := range calls {
				var out int
				err := one.Call(t.Context(), wick.Member{ID: "two"}, wick.MsgStop, num, &out)
				if err != nil {
					failed++
				} else if out != num {
					t.Fatalf("reply %d to call %d", out, num)
				}
			}
			took = time.Since(begin)
			time.Sleep(time.Minute)
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			handled, sorted = len(order), slices.IsSorted(order)
		})
		return failed, handled, sorted, took
	}
	if failed, handled, sorted, took := run(Faults{Delay: time.Millisecond}); failed != 0 || handled != calls || !sorted || took != 2*calls*time.Millisecond {
		t.Errorf("no faults: %d failed, %d handled, took %v", failed, handled, took)
	}
	if failed, handled, _, _ := run(Faults{Delay: time.Millisecond, Loss: 0.2}); failed < calls/5 || handled >= calls || failed+handled <= calls {
		t.Errorf("loss: %d failed, %d handled", failed, handled)
	}
	if failed, handled, sorted, _ := run(Faults{Delay: time.Millisecond, Duplicate: 0.2, Reorder: 0.2}); failed != 0 || handled <= calls || sorted {
		t.Errorf("duplicates: %d failed, %d handled, sorted %t", failed, handled, sorted)
	}
}

// Guards against messages that cross a partition or reach a replaced entry.
func TestLocalPartitionAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ntw := &Network{}
		one, two := ntw.Join("one", 1), ntw.Join("two", 1)
		answer := func(text string) wick.PeerHandler {
			return func(context.Context, wick.EntryID, []byte) (any, error) { return text, nil }
		}
		two.Handle(wick.MsgStop, answer("old"))
		to := wick.Member{ID: "two"}
		var out string
		ntw.SetReachable(func(from, _ wick.EntryID) bool { return from != "two" })
		wantErr(t, one.Call(t.Context(), to, wick.MsgStop, 0, &out), wick.ErrUnavailable)
		ntw.SetReachable(nil)
		ntw.Join("two", 2).Handle(wick.MsgStop, answer("new"))
		if err := one.Call(t.Context(), to, wick.MsgStop, 0, &out); err != nil || out != "new" {
			t.Fatal(out, err)
		}
		wantErr(t, two.Call(t.Context(), wick.Member{ID: "one"}, wick.MsgStop, 0, nil), wick.ErrStopped)
	})
}
