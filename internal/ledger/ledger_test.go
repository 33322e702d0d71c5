package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A scenario is a test with two entries.
type scenario struct {
	*testing.T

	sim      *simulation
	one, two *node
}

// simulate runs a scenario with two entries in virtual time. Entry e0 owns
// shard 0 and e1 shard 1.
func simulate(t *testing.T, run func(scn *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(2, "")
		run(&scenario{T: t, sim: sim, one: sim.nodes[0], two: sim.nodes[1]})
		time.Sleep(time.Minute)
	})
}

// queryAt returns a query with a new attempt whose key is in shard 0.
func queryAt(num int) wick.ClaimQuery {
	return queryIn("c", num, 0)
}

// queryIn returns a query of a customer with a new attempt whose key is in the
// given shard.
func queryIn(cst wick.Customer, num int, shd wick.Shard) wick.ClaimQuery {
	for try := 0; ; try++ {
		key := fmt.Sprintf("key%d.%d", num, try)
		if wick.Shard(digestOf(string(cst), key).bits()%2) == shd {
			return wick.ClaimQuery{Customer: cst, Key: wick.IdempotencyKey(key), Attempt: wick.NewAttemptID()}
		}
	}
}

// newAttempt returns the same call with a new attempt.
func newAttempt(query wick.ClaimQuery) wick.ClaimQuery {
	query.Attempt = wick.NewAttemptID()
	return query
}

func assertClaim(tb testing.TB, nod *node, query wick.ClaimQuery, want wick.ClaimState) wick.ClaimResult {
	tb.Helper()
	res, err := nod.led.Claim(tb.Context(), query)
	if err != nil || res.State != want {
		tb.Fatalf("%s: claim %q (error %v), want %q", nod.id, res.State, err, want)
	}
	return res
}

func assertRecord(tb testing.TB, nod *node, query wick.ClaimQuery, out wick.ClaimOutcome) {
	tb.Helper()
	if err := nod.led.Record(tb.Context(), query, out); err != nil {
		tb.Fatal(err)
	}
}

func doneOutcome(body string) wick.ClaimOutcome {
	return wick.ClaimOutcome{State: wick.OutcomeDone, Reply: wick.PlainReply{Status: 200, Body: []byte(body)}}
}

// onPut calls hook before each write of the entry to the open segment of shard
// 0 until hook returns true.
func onPut(nod *node, hook func() bool) {
	nst, ok := nod.led.sto.(*nodeStore)
	if !ok {
		panic("store is not a nodeStore")
	}
	nst.onPut = func(key wick.ObjectKey) {
		if key == openKey(0) && hook() {
			nst.onPut = nil
		}
	}
}

// TestStates guards against a wrong result for a repeated key in each state.
func TestStates(t *testing.T) {
	simulate(t, func(t *scenario) {
		one, two := t.one, t.two
		first := queryAt(1)
		assertClaim(t, one, first, wick.ClaimGranted)
		assertClaim(t, one, first, wick.ClaimGranted)
		assertClaim(t, two, first, wick.ClaimRunning) // the same attempt id from another entry
		assertClaim(t, two, newAttempt(first), wick.ClaimRunning)
		other := newAttempt(first)
		other.Fingerprint = "other"
		if _, err := two.led.Claim(t.Context(), other); !errors.Is(err, wick.ErrKeyReused) {
			t.Fatalf("other fingerprint: %v", err)
		}
		time.Sleep(30 * time.Second)
		assertClaim(t, two, newAttempt(first), wick.ClaimUnknown)
		assertRecord(t, one, first, doneOutcome("reply"))
		if res := assertClaim(t, two, newAttempt(first), wick.ClaimDone); string(res.Reply.Body) != "reply" {
			t.Fatalf("reply %q", res.Reply.Body)
		}
		notExecuted := wick.ClaimOutcome{State: wick.OutcomeNotExecuted}
		if err := two.led.Record(t.Context(), newAttempt(first), notExecuted); !errors.Is(err, wick.ErrConflict) {
			t.Fatalf("record of an attempt that does not own the claim: %v", err)
		}
		free := queryAt(2)
		assertClaim(t, two, free, wick.ClaimGranted)
		assertRecord(t, two, free, wick.ClaimOutcome{State: wick.OutcomeNotExecuted})
		if _, err := two.led.Claim(t.Context(), free); !errors.Is(err, wick.ErrConflict) {
			t.Fatalf("delayed duplicate of an ended attempt: %v", err)
		}
		assertClaim(t, one, newAttempt(free), wick.ClaimGranted)
		lost := queryAt(3)
		assertClaim(t, one, lost, wick.ClaimGranted)
		assertRecord(t, one, lost, wick.ClaimOutcome{State: wick.OutcomeUnknown})
		time.Sleep(20 * time.Hour)
		assertClaim(t, two, newAttempt(lost), wick.ClaimUnknown)
	})
}

