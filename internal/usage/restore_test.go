package usage

import (
	"errors"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A restoredSite is a store that a test restores, with reporters that share a sink. The
// counts grow with every step, so that no window is summed to the same count twice.
type restoredSite struct {
	*testing.T
	sto   fake.Store
	snk   sink
	count int
	base  time.Time
	era   wick.Era
	since time.Time
}

func newRestoredSite(t *testing.T) *restoredSite {
	t.Helper()
	return &restoredSite{T: t, base: time.UnixMilli(1000 * window.Milliseconds())}
}

func (sit *restoredSite) reporter() *Reporter {
	rpt := newReporter(&sit.sto, &sit.snk, &sit.count)
	rpt.EraSince = func() (wick.Era, time.Time) { return sit.era, sit.since }
	return rpt
}

func (sit *restoredSite) restore(cpy fake.StoreCopy, at time.Duration) {
	sit.sto.Restore(cpy)
	sit.era, sit.since = sit.era+1, sit.base.Add(at)
}

func (sit *restoredSite) steps(rpt *Reporter, fence wick.Fence, from, to time.Duration) {
	sit.Helper()
	for at := from; at < to; at += 250 * time.Millisecond {
		sit.count++
		if err := rpt.Step(sit.Context(), fence, sit.base.Add(at)); err != nil && !errors.Is(err, wick.ErrConflict) {
			sit.Error(err)
		}
	}
}

// assertAll asserts that each window in a range was reported.
func (sit *restoredSite) assertAll(first, last uint64) {
	sit.Helper()
	seen := make(map[uint64]bool)
	for _, rep := range sit.snk.reports {
		seen[rep.Window] = true
	}
	for num := first; num <= last; num++ {
		if !seen[num] {
			sit.Errorf("window %d was not reported", num)
		}
	}
}

// TestRestoredStore guards against a window that is reported twice with different counts because
// the record of its first report was lost when the store was restored, and against windows
// without a report after that.
func TestRestoredStore(t *testing.T) {
	t.Run("same holder", func(t *testing.T) {
		sit := newRestoredSite(t)
		empty := sit.sto.Backup()
		rpt := sit.reporter()
		sit.steps(rpt, 1, 0, 12*time.Second)
		cpy := sit.sto.Backup()
		// The copy is as old as a report that has not expired.
		sit.steps(rpt, 1, 12*time.Second, 19*time.Second)
		sit.restore(cpy, 19*time.Second)
		sit.steps(rpt, 1, 19*time.Second, 30*time.Second)
		sit.restore(empty, 30*time.Second)
		sit.steps(rpt, 1, 30*time.Second, 40*time.Second)
		assertOnce(t, &sit.snk)
		sit.assertAll(1000, 1006)
	})
	t.Run("next holder", func(t *testing.T) {
		for _, empty := range []bool{false, true} {
			sit := newRestoredSite(t)
			cpy := sit.sto.Backup()
			old := sit.reporter()
			sit.steps(old, 1, 0, 12*time.Second)
			if !empty {
				cpy = sit.sto.Backup()
			}
			sit.steps(old, 1, 12*time.Second, 19*time.Second)
			sit.restore(cpy, 19*time.Second)
			next := sit.reporter()
			sit.steps(next, 2, 20*time.Second, 40*time.Second)
			assertOnce(t, &sit.snk)
			// Window 1003 ends after the restore.
			sit.assertAll(1003, 1006)
			// The record is the latest of its era again, so the one after that need
			// not leave anything out.
			sit.steps(sit.reporter(), 3, 41*time.Second, 46*time.Second)
			assertOnce(t, &sit.snk)
			sit.assertAll(1003, 1007)
		}
	})
	t.Run("record read before the restore", func(t *testing.T) {
		sit := newRestoredSite(t)
		sit.steps(sit.reporter(), 1, 0, 12*time.Second)
		cpy := sit.sto.Backup()
		sit.steps(sit.reporter(), 1, 12*time.Second, 14*time.Second)
		next := sit.reporter()
		if err := next.Load(t.Context(), 2, sit.base.Add(14*time.Second)); err != nil {
			t.Fatal(err)
		}
		sit.restore(cpy, 19*time.Second)
		sit.steps(next, 2, 19*time.Second, 30*time.Second)
		assertOnce(t, &sit.snk)
		sit.assertAll(1000, 1004)
	})
	t.Run("record written again", func(t *testing.T) {
		sit := newRestoredSite(t)
		rpt := sit.reporter()
		sit.steps(rpt, 1, 0, 12*time.Second)
		cpy := sit.sto.Backup()
		sit.steps(rpt, 1, 12*time.Second, 19*time.Second)
		sit.restore(cpy, 19*time.Second)
		sit.steps(rpt, 1, 19*time.Second, 24*time.Second)
		// The holder ends, and the next one knows only the store.
		sit.steps(sit.reporter(), 2, 24*time.Second, 40*time.Second)
		assertOnce(t, &sit.snk)
		sit.assertAll(1000, 1006)
	})
	t.Run("former holder writes its record again", func(t *testing.T) {
		sit := newRestoredSite(t)
		cpy := sit.sto.Backup()
		one := sit.reporter()
		sit.steps(one, 1, 0, 9*time.Second)
		sit.steps(sit.reporter(), 2, 9*time.Second, 14*time.Second)
		sit.restore(cpy, 14*time.Second)
		sit.steps(one, 3, 14250*time.Millisecond, 14500*time.Millisecond)
		// That record does not show what the second holder reported.
		sit.steps(sit.reporter(), 4, 14500*time.Millisecond, 30*time.Second)
		assertOnce(t, &sit.snk)
		sit.assertAll(1002, 1004)
	})
}
