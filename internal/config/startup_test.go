package config

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Guards against an entry that restarts, reads a stale list from the platform
// and serves with an older version than before.
func TestStaleListAtStart(t *testing.T) {
	for name, tc := range map[string]struct {
		ablation ablation
		want     bool
	}{"start sequence": {ablation{}, false}, "without it": {ablation{skipStartup: true}, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, sim := t.Context(), newSim(t, 1, 1, 1, tc.ablation)
				nod := sim.nodes[0]
				sim.start(nod)
				sim.signNext(ctx, 1)
				cli := &bundle.Client{Store: &sim.store, Keys: keys(), Clock: wick.SystemClock{}}
				if _, err := cli.Submit(ctx, signer("ann"), sample(2, 2)); err != nil {
					t.Fatal(err)
				}
				// A share above zero makes the fake store retain its previous state.
				sim.store.SetFaults(fake.StoreFaults{StaleReads: 1e-12}, 1)
				if err := cli.Sign(ctx, signer("ben"), 2); err != nil {
					t.Fatal(err)
				}
				sim.mu.Lock()
				sim.last = 2
				sim.mu.Unlock()
				sim.runFor(3*time.Second, 1)
				sim.store.SetFaults(fake.StoreFaults{StaleReads: 1, LatencyMillis: 100}, 1)
				sim.stop(nod)
				sim.start(nod)
				sim.runFor(3*time.Second, 1)
				if got := len(sim.violations) > 0; got != tc.want || nod.served != 2 {
					t.Errorf("violations %q, served %d", sim.violations, nod.served)
				}
				sim.shutdown()
			})
		})
	}
}

// setCuts replaces the set of partitioned zone pairs.
func (sim *sim) setCuts(pairs ...[2]wick.Zone) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	clear(sim.cut)
	for _, pair := range pairs {
		sim.cut[pair] = true
	}
}

// Guards against an entry that serves without the platform and without peers,
// or confirms a version known only from a peer in the same partition.
func TestStartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, sim := t.Context(), newSim(t, 2, 2, 1, ablation{})
		one, two := sim.nodes[0], sim.nodes[1]
		sim.start(one)
		sim.start(two)
		sim.signNext(ctx, 1)
		time.Sleep(10 * time.Second)
		sim.setCuts([2]wick.Zone{"", "z0"}, [2]wick.Zone{"", "z1"}, [2]wick.Zone{"z0", "z1"})
		sim.stop(one)
		sim.start(one)
		time.Sleep(20 * time.Second)
		if act, ready := one.keeper.Active(); ready {
			t.Fatalf("ready without the platform and without peers: %+v", act)
		}
		sim.setCuts([2]wick.Zone{"", "z0"}, [2]wick.Zone{"", "z1"})
		time.Sleep(convergenceBound)
		time.Sleep(answerBound)
		for _, nod := range sim.nodes {
			if act, ready := nod.keeper.Active(); !ready || act.Confirmed || act.Bundle.Version != 1 {
				t.Errorf("%s with peers only: ready %t, %+v", nod.mem.ID, ready, act)
			}
		}
		sim.shutdown()
	})
}

// Guards against a signed change of ledgerShards, which would map idempotency
// keys to other shards, and against repeated verification of a rejected document.
func TestLedgerShardsFixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSim(t, 1, 1, 1, ablation{})
		sim.start(sim.nodes[0])
		kee := sim.nodes[0].keeper
		if err := kee.tryAdopt(signed("ann", "ben", 1), "test"); err != nil {
			t.Fatal(err)
		}
		bnd, sgd := sample(2, 1), bundle.Signed{Version: 2}
		bnd.LedgerShards++
		sgd.Submission, _ = signer("ann").Submission(bnd)
		sgd.Signature, _ = signer("ben").Sign(2, sgd.Submission, "w")
		for range 2 {
			if err := kee.tryAdopt(sgd, "test"); !errors.Is(err, wick.ErrInvalid) || kee.latest().Version != 1 || kee.Dump().Refused != 1 {
				t.Fatalf("tryAdopt: %v, %+v", err, kee.Dump())
			}
		}
		sim.shutdown()
	})
}

// Guards against a peer that lost its connection to the platform and confirms an
// older version to a restarted entry that served a higher one before.
func TestOldAnswerDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, sim := t.Context(), newSim(t, 2, 2, 1, ablation{})
		one, two := sim.nodes[0], sim.nodes[1]
		sim.start(one)
		sim.start(two)
		sim.signNext(ctx, 1)
		sim.runFor(10*time.Second, 1)
		// Two is partitioned from the platform and from one, which adopts version 2.
		sim.setCuts([2]wick.Zone{"", "z1"}, [2]wick.Zone{"z0", "z1"})
		sim.signNext(ctx, 1)
		sim.runFor(time.Second, 1)
		sim.stop(one)
		sim.setCuts([2]wick.Zone{"", "z0"}, [2]wick.Zone{"", "z1"})
		sim.start(one)
		sim.runFor(time.Minute, 1)
		if act, ready := one.keeper.Active(); one.served != 2 || !ready || act.Bundle.Version != 1 {
			t.Errorf("unexpected sequence of events: served %d, ready %t, %+v", one.served, ready, act)
		}
		for _, vio := range sim.violations {
			t.Error(vio)
		}
		sim.shutdown()
	})
}
