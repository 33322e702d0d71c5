package route

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	svcQuote = wick.Service("quote")
	verOne   = wick.ModelVersion("v1")
	verTwo   = wick.ModelVersion("v2")
)

func newTable(tb testing.TB, opts ...Option) *Table {
	tb.Helper()
	chk := &invar.Checker{OnViolation: func(name invar.Name, detail string) { tb.Errorf("%s: %s", name, detail) }}
	return New("entry1", "a", append([]Option{WithChecker(chk)}, opts...)...)
}

// makeVMs returns endpoints spread over the zones.
func makeVMs(count int, zones ...wick.Zone) []wick.VM {
	out := make([]wick.VM, count)
	for idx := range out {
		out[idx] = wick.VM{
			ID: wick.VMID(fmt.Sprintf("vm%d", idx)), Role: wick.RoleEndpoint, Zone: zones[idx%len(zones)],
			Service: svcQuote, Versions: []wick.ModelVersion{verOne}, State: wick.VMLive,
		}
	}
	return out
}

func reportAll(tab *Table, vms []wick.VM, now time.Time) {
	for _, vm := range vms {
		tab.Report(vm.ID, wick.LoadReport{VM: vm.ID, Slots: 8}, now.Add(-time.Millisecond), now)
	}
}

func mustPick(t *testing.T, tab *Table, query wick.RouteQuery) wick.Assignment {
	t.Helper()
	asg, err := tab.Pick(query)
	if err != nil {
		t.Fatal(err)
	}
	return asg
}

// countPicks picks and finishes attempts and counts them by VM.
func countPicks(t *testing.T, tab *Table, count int, out wick.Outcome) map[wick.VMID]int {
	t.Helper()
	seen := make(map[wick.VMID]int)
	for range count {
		asg, err := tab.Pick(wick.RouteQuery{Service: svcQuote, InputTokens: 100, Now: time.Now()})
		if err != nil {
			seen[""]++
			continue
		}
		seen[asg.VM.ID]++
		asg.Done(out)
	}
	return seen
}

// TestLeavingGetsNothing guards against new work for an endpoint that leaves,
// whichever source tells it, and against a stale list that brings it back.
func TestLeavingGetsNothing(t *testing.T) {
	for name, leave := range map[string]func(tab *Table, vms []wick.VM, now time.Time){
		"list": func(tab *Table, vms []wick.VM, now time.Time) {
			gone := append([]wick.VM(nil), vms...)
			gone[0].State = wick.VMLeaving
			tab.SetVMs(gone, now)
		},
		"report": func(tab *Table, _ []wick.VM, now time.Time) {
			tab.Report("vm0", wick.LoadReport{Leaving: true}, now, now)
		},
		"reclaim": func(tab *Table, _ []wick.VM, now time.Time) {
			tab.Report("vm0", wick.LoadReport{ReclaimAt: now.Add(time.Minute)}, now, now)
		},
		"peer": func(tab *Table, _ []wick.VM, now time.Time) {
			tab.MarkLeaving(Notice{VM: "vm0"}, now)
		},
		"refusal": func(tab *Table, _ []wick.VM, now time.Time) {
			for range 100 {
				asg, _ := tab.Pick(wick.RouteQuery{Service: svcQuote, Now: now})
				if asg.VM.ID == "vm0" {
					asg.Done(wick.Outcome{Err: errors.Join(wick.ErrNotExecuted, wick.ErrLeaving)})
					return
				}
				defer asg.Done(wick.Outcome{})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tab := newTable(t)
				vms := makeVMs(3, "a")
				tab.SetVMs(vms, time.Now())
				reportAll(tab, vms, time.Now())
				moving := tab.Moving("vm0")
				leave(tab, vms, time.Now())
				select {
				case <-moving:
				default:
					t.Error("running work was not told to move")
				}
				for range 700 {
					tab.SetVMs(vms, time.Now())
					reportAll(tab, vms, time.Now())
					tab.Tick(time.Now())
					if num := countPicks(t, tab, 3, wick.Outcome{})["vm0"]; num > 0 {
						t.Fatalf("leaving endpoint got %d attempts", num)
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// TestOldReportGetsNothing guards P6: an endpoint whose last report is older
// than 3 s, by its own time as well, gets nothing.
func TestOldReportGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(2, "a")
		tab.SetVMs(vms, time.Now())
		if num := countPicks(t, tab, 4, wick.Outcome{})[""]; num != 4 {
			t.Errorf("endpoints without any report got work")
		}
		reportAll(tab, vms, time.Now())
		for range 4 {
			time.Sleep(time.Second)
			now := time.Now()
			tab.Report("vm1", wick.LoadReport{Slots: 8}, now, now)
			// vm0 answers from a cache that stands still.
			tab.Report("vm0", wick.LoadReport{Slots: 8, At: now.Add(-5 * time.Second)}, now, now)
		}
		if num := countPicks(t, tab, 10, wick.Outcome{})["vm0"]; num > 0 {
			t.Errorf("endpoint with an old report got %d attempts", num)
		}
	})
}

// TestWrongListKeepsReporting guards against losing an endpoint that a wrong
// list misses while its own reports come, and against keeping a dead one.
func TestWrongListKeepsReporting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(2, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		for range 10 {
			time.Sleep(time.Second)
			tab.SetVMs(nil, time.Now())
			reportAll(tab, vms[:1], time.Now())
		}
		seen := countPicks(t, tab, 10, wick.Outcome{})
		if seen["vm0"] != 10 || len(tab.Watched()) != 1 {
			t.Errorf("got %v, watched %v", seen, tab.Watched())
		}
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		if len(tab.Watched()) != 2 {
			t.Errorf("endpoint that an earlier list missed did not come back")
		}
	})
}

// TestRefusalBacksOff guards against repeated attempts at a full endpoint and
// against a back-off that never ends.
func TestRefusalBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(1, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		if seen := countPicks(t, tab, 5, wick.Outcome{Err: wick.ErrBusy}); seen["vm0"] != 1 {
			t.Errorf("got %v, want a single attempt", seen)
		}
		time.Sleep(firstBackoff)
		if seen := countPicks(t, tab, 5, wick.Outcome{}); seen["vm0"] != 5 {
			t.Errorf("got %v after the back-off", seen)
		}
	})
}

