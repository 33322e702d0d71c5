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

func pick(t *testing.T, pl *Pool, que Query) *Ticket {
	t.Helper()
	que.Service = service
	if que.Now.IsZero() {
		que.Now = start
	}
	tic, err := pl.Pick(que)
	if err != nil {
		t.Fatal(err)
	}
	return tic
}

func assertNone(t *testing.T, pl *Pool, now time.Time) {
	t.Helper()
	if _, err := pl.Pick(Query{Service: service, Now: now}); !errors.Is(err, wick.ErrNotFound) {
		t.Errorf("Pick: %v, want %v", err, wick.ErrNotFound)
	}
}

func assertPicked(t *testing.T, tic *Ticket, want wick.VMID) {
	t.Helper()
	if tic.Backend.ID != want {
		t.Errorf("picked %s, want %s", tic.Backend.ID, want)
	}
}

// TestLeaving guards against requests that reach an endpoint after its leaving
// was known.
func TestLeaving(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		pl := newPool("a")
		tic := pick(t, pl, Query{})
		bke := backend(0, "a")
		bke.Leaving = true
		pl.Set(bke, start)
		assertNone(t, pl, start)
		select {
		case <-tic.Leaving:
		default:
			t.Error("a running request is not told that its endpoint leaves")
		}
	})
	t.Run("removed", func(t *testing.T) {
		pl := newPool("a")
		pl.Drop("e0", false, start)
		assertNone(t, pl, start)
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
		assertNone(t, pl, start)
	})
}

// TestLapsed guards against a site without endpoints after an outage of the
// store, in which all entries lapsed, and against endpoints that stay for good.
func TestLapsed(t *testing.T) {
	pl := newPool("a", "a")
	pl.Replace([]wick.Backend{backend(1, "a")}, true, start)
	assertPicked(t, pick(t, pl, Query{}), "e1")
	pl.Drop("e1", true, start)
	pick(t, pl, Query{})
	assertNone(t, pl, start.Add(missingGrace+time.Millisecond))
	pl.Set(backend(0, "a"), start)
	assertPicked(t, pick(t, pl, Query{Now: start.Add(time.Minute)}), "e0")
}

// TestEjection guards against a dark endpoint that gets request after request.
func TestEjection(t *testing.T) {
	pl := newPool("a", "b")
	tic := pick(t, pl, Query{})
	assertPicked(t, tic, "e0")
	tic.Done(FateUnreached, start)
	assertPicked(t, pick(t, pl, Query{}), "e1")
	t.Run("comes back", func(t *testing.T) {
		now := start.Add(time.Second)
		for range 20 {
			tic := pick(t, pl, Query{Now: now, Exclude: []wick.VMID{"e1"}})
			tic.Done(FateAnswered, now)
		}
		assertPicked(t, pick(t, pl, Query{Now: now}), "e0")
	})
	t.Run("serves when it is the last", func(t *testing.T) {
		assertPicked(t, pick(t, pl, Query{Exclude: []wick.VMID{"e1"}}), "e0")
	})
	t.Run("a new start is a new endpoint", func(t *testing.T) {
		bke := backend(0, "a")
		bke.Born = 7
		pl.Set(bke, start)
		assertPicked(t, pick(t, pl, Query{}), "e0")
	})
}

// TestGreyEndpoint answers the pattern in which an endpoint fails part of its
// requests while its health check passes.
func TestGreyEndpoint(t *testing.T) {
	pl := newPool("a", "a")
	counts := make(map[wick.VMID]int)
	for step := range 200 {
		tic := pick(t, pl, Query{Now: start.Add(time.Duration(step) * 50 * time.Millisecond)})
		counts[tic.Backend.ID]++
		fate := FateAnswered
		if tic.Backend.ID == "e0" {
			fate = FateFailed
		}
		tic.Done(fate, start)
	}
	if counts["e0"] > 40 {
		t.Errorf("the endpoint that fails got %d of 200 requests", counts["e0"])
	}
}

// TestSharedPrompt answers the pattern in which one prompt gets much of the
// traffic: entries that know nothing of each other must send it to the same
// endpoints, until these have too much to read.
func TestSharedPrompt(t *testing.T) {
	zones := []wick.Zone{"a", "b", "c", "d"}
	parts := []wick.PromptPart{{ID: "plan", Tokens: 13000}, {ID: "own", Tokens: 3000}}
	que := Query{Service: service, Model: true, Parts: parts, Input: 16000, Now: start}
	used := make(map[wick.VMID]int)
	for _, zone := range zones {
		pl := New(zone)
		for idx := range 9 {
			pl.Set(backend(idx, zones[idx%4]), start)
		}
		for range 5 {
			tic := pick(t, pl, que)
			used[tic.Backend.ID]++
			tic.Began()
			tic.Done(FateAnswered, start)
		}
	}
	if len(used) != 1 {
		t.Errorf("endpoints %v read the prompt, want one", used)
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

// TestPlainLoad answers the pattern in which many requests come at once: they
// go to the endpoint with the most free slots, in the own zone first.
func TestPlainLoad(t *testing.T) {
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

func BenchmarkPick(b *testing.B) {
	for _, num := range []int{12, 140, 1000} {
		b.Run(strconv.Itoa(num), func(b *testing.B) {
			pl := New("a")
			for idx := range num {
				pl.Set(backend(idx, "a"), start)
			}
			que := Query{Service: service, Model: true, Now: start, Input: 10, Parts: []wick.PromptPart{{ID: "x", Tokens: 5}, {ID: "y", Tokens: 5}}}
			for b.Loop() {
				tic, err := pl.Pick(que)
				if err != nil {
					b.Fatal(err)
				}
				tic.Done(FateAnswered, start)
			}
		})
	}
}

// TestReports answers the pattern in which other entries have filled an
// endpoint: the prompt's endpoint is left only when waiting there costs more
// than reading the prompt elsewhere, and an old report counts for nothing.
func TestReports(t *testing.T) {
	parts := []wick.PromptPart{{ID: "plan", Tokens: 13000}, {ID: "own", Tokens: 3000}}
	que := Query{Service: service, Model: true, Parts: parts, Input: 16000, Now: start}
	for _, tst := range []struct {
		name    string
		waiting int
		age     time.Duration
		stays   bool
	}{
		{"short queue", 3, 0, true},
		{"long queue", 40, 0, false},
		{"old report", 40, 2 * time.Second, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			pl := newPool("a", "a", "a")
			home := pick(t, pl, que)
			home.Began()
			home.Done(FateAnswered, start)
			pl.Report(home.Backend.ID, Report{At: start.Add(-tst.age), Load: wick.BackendLoad{Running: 10, Waiting: tst.waiting}})
			if got := pick(t, pl, que).Backend.ID == home.Backend.ID; got != tst.stays {
				t.Errorf("stays at its endpoint: %v, want %v", got, tst.stays)
			}
		})
	}
}
