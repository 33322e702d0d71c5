package usage

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const window = 5 * time.Second

// A sink records reports and can lose acknowledgements.
type sink struct {
	wick.Duties
	reports []wick.UsageReport
	// lose makes the next call take effect but return an error.
	lose bool
}

func (snk *sink) ReportUsage(_ context.Context, _ wick.Fence, rep wick.UsageReport) error {
	snk.reports = append(snk.reports, rep)
	if snk.lose {
		snk.lose = false
		return wick.ErrUnavailable
	}
	return nil
}

func newReporter(sto wick.Store, snk *sink, count *int) *Reporter {
	return &Reporter{
		Store: sto, Duties: snk, Window: window, ExpireAfter: 10 * time.Second,
		Sum: func(uint64) map[wick.Customer]int { return map[wick.Customer]int{"c": *count} },
	}
}

// assertOnce asserts that no window was reported with different counts.
func assertOnce(t *testing.T, snk *sink) {
	t.Helper()
	seen := make(map[uint64]int)
	for _, rep := range snk.reports {
		if old, ok := seen[rep.Window]; ok && old != rep.Counts["c"] {
			t.Errorf("window %d was reported with %d and %d", rep.Window, old, rep.Counts["c"])
		}
		seen[rep.Window] = rep.Counts["c"]
	}
}

// TestReporter guards against two reports of one window with different counts,
// and against windows without a report.
func TestReporter(t *testing.T) {
	base := time.UnixMilli(1000 * window.Milliseconds())
	steps := func(rpt *Reporter, fence wick.Fence, from, to time.Duration, count *int) {
		for at := from; at < to; at += 250 * time.Millisecond {
			*count++
			if err := rpt.Step(t.Context(), fence, base.Add(at)); err != nil && !errors.Is(err, wick.ErrUnavailable) && !errors.Is(err, wick.ErrConflict) {
				t.Error(err)
			}
		}
	}
	t.Run("each window once", func(t *testing.T) {
		snk, count := &sink{}, 0
		steps(newReporter(&fake.Store{}, snk, &count), 1, 0, time.Minute, &count)
		assertOnce(t, snk)
		// The reports of windows 998 and 999 have not expired at the start; the
		// window that ends at 55 s is reported at 58 s.
		if num := len(snk.reports); num != 13 {
			t.Errorf("%d reports in a minute, want 13", num)
		}
	})
	t.Run("counts not read", func(t *testing.T) {
		snk, count := &sink{}, 0
		rpt := newReporter(&fake.Store{}, snk, &count)
		var readAt time.Time
		rpt.ReadAt = func() time.Time { return readAt }
		steps(rpt, 1, 0, 3*time.Second, &count)
		// Found in the recorded day inc-0782: a new holder reported a window
		// without counts, because it had not read any yet.
		if num := len(snk.reports); num != 0 {
			t.Errorf("%d reports before any counts were read", num)
		}
		readAt = base.Add(publishDelay - time.Millisecond)
		steps(rpt, 1, 3*time.Second, 4*time.Second, &count)
		if num := len(snk.reports); num != 1 || snk.reports[0].Window != 998 {
			t.Errorf("reports %v, want window 998: 999 ended too late for the counts that were read", snk.reports)
		}
		readAt = base.Add(publishDelay)
		steps(rpt, 1, 4*time.Second, 5*time.Second, &count)
		if num := len(snk.reports); num != 2 {
			t.Errorf("%d reports, want 2 once the counts of window 999 were read", num)
		}
	})
	t.Run("counts of an entry missing", func(t *testing.T) {
		snk, count := &sink{}, 0
		rpt := newReporter(&fake.Store{}, snk, &count)
		complete := false
		rpt.Complete = func(uint64) bool { return complete }
		end := EndOf(1000, window).Sub(base)
		steps(rpt, 1, 0, end+rpt.ExpireAfter-reportLead, &count)
		// Found on acep-casca, scale-2: windows were reported without the
		// counts of entries that reconnected to the store 2 s later.
		if last := snk.reports[len(snk.reports)-1].Window; last != 999 {
			t.Errorf("window %d was reported before its counts were complete or its report was about to expire", last)
		}
		steps(rpt, 1, end+rpt.ExpireAfter-reportLead, end+rpt.ExpireAfter-reportLead+time.Second, &count)
		if last := snk.reports[len(snk.reports)-1].Window; last != 1000 {
			t.Errorf("last report is of window %d, want 1000 before it expires", last)
		}
		complete = true
		steps(rpt, 1, end+rpt.ExpireAfter, end+rpt.ExpireAfter+time.Second, &count)
		assertOnce(t, snk)
	})
	t.Run("acknowledgement lost", func(t *testing.T) {
		snk, count := &sink{lose: true}, 0
		steps(newReporter(&fake.Store{}, snk, &count), 1, 0, 20*time.Second, &count)
		assertOnce(t, snk)
	})
	t.Run("holder changes after the write", func(t *testing.T) {
		sto, snk, count := &fake.Store{}, &sink{lose: true}, 0
		steps(newReporter(sto, snk, &count), 1, 0, 250*time.Millisecond, &count)
		steps(newReporter(sto, snk, &count), 2, 250*time.Millisecond, 20*time.Second, &count)
		assertOnce(t, snk)
	})
	t.Run("previous holder resumes", func(t *testing.T) {
		sto, snk, count := &fake.Store{}, &sink{}, 0
		old := newReporter(sto, snk, &count)
		steps(old, 1, 0, time.Second, &count)
		steps(newReporter(sto, snk, &count), 2, time.Second, 14*time.Second, &count)
		steps(old, 1, 14*time.Second, 15*time.Second, &count)
		assertOnce(t, snk)
	})
}

// TestThrough guards against counts that are considered final while a request of
// their window may still be counted.
func TestThrough(t *testing.T) {
	end := EndOf(7, window)
	for _, tst := range []struct {
		after time.Duration
		want  uint64
	}{{0, 6}, {countDelay - time.Millisecond, 6}, {countDelay, 7}, {window, 7}} {
		if got := FinalThrough(end.Add(tst.after), window); got != tst.want {
			t.Errorf("%v after window 7 the counts are final through %d, want %d", tst.after, got, tst.want)
		}
	}
}

// TestTally guards against counts in the wrong window and unbounded retention.
func TestTally(t *testing.T) {
	tal := &Tally{Window: window}
	for num := range 100 {
		at := EndOf(uint64(num), window)
		tal.CountStarted("c", at.Add(-time.Millisecond))
		tal.CountStarted("c", at)
	}
	counts := tal.Counts()
	if len(counts) > retainedWindows+2 || counts[99]["c"] != 2 {
		t.Errorf("%d windows are retained, window 99 has %d requests", len(counts), counts[99]["c"])
	}
}

// TestRestore guards against reports without the requests that an entry had
// counted before it was killed.
func TestRestore(t *testing.T) {
	tal := &Tally{Window: window}
	at := time.UnixMilli(5 * window.Milliseconds())
	tal.CountStarted("c", at)
	tal.Restore(map[uint64]map[wick.Customer]int{5: {"c": 7, "d": 1}, 4: {"c": 3}})
	counts := tal.Counts()
	if counts[5]["c"] != 8 || counts[5]["d"] != 1 || counts[4]["c"] != 3 {
		t.Errorf("counts %v", counts)
	}
}
