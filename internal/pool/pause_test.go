package pool

import (
	"errors"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// pauseEndpoint makes an endpoint ask for no requests. All others must be excluded.
func pauseEndpoint(t *testing.T, pl *Pool, length time.Duration, now time.Time, exclude ...wick.VMID) *Assignment {
	t.Helper()
	asg := pick(t, pl, Query{Exclude: exclude, Now: now})
	asg.Pause(length, now)
	asg.Done(ResultRefused, now)
	return asg
}

// assertPaused asserts that no endpoint may be used for a time because of a pause.
func assertPaused(t *testing.T, pl *Pool, que Query, want time.Duration) {
	t.Helper()
	que.Service = service
	_, err := pl.Pick(que)
	var paused *PausedError
	if !errors.As(err, &paused) || !errors.Is(err, wick.ErrBusy) {
		t.Errorf("Pick: %v, want a *PausedError", err)
		return
	}
	if paused.RetryAfter != want {
		t.Errorf("to be repeated after %v, want %v", paused.RetryAfter, want)
	}
}

// TestPause guards against requests to an endpoint within the time for which it has asked
// this entry for none, and against an endpoint that is never used again.
func TestPause(t *testing.T) {
	const length = 2 * time.Second
	beforeEnd, end := start.Add(length-time.Millisecond), start.Add(length)
	newPaused := func(t *testing.T) *Pool {
		t.Helper()
		pl := New("a")
		pl.Set(bornBackend(1), start)
		pauseEndpoint(t, pl, length, start)
		return pl
	}
	t.Run("not as a last resort", func(t *testing.T) {
		pl := newPaused(t)
		assertPaused(t, pl, Query{Now: start}, length)
		assertPaused(t, pl, Query{Now: beforeEnd}, time.Millisecond)
		assertPicked(t, pick(t, pl, Query{Now: end}), "e0")
	})
	t.Run("others are used", func(t *testing.T) {
		pl := newPool("a", "a")
		pauseEndpoint(t, pl, length, start, "e1")
		for range 5 {
			assertPicked(t, pick(t, pl, Query{}), "e1")
		}
		if _, paused := pl.Paused(service, start); paused {
			t.Error("the service counts as paused")
		}
	})
	t.Run("earliest end", func(t *testing.T) {
		pl := newPool("a", "a")
		pauseEndpoint(t, pl, length, start, "e1")
		pauseEndpoint(t, pl, length/2, start)
		assertPaused(t, pl, Query{Now: start}, length/2)
		if after, paused := pl.Paused(service, start); !paused || after != length/2 {
			t.Errorf("paused %v for %v, want for %v", paused, after, length/2)
		}
	})
	t.Run("the request was sent there", func(t *testing.T) {
		assertPaused(t, newPaused(t), Query{Now: start, Exclude: []wick.VMID{"e0"}}, length)
	})
	t.Run("a shorter one changes nothing", func(t *testing.T) {
		pl := New("a")
		pl.Set(bornBackend(1), start)
		asg := pauseEndpoint(t, pl, length, start)
		asg.Pause(time.Millisecond, start)
		assertPaused(t, pl, Query{Now: beforeEnd}, time.Millisecond)
	})
	t.Run("absurd length", func(t *testing.T) {
		pl := newPool("a")
		pauseEndpoint(t, pl, 1000*time.Hour, start)
		assertPaused(t, pl, Query{Now: start}, maxPause)
	})
	t.Run("listed again", func(t *testing.T) {
		pl := newPaused(t)
		pl.Set(bornBackend(1), start)
		assertPaused(t, pl, Query{Now: start}, length)
		pl.Remove("e0")
		pl.Set(bornBackend(1), start)
		assertPaused(t, pl, Query{Now: start}, length)
	})
	t.Run("started again", func(t *testing.T) {
		pl := newPaused(t)
		pl.Set(bornBackend(2), start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
	t.Run("replaced before its answer", func(t *testing.T) {
		pl := New("a")
		pl.Set(bornBackend(1), start)
		asg := pick(t, pl, Query{})
		moved := bornBackend(1)
		moved.Address = "10.0.0.9:80"
		pl.Set(moved, start)
		asg.Pause(length, start)
		assertPaused(t, pl, Query{Now: start}, length)
	})
	t.Run("leaving meanwhile", func(t *testing.T) {
		pl := newPaused(t)
		pl.MarkLeaving("e0", 1, start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("a limited one is sooner", func(t *testing.T) {
		pl := newPool("a", "a")
		pauseEndpoint(t, pl, length, start, "e1")
		pl.Report("e1", Report{At: start, Load: wick.BackendLoad{Limit: wick.RateLimit{Set: true, PerSecond: 100}}})
		pl.SetLimitShare("e1", 1, start)
		_ = pick(t, pl, Query{MaxWait: time.Second})
		var limited *LimitedError
		if _, err := pl.Pick(Query{Service: service, Now: start}); !errors.As(err, &limited) {
			t.Errorf("Pick: %v, want a *LimitedError", err)
		}
	})
	t.Run("a waiting request", func(t *testing.T) {
		pl := newPool("a")
		waiting := pick(t, pl, Query{})
		pauseEndpoint(t, pl, length, start)
		select {
		case <-waiting.PauseBegun:
		default:
			t.Error("the request is not told")
		}
		if waiting.Usable(beforeEnd) || !waiting.Usable(end) {
			t.Error("usable before the end, or not after it")
		}
	})
}

// TestAfterPause guards against a burst of all requests that a pause has kept away, and
// against requests that are refused although the endpoint may be used.
func TestAfterPause(t *testing.T) {
	const length = 2 * time.Second
	end := start.Add(length)
	pl := newPool("a", "a")
	pauseEndpoint(t, pl, length, start, "e1")
	for range 4 {
		// Without the pause the idle endpoint would get all further requests.
		assertPicked(t, pick(t, pl, Query{}), "e1")
	}
	first := pick(t, pl, Query{Now: end})
	assertPicked(t, first, "e0")
	assertPicked(t, pick(t, pl, Query{Now: end}), "e1")
	assertPicked(t, pick(t, pl, Query{Now: end, Exclude: []wick.VMID{"e1"}}), "e0")
	first.Done(ResultAnswered, end)
	assertPicked(t, pick(t, pl, Query{Now: end}), "e0")
	assertPicked(t, pick(t, pl, Query{Now: end}), "e1")
	assertPicked(t, pick(t, pl, Query{Now: end.Add(rampTime)}), "e0")
}
