package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// BenchmarkClaim measures the processing of a claim and its record without
// store latency, at the given number of claims in one batch. storedB/claim is
// the JSON stored in the platform per claim with a reply of 200 bytes.
func BenchmarkClaim(b *testing.B) {
	for _, num := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("batch", num), func(b *testing.B) {
			sto := &fake.Store{}
			led := New(sto, "e", 1, WithShards(1))
			shd := led.shards[0]
			shd.lim.SetLimit(1e9)
			body := make([]byte, 200)
			for b.Loop() {
				tsks := make([]*task, 2*num)
				for idx := range num {
					query := wick.ClaimQuery{Customer: "c", Key: wick.IdempotencyKey(wick.NewAttemptID()), Attempt: wick.NewAttemptID()}
					rec := led.newRequest(&query, "e", 1)
					rec.outcome, rec.reply = wick.OutcomeDone, &wick.PlainReply{Status: 200, Body: body}
					tsks[2*idx] = &task{ctx: b.Context(), req: led.newRequest(&query, "e", 1), answer: make(chan answer, 1)}
					tsks[2*idx+1] = &task{ctx: b.Context(), req: rec, answer: make(chan answer, 1)}
				}
				shd.processBatch(b.Context(), tsks)
			}
			claims, size, index := 0, 0, 0
			for _, bits := range shd.chn.index {
				claims += len(bits)
				index += 8 * len(bits)
			}
			objs, _, err := sto.List(b.Context(), wick.KindLedger)
			if err != nil {
				b.Fatal(err)
			}
			for _, obj := range objs {
				if obj.Key != openKey(0) {
					size += len(obj.Data)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*num), "ns/booking")
			if claims > 0 {
				b.ReportMetric(float64(size)/float64(claims), "storedB/claim")
				b.ReportMetric(float64(index)/float64(claims), "indexB/claim")
			}
		})
	}
}

var loadFlag = flag.Duration("book", 2*time.Second, "virtual duration of the claim load")

// runClaims runs closed-loop callers on one shard of one entry in virtual time,
// with an endpoint latency of 20 ms, and returns the claims completed, the
// store calls and the sorted claim latencies.
func runClaims(ctx context.Context, callers int) (count int, calls fake.StoreCalls, latencies []time.Duration) {
	sto := &fake.Store{}
	sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
	led := New(sto, "e", 1, WithShards(1))
	end := time.Now().Add(*loadFlag)
	var mu sync.Mutex
	var wgr sync.WaitGroup
	for idx := range callers {
		wgr.Go(func() {
			for num := 0; time.Now().Before(end); num++ {
				query := wick.ClaimQuery{Key: wick.IdempotencyKey(fmt.Sprint(idx, ".", num)), Attempt: wick.NewAttemptID()}
				start := time.Now()
				res, err := led.Claim(ctx, query)
				latency := time.Since(start)
				if err != nil || res.State != wick.ClaimGranted {
					continue
				}
				time.Sleep(20 * time.Millisecond)
				err = led.Record(ctx, query, wick.ClaimOutcome{State: wick.OutcomeDone, Reply: wick.PlainReply{Status: 200, Body: make([]byte, 200)}})
				if err != nil {
					continue
				}
				mu.Lock()
				count++
				latencies = append(latencies, latency)
				mu.Unlock()
			}
		})
	}
	wgr.Wait()
	sort.Slice(latencies, func(idx, jdx int) bool { return latencies[idx] < latencies[jdx] })
	return count, sto.Calls(), latencies
}

// TestWritesPerClaim guards against a number of writes per claim that grows
// with the number of concurrent claims.
func TestWritesPerClaim(t *testing.T) {
	last := 3.0
	for _, callers := range []int{1, 10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			count, calls, latencies := runClaims(t.Context(), callers)
			if count == 0 {
				t.Fatalf("%d callers: no claim completed", callers)
			}
			per := float64(calls.Writes) / float64(count)
			t.Logf("%d callers: %d claims, %.4f writes and %.4f reads each, claim latency %s median, %s p99", callers, count,
				per, float64(calls.Reads)/float64(count), latencies[count/2], latencies[count*99/100])
			if per > last {
				t.Errorf("%d callers: %.4f writes per claim, %.4f with fewer callers", callers, per, last)
			}
			last = per
		})
	}
}

// TestRefusalsInOutage guards against refusing more claims than those that
// arrive during an outage of 60 s in 10 minutes, and against refusing any at
// endpoints that deduplicate.
func TestRefusalsInOutage(t *testing.T) {
	for _, dedup := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sto := &fake.Store{}
			sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
			led := New(sto, "e", 1)
			var mu sync.Mutex
			var refused, unrecorded int
			var wgr sync.WaitGroup
			const total = 1200
			for num := range total {
				wgr.Go(func() {
					time.Sleep(time.Duration(num) * 500 * time.Millisecond)
					query := wick.ClaimQuery{Key: wick.IdempotencyKey(strconv.Itoa(num)), Attempt: wick.NewAttemptID(), Deduplicates: dedup}
					_, err := led.Claim(t.Context(), query)
					var rerr error
					if err == nil {
						time.Sleep(20 * time.Millisecond)
						rerr = led.Record(t.Context(), query, wick.ClaimOutcome{State: wick.OutcomeDone})
					}
					mu.Lock()
					defer mu.Unlock()
					if errors.Is(err, wick.ErrUnavailable) {
						refused++
					}
					if rerr != nil {
						unrecorded++
					}
				})
			}
			time.Sleep(4 * time.Minute)
			sto.SetFaults(fake.StoreFaults{LatencyMillis: 5, Down: true}, 1)
			time.Sleep(time.Minute)
			sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
			wgr.Wait()
			share := float64(refused) / total
			t.Logf("deduplicates %v: %.2f%% refused, %.2f%% unrecorded", dedup, 100*share, 100*float64(unrecorded)/total)
			if dedup && refused > 0 || share > 0.105 {
				t.Errorf("%.2f%% refused", 100*share)
			}
		})
	}
}
