package move

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestCutover guards against a version with an undetected fault that receives
// more requests before its deadline than allowed, and against a move that
// proceeds without proof.
func TestCutover(t *testing.T) {
	begin := time.Unix(1000, 0)
	mov := wick.Move{Service: "s", To: "new", Deadline: begin.Add(16 * time.Second), MaxShareBeforeProof: 0.3}
	run := func(proved, exhausted bool) Record {
		rec := New("m", mov, begin)
		for step := range 64 {
			now := begin.Add(time.Duration(step) * 250 * time.Millisecond)
			mov.WatchMillis = wick.Millis(max(mov.Deadline.Add(-time.Second).Sub(now), 0).Milliseconds())
			rec, _ = Step(rec, Input{
				Now: now, Move: mov, Ready: true, Proved: proved, StopLevel: 1000, RequestsPerSecond: 25,
				MinProofTime: 5 * time.Second, CutoverAt: begin.Add(14 * time.Second), Exhausted: exhausted && step > 20,
			})
			if exceeded := now.Before(begin.Add(14*time.Second)) && rec.Share > mov.MaxShareBeforeProof; exceeded {
				t.Errorf("share %v after %v", rec.Share, now.Sub(begin))
			}
			if rec.State == StateRamping && rec.Share > preCutoverShare {
				t.Errorf("share %v before the cutover", rec.Share)
			}
		}
		return rec
	}
	for _, tst := range []struct {
		name              string
		proved, exhausted bool
		want              State
	}{{"proved", true, false, StateDone}, {"not proved", false, false, StateUndone}, {"exhausted", false, true, StateUndone}} {
		t.Run(tst.name, func(t *testing.T) {
			if rec := run(tst.proved, tst.exhausted); rec.State != tst.want {
				t.Errorf("state %s (%s), want %s", rec.State, rec.Reason, tst.want)
			}
		})
	}
}
