package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	rly.spreadZones(3)
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

// spreadZones puts each endpoint into a zone of its own, named z and its number.
func (rly *testRelay) spreadZones(endpoints int) {
	for num := range endpoints {
		vid := wick.VMID(fmt.Sprint("e", num))
		rly.pool.Set(wick.Backend{ID: vid, Service: "s", Zone: wick.Zone(fmt.Sprint("z", num)), Address: rly.addrs[vid], Slots: 4, Reclaimable: true}, time.Now())
	}
}

// TestRegionsOfAttempts guards against retries and moved runs that leave the allowed
// regions of the route or the customer, and against requests that wait or run somewhere
// although no endpoint there is left.
func TestRegionsOfAttempts(t *testing.T) {
	const endpoints = 4
	for name, tst := range map[string]struct {
		path            string
		route, customer []wick.Region
		status          int
		want            []wick.VMID
	}{
		"retry":     {"/look/1", []wick.Region{"north"}, nil, http.StatusOK, []wick.VMID{"e0", "e1"}},
		"moved run": {"/say/1", nil, []wick.Region{"north"}, http.StatusOK, []wick.VMID{"e0", "e1"}},
		"none left": {"/look/1", []wick.Region{"north"}, []wick.Region{"south"}, http.StatusServiceUnavailable, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var rly *testRelay
			rly = newTestRelay(t, endpoints, func(req *http.Request, con net.Conn, num int) {
				switch {
				case num == 0 && req.URL.Path == "/say/1":
					<-rly.leaveAfterFirstEvent(con)
				case num == 0:
				case req.URL.Path == "/say/1":
					beginStream(con, "id: 2\ndata: b\n\n")
					endStream(con)
				default:
					reply(con, req, http.StatusOK, "done")
				}
			})
			rly.spreadZones(endpoints)
			rly.pool.SetRegions(map[wick.Zone]wick.Region{"z0": "north", "z1": "north", "z2": "south", "z3": "south"})
			pln := &rly.srv.cfg.Plans.Load().Plan
			pln.Customers[0].Regions = tst.customer
			for idx := range pln.Routes {
				pln.Routes[idx].Regions = tst.route
			}
			rly.mover.moved = true
			status, _, _ := rly.post(tst.path, "X-Model", "m")
			rly.mu.Lock()
			defer rly.mu.Unlock()
			slices.Sort(rly.order)
			if status != tst.status || !slices.Equal(rly.order, tst.want) {
				t.Errorf("status %d from endpoints %v, want %d from %v", status, rly.order, tst.status, tst.want)
			}
		})
	}
}
