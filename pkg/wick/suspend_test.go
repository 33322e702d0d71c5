package wick

import (
	"sync"
	"testing"
	"time"
)

// TestSuspended guards against a suspension that is measured although there was none: a
// lease would expire early.
func TestSuspended(t *testing.T) {
	before := Suspended()
	var grp sync.WaitGroup
	for range 16 {
		grp.Go(func() {
			for range 2000 {
				Suspended()
			}
		})
	}
	grp.Wait()
	if after := Suspended(); after != before {
		t.Errorf("suspended for %v without a suspension", after-before)
	}
	if diff := time.Until(BootClock{}.Now()); diff > before+time.Millisecond {
		t.Errorf("the clock is %v ahead", diff)
	}
}
