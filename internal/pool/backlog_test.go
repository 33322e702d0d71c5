package pool

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// learned returns a query of a request whose work was learned.
func learned(model bool, output float64) Query {
	return Query{Model: model, Expected: cost.Estimate{Output: output, High: 2 * output, Samples: 20, PerEvent: 1}}
}

// TestBacklog guards against a choice that counts requests alike although one has much more
// work left than the other.
func TestBacklog(t *testing.T) {
	for name, model := range map[string]bool{"model": true, "plain": false} {
		t.Run(name, func(t *testing.T) {
			pl := newPool("a", "a")
			long := pick(t, pl, learned(model, 900))
			assertPicked(t, long, "e0")
			short := pick(t, pl, learned(model, 30))
			assertPicked(t, short, "e1")
			next := pick(t, pl, learned(model, 30))
			assertPicked(t, next, "e1")
			next.Done(ResultAnswered, start)
			if model {
				// The long one is about to end, and the short one has become long.
				long.Generated(1800)
				short.Generated(30)
				short.setLeft(500)
				assertPicked(t, pick(t, pl, learned(model, 30)), "e0")
			}
			long.Done(ResultAnswered, start)
			short.Done(ResultAnswered, start)
		})
	}
	t.Run("not that of an earlier start", func(t *testing.T) {
		pl := newPool("a")
		asg := pick(t, pl, learned(true, 900))
		bke := backend(0, "a")
		bke.Born = 7
		pl.Set(bke, start)
		asg.Generated(30)
		asg.Done(ResultIncomplete, start)
		if got := pl.groups[service].eps["e0"].backlog; got != (backlog{}) {
			t.Errorf("backlog %+v of an endpoint that has just started", got)
		}
	})
	t.Run("ends with the requests", func(t *testing.T) {
		pl := newPool("a")
		asg := pick(t, pl, learned(true, 100))
		asg.Generated(40)
		asg.Done(ResultCancelled, start)
		asg.Generated(50)
		if grp := pl.groups[service]; grp.backlog != (backlog{}) || grp.eps["e0"].backlog != (backlog{}) {
			t.Errorf("backlog %+v after the last request", grp.backlog)
		}
	})
}

// TestSlots guards against a request that waits for the long answers at an endpoint whose slots
// are all in use, while as many short ones run at another.
func TestSlots(t *testing.T) {
	pl := newPool("a", "a")
	slots := backend(0, "a").Slots
	for vid, output := range map[wick.VMID]float64{"e0": 900, "e1": 300} {
		for range slots {
			que := learned(true, output)
			que.Exclude = []wick.VMID{"e0", "e1"}
			que.Exclude = slices.DeleteFunc(que.Exclude, func(oth wick.VMID) bool { return oth == vid })
			pick(t, pl, que)
		}
	}
	for _, vid := range []wick.VMID{"e0", "e1"} {
		pl.Report(vid, Report{At: start, Load: wick.BackendLoad{Running: slots}})
	}
	// The prompts that wait at the second one take 140 ms.
	pl.Report("e1", Report{At: start, Load: wick.BackendLoad{Running: slots, NextTokens: 5000}})
	assertPicked(t, pick(t, pl, learned(true, 30)), "e1")
}

