package pool

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const service = wick.Service("s")

var start = time.Unix(1000, 0)

func backend(num int, zone wick.Zone) wick.Backend {
	return wick.Backend{
		ID: wick.VMID(fmt.Sprintf("e%d", num)), Service: service, Zone: zone, Address: fmt.Sprintf("10.0.0.%d:80", num), Slots: 6,
	}
}

func newPool(zones ...wick.Zone) *Pool {
	pl := New("a")
	for idx, zone := range zones {
		pl.Set(backend(idx, zone), start)
	}
	return pl
}

func pick(t *testing.T, pl *Pool, que Query) *Assignment {
	t.Helper()
	que.Service = service
	if que.Now.IsZero() {
		que.Now = start
	}
	asg, err := pl.Pick(que)
	if err != nil {
		t.Fatal(err)
	}
	return asg
}

func assertNoEndpoint(t *testing.T, pl *Pool, now time.Time) {
	t.Helper()
	if _, err := pl.Pick(Query{Service: service, Now: now}); !errors.Is(err, wick.ErrNotFound) {
		t.Errorf("Pick: %v, want %v", err, wick.ErrNotFound)
	}
}

func assertPicked(t *testing.T, asg *Assignment, want wick.VMID) {
	t.Helper()
	if asg.Backend.ID != want {
		t.Errorf("picked %s, want %s", asg.Backend.ID, want)
	}
}

// TestLeaving guards against requests to an endpoint that is known to be leaving
// or removed.
func TestLeaving(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		pl := newPool("a")
		asg := pick(t, pl, Query{})
		bke := backend(0, "a")
		bke.Leaving = true
		pl.Set(bke, start)
		assertNoEndpoint(t, pl, start)
		select {
		case <-asg.Leaving:
		default:
			t.Error("a running request is not notified that its endpoint is leaving")
		}
	})
	t.Run("removed", func(t *testing.T) {
		pl := newPool("a")
		pl.Unlist("e0", false, start)
		assertNoEndpoint(t, pl, start)
	})
	t.Run("not in the list", func(t *testing.T) {
		pl := newPool("a", "a")
		pl.Replace([]wick.Backend{backend(1, "a")}, false, start)
		assertPicked(t, pick(t, pl, Query{}), "e1")
		assertPicked(t, pick(t, pl, Query{}), "e1")
	})
	t.Run("moved to another service", func(t *testing.T) {
		pl := newPool("a")
		bke := backend(0, "a")
		bke.Service = "other"
		pl.Set(bke, start)
		assertNoEndpoint(t, pl, start)
	})
}

// TestLapsedAfterOutage guards against a service without endpoints after an
// outage of the store in which all registrations expired, and against endpoints
// that stay after their grace period.
func TestLapsedAfterOutage(t *testing.T) {
	pl := newPool("a", "a")
	pl.Replace([]wick.Backend{backend(1, "a")}, true, start)
	assertPicked(t, pick(t, pl, Query{}), "e1")
	pl.Unlist("e1", true, start)
	pick(t, pl, Query{})
	assertNoEndpoint(t, pl, start.Add(unlistedGrace+time.Millisecond))
	pl.Set(backend(0, "a"), start)
	assertPicked(t, pick(t, pl, Query{Now: start.Add(time.Minute)}), "e0")
}

