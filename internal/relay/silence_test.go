package relay

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// kindRouteTimeout is the timeout of these routes. It leaves
// more than a second to the longest silence.
const kindRouteTimeout = 4 * time.Second

// Names of table entries that tests refer to.
const (
	resumableRoute = "resumable stream"
	undelimited    = "end of the connection"
	beforeEnd      = "before the end"
)

// kindRoutes has a route of each kind.
var kindRoutes = map[string]wick.RoutePlan{
	"once":         {Kind: wick.RouteOnce, MaxAttempts: 1},
	"idempotent":   {Kind: wick.RouteIdempotent, MaxAttempts: 2},
	"stream":       {Kind: wick.RouteStream, MaxAttempts: 1},
	resumableRoute: {Kind: wick.RouteStream, MaxAttempts: 2, Resumable: true},
}

// silenceEvents are the events of an answer, which is a body like any other on the routes
// that don't stream.
var silenceEvents = []string{"id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"}

// A splitAnswer returns the parts of an answer with the given events: its head, one part for
// each event, and its end.
type splitAnswer func(events []string) []string

var splitAnswers = map[string]splitAnswer{
	"length": func(events []string) []string {
		length := len(strings.Join(events, ""))
		parts := append([]string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", signedHead, length)}, events...)
		last := len(parts) - 1
		end := len(parts[last]) - 1
		if last == 0 {
			return append(parts, "")
		}
		// Without its last byte the body is incomplete, so that this byte is the end.
		return append(parts[:last], parts[last][:end], parts[last][end:])
	},
	"chunked": func(events []string) []string {
		parts := []string{signedHead + "Transfer-Encoding: chunked\r\n\r\n"}
		for _, evt := range events {
			parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(evt), evt))
		}
		return append(parts, "0\r\n\r\n")
	},
	undelimited: func(events []string) []string {
		return append(append([]string{signedHead + "\r\n"}, events...), "")
	},
}

// A silencePoint is the place in an answer before which its endpoint falls silent: a part
// of the answer, and whether half of it has been sent.
type silencePoint struct {
	part int
	half bool
}

var silencePoints = map[string]silencePoint{
	"before the head":        {0, false},
	"inside the head":        {0, true},
	"after the head":         {1, false},
	"inside the first event": {1, true},
	"between events":         {2, false},
	"inside an event":        {2, true},
	"before the last event":  {3, false},
	beforeEnd:                {4, false},
}

// A silenceCase is one request whose endpoint falls silent. It has a route and endpoints of
// its own.
type silenceCase struct {
	name  string
	route wick.RoutePlan
	split splitAnswer
	point silencePoint
	// length is how long the endpoint that gets the request first is silent.
	length time.Duration
	// everywhere is set if all endpoints are silent until the same moment.
	everywhere bool

	mu sync.Mutex
	// until is the end of the silence, zero before its begin.
	until time.Time
}

// serve is the script of the endpoints.
func (cas *silenceCase) serve(req *http.Request, con net.Conn, _ int) {
	from, _ := strconv.Atoi(req.Header.Get("X-Last"))
	parts := cas.split(silenceEvents[from:])
	text := strings.Join(parts, "")
	cas.mu.Lock()
	first := cas.until.IsZero()
	if first {
		cas.until = time.Now().Add(cas.length)
	}
	until := cas.until
	cas.mu.Unlock()
	cut := 0
	if first {
		cut = len(strings.Join(parts[:cas.point.part], ""))
		if cas.point.half {
			cut += len(parts[cas.point.part]) / 2
		}
		fmt.Fprint(con, text[:cut])
	}
	if first || cas.everywhere {
		time.Sleep(time.Until(until))
	}
	fmt.Fprint(con, text[cut:])
}

// assertWhole sends the request of the case and checks that its answer is whole.
func (cas *silenceCase) assertWhole(rly *testRelay) {
	began := time.Now()
	status, body, err := rly.post(cas.route.PathPrefix+"1", "X-Model", "m")
	if want := strings.Join(silenceEvents, ""); err != nil || status != http.StatusOK || body != want {
		rly.Errorf("%s: %d %q, %v after %v", cas.name, status, body, err, time.Since(began))
	}
}

// assertSilences sends the requests of all cases at once and checks that their answers are
// whole. The endpoints don't answer probes.
func assertSilences(t *testing.T, endpoints int, cases []*silenceCase) {
	t.Helper()
	rly := newTestRelay(t, 0, nil)
	pln := rly.srv.cfg.Plans.Load().Plan
	pln.Version, pln.Routes = pln.Version+1, nil
	for num, cas := range cases {
		svc := wick.Service(fmt.Sprint("s", num))
		for idx := range endpoints {
			rly.addEndpointOf(svc, wick.VMID(fmt.Sprint(svc, "-", idx)), cas.serve)
		}
		cas.route.Name, cas.route.Host, cas.route.PathPrefix = wick.RouteName(svc), "h", fmt.Sprint("/", svc, "/")
		cas.route.Timeout, cas.route.Splits = kindRouteTimeout, []wick.Split{{Service: svc, Weight: 1}}
		pln.Routes = append(pln.Routes, cas.route)
	}
	rly.srv.cfg.Plans.Adopt(pln)
	rly.srv.cfg.Prober = &silentProber{}
	rly.srv.cfg.Budget = &retry.Budget{Capacity: float64(len(cases))}
	var grp sync.WaitGroup
	for _, cas := range cases {
		grp.Go(func() { cas.assertWhole(rly) })
	}
	grp.Wait()
}

// A silence is how long which endpoints are silent.
type silence struct {
	length     time.Duration
	endpoints  int
	everywhere bool
}

// silences are the silences of sound endpoints.
func silences() map[string]silence {
	out := make(map[string]silence)
	for _, length := range []time.Duration{500 * time.Millisecond, 1250 * time.Millisecond, 2500 * time.Millisecond} {
		out[fmt.Sprint(length, ", one endpoint")] = silence{length, 1, false}
		out[fmt.Sprint(length, ", one of two endpoints")] = silence{length, 2, false}
		out[fmt.Sprint(length, ", two endpoints")] = silence{length, 2, true}
	}
	return out
}

// TestSilenceEndsNoAnswer guards against answers that are ended, refused or cut because
// their sound endpoint, or each endpoint at once, is silent for a while at any point of the
// answer, on any kind of route and in any framing.
func TestSilenceEndsNoAnswer(t *testing.T) {
	for name, sil := range silences() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cases []*silenceCase
			for route, rpl := range kindRoutes {
				for frame, spl := range splitAnswers {
					for place, pnt := range silencePoints {
						if route == resumableRoute && frame == undelimited && place == beforeEnd {
							continue // TestSilenceBeforeUndelimitedEnd
						}
						cases = append(cases, &silenceCase{
							name: strings.Join([]string{route, frame, place}, ", "), route: rpl, split: spl, point: pnt,
							length: sil.length, everywhere: sil.everywhere,
						})
					}
				}
			}
			assertSilences(t, sil.endpoints, cases)
		})
	}
}

// TestSilenceBeforeUndelimitedEnd guards against a resumable stream that is cut behind its
// last event because its endpoint is silent before it closes the connection, which is the
// end of the stream: another endpoint has nothing left to send.
func TestSilenceBeforeUndelimitedEnd(t *testing.T) {
	for name, sil := range silences() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertSilences(t, sil.endpoints, []*silenceCase{{
				name: resumableRoute, route: kindRoutes[resumableRoute], split: splitAnswers[undelimited], point: silencePoints[beforeEnd],
				length: sil.length, everywhere: sil.everywhere,
			}})
		})
	}
}