// TestHerd guards against all entries sending their next requests to the endpoint that the last
// report shows as idle, and against the requests of one entry multiplied by their number.
func TestHerd(t *testing.T) {
	const share = 0.1
	pl := newPool("a", "a")
	pl.SetNewLimitShare(share)
	for _, vid := range []wick.VMID{"e0", "e1"} {
		pl.Report(vid, Report{At: start, Load: wick.BackendLoad{Running: 3}})
	}
	counts := make(map[wick.VMID]int)
	for step := range 8 {
		counts[pick(t, pl, Query{Model: true, Now: start.Add(time.Duration(step) * 50 * time.Millisecond)}).Backend.ID]++
	}
	if counts["e0"] != 4 {
		t.Errorf("sends %v, want them divided evenly", counts)
	}
	grp := pl.groups[service]
	const age = 400 * time.Millisecond
	now := start.Add(age)
	if got := grp.herdFactor(age, grp.requestsPerEndpoint(now)); got < 2 || got > 1/share {
		t.Errorf("one request stands for %.1f, want more than one and at most %.0f", got, 1/share)
	}
	if got := grp.herdFactor(age, 0.01); got > 1.1 {
		t.Errorf("one request stands for %.1f in a service with few requests", got)
	}
	pl.Report("e0", Report{At: now, Load: wick.BackendLoad{Running: 3}})
	assertPicked(t, pick(t, pl, Query{Model: true, Now: now}), "e0")
}

// TestMemory guards against a request to an endpoint whose free memory lacks room for it, which
// makes the engine preempt runs, also if the room went to requests since the report; and against
// no endpoint at all if all of them report, truly or not, that they have none.
func TestMemory(t *testing.T) {
	que := Query{Model: true, InputTokens: 4000, OutputTokens: 500}
	short := Report{At: start, MemoryShort: true, FreeMemory: 10000}
	pl := newPool("a", "a")
	pl.Report("e0", short)
	pl.Report("e1", Report{At: start, Load: wick.BackendLoad{Running: 5}})
	first := pick(t, pl, que)
	assertPicked(t, first, "e0")
	assertPicked(t, pick(t, pl, Query{Model: true, InputTokens: 5600, OutputTokens: 500}), "e1")
	first.Done(ResultAnswered, start)
	assertPicked(t, pick(t, pl, Query{Model: true, InputTokens: 5600, OutputTokens: 500}), "e0")
	for _, vid := range []wick.VMID{"e0", "e1"} {
		pl.Report(vid, Report{At: start, MemoryShort: true})
	}
	pick(t, pl, que)
}

// TestFalseLoads guards against an endpoint that reports an impossible load, by mistake or on
// purpose, and gets all requests of an entry by that, or none.
func TestFalseLoads(t *testing.T) {
	const requests = 60
	for name, tst := range map[string]struct {
		load  wick.BackendLoad
		least int
		most  int
	}{
		"less than nothing": {wick.BackendLoad{Running: -1000, Waiting: -1000, NextTokens: -1 << 40}, 20, 40},
		"none":              {wick.BackendLoad{}, 20, 40},
		"too much":          {wick.BackendLoad{Running: 1 << 40, Waiting: 1 << 40, NextTokens: 1 << 40}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pl := newPool("a", "a")
			pl.Report("e0", Report{At: start, Load: tst.load, MemoryShort: tst.load.Running > 0, FreeMemory: -5})
			pl.Report("e1", Report{At: start})
			num := 0
			for range requests {
				if pick(t, pl, learned(true, 100)).Backend.ID == "e0" {
					num++
				}
			}
			if num < tst.least || num > tst.most {
				t.Errorf("%d of %d requests, want %d to %d", num, requests, tst.least, tst.most)
			}
		})
	}
}

// BenchmarkBest measures the comparison for one request among 10,000 endpoints with runs.
func BenchmarkBest(b *testing.B) {
	pl := New("a")
	for idx := range 10000 {
		pl.Set(backend(idx, manyZones[idx%len(manyZones)]), start)
		pl.Report(wick.VMID("e"+strconv.Itoa(idx)), Report{At: start, Load: wick.BackendLoad{Running: 6}})
	}
	que := learned(true, 300)
	que.Service, que.InputTokens, que.Now = service, 4000, start
	que.Parts = []wick.PromptPart{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 1000}}
	for range 1000 {
		if _, err := pl.Pick(que); err != nil {
			b.Fatal(err)
		}
	}
	grp := pl.groups[service]
	b.ReportAllocs()
	for b.Loop() {
		grp.best(&que, grp.preferredFor(&que), pl.zone)
	}
}
