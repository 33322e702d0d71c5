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

// A scene is a test with two entries.
type scene struct {
	*testing.T

	wld      *world
	one, two *node
}

// inWorld runs a scenario with two entries in virtual time. Entry e0 owns
// shard 0 and e1 shard 1.
func inWorld(t *testing.T, scenario func(scn *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(2, "")
		scenario(&scene{T: t, wld: wld, one: wld.nodes[0], two: wld.nodes[1]})
		time.Sleep(time.Minute)
	})
}

// queryAt returns a query of a new attempt whose key is in shard 0.
func queryAt(num int) wick.ClaimQuery {
	for try := 0; ; try++ {
		key := fmt.Sprintf("key%d.%d", num, try)
		if digestOf("c", key).bits()%2 == 0 {
			return wick.ClaimQuery{Customer: "c", Key: wick.IdempotencyKey(key), Attempt: wick.NewAttemptID()}
		}
	}
}

// again returns the same call as a new attempt.
func again(query wick.ClaimQuery) wick.ClaimQuery {
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

func done(body string) wick.ClaimOutcome {
	return wick.ClaimOutcome{State: wick.OutcomeDone, Reply: wick.PlainReply{Status: 200, Body: []byte(body)}}
}

// onPut calls hook before each write of the entry to the open segment of
// shard 0 and peels itself off when hook returns true.
func onPut(nod *node, hook func() bool) {
	nst, ok := nod.led.sto.(*nodeStore)
	if !ok {
		panic("no nodeStore")
	}
	nst.onPut = func(key wick.ObjectKey) {
		if key == openKey(0) && hook() {
			nst.onPut = nil
		}
	}
}

// TestStates guards against a wrong answer to a repeated key in each state.
func TestStates(t *testing.T) {
	inWorld(t, func(t *scene) {
		one, two := t.one, t.two
		first := queryAt(1)
		assertClaim(t, one, first, wick.ClaimGranted)
		assertClaim(t, one, first, wick.ClaimGranted)
		assertClaim(t, two, first, wick.ClaimRunning) // the same attempt id from another entry
		assertClaim(t, two, again(first), wick.ClaimRunning)
		other := again(first)
		other.Fingerprint = "other"
		if _, err := two.led.Claim(t.Context(), other); !errors.Is(err, wick.ErrKeyReused) {
			t.Fatalf("other fingerprint: %v", err)
		}
		time.Sleep(30 * time.Second)
		assertClaim(t, two, again(first), wick.ClaimUnknown)
		assertRecord(t, one, first, done("reply"))
		if res := assertClaim(t, two, again(first), wick.ClaimDone); string(res.Reply.Body) != "reply" {
			t.Fatalf("reply %q", res.Reply.Body)
		}
		stranger := wick.ClaimOutcome{State: wick.OutcomeNotExecuted}
		if err := two.led.Record(t.Context(), again(first), stranger); !errors.Is(err, wick.ErrConflict) {
			t.Fatalf("record of an attempt without the claim: %v", err)
		}
		free := queryAt(2)
		assertClaim(t, two, free, wick.ClaimGranted)
		assertRecord(t, two, free, wick.ClaimOutcome{State: wick.OutcomeNotExecuted})
		if _, err := two.led.Claim(t.Context(), free); !errors.Is(err, wick.ErrConflict) {
			t.Fatalf("late copy of an ended attempt: %v", err)
		}
		assertClaim(t, one, again(free), wick.ClaimGranted)
		lost := queryAt(3)
		assertClaim(t, one, lost, wick.ClaimGranted)
		assertRecord(t, one, lost, wick.ClaimOutcome{State: wick.OutcomeUnknown})
		time.Sleep(20 * time.Hour)
		assertClaim(t, two, again(lost), wick.ClaimUnknown)
	})
}

// TestDeduplicates guards against refusing calls to endpoints that deduplicate
// during an outage, and against calling a key free whose call may have run.
func TestDeduplicates(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one, two := t.wld, t.one, t.two
		query := queryAt(1)
		query.Deduplicates = true
		wld.sto.SetFaults(fake.StoreFaults{Down: true}, 1)
		assertClaim(t, one, query, wick.ClaimGranted)
		wld.sto.SetFaults(fake.StoreFaults{}, 1)
		assertRecord(t, one, query, done("reply"))
		assertClaim(t, two, again(query), wick.ClaimDone)
		next := queryAt(2)
		next.Deduplicates = true
		assertClaim(t, one, next, wick.ClaimGranted)
		assertRecord(t, one, next, wick.ClaimOutcome{State: wick.OutcomeUnknown})
		retry := again(next)
		assertClaim(t, two, retry, wick.ClaimGranted)
		assertRecord(t, two, retry, wick.ClaimOutcome{State: wick.OutcomeNotExecuted})
		next.Deduplicates = false
		assertClaim(t, one, again(next), wick.ClaimUnknown)
	})
}

