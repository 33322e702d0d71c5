package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const manyEndpoints = 240

var manyZones = []wick.Zone{"a", "b", "c", "d", "e", "f"}

func newLargePool(zone wick.Zone) *Pool {
	pl := New(zone)
	for idx := range manyEndpoints {
		pl.Set(backend(idx, manyZones[idx%len(manyZones)]), start)
	}
	return pl
}

// TestSample guards against a choice among many endpoints that prefills a shared prompt
// at many of them, or that leaves some overloaded while others are idle: only a few are
// compared for each request.
func TestSample(t *testing.T) {
	const prompts, requests = 300, 6000
	rnd := rand.New(rand.NewPCG(1, 2))
	pools := make([]*Pool, 0, len(manyZones))
	for _, zone := range manyZones {
		pools = append(pools, newLargePool(zone))
	}
	endpointsOf := make(map[int]map[wick.VMID]bool)
	counts := make(map[wick.VMID]int)
	now := start
	for range requests {
		now = now.Add(time.Millisecond)
		prompt := rnd.IntN(prompts)
		parts := []wick.PromptPart{{ID: wick.PartID(fmt.Sprint("p", prompt)), Tokens: 6000}, {ID: "own", Tokens: 2000}}
		asg := pick(t, pools[rnd.IntN(len(pools))], Query{Model: true, Parts: parts, InputTokens: 8000, Now: now})
		if endpointsOf[prompt] == nil {
			endpointsOf[prompt] = make(map[wick.VMID]bool)
		}
		endpointsOf[prompt][asg.Backend.ID] = true
		counts[asg.Backend.ID]++
		asg.AnswerStarted(now)
		asg.Done(ResultAnswered, now)
	}
	prefilled := 0
	for _, vids := range endpointsOf {
		prefilled += len(vids)
	}
	if prefilled > 2*prompts {
		t.Errorf("%d prompts were prefilled %d times, want each at one or two endpoints", prompts, prefilled)
	}
	// Without load a prompt stays where it is cached, and a few endpoints cache
	// several.
	assertBalanced(t, counts, requests, 6)
}

// TestSampleBalance guards against overloaded endpoints when requests share nothing.
func TestSampleBalance(t *testing.T) {
	const requests = 4 * manyEndpoints
	pl := newLargePool("a")
	counts := make(map[wick.VMID]int)
	for range requests {
		counts[pick(t, pl, Query{}).Backend.ID]++
	}
	assertBalanced(t, counts, requests, 3)
}

func assertBalanced(t *testing.T, counts map[wick.VMID]int, requests int, most float64) {
	t.Helper()
	mean := float64(requests) / manyEndpoints
	for vid, num := range counts {
		if float64(num) > most*mean {
			t.Errorf("%s received %d requests, the mean is %.1f", vid, num, mean)
		}
	}
}

// TestSampleFallsBack guards against a request that is rejected because none of the
// compared endpoints is available, while others are.
func TestSampleFallsBack(t *testing.T) {
	pl := newLargePool("a")
	const sound = wick.VMID("e77")
	for idx := range manyEndpoints {
		if vid := wick.VMID(fmt.Sprint("e", idx)); vid != sound {
			pl.MarkLeaving(vid, 0, start)
		}
	}
	for range 5 {
		assertPicked(t, pick(t, pl, Query{}), sound)
	}
	pl.Remove(sound)
	assertNoEndpoint(t, pl, start)
	if num := len(pl.Backends(service)); num != 0 {
		t.Errorf("%d endpoints are left that are not leaving", num)
	}
}

// TestGone guards against requests to an endpoint that another entry has found removed,
// and against an endpoint that is lost for good although it is listed again.
func TestGone(t *testing.T) {
	pl := newPool("a", "a")
	until := start.Add(time.Second)
	pl.MarkGone("e0", 7, until)
	assertPicked(t, pick(t, pl, Query{}), "e0")
	running := pick(t, pl, Query{Exclude: []wick.VMID{"e1"}})
	pl.MarkGone("e0", 0, until)
	assertPicked(t, pick(t, pl, Query{}), "e1")
	select {
	case <-running.Leaving:
	default:
		t.Error("a running request is not notified that its endpoint is gone")
	}
	assertPicked(t, pick(t, pl, Query{Now: until, Exclude: []wick.VMID{"e1"}}), "e0")
}

// TestRing guards against an assignment of prompts that changes as a whole when one
// endpoint joins or leaves, which would lose all prompt caches, and against one that
// prefers few endpoints.
func TestRing(t *testing.T) {
	const keys = 4000
	all := func(*endpoint) bool { return true }
	var rng ring
	ends := make([]*endpoint, manyEndpoints)
	for idx := range ends {
		ends[idx] = newEndpoint(backend(idx, "a"))
		rng = rng.with(ends[idx])
	}
	before := make([]*endpoint, keys)
	counts := make(map[wick.VMID]int)
	for key := range keys {
		before[key] = rng.preferred(fmt.Sprint("k", key), all)[0]
		counts[before[key].bke.ID]++
	}
	assertBalanced(t, counts, keys, 3)
	assertMoved := func(what string, want *endpoint) {
		t.Helper()
		moved := 0
		for key := range keys {
			if now := rng.preferred(fmt.Sprint("k", key), all)[0]; now != before[key] {
				moved++
			}
		}
		if moved > 6*keys/manyEndpoints {
			t.Errorf("%s of %s moved %d of %d keys", what, want.bke.ID, moved, keys)
		}
	}
	rng = rng.without(ends[7])
	assertMoved("removal", ends[7])
	rng = rng.with(ends[7])
	for key := range keys {
		if rng.preferred(fmt.Sprint("k", key), all)[0] != before[key] {
			t.Fatal("the assignment depends on the order in which endpoints joined")
		}
	}
	if got := (ring{}).preferred("k", all); got[0] != nil || got[1] != nil {
		t.Errorf("an empty ring prefers %v", got)
	}
}
