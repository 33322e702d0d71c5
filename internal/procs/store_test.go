package procs

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStoreOutage guards against a store outage that affects calls which don't
// need the store, lets a booking execute without a claim, or causes a key to be
// executed twice after recovery.
func TestStoreOutage(t *testing.T) {
	wld := start(t)
	tal, cli := newTally(), wld.client()
	var wg sync.WaitGroup
	for num := range 10 {
		wg.Go(func() { tal.book(t.Context(), cli, fmt.Sprintf("during-%d", num), false) })
		wg.Go(func() { tal.stream(t.Context(), cli, fmt.Sprintf("before %d", num), 255) })
	}
	time.Sleep(30 * time.Millisecond)
	wld.setFaults(wld.store, `{"down":true}`)
	down := time.Now()
	refused := newTally()
	for num := range 30 {
		wg.Go(func() { tal.stream(t.Context(), cli, fmt.Sprintf("outage %d", num), 100) })
		wg.Go(func() { tal.lookup(t.Context(), cli) })
		wg.Go(func() { refused.book(t.Context(), cli, fmt.Sprintf("outage-%d", num), false) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("store was down for %v", time.Since(down))
	tal.check(t, wld)
	refused.check(t, wld)
	for key, reported := range refused.bookings {
		if reported != notExecuted {
			t.Errorf("booking %s in the outage: %s: %v", key, reported, refused.errors[key])
		}
	}
	wld.setFaults(wld.store, `{}`)
	after := newTally()
	for _, bookings := range []map[string]fate{tal.bookings, refused.bookings} {
		for key := range bookings {
			wg.Go(func() { after.book(t.Context(), cli, key, true) })
		}
	}
	wg.Wait()
	after.check(t, wld)
	for key := range refused.bookings {
		if after.bookings[key] != ran {
			t.Errorf("booking %s after the outage: %s: %v", key, after.bookings[key], after.errors[key])
		}
	}
	wld.checkInvariants(entryNames...)
}

// TestLostResponses guards against bookings that are executed twice or
// misreported when the store loses 30% of its responses after the write.
func TestLostResponses(t *testing.T) {
	wld := start(t)
	wld.setFaults(wld.store, `{"loseAnswers":0.3,"seed":7}`)
	tal, cli := newTally(), wld.client()
	var wg sync.WaitGroup
	for num := range 100 {
		wg.Go(func() { tal.book(t.Context(), cli, fmt.Sprintf("lost-%d", num), true) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	tal.check(t, wld)
	tal.checkAllExecuted(t)
	wld.checkInvariants(entryNames...)
}

// TestPartition guards against a zone that stops serving, or misses a bundle
// version, while it is partitioned from the store and its peers are not.
func TestPartition(t *testing.T) {
	wld := start(t)
	wld.relays["b"].setPartitioned(true)
	tal, cli := newTally(), wld.client("b1", "b2")
	var wg sync.WaitGroup
	for num := range 30 {
		wg.Go(func() { tal.stream(t.Context(), cli, fmt.Sprintf("cut %d", num), 60) })
		wg.Go(func() { tal.lookup(t.Context(), cli) })
		wg.Go(func() { tal.book(t.Context(), cli, fmt.Sprintf("cut-%d", num), true) })
		time.Sleep(50 * time.Millisecond)
	}
	wld.rollVersion2()
	for _, name := range entryNames {
		wld.waitServing(name, 2)
	}
	wg.Wait()
	wld.relays["b"].setPartitioned(false)
	wld.poll(15*time.Second, "b1 confirmed", func() bool {
		sta, err := wld.state("b1")
		return err == nil && sta.Config.Confirmed
	})
	tal.check(t, wld)
	tal.checkAllExecuted(t)
	wld.checkInvariants(entryNames...)
}

// rollVersion2 submits and signs bundle version 2.
func (wld *world) rollVersion2() {
	wld.t.Helper()
	raw, err := os.ReadFile(bundleFile)
	if err != nil {
		wld.t.Fatal(err)
	}
	text := strings.Replace(string(raw), `"version": 1`, `"version": 2`, 1)
	text = strings.Replace(text, `"replaces": 0`, `"replaces": 1`, 1)
	if err := os.WriteFile(wld.file("second.json"), []byte(text), 0o600); err != nil {
		wld.t.Fatal(err)
	}
	wld.run("bundle", "submit", "--store", wld.store, "--trusted", wld.file("operators.json"), "--key", wld.file("marie.json"), wld.file("second.json"))
	wld.run("bundle", "sign", "--store", wld.store, "--trusted", wld.file("operators.json"), "--key", wld.file("jean.json"), "2")
}
