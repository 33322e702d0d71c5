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

// countPicks makes attempts that end with the outcome out and counts them by VM.
// Failed picks are counted as "".
func countPicks(t *testing.T, tab *Table, count int, out wick.Outcome) map[wick.VMID]int {
	t.Helper()
	counts := make(map[wick.VMID]int)
	for range count {
		asg, err := tab.Pick(wick.RouteQuery{Service: svcQuote, InputTokens: 100, Now: time.Now()})
		if err != nil {
			counts[""]++
			continue
		}
		counts[asg.VM.ID]++
		asg.Done(out)
	}
	return counts
}

// TestNoAttemptToLeavingEndpoint guards against new attempts at a leaving
// endpoint, whichever source reports it, and against a stale list that revives
// the endpoint.
func TestNoAttemptToLeavingEndpoint(t *testing.T) {
	for name, markLeaving := range map[string]func(tab *Table, vms []wick.VM, now time.Time){
		"list": func(tab *Table, vms []wick.VM, now time.Time) {
			leaving := append([]wick.VM(nil), vms...)
			leaving[0].State = wick.VMLeaving
			tab.SetVMs(leaving, now)
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
				evacuation := tab.Evacuation("vm0")
				markLeaving(tab, vms, time.Now())
				select {
				case <-evacuation:
				default:
					t.Error("running attempts were not signalled to migrate")
				}
				for range 700 {
					tab.SetVMs(vms, time.Now())
					reportAll(tab, vms, time.Now())
					tab.Tick(time.Now())
					if num := countPicks(t, tab, 3, wick.Outcome{})["vm0"]; num > 0 {
						t.Fatalf("leaving endpoint received %d attempts", num)
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// TestNoAttemptWithoutFreshReport guards against attempts at an endpoint whose
// last report is older than 3 s, whether by its time of arrival or by its own
// timestamp.
func TestNoAttemptWithoutFreshReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(2, "a")
		tab.SetVMs(vms, time.Now())
		if num := countPicks(t, tab, 4, wick.Outcome{})[""]; num != 4 {
			t.Errorf("endpoints without any report received attempts")
		}
		reportAll(tab, vms, time.Now())
		for range 4 {
			time.Sleep(time.Second)
			now := time.Now()
			tab.Report("vm1", wick.LoadReport{Slots: 8}, now, now)
			// vm0 answers with stale reports from a cache.
			tab.Report("vm0", wick.LoadReport{Slots: 8, At: now.Add(-5 * time.Second)}, now, now)
		}
		if num := countPicks(t, tab, 10, wick.Outcome{})["vm0"]; num > 0 {
			t.Errorf("endpoint with a stale report received %d attempts", num)
		}
	})
}

// TestUnlistedEndpointStaysWhileReporting guards against the removal of an
// endpoint that an incomplete list lacks while its load reports arrive, and
// against keeping one that neither is listed nor reports.
func TestUnlistedEndpointStaysWhileReporting(t *testing.T) {
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
		counts := countPicks(t, tab, 10, wick.Outcome{})
		if counts["vm0"] != 10 || len(tab.PollTargets()) != 1 {
			t.Errorf("got %v, watched %v", counts, tab.PollTargets())
		}
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		if len(tab.PollTargets()) != 2 {
			t.Errorf("endpoint that an earlier list lacked was not restored")
		}
	})
}

// TestRefusalBackoff guards against repeated attempts at a full endpoint and
// against a backoff that never ends.
func TestRefusalBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(1, "a")
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		if counts := countPicks(t, tab, 5, wick.Outcome{Err: wick.ErrBusy}); counts["vm0"] != 1 {
			t.Errorf("got %v, want a single attempt", counts)
		}
		time.Sleep(minBackoff)
		if counts := countPicks(t, tab, 5, wick.Outcome{}); counts["vm0"] != 5 {
			t.Errorf("got %v after the backoff", counts)
		}
	})
}

// TestEjectionIsBounded guards against the ejection of every endpoint when a
// common dependency fails, and against an ejection that never ends.
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
		time.Sleep(maxEjection)
		reportAll(tab, vms, time.Now())
		tab.Tick(time.Now())
		if count() != 0 {
			t.Errorf("%d endpoints still ejected", count())
		}
	})
}

// TestStoppedVersion guards against attempts on a stopped version, also for
// queries that name it, and against running attempts that stay on it.
func TestStoppedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(t)
		vms := makeVMs(2, "a")
		vms[0].Versions = []wick.ModelVersion{verOne, verTwo}
		tab.SetVMs(vms, time.Now())
		reportAll(tab, vms, time.Now())
		asg := mustPick(t, tab, wick.RouteQuery{Service: svcQuote, Version: verTwo, Now: time.Now()})
		evacuation := tab.Evacuation(asg.VM.ID)
		tab.StopVersion(svcQuote, verTwo)
		select {
		case <-evacuation:
		default:
			t.Error("running attempts were not signalled to migrate")
		}
		if _, err := tab.Pick(wick.RouteQuery{Service: svcQuote, Version: verTwo, Now: time.Now()}); !errors.Is(err, wick.ErrNotFound) {
			t.Errorf("got %v", err)
		}
		select {
		case <-tab.Evacuation("vm0"):
			t.Error("later attempts on the endpoint's other version must not migrate")
		default:
		}
	})
}

// TestPrefixAffinity guards the prefix index: assignments and cache events route
// the same prompt to the same endpoint, and a cache miss corrects the index.
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
		other := tab.PollTargets()[0].ID
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

// TestLocalZonePreference guards the zone preference: a small difference in
// latency keeps the request in the local zone, a local queue that puts the
// target at risk does not.
func TestLocalZonePreference(t *testing.T) {
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

// TestEndedAttemptReleasesPrefill guards against counting prefill tokens of
// attempts that have ended: the endpoint appeared busy until its next report, so
// that prompts were routed away from the endpoint that cached them.
func TestEndedAttemptReleasesPrefill(t *testing.T) {
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

// TestPrefixIndexIsBounded guards against an index that grows with the number of
// prompts.
func TestPrefixIndexIsBounded(t *testing.T) {
	pix := newPrefixIndex(1024)
	for num := range uint64(100_000) {
		pix.set(num*0x9e3779b97f4a7c15, &endpoint{}, true)
	}
	sum := 0
	for idx := range pix.shards {
		sum += len(pix.shards[idx].current) + len(pix.shards[idx].previous)
	}
	if sum > 1024 {
		t.Errorf("%d blocks, bound 1024", sum)
	}
}

// TestActiveVersion guards against an endpoint of several versions that serves
// another one than the active version of the bundle, and against a stop that
// outlives the move.
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