// TestEjectionIsBounded guards against a failing dependency that takes every
// endpoint out, and against an ejection that never ends.
func TestEjectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(10, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		for range 40 {
			countPicks(t, tab, 10, wick.Outcome{Err: wick.ErrUnknownOutcome})
			time.Sleep(20 * time.Millisecond)
			reportAll(tab, vms, time.Now())
		}
		count := func() int {
			num := 0
			for _, sts := range tab.Status() {
				if sts.State == StateEjected {
					num++
				}
			}
			return num
		}
		if count() != 3 {
			t.Errorf("%d of 10 endpoints ejected, want 3", count())
		}
		time.Sleep(longestEject)
		reportAll(tab, vms, time.Now())
		tab.Tick(time.Now())
		if count() != 0 {
			t.Errorf("%d endpoints still ejected", count())
		}
	})
}

// TestStoppedVersion guards against attempts on a stopped version, also for
// requests that ask for it, and against work that stays on it.
func TestStoppedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(2, "a")
		vms[0].Versions = []wick.ModelVersion{verOne, verTwo}
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		asg := mustPick(t, tab, wick.RouteQuery{Service: svcQuote, Version: verTwo, Now: time.Now()})
		moving := tab.Moving(asg.VM.ID)
		tab.StopVersion(svcQuote, verTwo)
		select {
		case <-moving:
		default:
			t.Error("running work was not told to move")
		}
		if _, err := tab.Pick(wick.RouteQuery{Service: svcQuote, Version: verTwo, Now: time.Now()}); !errors.Is(err, wick.ErrNotFound) {
			t.Errorf("got %v", err)
		}
		select {
		case <-tab.Moving("vm0"):
			t.Error("work of the endpoint's other version must not move")
		default:
		}
	})
}

