package procs

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// underLoad runs fn while calls of all kinds are sent to all entries, and
// returns what the callers were told.
func (wld *world) underLoad(name string, fn func()) *tally {
	wld.t.Helper()
	tal := newTally()
	ctx, cancel := context.WithCancel(wld.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tal.load(ctx, wld.client(), name, 40*time.Millisecond)
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(500 * time.Millisecond)
	fn()
	return tal
}

// TestRolling guards against a restart of all entries, one after the other,
// that loses a call.
func TestRolling(t *testing.T) {
	wld := start(t)
	tal := wld.underLoad("rolling", func() {
		for _, name := range entryNames {
			wld.signal(name, syscall.SIGTERM)
			wld.waitEnd(name, 15*time.Second)
			wld.spawnEntry(name)
			wld.waitServing(name, 1)
		}
	})
	tal.check(t, wld)
	tal.checkAllRan(t)
	wld.checkInvariants(entryNames...)
}

// TestReclaimZone guards against calls that are lost when a whole zone, its
// entries and endpoints, is reclaimed with 6 s of notice.
func TestReclaimZone(t *testing.T) {
	wld := start(t)
	tal := wld.underLoad("zone", func() {
		wld.faults(wld.cloud, `{"reclaim":{"zone":"a","noticeMillis":6000}}`)
		wld.waitEnd("a1", 8*time.Second)
		wld.waitEnd("a2", 8*time.Second)
		time.Sleep(time.Second)
	})
	tal.check(t, wld)
	tal.checkAllRan(t)
	wld.checkInvariants("b1", "b2", "c1")
}
