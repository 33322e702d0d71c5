package pool

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// mixedQuery is a query whose candidates in newMixedPool are excluded for all reasons.
var mixedQuery = Query{
	Service: service, Model: true, InputTokens: 900, OutputTokens: 100, Regions: []wick.Region{"r"}, ExceptVersions: []wick.ModelVersion{"bad"},
	Parts: []wick.PromptPart{{ID: "shared", Tokens: 800}, {ID: "own", Tokens: 100}}, Exclude: []wick.VMID{"e8"}, TargetGap: time.Second,
}

var mixedExclusions = map[wick.VMID]Exclusion{
	"e1": ExcludedLeaving, "e2": ExcludedEvacuated, "e3": ExcludedPaused, "e4": ExcludedLimited, "e5": ExcludedCold,
	"e6": ExcludedVersion, "e7": ExcludedRegion, "e8": ExcludedTried, "e9": ExcludedGone, "e14": ExcludedUnlisted,
}

// newMixedPool returns a pool of which e0 is slow, e1 to e9 and e14 are excluded from mixedQuery,
// e10 is in backoff, e11 in another zone, and e12 and e13 are alike.
func newMixedPool() *Pool {
	pl := New("a")
	pl.SetRegions(map[wick.Zone]wick.Region{"a": "r", "b": "r", "evacuated": "r", "abroad": "x"})
	pl.SetColdPolicies(map[wick.Service]ColdPolicy{service: coldPolicy}, start)
	pl.SetEvacuated([]wick.Zone{"evacuated"})
	const endpoints = 15
	for num := range endpoints {
		bke := backend(num, map[int]wick.Zone{2: "evacuated", 7: "abroad", 11: "b"}[num])
		if bke.Zone == "" {
			bke.Zone = "a"
		}
		switch num {
		case 1:
			bke.Leaving = true
		case 5:
			bke.ColdFor = time.Second
		case 6:
			bke.Version = "bad"
		}
		pl.Set(bke, start)
	}
	pl.Report("e0", Report{At: start, Load: wick.BackendLoad{Running: 1}})
	pl.groups[service].eps["e0"].setPace(pace.Estimate{Factor: 3, Stalls: 0.5})
	pl.Report("e4", Report{At: start, Load: wick.BackendLoad{Limit: wick.RateLimit{Set: true, PerSecond: 1}}})
	pl.Report("e12", Report{At: start, Load: wick.BackendLoad{Running: 2, Waiting: 1, NextTokens: 300}})
	grp := pl.groups[service]
	grp.eps["e4"].limit.tokens = -5
	// It ends within the tests, so that the requests after it ramp up.
	grp.eps["e3"].pause.extend(start.Add(10 * time.Second))
	pl.Unlist("e14", true, start.Add(-2*unlistedGrace))
	pl.MarkGone("e9", 0, start.Add(time.Minute))
	grp.eps["e10"].backoffUntil = start.Add(time.Minute)
	return pl
}

func at(que Query, now time.Time) Query {
	que.Now = now
	return que
}

// assertNextPick asserts that Explain names the endpoint that Pick assigns next.
func assertNextPick(t *testing.T, pl *Pool, que Query) {
	t.Helper()
	exp := pl.Explain(que)
	asg, err := pl.Pick(que)
	switch {
	case err != nil:
		if exp.Err == nil || exp.Err.Error() != err.Error() || exp.Choice != "" {
			t.Errorf("explained as %q, %v, but Pick: %v", exp.Choice, exp.Err, err)
		}
	case exp.Choice != asg.Backend.ID || exp.Candidates[0].Endpoint != asg.Backend.ID || exp.Candidates[0].WaitMillis != asg.Wait.Milliseconds():
		t.Errorf("explained as %q, first %+v, but picked %s after %v", exp.Choice, exp.Candidates[0], asg.Backend.ID, asg.Wait)
	}
}

