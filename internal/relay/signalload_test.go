package relay

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A signalLog records when an endpoint wanted no requests, and what arrived there.
type signalLog struct {
	mu       sync.Mutex
	arrivals []time.Time
	// unwanted are the intervals in which the endpoint wanted none.
	unwanted []struct{ from, to time.Time }
}

// arrived records a request and returns its number, from 1 on.
func (slg *signalLog) arrived() int {
	slg.mu.Lock()
	defer slg.mu.Unlock()
	slg.arrivals = append(slg.arrivals, time.Now())
	return len(slg.arrivals)
}

func (slg *signalLog) wantNone(length time.Duration) {
	slg.mu.Lock()
	defer slg.mu.Unlock()
	now := time.Now()
	slg.unwanted = append(slg.unwanted, struct{ from, to time.Time }{now, now.Add(length)})
}

// assertKept asserts that nothing arrived in any interval from slack after its start on.
func (slg *signalLog) assertKept(t *testing.T, vid wick.VMID, slack time.Duration) {
	t.Helper()
	slg.mu.Lock()
	defer slg.mu.Unlock()
	for _, spn := range slg.unwanted {
		for _, at := range slg.arrivals {
			if at.After(spn.from.Add(slack)) && at.Before(spn.to) {
				t.Errorf("a request reached %s %v after it wanted none, for %v", vid, at.Sub(spn.from), spn.to.Sub(spn.from))
				return
			}
		}
	}
}

// TestSignalsUnderLoad guards against requests that race with the answers by which endpoints
// leave or pause: retries, last resorts, and the first requests after a pause.
func TestSignalsUnderLoad(t *testing.T) {
	const (
		callers, duration = 16, 2 * time.Second
		// slack is less than the half second that is agreed.
		slack = 300 * time.Millisecond
		// pauseEvery and leaveAt are numbers of requests at one endpoint.
		pauseEvery, leaveAt = 10, 45
		// closeLine keeps the entry from using a connection that the harness closes.
		closeLine = "Connection: close\r\n"
	)
	logs := map[wick.VMID]*signalLog{"p0": {}, "p1": {}, "p2": {}, "p3": {}}
	rly := newTestRelay(t, 0, nil)
	for vid, slg := range logs {
		rly.addEndpoint(vid, func(req *http.Request, con net.Conn, _ int) {
			num := slg.arrived()
			time.Sleep(5 * time.Millisecond)
			switch {
			case num%pauseEvery == 0:
				slg.wantNone(pauseLength)
				replyWith(con, req, 503, pauseLines+closeLine, "")
			case num >= leaveAt && (vid == "p0" || vid == "p1"):
				slg.wantNone(time.Hour)
				replyWith(con, req, 200, sealLine+leavingLine+closeLine, "ok")
			default:
				replyWith(con, req, 200, sealLine+closeLine, "ok")
			}
		})
	}
	var grp sync.WaitGroup
	for num := range callers {
		path := []string{"/look/1", "/book/1"}[num%2]
		grp.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				switch status, _, _ := rly.post(path); status {
				case http.StatusOK:
				case http.StatusServiceUnavailable:
					time.Sleep(20 * time.Millisecond)
				default:
					t.Errorf("status %d", status)
				}
			}
		})
	}
	grp.Wait()
	for vid, slg := range logs {
		slg.assertKept(t, vid, slack)
		if len(slg.unwanted) == 0 {
			t.Errorf("%s never wanted none: %d requests", vid, len(slg.arrivals))
		}
	}
}
