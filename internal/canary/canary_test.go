package canary

import (
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func newJudge(t *testing.T, share wick.Share) *Judge {
	t.Helper()
	jdg := New("e", 1, &invar.Checker{OnViolation: func(name invar.Name, detail string) { t.Errorf("%s: %s", name, detail) }})
	jdg.SetMove(Move{ID: "1-m", Service: "quote", From: "v1", To: "v2", Share: share})
	return jdg
}

// TestCredit guards the candidate's share and its bound on in-flight requests.
func TestCredit(t *testing.T) {
	jdg := newJudge(t, 0.1)
	var dones []func(wick.VersionSample)
	count := 0
	for range 1000 {
		if choice := jdg.Choose(wick.RouteQuery{Service: "quote"}); choice.Candidate {
			count++
			dones = append(dones, choice.Done)
		}
	}
	if count != maxInFlight {
		t.Errorf("%d candidate requests in flight", count)
	}
	for _, done := range dones {
		done(wick.VersionSample{Excluded: true})
	}
	count = 0
	for range 1000 {
		if choice := jdg.Choose(wick.RouteQuery{Service: "quote"}); choice.Candidate {
			count++
			choice.Done(wick.VersionSample{At: time.Unix(0, 0)})
		}
	}
	if count < 99 || count > 101 {
		t.Errorf("%d of 1000 requests at a share of 0.1", count)
	}
}

// TestStopIsFinal guards against stale updates that revive a stopped version.
func TestStopIsFinal(t *testing.T) {
	jdg := newJudge(t, 1)
	if !jdg.Stop(Stop{Move: "1-m"}) || jdg.Stop(Stop{Move: "1-m"}) {
		t.Error("a stop must be reported as new exactly once")
	}
	jdg.SetMove(Move{ID: "1-m", Service: "quote", From: "v1", To: "v2", Share: 1, Proved: true})
	for range 10 {
		if choice := jdg.Choose(wick.RouteQuery{Service: "quote"}); choice.Version != "v1" || choice.Fallback != "" {
			t.Fatalf("got %+v after the stop", choice)
		}
	}
}

// TestCrashCountsOnce guards against stopping a version because one endpoint
// crashed with several requests in flight.
func TestCrashCountsOnce(t *testing.T) {
	jdg := newJudge(t, 1)
	for range maxInFlight * 2 {
		choice := jdg.Choose(wick.RouteQuery{Service: "quote"})
		choice.Done(wick.VersionSample{VM: "vm1", Out: wick.Outcome{Err: wick.ErrTruncated}, At: time.Unix(5, 0)})
	}
	if len(jdg.Stops()) > 0 {
		t.Errorf("stopped by one crash: %+v", jdg.Stops())
	}
}

// TestMerge guards the merged counters against duplicate, reordered and stale
// messages and a restart of the sender, and the message size against many
// routes.
func TestMerge(t *testing.T) {
	count := func(num uint64) []CellCount {
		return []CellCount{{Cell{Zone: "a", Route: "/", Window: 9}, Count{Old: num}}}
	}
	jdg := newJudge(t, 1)
	for _, evi := range []Evidence{
		{Move: "1-m", Entry: "p", Incarnation: 1, Counts: count(5)},
		{Move: "1-m", Entry: "p", Incarnation: 1, Counts: count(3)},
		{Move: "1-m", Entry: "p", Incarnation: 1, Counts: count(5)},
		{Move: "1-m", Entry: "p", Incarnation: 2, Counts: count(1)},
		{Move: "0-m", Entry: "p", Incarnation: 1, Counts: count(70)},
		{Move: "1-m", Entry: "e", Incarnation: 1, Counts: count(70)},
	} {
		jdg.Merge(evi)
	}
	if got := jdg.trials["quote"].counters.judge(9).Totals.Old; got != 6 {
		t.Errorf("%d responses, want 6", got)
	}
	for num := range 10 * maxCells {
		jdg.Choose(wick.RouteQuery{Service: "quote", Route: strconv.Itoa(num)}).Done(wick.VersionSample{At: time.Unix(90, 0)})
	}
	evi, _ := jdg.Evidence("quote")
	if own := len(jdg.trials["quote"].counters.sources[source{}]); len(evi.Counts) > maxMessageCells || own > maxCells+1 {
		t.Errorf("%d cells in a message, %d stored", len(evi.Counts), own)
	}
}

// TestOverloadIsNotBlamed guards against stopping a version because of an
// overload that delays the responses of both versions.
func TestOverloadIsNotBlamed(t *testing.T) {
	jdg := newJudge(t, 0.5)
	for num := range 2000 {
		choice := jdg.Choose(wick.RouteQuery{Service: "quote", Route: "/"})
		late := num/2%2 == 0
		choice.Done(wick.VersionSample{Band: wick.BandHigh, Out: wick.Outcome{Late: late}, At: time.Unix(int64(num/20), 0)})
	}
	if len(jdg.Stops()) > 0 {
		t.Errorf("stopped by overload: %+v", jdg.Stops())
	}
}