// TestTwoOwners guards against two grants when two entries both take
// themselves for the owner of the shard.
func TestTwoOwners(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one, two := t.wld, t.one, t.two
		wld.sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
		two.skew = 1
		var granted atomic.Int32
		query := queryAt(1)
		for range 20 {
			for _, nod := range []*node{one, two} {
				go func() {
					if res, err := nod.led.Claim(t.Context(), again(query)); err == nil && res.State == wick.ClaimGranted {
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

// TestPausedOwner guards against an owner that resumes with a batch decided
// on an old segment, before or after the deletion of that segment.
func TestPausedOwner(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Second, 26 * time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			inWorld(t, func(t *scene) {
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
				assertClaim(t, two, again(query), wick.ClaimGranted)
				fill(t, two, 40)
				time.Sleep(pause)
				fill(t, two, 40)
				last := queryAt(2)
				assertClaim(t, two, last, wick.ClaimGranted)
				one.resume()
				time.Sleep(time.Second)
				assertClaim(t, one, again(last), wick.ClaimRunning)
			})
		})
	}
}

// fill claims keys, enough of them to seal segments.
func fill(tb testing.TB, nod *node, num int) {
	tb.Helper()
	for range num {
		query := queryAt(0)
		query.Customer = wick.Customer(wick.NewAttemptID())
		assertClaim(tb, nod, query, wick.ClaimGranted)
	}
}

// TestLostResponse guards against a claim that is not recognised when the
// response to its write is lost and another entry writes next.
func TestLostResponse(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one, two := t.wld, t.one, t.two
		two.skew = 1
		query, other := queryAt(1), queryAt(2)
		assertClaim(t, two, queryAt(3), wick.ClaimGranted)
		onPut(one, func() bool {
			wld.sto.SetFaults(fake.StoreFaults{LoseAnswers: 1}, 1)
			go func() {
				time.Sleep(time.Millisecond)
				wld.sto.SetFaults(fake.StoreFaults{}, 1)
				assertClaim(t, two, other, wick.ClaimGranted)
			}()
			return true
		})
		assertClaim(t, one, query, wick.ClaimGranted)
		assertClaim(t, two, again(query), wick.ClaimRunning)
		assertClaim(t, one, again(other), wick.ClaimRunning)
	})
}

// TestLostForward guards against a forwarded claim that is taken for another
// attempt's when its reply is lost and it is written directly.
func TestLostForward(t *testing.T) {
	inWorld(t, func(t *scene) {
		one, two := t.one, t.two
		npr, ok := two.led.peers.(*nodePeers)
		if !ok {
			t.Fatal("no nodePeers")
		}
		npr.loseReply = func() bool { return true }
		query := queryAt(1)
		assertClaim(t, two, query, wick.ClaimGranted)
		if handled := one.led.Dump().Counts["handled"]; handled != 1 {
			t.Fatalf("%d forwarded", handled)
		}
		assertClaim(t, one, again(query), wick.ClaimRunning)
	})
}

// TestRelay guards against refusing claims of an entry that reaches the
// platform only through a peer, and against accepting without any path.
func TestRelay(t *testing.T) {
	inWorld(t, func(t *scene) {
		one, two := t.one, t.two
		one.set(func() { one.noStore = true })
		query := queryAt(1)
		assertClaim(t, one, query, wick.ClaimGranted)
		assertRecord(t, one, query, done("reply"))
		assertClaim(t, one, again(query), wick.ClaimDone)
		two.cut["e0"] = true
		if _, err := one.led.Claim(t.Context(), queryAt(2)); !errors.Is(err, wick.ErrUnavailable) {
			t.Fatalf("without a path: %v", err)
		}
	})
}

// TestRollRetry guards against lost or doubled claims when each write of a
// roll-over fails once, with and without effect, and another entry goes on.
func TestRollRetry(t *testing.T) {
	for _, flt := range []fake.StoreFaults{{Down: true}, {LoseAnswers: 1}} {
		for step := 1; step <= 3; step++ {
			t.Run(fmt.Sprint(flt.Down, step), func(t *testing.T) {
				inWorld(t, func(t *scene) {
					wld, one, two := t.wld, t.one, t.two
					var queries []wick.ClaimQuery
					for num := range 40 {
						queries = append(queries, queryAt(num))
						assertClaim(t, one, queries[num], wick.ClaimGranted)
						if one.led.shards[0].chn.full(time.Now()) {
							break
						}
					}
					nst := one.led.sto.(*nodeStore) //nolint:forcetypeassert // set by newWorld
					writes := 0
					nst.onPut = func(wick.ObjectKey) {
						if writes++; writes == step {
							wld.sto.SetFaults(flt, 1)
							one.set(func() { one.noStore = true })
						}
					}
					last := queryAt(100)
					go func() { _, _ = one.led.Claim(t.Context(), last) }()
					time.Sleep(time.Second)
					wld.sto.SetFaults(fake.StoreFaults{}, 1)
					for _, query := range queries {
						assertClaim(t, two, again(query), wick.ClaimRunning)
					}
					fill(t, two, 1)
					one.set(func() { one.noStore = false })
					for _, query := range queries {
						assertClaim(t, one, again(query), wick.ClaimRunning)
					}
				})
			})
		}
	}
}

