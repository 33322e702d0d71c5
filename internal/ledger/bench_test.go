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
// store latency, at the given number of claims in one batch. The reported
// bytes are JSON in the platform per booking with a reply of 200 bytes.
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
					rec := led.request(&query, "e", 1)
					rec.outcome, rec.reply = wick.OutcomeDone, &wick.PlainReply{Status: 200, Body: body}
					tsks[2*idx] = &task{ctx: b.Context(), req: led.request(&query, "e", 1), answer: make(chan answer, 1)}
					tsks[2*idx+1] = &task{ctx: b.Context(), req: rec, answer: make(chan answer, 1)}
				}
				shd.batch(b.Context(), tsks)
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

var bookFlag = flag.Duration("book", 2*time.Second, "virtual time of the booking runs")

// bookings runs closed-loop callers on one shard of one entry in virtual time,
// with an endpoint that takes 20 ms.
func bookings(ctx context.Context, callers int) (count int, calls fake.StoreCalls, waits []time.Duration) {
	sto := &fake.Store{}
	sto.SetFaults(fake.StoreFaults{LatencyMillis: 5}, 1)
	led := New(sto, "e", 1, WithShards(1))
	end := time.Now().Add(*bookFlag)
	var mu sync.Mutex
	var wgr sync.WaitGroup
	for idx := range callers {
		wgr.Go(func() {
			for num := 0; time.Now().Before(end); num++ {
				query := wick.ClaimQuery{Key: wick.IdempotencyKey(fmt.Sprint(idx, ".", num)), Attempt: wick.NewAttemptID()}
				began := time.Now()
				res, err := led.Claim(ctx, query)
				wait := time.Since(began)
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
				waits = append(waits, wait)
				mu.Unlock()
			}
		})
	}
	wgr.Wait()
	sort.Slice(waits, func(idx, jdx int) bool { return waits[idx] < waits[jdx] })
	return count, sto.Calls(), waits
}

// TestBookingWrites guards against a number of writes per booking that grows
// with the number of concurrent bookings.
func TestBookingWrites(t *testing.T) {
	last := 3.0
	for _, callers := range []int{1, 10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			count, calls, waits := bookings(t.Context(), callers)
			if count == 0 {
				t.Fatalf("%d callers: no bookings", callers)
			}
			per := float64(calls.Writes) / float64(count)
			t.Logf("%d callers: %d bookings, %.4f writes and %.4f reads each, claim wait %s median, %s p99", callers, count,
				per, float64(calls.Reads)/float64(count), waits[count/2], waits[count*99/100])
			if per > last {
				t.Errorf("%d callers: %.4f writes per booking, fewer callers have %.4f", callers, per, last)
			}
			last = per
		})
	}
}

// TestOutageShare guards against refusing more than the bookings of an outage
// of 60 s in 10 minutes, and against refusing any at endpoints that
// deduplicate.
func TestOutageShare(t *testing.T) {
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