// TestExplainAgrees guards against an explanation that names another endpoint than the next
// request gets, or another reason than the one that excludes an endpoint.
func TestExplainAgrees(t *testing.T) {
	t.Run("reasons", func(t *testing.T) {
		got := make(map[wick.VMID]Exclusion)
		for _, cnd := range newMixedPool().Explain(at(mixedQuery, start)).Candidates {
			if cnd.Excluded != "" {
				got[cnd.Endpoint] = cnd.Excluded
			}
		}
		if !reflect.DeepEqual(got, mixedExclusions) {
			t.Errorf("excluded %v, want %v", got, mixedExclusions)
		}
	})
	t.Run("next pick", func(t *testing.T) {
		pl := newMixedPool()
		// The limited, cold and paused endpoints and those in backoff return meanwhile.
		for step := range 600 {
			assertNextPick(t, pl, at(mixedQuery, start.Add(time.Duration(step)*200*time.Millisecond)))
		}
	})
	for name, exclude := range map[string][]wick.VMID{
		"last resort": {"e0", "e8", "e11", "e12", "e13"}, "limited": {"e0", "e3", "e8", "e10", "e11", "e12", "e13"}, "none": {"e0", "e3", "e4", "e5", "e8", "e10", "e11", "e12", "e13"},
	} {
		t.Run(name, func(t *testing.T) {
			que := at(mixedQuery, start)
			que.Exclude = exclude
			assertNextPick(t, newMixedPool(), que)
		})
	}
	t.Run("one of many entries", func(t *testing.T) {
		const endpoints = 4
		pl := New("a")
		pl.SetNewLimitShare(0.05)
		for num := range endpoints {
			pl.Set(backend(num, "a"), start)
		}
		sent := make([]*Assignment, 0, 8)
		for step := range 400 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			if step%8 == 0 {
				for _, asg := range sent {
					asg.Done(ResultAnswered, now)
				}
				sent = sent[:0]
				for num := range endpoints {
					pl.Report(backend(num, "a").ID, Report{At: now, Load: wick.BackendLoad{Running: 2 + 5*num}})
				}
			}
			que := Query{Service: service, Model: true, InputTokens: 30, OutputTokens: 100, Now: now}
			want := pl.Explain(que).Choice
			asg := pick(t, pl, que)
			assertPicked(t, asg, want)
			sent = append(sent, asg)
		}
	})
	t.Run("no service", func(t *testing.T) { assertNextPick(t, New("a"), at(mixedQuery, start)) })
	t.Run("sample", func(t *testing.T) {
		pl := New("a")
		const endpoints = 300
		for num := range endpoints {
			pl.Set(backend(num, map[bool]wick.Zone{true: "evacuated", false: "a"}[num%3 == 0]), start)
		}
		pl.SetEvacuated([]wick.Zone{"evacuated"})
		exp := pl.Explain(Query{Service: service, Now: start})
		if exp.Choice == "" || exp.Candidates[0].Endpoint != exp.Choice || exp.Unsampled == 0 || exp.Unsampled+len(exp.Candidates)-maxListed != endpoints*2/3 || exp.Excluded[ExcludedEvacuated] != endpoints/3 {
			t.Errorf("choice %q, %d candidates, %d not in the sample", exp.Choice, len(exp.Candidates), exp.Unsampled)
		}
	})
}

// TestExplainChangesNothing guards against explanations that take tokens, count requests or
// record prompts: of two pools with the same requests, only one explains each of them first.
func TestExplainChangesNothing(t *testing.T) {
	one, two := newMixedPool(), newMixedPool()
	for step := range 600 {
		que := at(mixedQuery, start.Add(time.Duration(step)*50*time.Millisecond))
		que.MaxWait = 100 * time.Millisecond
		before := registrySnapshot(t)
		for range 3 {
			one.Explain(que)
		}
		if after := registrySnapshot(t); after != before {
			t.Fatalf("metrics %s, before %s", after, before)
		}
		got, gotErr := one.Pick(que)
		want, wantErr := two.Pick(que)
		if gotErr != nil || wantErr != nil {
			t.Fatalf("step %d: %v, without explanations %v", step, gotErr, wantErr)
		}
		if got.Backend.ID != want.Backend.ID || got.Wait != want.Wait {
			t.Fatalf("step %d: %s after %v, without explanations %s after %v", step, got.Backend.ID, got.Wait, want.Backend.ID, want.Wait)
		}
		if step%3 > 0 {
			got.Done(ResultAnswered, que.Now)
			want.Done(ResultAnswered, que.Now)
		}
	}
	end := start.Add(time.Minute)
	if !reflect.DeepEqual(one.RequestRate(end), two.RequestRate(end)) || !reflect.DeepEqual(one.WorkRate(end), two.WorkRate(end)) ||
		!reflect.DeepEqual(one.Summaries(), two.Summaries()) || !reflect.DeepEqual(one.Explain(at(mixedQuery, end)), two.Explain(at(mixedQuery, end))) {
		t.Error("the state differs from that of a pool without explanations")
	}
}

func registrySnapshot(t *testing.T) string {
	t.Helper()
	data, err := json.Marshal(metrics.DefaultRegistry.GetAll())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestTerms guards against a term of the cost that explanations leave out.
func TestTerms(t *testing.T) {
	cost := 0
	for field := range reflect.TypeFor[costTerms]().Fields() {
		if field.Type.Kind() == reflect.Float64 {
			cost++
		}
	}
	if terms := reflect.TypeFor[Terms]().NumField(); cost != terms {
		t.Errorf("a cost has %d terms, an explanation %d", cost, terms)
	}
	for _, cnd := range newMixedPool().Explain(at(mixedQuery, start)).Candidates {
		sum, terms := 0.0, reflect.ValueOf(cnd.Terms)
		for idx := range terms.NumField() {
			sum += terms.Field(idx).Float()
		}
		if diff := sum - cnd.Cost; diff > 1e-6 || diff < -1e-6 {
			t.Errorf("%s: the terms add up to %v, the cost is %v", cnd.Endpoint, sum, cnd.Cost)
		}
	}
}
