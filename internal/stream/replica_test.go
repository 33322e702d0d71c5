package stream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func (wld *world) shutdown() {
	for _, ent := range wld.entries {
		ent.kill()
		ent.tab.Close()
	}
	time.Sleep(time.Minute)
}

// replicaCount counts the entries except the first that have the request.
func (wld *world) replicaCount(rid wick.RequestID) int {
	num := 0
	for _, ent := range wld.entries[1:] {
		if ent.tab.find(rid) != nil {
			num++
		}
	}
	return num
}

// TestAwaitReplica guards against a caller that has the id of a request which
// no other entry has: an entry was killed 1 ms after it had sent the id, and
// the request was lost (replay of lachance.jsonl).
func TestAwaitReplica(t *testing.T) {
	accept := func(t *testing.T, wld *world) (*Request, time.Duration) {
		t.Helper()
		req, err := wld.entries[0].tab.Accept(t.Context(), Head{Customer: "cus", Prompt: wick.Prompt{Text: "kept"}, MaxTokens: 50})
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		req.AwaitReplica(t.Context())
		return req, time.Since(started)
	}
	t.Run("replica exists", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			wld := newWorld(1, faults{}, ablation{})
			req, _ := accept(t, wld)
			if num := wld.replicaCount(req.Head.ID); num != 1 {
				t.Errorf("%d other entries have the request, want 1", num)
			}
			wld.entries[0].kill()
			time.Sleep(time.Second)
			if num := wld.replicaCount(req.Head.ID); num != 1 {
				t.Errorf("%d entries have the request of a killed entry, want 1", num)
			}
			wld.shutdown()
		})
	})
	t.Run("no replica", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			wld := newWorld(1, faults{}, ablation{replica: true})
			if _, waited := accept(t, wld); waited != maxReplicaWait {
				t.Errorf("waited %v for a missing replica, want %v", waited, maxReplicaWait)
			}
			wld.shutdown()
		})
	})
}