// TestStaleReads guards against grants and lost outcomes decided on reads
// that show an old state.
func TestStaleReads(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one, two := t.wld, t.one, t.two
		two.skew = 1
		wld.sto.SetFaults(fake.StoreFaults{StaleReads: 0.5}, 3)
		for num := range 50 {
			query := queryAt(num)
			assertClaim(t, one, query, wick.ClaimGranted)
			if res, err := two.led.Claim(t.Context(), again(query)); err != nil || res.State != wick.ClaimRunning {
				t.Fatalf("key %d: %v %v", num, res.State, err)
			}
			other := queryAt(1000 + num)
			assertClaim(t, two, other, wick.ClaimGranted)
			assertRecord(t, two, other, done("other"))
			assertRecord(t, one, query, done("reply"))
		}
	})
}

// TestMissingSegment guards against taking a listed segment that a read
// doesn't find for an empty one, which would grant its keys again.
func TestMissingSegment(t *testing.T) {
	inWorld(t, func(t *scene) {
		query := queryAt(1)
		assertClaim(t, t.one, query, wick.ClaimGranted)
		fill(t, t.one, 60)
		obj, err := t.wld.sto.Get(t.Context(), sealedKey(0, 1))
		if err != nil {
			t.Fatal(err)
		}
		if err := t.wld.sto.Delete(t.Context(), obj.Key, obj.Revision); err != nil {
			t.Fatal(err)
		}
		t.wld.restart(1)
		two := t.wld.nodes[1]
		two.set(func() { two.skew = 1 })
		if _, err := two.led.Claim(t.Context(), again(query)); !errors.Is(err, wick.ErrUnavailable) {
			t.Fatalf("claim with a segment missing: %v", err)
		}
	})
}

// TestRetention guards against forgetting a claim within 24 h and against
// segments and replies that are never deleted.
func TestRetention(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one, two := t.wld, t.one, t.two
		query := queryAt(1)
		assertClaim(t, one, query, wick.ClaimGranted)
		large := strings.Repeat("x", 4*InlineReplyBytes)
		assertRecord(t, one, query, done(large))
		fill(t, one, 40)
		time.Sleep(Retention)
		fill(t, one, 1)
		if res := assertClaim(t, two, again(query), wick.ClaimDone); !bytes.Equal(res.Reply.Body, []byte(large)) {
			t.Fatal("large reply differs")
		}
		time.Sleep(retentionSlack + segmentAge)
		for range 8 {
			fill(t, one, 1)
			time.Sleep(time.Minute)
		}
		objs, _, err := wld.sto.List(t.Context(), wick.KindLedger)
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
		assertClaim(t, two, again(query), wick.ClaimGranted)
		huge := queryAt(2)
		assertClaim(t, one, huge, wick.ClaimGranted)
		assertRecord(t, one, huge, done(strings.Repeat("x", MaxReplyBytes+1)))
		assertClaim(t, one, again(huge), wick.ClaimUnknown)
	})
}

// TestWriteRate guards against more than 20 writes a second per shard and
// against an idle shard that delays a claim.
func TestWriteRate(t *testing.T) {
	inWorld(t, func(t *scene) {
		wld, one := t.wld, t.one
		began := time.Now()
		assertClaim(t, one, queryAt(0), wick.ClaimGranted)
		if took := time.Since(began); took != 0 {
			t.Fatalf("idle shard took %s", took)
		}
		before := wld.sto.Calls().Writes
		for num := range 2000 {
			go func() {
				time.Sleep(time.Duration(num) * 5 * time.Millisecond)
				_, _ = one.led.Claim(t.Context(), queryAt(num))
			}()
		}
		time.Sleep(10 * time.Second)
		if writes := wld.sto.Calls().Writes - before; writes > 10*writesPerSecond+3 {
			t.Fatalf("%d writes in 10 s", writes)
		}
	})
}

// TestEncode guards against a segment that is not read back as it was written
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