// TestEjection guards against repeated requests to an unreachable endpoint.
func TestEjection(t *testing.T) {
	pl := newPool("a", "b")
	asg := pick(t, pl, Query{})
	assertPicked(t, asg, "e0")
	asg.Done(ResultUnreachable, start)
	assertPicked(t, pick(t, pl, Query{}), "e1")
	t.Run("returns to service", func(t *testing.T) {
		now := start.Add(time.Second)
		for range 20 {
			asg := pick(t, pl, Query{Now: now, Exclude: []wick.VMID{"e1"}})
			asg.Done(ResultAnswered, now)
		}
		assertPicked(t, pick(t, pl, Query{Now: now}), "e0")
	})
	t.Run("chosen as the last resort", func(t *testing.T) {
		assertPicked(t, pick(t, pl, Query{Exclude: []wick.VMID{"e1"}}), "e0")
	})
	t.Run("a new incarnation is not ejected", func(t *testing.T) {
		bke := backend(0, "a")
		bke.Born = 7
		pl.Set(bke, start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
}

// TestGrayFailure guards against an endpoint that fails requests while its health
// check passes and still receives its full share.
func TestGrayFailure(t *testing.T) {
	pl := newPool("a", "a")
	counts := make(map[wick.VMID]int)
	for step := range 200 {
		asg := pick(t, pl, Query{Now: start.Add(time.Duration(step) * 50 * time.Millisecond)})
		counts[asg.Backend.ID]++
		res := ResultAnswered
		if asg.Backend.ID == "e0" {
			res = ResultFailed
		}
		asg.Done(res, start)
	}
	if counts["e0"] > 40 {
		t.Errorf("the failing endpoint received %d of 200 requests", counts["e0"])
	}
}

// TestSharedPrompt guards against prefilling one popular prompt at every
// endpoint: entries must send it to the same endpoints without coordination,
// until the prefill queues of these are too long.
func TestSharedPrompt(t *testing.T) {
	zones := []wick.Zone{"a", "b", "c", "d"}
	parts := []wick.PromptPart{{ID: "plan", Tokens: 13000}, {ID: "own", Tokens: 3000}}
	que := Query{Service: service, Model: true, Parts: parts, InputTokens: 16000, Now: start}
	counts := make(map[wick.VMID]int)
	for _, zone := range zones {
		pl := New(zone)
		for idx := range 9 {
			pl.Set(backend(idx, zones[idx%4]), start)
		}
		for range 5 {
			asg := pick(t, pl, que)
			counts[asg.Backend.ID]++
			asg.AnswerStarted(start)
			asg.Done(ResultAnswered, start)
		}
	}
	if len(counts) != 1 {
		t.Errorf("endpoints %v prefilled the prompt, want one", counts)
	}
	t.Run("spreads under load", func(t *testing.T) {
		pl := newPool("a", "a", "a", "a")
		seen := make(map[wick.VMID]bool)
		for range 40 {
			seen[pick(t, pl, que).Backend.ID] = true
		}
		if len(seen) != 4 {
			t.Errorf("40 requests at once went to %d endpoints, want 4", len(seen))
		}
	})
}

// TestLeastLoadedEndpoint guards against a burst of requests that overloads one
// endpoint: each goes to the endpoint with the lowest share of slots in use, with
// a preference for the local zone.
func TestLeastLoadedEndpoint(t *testing.T) {
	pl := newPool("a", "b")
	counts := make(map[wick.VMID]int)
	for range 12 {
		counts[pick(t, pl, Query{}).Backend.ID]++
	}
	if counts["e0"] < 6 || counts["e1"] < 3 {
		t.Errorf("12 requests were sent as %v", counts)
	}
	if sum := pl.Summaries()[service]["a"]; sum.Live != 1 || sum.InFlight != counts["e0"] {
		t.Errorf("summary %+v", sum)
	}
}

// BenchmarkPick measures the choice for prompts that were never seen before, with
// endpoints in six zones.
func BenchmarkPick(b *testing.B) {
	for _, num := range []int{12, 166, 1000, 10000} {
		b.Run(strconv.Itoa(num), func(b *testing.B) {
			pl := New("a")
			for idx := range num {
				pl.Set(backend(idx, wick.Zone("abcdef"[idx%6:idx%6+1])), start)
			}
			que := Query{Service: service, Model: true, Now: start, InputTokens: 900, Parts: make([]wick.PromptPart, 3)}
			ids := make([]wick.PartID, 1<<12)
			for idx := range ids {
				ids[idx] = wick.PartID(strconv.Itoa(idx))
			}
			b.ReportAllocs()
			for num := 0; b.Loop(); num++ {
				que.Parts[0] = wick.PromptPart{ID: "system", Tokens: 300}
				que.Parts[1] = wick.PromptPart{ID: ids[num%len(ids)], Tokens: 300}
				que.Parts[2] = wick.PromptPart{ID: "own", Tokens: 300}
				asg, err := pl.Pick(que)
				if err != nil {
					b.Fatal(err)
				}
				asg.Done(ResultAnswered, start)
			}
		})
	}
}

// TestLoadReports guards against a queue that other entries have filled at the
// endpoint that caches a prompt: another endpoint is chosen only when queueing
// costs more than prefilling the prompt there, and a stale report is ignored.
func TestLoadReports(t *testing.T) {
	parts := []wick.PromptPart{{ID: "plan", Tokens: 13000}, {ID: "own", Tokens: 3000}}
	que := Query{Service: service, Model: true, Parts: parts, InputTokens: 16000, Now: start}
	for _, tst := range []struct {
		name     string
		waiting  int
		age      time.Duration
		wantSame bool
	}{
		{"short queue", 3, 0, true},
		{"long queue", 40, 0, false},
		{"stale report", 40, 2 * time.Second, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			pl := newPool("a", "a", "a")
			first := pick(t, pl, que)
			first.AnswerStarted(start)
			first.Done(ResultAnswered, start)
			pl.Report(first.Backend.ID, Report{At: start.Add(-tst.age), Load: wick.BackendLoad{Running: 10, Waiting: tst.waiting}})
			if got := pick(t, pl, que).Backend.ID == first.Backend.ID; got != tst.wantSame {
				t.Errorf("same endpoint: %v, want %v", got, tst.wantSame)
			}
		})
	}
}
