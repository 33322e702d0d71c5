package route

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A recorder is a wick.VersionChooser that records the last sample.
type recorder struct{ smp wick.VersionSample }

func (rec *recorder) Choose(wick.RouteQuery) wick.VersionChoice {
	return wick.VersionChoice{Version: verOne, Done: func(smp wick.VersionSample) { rec.smp = smp }}
}

// TestLateAnswersAreSampled guards against a slow version that is never detected
// because its samples do not mark late answers.
func TestLateAnswersAreSampled(t *testing.T) {
	for name, tc := range map[string]struct {
		out  wick.Outcome
		want bool
	}{
		"in time":       {wick.Outcome{FirstToken: 790 * time.Millisecond, BetweenTokens: 35 * time.Millisecond}, false},
		"first token":   {wick.Outcome{FirstToken: 791 * time.Millisecond}, true},
		"between":       {wick.Outcome{BetweenTokens: 36 * time.Millisecond}, true},
		"failed":        {wick.Outcome{Err: wick.ErrTruncated, FirstToken: time.Minute}, false},
		"set by caller": {wick.Outcome{Late: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			rec := &recorder{}
			tab := newTable(t, WithVersions(rec))
			tab.SetBundle(&bundle.Bundle{Services: []bundle.Service{{
				Name: svcQuote, Targets: bundle.Targets{FirstTokenMillis: 790, BetweenTokensMillis: 35},
			}}})
			now, vms := time.Now(), makeVMs(1, "a")
			tab.SetVMs(vms, now)
			reportAll(tab, vms, now)
			mustPick(t, tab, wick.RouteQuery{Service: svcQuote, Now: now}).Done(tc.out)
			if rec.smp.Out.Late != tc.want {
				t.Errorf("late is %v", rec.smp.Out.Late)
			}
		})
	}
}