// TestDeduplicates guards against refusing calls to endpoints that deduplicate
// during an outage, and against releasing a key whose call may have run.
func TestDeduplicates(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one, two := t.sim, t.one, t.two
		query := queryAt(1)
		query.Deduplicates = true
		sim.sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		assertClaim(t, one, query, wick.ClaimGranted)
		sim.sto.SetFaults(fake.StoreFaults{}, 1)
		assertRecord(t, one, query, doneOutcome("reply"))
		assertClaim(t, two, newAttempt(query), wick.ClaimDone)
		next := queryAt(2)
		next.Deduplicates = true
		assertClaim(t, one, next, wick.ClaimGranted)
		assertRecord(t, one, next, wick.ClaimOutcome{State: wick.OutcomeUnknown})
		retry := newAttempt(next)
		assertClaim(t, two, retry, wick.ClaimGranted)
		assertRecord(t, two, retry, wick.ClaimOutcome{State: wick.OutcomeNotExecuted})
		next.Deduplicates = false
		assertClaim(t, one, newAttempt(next), wick.ClaimUnknown)
	})
}

// TestTwoOwners guards against two grants when two entries both consider
// themselves the owner of the shard.
func TestTwoOwners(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one, two := t.sim, t.one, t.two
		sim.sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
		two.ownerOffset = 1
		var granted atomic.Int32
		query := queryAt(1)
		for range 20 {
			for _, nod := range []*node{one, two} {
				go func() {
					if res, err := nod.led.Claim(t.Context(), newAttempt(query)); err == nil && res.State == wick.ClaimGranted {
						granted.Add(1)
					}
				}()
			}
		}
		time.Sleep(10 * time.Second)
		if num := granted.Load(); num != 1 {
			t.Fatalf("%d grants", num)
		}
	})
}

// TestPausedOwner guards against an owner that resumes with a batch decided on
// a stale segment, before or after the deletion of that segment.
func TestPausedOwner(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Second, 26 * time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			simulate(t, func(t *scenario) {
				one, two := t.one, t.two
				assertClaim(t, one, queryAt(0), wick.ClaimGranted)
				query := queryAt(1)
				onPut(one, func() bool {
					one.pause()
					return true
				})
				go func() {
					if res, err := one.led.Claim(t.Context(), query); err == nil {
						t.Errorf("paused owner: %v", res.State)
					}
				}()
				time.Sleep(time.Second)
				assertClaim(t, two, newAttempt(query), wick.ClaimGranted)
				fillSegments(t, two, 20)
				time.Sleep(pause)
				fillSegments(t, two, 20)
				last := queryAt(2)
				assertClaim(t, two, last, wick.ClaimGranted)
				one.resume()
				time.Sleep(time.Second)
				assertClaim(t, one, newAttempt(last), wick.ClaimRunning)
			})
		})
	}
}

// fillSegments claims num new keys in each shard; 20 are enough to seal
// segments.
func fillSegments(tb testing.TB, nod *node, num int) {
	tb.Helper()
	for range num {
		for shd := range wick.Shard(2) {
			assertClaim(tb, nod, queryIn(wick.Customer(wick.NewAttemptID()), 0, shd), wick.ClaimGranted)
		}
	}
}

// TestLostResponse guards against a claim that is not recognised when the
// response to its write is lost and another entry writes next.
func TestLostResponse(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one, two := t.sim, t.one, t.two
		two.ownerOffset = 1
		query, other := queryAt(1), queryAt(2)
		assertClaim(t, two, queryAt(3), wick.ClaimGranted)
		onPut(one, func() bool {
			sim.sto.SetFaults(fake.StoreFaults{LoseReplies: 1}, 1)
			go func() {
				time.Sleep(time.Millisecond)
				sim.sto.SetFaults(fake.StoreFaults{}, 1)
				assertClaim(t, two, other, wick.ClaimGranted)
			}()
			return true
		})
		assertClaim(t, one, query, wick.ClaimGranted)
		assertClaim(t, two, newAttempt(query), wick.ClaimRunning)
		assertClaim(t, one, newAttempt(other), wick.ClaimRunning)
	})
}

