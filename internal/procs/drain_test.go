package procs

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// underLoad runs fn while calls of all kinds are sent to all entries, and
// returns the outcomes that were reported to the callers.
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

// TestRollingRestart guards against lost calls in a rolling restart of all
// entries.
func TestRollingRestart(t *testing.T) {
	wld := start(t)
	tal := wld.underLoad("rolling", func() {
		for _, name := range entryNames {
			wld.signal(name, syscall.SIGTERM)
			wld.waitExit(name, 15*time.Second)
			wld.spawnEntry(name)
			wld.waitServing(name, 1)
		}
	})
	tal.check(t, wld)
	tal.checkAllExecuted(t)
	wld.checkInvariants(entryNames...)
}

// TestReclaimZone guards against lost calls when all entries and endpoints of a
// zone are reclaimed with 6 s of notice.
func TestReclaimZone(t *testing.T) {
	wld := start(t)
	tal := wld.underLoad("zone", func() {
		wld.setFaults(wld.cloud, `{"reclaim":{"zone":"a","noticeMillis":6000}}`)
		wld.waitExit("a1", 8*time.Second)
		wld.waitExit("a2", 8*time.Second)
		time.Sleep(time.Second)
	})
	tal.check(t, wld)
	tal.checkAllExecuted(t)
	wld.checkInvariants("b1", "b2", "c1")
}
