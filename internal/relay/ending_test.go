package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// retiredVersions reports all versions as retired from a time on.
type retiredVersions struct {
	anyVersion
	from atomic.Int64
}

func (vrs *retiredVersions) IsRetired(wick.Service, wick.ModelVersion) bool {
	from := vrs.from.Load()
	return from != 0 && time.Now().UnixNano() >= from
}

// retire reports the versions as retired after a while.
func (vrs *retiredVersions) retire(after time.Duration) {
	vrs.from.Store(time.Now().Add(after).UnixNano())
}

// endingPaths are a path of each kind of route, with the status that the caller gets if the
// endpoint of its only attempt stops: a stream has begun by then.
var endingPaths = map[string]int{
	"/look/1": http.StatusBadGateway, "/book/1": http.StatusBadGateway, "/gen/1": http.StatusOK, "/say/1": http.StatusOK,
}

// assertNotComplete sends a request and checks that its answer doesn't look complete.
func (rly *testRelay) assertNotComplete(path string, hdr ...string) {
	rly.Helper()
	status, body, err := rly.post(path, hdr...)
	if status != endingPaths[path] || status == http.StatusOK && err == nil {
		rly.Errorf("status %d, body %q, error %v: want %d, and no complete stream", status, body, err, endingPaths[path])
	}
}

// TestRetiredVersionIsNotComplete guards against answers that look complete although a
// completed rollout stopped their endpoints, which still accept connections: recorded before
// the end of the answer, and known some milliseconds after it.
func TestRetiredVersionIsNotComplete(t *testing.T) {
	for path := range endingPaths {
		for _, known := range []time.Duration{-time.Millisecond, endSettleTime / 2} {
			for _, model := range []string{"", "m"} {
				t.Run(fmt.Sprint(path[1:5], known, model), func(t *testing.T) {
					t.Parallel()
					var vrs retiredVersions
					rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
						fmt.Fprint(con, signedHead+"\r\n"+eventOne)
						vrs.retire(known)
					})
					rly.srv.cfg.Versions = &vrs
					rly.assertNotComplete(path, "X-Model", model)
				})
			}
		}
	}
}

// A stoppingEndpoint is an endpoint that stops while it answers.
type stoppingEndpoint struct {
	lis net.Listener
	// delay is the time from the end of the answer until new connections are refused.
	delay time.Duration
	// sent is called when the answer has been sent.
	sent func()
}

// serve sends one event and stops.
func (end *stoppingEndpoint) serve(con net.Conn) {
	defer con.Close()
	if _, err := con.Read(make([]byte, 4096)); err != nil {
		return
	}
	fmt.Fprint(con, signedHead+"\r\n"+eventOne)
	end.sent()
	if end.delay == 0 {
		end.lis.Close()
		return
	}
	time.AfterFunc(end.delay, func() { end.lis.Close() })
}

// addStopping adds an endpoint that stops while it answers.
func (rly *testRelay) addStopping(vid wick.VMID, delay time.Duration, sent func()) {
	rly.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rly.Fatal(err)
	}
	end := &stoppingEndpoint{lis: lis, delay: delay, sent: sent}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go end.serve(con)
		}
	}()
	rly.pool.Set(wick.Backend{ID: vid, Service: "s", Zone: "a", Address: lis.Addr().String(), Slots: 4}, time.Now())
}

// stopReasons are what the entry may have read of an endpoint when it stops.
var stopReasons = map[string]func(rly *testRelay){
	"nothing is known": func(*testRelay) {},
	"it leaves":        func(rly *testRelay) { rly.pool.MarkLeaving("e0", 0, time.Now()) },
	"it is removed":    func(rly *testRelay) { rly.pool.Remove("e0") },
	"it is not listed": func(rly *testRelay) { rly.pool.Unlist("e0", true, time.Now()) },
}

// TestEndedEndpointIsNotComplete guards against answers that look complete although the stop of
// their endpoint cut them off: on an order that was completed, rolled back or replaced, for
// fewer endpoints, or with its VM. The entry need not know, as when it is cut off from the store.
func TestEndedEndpointIsNotComplete(t *testing.T) {
	for path := range endingPaths {
		for reason, know := range stopReasons {
			for _, delay := range []time.Duration{0, endSettleTime / 2} {
				for _, model := range []string{"", "m"} {
					t.Run(fmt.Sprint(path[1:5], reason, delay, model), func(t *testing.T) {
						t.Parallel()
						rly := newTestRelay(t, 0, nil)
						rly.addStopping("e0", delay, func() { know(rly) })
						rly.assertNotComplete(path, "X-Model", model)
					})
				}
			}
		}
	}
}

// TestEndedEndpointRepeated guards against requests that may be repeated, or streams that may
// be resumed, and are not once the end of their endpoint has made their answer uncertain.
func TestEndedEndpointRepeated(t *testing.T) {
	for path, want := range map[string]string{"/look/1": "other", "/gen/1": eventOne + eventTwo} {
		t.Run(path[1:5], func(t *testing.T) {
			rly := newTestRelay(t, 0, nil)
			rly.addStopping("e0", 0, func() {})
			second := func(req *http.Request, con net.Conn, _ int) {
				if strings.HasPrefix(path, "/look/") {
					reply(con, req, http.StatusOK, want)
					return
				}
				fmt.Fprint(con, signedHead+"\r\n"+eventTwo)
			}
			// The second endpoint comes once the first has the request.
			time.AfterFunc(endSettleTime/2, func() { rly.addEndpoint("e1", second) })
			status, body, err := rly.post(path, "X-Model", "m")
			if err != nil || body != want {
				t.Errorf("body %q, error %v", body, err)
			}
			rly.assert(status, http.StatusOK, body, want, 1)
		})
	}
}

// TestSilentEndIsComplete guards against whole answers that are taken for cut off because
// their endpoint, which still accepts connections, answers no probe after them.
func TestSilentEndIsComplete(t *testing.T) {
	for path := range endingPaths {
		t.Run(path[1:5], func(t *testing.T) {
			rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) { fmt.Fprint(con, signedHead+"\r\n"+eventOne) })
			rly.srv.cfg.Prober = &silentProber{}
			status, body, err := rly.post(path, "X-Model", "m")
			if err != nil {
				t.Error(err)
			}
			rly.assert(status, http.StatusOK, body, eventOne, 1)
		})
	}
}