// TestLostForward guards against a forwarded claim that is attributed to
// another attempt when its reply is lost and it is then written directly.
func TestLostForward(t *testing.T) {
	simulate(t, func(t *scenario) {
		one, two := t.one, t.two
		npr, ok := two.led.peers.(*nodePeers)
		if !ok {
			t.Fatal("peers are not nodePeers")
		}
		npr.loseReply = func() bool { return true }
		query := queryAt(1)
		assertClaim(t, two, query, wick.ClaimGranted)
		if handled := one.led.Dump().Counts["handled"]; handled != 1 {
			t.Fatalf("%d forwarded", handled)
		}
		assertClaim(t, one, newAttempt(query), wick.ClaimRunning)
	})
}

// TestRelay guards against refusing claims of an entry that reaches the
// platform only through a peer, and against granting without any path.
func TestRelay(t *testing.T) {
	simulate(t, func(t *scenario) {
		one, two := t.one, t.two
		one.set(func() { one.storeDown = true })
		query := queryAt(1)
		assertClaim(t, one, query, wick.ClaimGranted)
		assertRecord(t, one, query, doneOutcome("reply"))
		assertClaim(t, one, newAttempt(query), wick.ClaimDone)
		two.partitions["e0"] = true
		if _, err := one.led.Claim(t.Context(), queryAt(2)); !errors.Is(err, wick.ErrUnavailable) {
			t.Fatalf("claim without a path: %v", err)
		}
	})
}

// TestRolloverRetry guards against lost or duplicate claims when each write of
// a rollover fails once, with and without effect, and another entry completes
// it.
func TestRolloverRetry(t *testing.T) {
	for _, flt := range []fake.StoreFaults{{Down: true}, {LoseReplies: 1}} {
		for step := 1; step <= 3; step++ {
			t.Run(fmt.Sprint(flt.Down, step), func(t *testing.T) {
				simulate(t, func(t *scenario) {
					sim, one, two := t.sim, t.one, t.two
					var queries []wick.ClaimQuery
					for num := range 40 {
						queries = append(queries, queryAt(num))
						assertClaim(t, one, queries[num], wick.ClaimGranted)
						if one.led.shards[0].chn.needsSeal(time.Now()) {
							break
						}
					}
					nst := one.led.sto.(*nodeStore) //nolint:forcetypeassert // set by newWorld
					writes := 0
					nst.onPut = func(wick.ObjectKey) {
						if writes++; writes == step {
							sim.sto.SetFaults(flt, 1)
							one.set(func() { one.storeDown = true })
						}
					}
					last := queryAt(100)
					go func() { _, _ = one.led.Claim(t.Context(), last) }()
					time.Sleep(time.Second)
					sim.sto.SetFaults(fake.StoreFaults{}, 1)
					for _, query := range queries {
						assertClaim(t, two, newAttempt(query), wick.ClaimRunning)
					}
					fillSegments(t, two, 1)
					one.set(func() { one.storeDown = false })
					for _, query := range queries {
						assertClaim(t, one, newAttempt(query), wick.ClaimRunning)
					}
				})
			})
		}
	}
}

// TestStaleReads guards against grants and lost outcomes decided on stale
// reads.
func TestStaleReads(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one, two := t.sim, t.one, t.two
		two.ownerOffset = 1
		sim.sto.SetFaults(fake.StoreFaults{StaleReads: 0.5}, 3)
		for num := range 50 {
			query := queryAt(num)
			assertClaim(t, one, query, wick.ClaimGranted)
			if res, err := two.led.Claim(t.Context(), newAttempt(query)); err != nil || res.State != wick.ClaimRunning {
				t.Fatalf("key %d: %v %v", num, res.State, err)
			}
			other := queryAt(1000 + num)
			assertClaim(t, two, other, wick.ClaimGranted)
			assertRecord(t, two, other, doneOutcome("other"))
			assertRecord(t, one, query, doneOutcome("reply"))
		}
	})
}