// TestPrefixAffinity guards the index: own sends and cache events attract the
// same prompt, and an expected hit that was a miss corrects the index.
func TestPrefixAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(100, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		query := wick.RouteQuery{Service: svcQuote, Input: strings.Repeat("p", 40*wick.PrefixBlockBytes), InputTokens: 5000, Now: time.Now()}
		first := mustPick(t, tab, query)
		first.Done(wick.Outcome{PromptTokens: 5000, FirstToken: time.Second})
		for range 20 {
			asg := mustPick(t, tab, query)
			if asg.VM.ID != first.VM.ID {
				t.Fatalf("got %s, want %s again", asg.VM.ID, first.VM.ID)
			}
			asg.Done(wick.Outcome{PromptTokens: 5000, CachedTokens: 4900, FirstToken: 20 * time.Millisecond})
		}
		mustPick(t, tab, query).Done(wick.Outcome{PromptTokens: 5000, FirstToken: time.Second})
		moved := 0
		for range 8 {
			asg := mustPick(t, tab, query)
			if asg.VM.ID != first.VM.ID {
				moved++
			}
			asg.Done(wick.Outcome{Cancelled: true})
		}
		if moved == 0 {
			t.Error("the index still expects a hit after a miss")
		}
		other := tab.Watched()[0].ID
		input := strings.Repeat("q", 8*wick.PrefixBlockBytes)
		evs := make([]wick.CacheEvent, 0, 8)
		for idx, hash := range wick.AppendPrefixHashes(nil, input, 8) {
			evs = append(evs, wick.CacheEvent{Seq: uint64(idx + 1), Hash: hash, Stored: true})
		}
		tab.CacheEvents(other, evs)
		query.Input = input
		if asg := mustPick(t, tab, query); asg.VM.ID != other {
			t.Errorf("got %s, want %s by its cache events", asg.VM.ID, other)
		}
	})
}

// TestLocalZoneGivesWay guards the zone preference: small differences stay
// local, a local queue that threatens the target does not.
func TestLocalZoneGivesWay(t *testing.T) {
	for name, tc := range map[string]struct {
		prefill wick.Tokens
		want    wick.Zone
	}{
		"idle":       {0, "a"},
		"smallQueue": {200, "a"},
		"longQueue":  {20000, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tab := newTable(t)
				vms := makeVMs(4, "a", "b")
				tab.SetVMs(vms, time.Now())
				for _, vm := range vms {
					rep := wick.LoadReport{Slots: 8}
					if vm.Zone == "a" {
						rep.PrefillTokens = tc.prefill
					}
					tab.Report(vm.ID, rep, time.Now(), time.Now())
				}
				if asg := mustPick(t, tab, wick.RouteQuery{Service: svcQuote, InputTokens: 100, Now: time.Now()}); asg.VM.Zone != tc.want {
					t.Errorf("got zone %s, want %s", asg.VM.Zone, tc.want)
				}
			})
		})
	}
}

// TestEndedPrefillIsForgotten guards against prefill tokens of attempts that
// ended: they kept an endpoint looking busy until its next report, so that
// prompts left the endpoint that cached them.
func TestEndedPrefillIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(1, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		query := wick.RouteQuery{Service: svcQuote, InputTokens: 5000, Now: time.Now()}
		mustPick(t, tab, query).Done(wick.Outcome{})
		late := mustPick(t, tab, query)
		time.Sleep(time.Second)
		reportAll(tab, vms, time.Now())
		late.Done(wick.Outcome{})
		if sts := tab.Status()[0]; sts.Wait != 0 {
			t.Errorf("predicted wait %s at an idle endpoint", sts.Wait)
		}
	})
}

// TestPrefixIndexIsBounded guards against growth with the number of prompts.
func TestPrefixIndexIsBounded(t *testing.T) {
	pix := newPrefixIndex(1024)
	for num := range uint64(100_000) {
		pix.set(num*0x9e3779b97f4a7c15, &endpoint{}, true)
	}
	sum := 0
	for idx := range pix.shards {
		sum += len(pix.shards[idx].young) + len(pix.shards[idx].old)
	}
	if sum > 1024 {
		t.Errorf("%d blocks, bound 1024", sum)
	}
}

// Guards against an endpoint of several versions that serves another one than
// the active version of the bundle, and against stops that outlive the move.
func TestActiveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, now := newTable(t), time.Now()
		vms := makeVMs(3, "a")
		for idx := range vms {
			vms[idx].Versions = []wick.ModelVersion{verOne, verTwo}
		}
		tab.SetVMs(vms, now)
		reportAll(tab, vms, now)
		query := wick.RouteQuery{Service: svcQuote, Now: now}
		for _, ver := range []wick.ModelVersion{verOne, verTwo} {
			tab.SetBundle(&bundle.Bundle{Services: []bundle.Service{{Name: svcQuote, Active: ver}}})
			if asg := mustPick(t, tab, query); asg.Version != ver {
				t.Errorf("active %s: got %s", ver, asg.Version)
			}
		}
		tab.StopVersion(svcQuote, verTwo)
		if _, err := tab.Pick(query); !errors.Is(err, wick.ErrNotFound) {
			t.Errorf("stopped: got %v", err)
		}
		tab.AllowVersion(svcQuote, verTwo)
		if asg := mustPick(t, tab, query); asg.Version != verTwo {
			t.Errorf("allowed: got %s", asg.Version)
		}
	})
}
