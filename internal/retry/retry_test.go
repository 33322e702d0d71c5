package retry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/retry"
)

// TestBudgetBoundsRetries guards against retries that multiply the load of a
// failing service.
func TestBudgetBoundsRetries(t *testing.T) {
	bud := retry.Budget{Ratio: 0.5, Capacity: 2}
	for num, want := range []bool{true, true, false} {
		if got := bud.Take(); got != want {
			t.Errorf("take %d: got %v, want %v", num, got, want)
		}
	}
	bud.Success()
	if bud.Take() {
		t.Error("half a token must not allow a retry")
	}
	bud.Success()
	if !bud.Take() {
		t.Error("two successes must refill one token")
	}
}

// TestBackoffStaysInBounds guards against delays outside the bounds and overflow.
func TestBackoffStaysInBounds(t *testing.T) {
	for num := range 100 {
		got := retry.Backoff(num, 10*time.Millisecond, time.Second)
		if got < 5*time.Millisecond || got > time.Second {
			t.Errorf("retry %d: delay %v", num, got)
		}
	}
}

// TestHedge guards against a hedge that is sent while hedging is disabled or over
// budget, and against a slow first attempt that hides the result of the second.
func TestHedge(t *testing.T) {
	for name, tst := range map[string]struct {
		hed    retry.Hedge
		calls  int
		winner int
	}{
		"off":    {retry.Hedge{}, 1, 0},
		"on":     {retry.Hedge{After: time.Second, Budget: &retry.Budget{}}, 2, 1},
		"unpaid": {retry.Hedge{After: time.Second, Budget: &retry.Budget{Capacity: 0.5}}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := make(chan int, 2)
				num, err := tst.hed.Do(t.Context(), func(ctx context.Context, num int) error {
					calls <- num
					if num == 0 && !retry.Sleep(ctx, time.Minute) {
						return errors.New("cancelled")
					}
					return nil
				})
				if err != nil || num != tst.winner || len(calls) != tst.calls {
					t.Errorf("got %d, %v after %d calls", num, err, len(calls))
				}
			})
		})
	}
}
