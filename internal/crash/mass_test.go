package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// massCrash returns a tracker and a time after many endpoints have ended with many prompts
// in flight, none of which has survived since.
func massCrash() (*Tracker, time.Time) {
	trk := &Tracker{}
	now := begin
	for num := range maxEndings {
		now = now.Add(crashSpacing)
		prompts := make([]Prompt, maxPrompts)
		for idx := range prompts {
			prompts[idx] = Prompt{
				Shared: Parts{wick.PartID(fmt.Sprint("popular", idx%4)), wick.PartID(fmt.Sprint("rare", (num*maxPrompts+idx)%500))},
				Own:    wick.PartID(fmt.Sprint("own", num, idx)),
			}
		}
		trk.mu.Lock()
		trk.addPrompts(Ending{Endpoint: wick.VMID(fmt.Sprint("e", num))}, prompts, maxPrompts, now, now)
		trk.mu.Unlock()
	}
	return trk, now.Add(SettleTime)
}

// evaluateAll evaluates all evidence anew.
func evaluateAll(trk *Tracker, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.blocks = nil
	trk.evaluate(now)
}

// TestMassCrash guards against an entry that does nothing else for seconds after many
// endpoints have ended: all sets of parts were compared at all crashes, a second of processor
// time for each message with news.
func TestMassCrash(t *testing.T) {
	const allowed = 5 * evaluationInterval
	trk, now := massCrash()
	start := time.Now()
	evaluateAll(trk, now)
	if took := time.Since(start); took > allowed {
		t.Errorf("one evaluation took %v, want at most %v", took, allowed)
	}
}

// BenchmarkMassCrash measures the most that the evaluation of one message may cost.
func BenchmarkMassCrash(b *testing.B) {
	trk, now := massCrash()
	for b.Loop() {
		evaluateAll(trk, now)
	}
}
