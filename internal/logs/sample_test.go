package logs

import (
	"testing"
	"time"
)

// TestSampler guards against lines of answered requests that crowd out those of
// refusals and failures, and against suppressed lines that are not counted.
func TestSampler(t *testing.T) {
	start := time.Unix(1000, 0)
	smp := NewSampler(100)
	written, counted := 0, 0
	for num := range 2000 {
		ok, suppressed := smp.Allow(start.Add(time.Duration(num) * time.Millisecond))
		if ok {
			written++
			counted += suppressed
		}
	}
	if written < 200 || written > 400 {
		t.Errorf("%d of 2000 lines in 2 s, want a burst of 200 and 100 per second", written)
	}
	ok, suppressed := smp.Allow(start.Add(time.Minute))
	if !ok || written+counted+suppressed != 2000 {
		t.Errorf("%d written and %d counted as suppressed, want 2000 in total", written, counted+suppressed)
	}
}
