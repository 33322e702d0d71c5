package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A downStore fails all calls until a time, and counts them.
type downStore struct {
	wick.Store
	until time.Time
	calls atomic.Int64
}

func (dst *downStore) List(context.Context, wick.Kind) ([]wick.Object, wick.Revision, error) {
	dst.calls.Add(1)
	if time.Now().Before(dst.until) {
		return nil, 0, wick.ErrUnavailable
	}
	return []wick.Object{{Key: wick.ObjectKey{Name: "listed"}}}, 1, nil
}

func (dst *downStore) Watch(ctx context.Context, _ wick.Kind, _ wick.Revision) ([]wick.Object, wick.Revision, error) {
	dst.calls.Add(1)
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestOutage guards against a fleet that calls an unreachable store several times as
// often as a reachable one: each follower of each entry retried by itself
// (lachance-bordures-large, trouble-1: 27,700 calls, of which 17,300 on a calm day).
func TestOutage(t *testing.T) {
	const followers, length = 4, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dst := &downStore{until: time.Now().Add(length)}
		var out Outage
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		fols := make([]*Follower, followers)
		for idx := range fols {
			fols[idx] = &Follower{Store: dst, Kind: "kind", Handler: &recorder{}, Outage: &out}
			running.Go(func() { fols[idx].Run(ctx) })
		}
		time.Sleep(length)
		// One follower alone would call once per backoff, of half a limit at least.
		if num, most := dst.calls.Load(), int64(2*length/backoffLimit); num > most {
			t.Errorf("%d calls in %v without an answer, want at most %d", num, length, most)
		}
		time.Sleep(followers * backoffLimit)
		synctest.Wait()
		for idx, fol := range fols {
			if !fol.FailingSince().IsZero() {
				t.Errorf("follower %d has not read yet, %v after the outage", idx, followers*backoffLimit)
			}
		}
		cancel()
		running.Wait()
	})
}

// TestOutageEnds guards against followers that go on waiting after another one has
// reached the store.
func TestOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out Outage
		out.begin()
		out.begin()
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			out.end()
		}()
		out.wait(t.Context(), time.Minute)
		if took := time.Since(start); took != 100*time.Millisecond {
			t.Errorf("waited %v, want 100 ms", took)
		}
		out.wait(t.Context(), time.Second)
		if took := time.Since(start); took != 1100*time.Millisecond {
			t.Errorf("one failing follower waited until %v, want 1.1 s", took)
		}
	})
}
