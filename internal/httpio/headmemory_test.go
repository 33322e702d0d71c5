package httpio

import (
	"testing"
	"time"
)

// TestHeadMemory guards against heads that together exceed the memory for them, and against
// incomplete ones that keep it from all others.
func TestHeadMemory(t *testing.T) {
	const size, limit = 16 << 10, 2 * 16 << 10 * headCopies
	var hmm headMemory
	now, ended := time.Now(), 0
	rsvs := make([]headReservation, 3)
	for idx := range rsvs {
		rsvs[idx].end = func() { ended++ }
	}
	assertGrow := func(idx, size int, want bool) {
		t.Helper()
		if got := hmm.grow(&rsvs[idx], size, limit, now); got != want {
			t.Errorf("head %d grows to %d: %v, want %v", idx, size, got, want)
		}
	}
	assertGrow(0, size/2, true)
	assertGrow(0, size, true)
	assertGrow(1, size, true)
	assertGrow(2, freeHeadBytes, true)
	assertGrow(2, size, false)
	if ended != 0 {
		t.Errorf("%d heads were ended within the grace period", ended)
	}
	hmm.complete(&rsvs[0])
	now = now.Add(slowHeadGrace)
	assertGrow(2, size, false)
	if ended != 1 {
		t.Errorf("%d heads were ended, want the incomplete one", ended)
	}
	hmm.release(&rsvs[1])
	assertGrow(2, size, true)
	hmm.release(&rsvs[0])
	hmm.release(&rsvs[2])
	if hmm.used != 0 || len(hmm.reading) != 0 {
		t.Errorf("%d bytes in %d heads remain reserved", hmm.used, len(hmm.reading))
	}
}
