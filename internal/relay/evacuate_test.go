package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An evacuatingMover evacuates the zone of the first target while a run is copied there.
type evacuatingMover struct {
	*testMover
	rly *testRelay
	// evacuated is that zone, moved the targets' zones of runs that were stopped.
	evacuated wick.Zone
	moved     []wick.Zone
}

func (mvr *evacuatingMover) Reserve(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, error) {
	mvr.mu.Lock()
	if mvr.evacuated == "" {
		mvr.evacuated = to.Zone
		mvr.rly.pool.SetEvacuated([]wick.Zone{to.Zone})
	}
	mvr.mu.Unlock()
	return mvr.testMover.Reserve(ctx, from, to, rid)
}

func (mvr *evacuatingMover) Move(ctx context.Context, from, to wick.Backend, rid wick.RequestID) (wick.RunSnapshot, bool, error) {
	mvr.mu.Lock()
	mvr.moved = append(mvr.moved, to.Zone)
	mvr.mu.Unlock()
	return mvr.testMover.Move(ctx, from, to, rid)
}

// TestTargetEvacuated guards against a run that is stopped and copied to an endpoint whose
// zone was evacuated during the first copy, and which then loses its memory.
func TestTargetEvacuated(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 3, func(_ *http.Request, con net.Conn, num int) {
		if num > 0 {
			beginStream(con, "id: 2\ndata: b\n\n")
			endStream(con)
			return
		}
		<-rly.leaveAfterFirstEvent(con)
	})
	for num := range 3 {
		vid := wick.VMID(fmt.Sprint("e", num))
		rly.pool.Set(wick.Backend{ID: vid, Service: "s", Zone: wick.Zone(fmt.Sprint("z", num)), Address: rly.addrs[vid], Slots: 4, Reclaimable: true}, time.Now())
	}
	rly.mover.moved = true
	mvr := &evacuatingMover{testMover: &rly.mover, rly: rly}
	rly.srv.cfg.Mover = mvr
	status, body, err := rly.post("/say/1", "X-Model", "m")
	if err != nil {
		t.Error(err)
	}
	rly.assert(status, http.StatusOK, body, "id: 2", 2)
	mvr.mu.Lock()
	defer mvr.mu.Unlock()
	if len(mvr.moved) != 1 || mvr.moved[0] == mvr.evacuated {
		t.Errorf("runs moved to zones %v while %s is evacuated", mvr.moved, mvr.evacuated)
	}
}
