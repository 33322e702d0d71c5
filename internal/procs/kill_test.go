package procs

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestKillStreams guards against answers that are truncated, duplicated or
// interleaved when an entry is killed while it streams them.
func TestKillStreams(t *testing.T) {
	wld := start(t)
	tal, cli := newTally(), wld.client()
	var wg sync.WaitGroup
	for num := range 40 {
		wg.Go(func() { tal.stream(t.Context(), cli, fmt.Sprintf("plan %d", num), 255) })
	}
	time.Sleep(600 * time.Millisecond)
	wld.signal("a1", syscall.SIGKILL)
	wg.Wait()
	tal.check(t, wld)
	if tal.reconnects == 0 {
		t.Error("no answer was interrupted")
	}
	wld.checkInvariants("a2", "b1", "b2", "c1")
}

// TestKillBookings guards against a booking that is executed twice, or reported
// as done although it was not executed, when an entry is killed between the
// claim and the answer.
func TestKillBookings(t *testing.T) {
	wld := start(t)
	tal, cli := newTally(), wld.client()
	var wg sync.WaitGroup
	for num := range 120 {
		wg.Go(func() { tal.book(t.Context(), cli, fmt.Sprintf("kill-%d", num), true) })
		time.Sleep(10 * time.Millisecond)
		if num == 60 {
			wld.signal("b1", syscall.SIGKILL)
		}
	}
	wg.Wait()
	tal.check(t, wld)
	if done := tal.count(ran); done < 100 {
		t.Errorf("only %d of 120 bookings were executed", done)
	}
	// Bookings with the same keys must not be executed again.
	retried := newTally()
	for key := range tal.bookings {
		wg.Go(func() { retried.book(t.Context(), wld.client("a1", "c1"), key, true) })
	}
	wg.Wait()
	retried.check(t, wld)
}

// TestPause guards against faults of an entry that is paused for longer than its
// lease and its peers' timeouts: each caller must get its own answer, no booking
// may be executed twice, and the other entries must serve during the pause.
func TestPause(t *testing.T) {
	wld := start(t)
	early, all := newTally(), wld.client()
	var wg sync.WaitGroup
	for num := range 20 {
		wg.Go(func() { early.stream(t.Context(), all, fmt.Sprintf("early %d", num), 255) })
	}
	time.Sleep(300 * time.Millisecond)
	for num := range 20 {
		wg.Go(func() { early.book(t.Context(), wld.client("b1"), fmt.Sprintf("early-%d", num), true) })
	}
	// By now some bookings are claimed and some are in flight: a call takes 60 ms.
	time.Sleep(40 * time.Millisecond)
	wld.signal("b1", syscall.SIGSTOP)
	paused := time.Now()
	others := newTally()
	ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
	defer cancel()
	others.load(ctx, wld.client("a1", "a2", "b2", "c1"), "others", 50*time.Millisecond)
	wld.signal("b1", syscall.SIGCONT)
	t.Logf("paused for %v", time.Since(paused))
	wg.Wait()
	wld.waitServing("b1", 1)
	late := newTally()
	for num := range 10 {
		wg.Go(func() { late.stream(t.Context(), wld.client("b1"), fmt.Sprintf("late %d", num), 60) })
		wg.Go(func() { late.book(t.Context(), wld.client("b1"), fmt.Sprintf("late-%d", num), true) })
	}
	wg.Wait()
	early.check(t, wld)
	others.check(t, wld)
	others.checkAllExecuted(t)
	late.check(t, wld)
	late.checkAllExecuted(t)
	wld.checkInvariants(entryNames...)
}
