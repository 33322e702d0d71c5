package logs

import (
	"testing"
	"time"
)

// TestSampler guards against answered requests that crowd out the lines of
// refusals and failures, and against lines that are left out without a count.
func TestSampler(t *testing.T) {
	start := time.Unix(1000, 0)
	smp := NewSampler(100)
	written, counted := 0, 0
	for num := range 2000 {
		ok, leftOut := smp.Allow(start.Add(time.Duration(num) * time.Millisecond))
		if ok {
			written++
			counted += leftOut
		}
	}
	if written < 200 || written > 400 {
		t.Errorf("%d of 2000 lines in 2 s, want 200 at once and 100 a second", written)
	}
	ok, leftOut := smp.Allow(start.Add(time.Minute))
	if !ok || written+counted+leftOut != 2000 {
		t.Errorf("%d written and %d counted as left out, want 2000 in all", written, counted+leftOut)
	}
}