// TestMissingSegment guards against treating a listed segment that is not found
// as empty, which would grant its keys again.
func TestMissingSegment(t *testing.T) {
	simulate(t, func(t *scenario) {
		query := queryAt(1)
		assertClaim(t, t.one, query, wick.ClaimGranted)
		fillSegments(t, t.one, 30)
		obj, err := t.sim.sto.Get(t.Context(), sealedKey(0, 1))
		if err != nil {
			t.Fatal(err)
		}
		if err := t.sim.sto.Delete(t.Context(), obj.Key, obj.Revision); err != nil {
			t.Fatal(err)
		}
		t.sim.restart(1)
		two := t.sim.nodes[1]
		two.set(func() { two.ownerOffset = 1 })
		if _, err := two.led.Claim(t.Context(), newAttempt(query)); !errors.Is(err, wick.ErrUnavailable) {
			t.Fatalf("claim with a segment missing: %v", err)
		}
	})
}

// TestRetention guards against losing a claim within 24 h and against segments
// and replies that are never deleted.
func TestRetention(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one, two := t.sim, t.one, t.two
		query := queryAt(1)
		assertClaim(t, one, query, wick.ClaimGranted)
		large := strings.Repeat("x", 4*InlineReplyBytes)
		assertRecord(t, one, query, doneOutcome(large))
		fillSegments(t, one, 20)
		time.Sleep(Retention)
		fillSegments(t, one, 1)
		if res := assertClaim(t, two, newAttempt(query), wick.ClaimDone); !bytes.Equal(res.Reply.Body, []byte(large)) {
			t.Fatal("large reply differs")
		}
		time.Sleep(retentionSlack + segmentAge)
		for range 8 {
			fillSegments(t, one, 1)
			time.Sleep(time.Minute)
		}
		objs, _, err := sim.sto.List(t.Context(), wick.KindLedger)
		if err != nil {
			t.Fatal(err)
		}
		limit := time.Now().Add(-Retention - retentionSlack - 10*time.Minute).Unix()
		for _, obj := range objs {
			var seg segment
			expired := json.Unmarshal(obj.Data, &seg) != nil || seg.Sealed != 0 && seg.Sealed < limit
			if expired || strings.Contains(obj.Key.Name, "reply") {
				t.Fatalf("%s remains", obj.Key.Name)
			}
		}
		assertClaim(t, two, newAttempt(query), wick.ClaimGranted)
		huge := queryAt(2)
		assertClaim(t, one, huge, wick.ClaimGranted)
		assertRecord(t, one, huge, doneOutcome(strings.Repeat("x", MaxReplyBytes+1)))
		assertClaim(t, one, newAttempt(huge), wick.ClaimUnknown)
	})
}

// TestWriteRate guards against more than 20 writes a second per shard and
// against an idle shard that delays a claim.
func TestWriteRate(t *testing.T) {
	simulate(t, func(t *scenario) {
		sim, one := t.sim, t.one
		start := time.Now()
		assertClaim(t, one, queryAt(0), wick.ClaimGranted)
		if took := time.Since(start); took != 0 {
			t.Fatalf("claim at an idle shard took %s", took)
		}
		before := sim.sto.Calls().Writes
		for num := range 2000 {
			go func() {
				time.Sleep(time.Duration(num) * 5 * time.Millisecond)
				_, _ = one.led.Claim(t.Context(), queryAt(num))
			}()
		}
		time.Sleep(10 * time.Second)
		if writes := sim.sto.Calls().Writes - before; writes > 10*writesPerSecond+3 {
			t.Fatalf("%d writes in 10 s", writes)
		}
	})
}

// TestEncode guards against a segment encoding that differs from its plain JSON
// when only a part of its claims has changed.
func TestEncode(t *testing.T) {
	chn := chain{seg: &segment{Seq: 3, Retained: []sealedRef{{Seq: 2}}}, pos: map[digest]int{}}
	for num := range 4 {
		for _, state := range []claimState{stateClaimed, stateDone} {
			chn.set(claim{Key: digest(strconv.Itoa(num / 2)), State: state, Reply: &wick.PlainReply{Body: []byte("b")}})
			data, err := chn.encode(*chn.seg)
			if err != nil {
				t.Fatal(err)
			}
			if want, merr := json.Marshal(chn.seg); merr != nil || !bytes.Equal(data, want) {
				t.Fatalf("%s, want %s", data, want)
			}
		}
	}
}
