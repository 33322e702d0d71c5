package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// adopt replaces the plan by a changed copy of it.
func (rly *testRelay) adopt(change func(pln *wick.Plan)) {
	pln := rly.srv.cfg.Plans.Load().Plan
	pln.Version++
	pln.Routes, pln.Customers = slices.Clone(pln.Routes), slices.Clone(pln.Customers)
	change(&pln)
	rly.srv.cfg.Plans.Adopt(pln)
}

// A planChange is a change of the configuration.
type planChange struct {
	change func(pln *wick.Plan)
	// unread is the status of a request whose body has not been read yet.
	unread int
}

// changedRoute returns the change of all routes.
func changedRoute(change func(rpl *wick.RoutePlan)) func(pln *wick.Plan) {
	return func(pln *wick.Plan) {
		for idx := range pln.Routes {
			change(&pln.Routes[idx])
		}
	}
}

// changedAnswerDelay is how long an endpoint answers after a change. It exceeds the shorter
// timeout.
const changedAnswerDelay = 100 * time.Millisecond

var planChanges = map[string]planChange{
	"route gone":     {func(pln *wick.Plan) { pln.Routes = nil }, 404},
	"route renamed":  {changedRoute(func(rpl *wick.RoutePlan) { rpl.Name += "-2" }), 200},
	"host changed":   {changedRoute(func(rpl *wick.RoutePlan) { rpl.Host = "i" }), 404},
	"prefix changed": {changedRoute(func(rpl *wick.RoutePlan) { rpl.PathPrefix = "/new" + rpl.PathPrefix }), 404},
	"moved to another service": {changedRoute(func(rpl *wick.RoutePlan) {
		rpl.Splits = []wick.Split{{Service: "t", Weight: 1}}
	}), 200},
	"split changed": {changedRoute(func(rpl *wick.RoutePlan) {
		rpl.Splits = []wick.Split{{Service: "s", Weight: 1}, {Service: "t", Weight: 1000}}
	}), 200},
	"shorter timeout":    {changedRoute(func(rpl *wick.RoutePlan) { rpl.Timeout = changedAnswerDelay / 2 }), 0},
	"may not be retried": {changedRoute(func(rpl *wick.RoutePlan) { rpl.Kind, rpl.MaxAttempts, rpl.Resumable = wick.RouteOnce, 1, false }), 200},
	"key gone":           {func(pln *wick.Plan) { pln.Customers[0].Keys = []wick.CallerKey{"l"} }, 401},
	"customer renamed":   {func(pln *wick.Plan) { pln.Customers[0].Name = "d" }, 200},
	"body limit lowered": {func(pln *wick.Plan) { pln.MaxBodyBytes = 1 }, 200},
}

// A changeState is the state of a request at the moment of the change.
type changeState struct {
	// kinds are the names of the kinds of routes on which it occurs, nil for all.
	kinds []string
	// caller is the part of the caller, which sends the rest of its request.
	caller func(rly *testRelay, con net.Conn, change func())
	// endpoint is that of the endpoint which gets the request first.
	endpoint func(rly *testRelay, con net.Conn, change func())
	// endpoints is the number of endpoints.
	endpoints int
}

// The two parts of a request's body. The server reads the first 8 KiB of a body before the
// relay gets the request.
var requestFirst, requestRest = strings.Repeat("o", 32<<10), "der"

// sendRest is the part of a caller that is not involved.
func sendRest(_ *testRelay, con net.Conn, _ func()) { fmt.Fprint(con, requestRest) }

// answerAll is the part of an endpoint that is not involved.
func answerAll(_ *testRelay, con net.Conn, _ func()) { answerFrom(con, 0) }

// answerFrom writes an answer with the events after the one with the given number.
func answerFrom(con net.Conn, num int) {
	fmt.Fprint(con, strings.Join(splitAnswers["chunked"](silenceEvents[num:]), ""))
}

