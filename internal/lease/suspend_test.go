package lease

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A suspendedClock counts suspension, as Go's clock does not.
type suspendedClock struct{ total atomic.Int64 }

func (clk *suspendedClock) Now() time.Time { return time.Now().Add(time.Duration(clk.total.Load())) }

// suspend suspends the machine. Go's clock stands still.
func (clk *suspendedClock) suspend(took time.Duration) { clk.total.Add(int64(took)) }

// TestSuspendedHolder guards against a holder that acts after its machine was suspended for
// longer than its lease, since the clock that the process usually reads stood still: another
// entry holds the duty by then.
func TestSuspendedHolder(t *testing.T) {
	const duty = wick.Duty("d")
	clk := &suspendedClock{}
	// An earlier suspension must not shift the times that callers compare with Go's clock.
	clk.suspend(time.Hour)
	kee := NewKeeper(&fake.Store{}, "e1", 1, func() []wick.Member { return nil },
		func([]wick.Member) []wick.Duty { return []wick.Duty{duty} }, WithClock(clk), WithTiming(Timing{Renew: time.Second, Expiry: 3 * time.Second}))
	kee.Step(t.Context())
	if _, held := kee.Holds(duty); !held {
		t.Fatal("the lease is not held")
	}
	assertNear(t, "expiry", kee.ValidUntil(duty), time.Now().Add(3*time.Second))
	acquired, _ := kee.AcquiredAt(duty)
	assertNear(t, "acquisition", acquired, time.Now())
	clk.suspend(2 * time.Second)
	if _, held := kee.Holds(duty); !held {
		t.Error("the lease ended early")
	}
	assertNear(t, "expiry after a short suspension", kee.ValidUntil(duty), time.Now().Add(time.Second))
	clk.suspend(2 * time.Second)
	if _, held := kee.Holds(duty); held || !kee.ValidUntil(duty).IsZero() {
		t.Errorf("held %t, valid until %v after a suspension that outlasted the lease", held, kee.ValidUntil(duty))
	}
}

// assertNear checks a time to half a second.
func assertNear(t *testing.T, what string, got, want time.Time) {
	t.Helper()
	if diff := got.Sub(want).Abs(); diff > 500*time.Millisecond {
		t.Errorf("%s is %v away from what it should be", what, diff)
	}
}
