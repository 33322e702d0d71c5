package relay

import (
	"sync"
	"testing"
)

// TestByteBudget guards against a reply that fails for want of memory although there is
// enough: a larger one that fails at the same time took it for a moment.
func TestByteBudget(t *testing.T) {
	const limit, large = 100, 90
	bud := byteBudget{limit: limit}
	if !bud.take(limit - large) {
		t.Fatal("the empty budget is exhausted")
	}
	stop := make(chan struct{})
	var failing sync.WaitGroup
	for range 4 {
		failing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if bud.take(large + 1) {
						t.Error("more than the limit was taken")
					}
				}
			}
		})
	}
	for range 200_000 {
		if !bud.take(large / 2) {
			t.Error("no memory although half of it is free")
			break
		}
		bud.used.Add(-large / 2)
	}
	close(stop)
	failing.Wait()
}