var changeStates = map[string]changeState{
	"body being read": {nil, func(_ *testRelay, con net.Conn, change func()) {
		// The relay has begun to read the body by then.
		time.Sleep(50 * time.Millisecond)
		change()
		fmt.Fprint(con, requestRest)
	}, answerAll, 2},
	"waits for its turn": {nil, func(rly *testRelay, con net.Conn, change func()) {
		// The wait of 0.8 s is the longest that the relay accepts, with some margin.
		setTestLimit(rly.T, rly.pool, 1.25)
		fmt.Fprint(con, requestRest)
		time.Sleep(50 * time.Millisecond)
		change()
		rly.mu.Lock()
		defer rly.mu.Unlock()
		if len(rly.order) > 0 {
			rly.Error("the request did not wait for its turn")
		}
	}, answerAll, 1},
	"sent": {nil, sendRest, func(_ *testRelay, con net.Conn, change func()) {
		change()
		time.Sleep(changedAnswerDelay)
		answerFrom(con, 0)
	}, 2},
	"answer begun": {nil, sendRest, func(_ *testRelay, con net.Conn, change func()) {
		beginStream(con, silenceEvents[0])
		time.Sleep(changedAnswerDelay)
		change()
		time.Sleep(changedAnswerDelay)
		writeEvents(con, silenceEvents[1:]...)
		endStream(con)
	}, 2},
	"refused by the first endpoint": {nil, sendRest, func(_ *testRelay, con net.Conn, change func()) {
		change()
		fmt.Fprint(con, "HTTP/1.1 503 X\r\nX-Id: r1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
	}, 2},
	"lost by the first endpoint": {[]string{"idempotent", resumableRoute}, sendRest, func(_ *testRelay, con net.Conn, change func()) {
		change()
		reset(con)
	}, 2},
	"stream broken off": {[]string{resumableRoute}, sendRest, func(_ *testRelay, con net.Conn, change func()) {
		beginStream(con, silenceEvents[0])
		change()
		reset(con)
	}, 2},
	"being moved": {[]string{"stream", resumableRoute}, sendRest, func(rly *testRelay, con net.Conn, change func()) {
		beginStream(con, silenceEvents[0])
		stopped := rly.leave()
		change()
		select {
		case <-stopped:
		case <-time.After(kindRouteTimeout):
			rly.Error("the run is not moved")
		}
	}, 2},
}

// TestPlanChange guards against requests that are cut, refused, sent to another service or
// ended too early because the configuration changes while they are read, wait, run or are
// between two endpoints.
func TestPlanChange(t *testing.T) {
	for name, chg := range planChanges {
		for state, sta := range changeStates {
			for kind := range kindRoutes {
				if sta.kinds == nil || slices.Contains(sta.kinds, kind) {
					t.Run(strings.Join([]string{name, state, kind}, ", "), func(t *testing.T) {
						t.Parallel()
						unread := state == "body being read"
						assertPlanChange(t, chg, sta, kind, unread)
					})
				}
			}
		}
	}
}

// assertPlanChange checks that the answer to a request is whole and comes from the service
// that the plan had for it, or from the new one if the request was not read before.
func assertPlanChange(t *testing.T, chg planChange, sta changeState, kind string, unread bool) {
	t.Helper()
	var rly *testRelay
	changed := make(chan struct{})
	change := func() {
		rly.adopt(chg.change)
		close(changed)
	}
	rly = newTestRelay(t, sta.endpoints, func(req *http.Request, con net.Conn, num int) {
		from := 0
		if req.Header.Get("X-Last") != "" {
			from = 1
		}
		if num > 0 {
			answerFrom(con, from)
			return
		}
		sta.endpoint(rly, con, change)
	})
	rly.mover.moved = true
	rly.addEndpointOf("t", "other", func(_ *http.Request, con net.Conn, _ int) { beginStream(con, "other\n\n"); endStream(con) })
	rly.adopt(func(pln *wick.Plan) {
		rpl := kindRoutes[kind]
		rpl.Name, rpl.Host, rpl.PathPrefix, rpl.Timeout = "r", "h", "/r/", kindRouteTimeout
		rpl.Splits = []wick.Split{{Service: "s", Weight: 1}}
		pln.Routes = []wick.RoutePlan{rpl}
	})
	status, body := rly.postInParts(sta, change)
	<-changed
	switch want := strings.Join(silenceEvents, ""); {
	case !unread && (status != http.StatusOK || body != want):
		t.Errorf("%d %q, want the whole answer", status, body)
	case unread && chg.unread != 0 && status != chg.unread:
		t.Errorf("%d %q, want %d", status, body, chg.unread)
	}
}

// postInParts sends a request whose caller may wait before the rest of its body.
func (rly *testRelay) postInParts(sta changeState, change func()) (status int, body string) {
	rly.Helper()
	con, err := net.Dial("tcp", rly.addr)
	if err != nil {
		rly.Fatal(err)
	}
	defer con.Close()
	if err := con.SetDeadline(time.Now().Add(2 * kindRouteTimeout)); err != nil {
		rly.Fatal(err)
	}
	fmt.Fprintf(con, "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\nX-Model: m\r\nContent-Length: %d\r\n\r\n%s", len(requestFirst+requestRest), requestFirst)
	sta.caller(rly, con, change)
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		rly.Fatalf("no answer: %v", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		rly.Errorf("the answer ends after %q: %v", data, err)
	}
	return res.StatusCode, string(data)
}
