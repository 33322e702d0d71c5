package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// keptPause is the time between two requests of a caller that pauses, and longer than an
// endpoint in these tests keeps an idle connection if it closes those.
const keptPause = 250 * time.Millisecond

// keptBodies are the bodies of a caller's requests in order, some of them in chunks.
var keptBodies = []struct {
	size    int
	chunked bool
}{{0, false}, {5, false}, {40 << 10, false}, {40 << 10, true}, {5, true}, {0, false}}

// A connStyle is how a sound endpoint treats its connections. It answers a request whose
// head it has read, and reports whether it keeps the connection.
type connStyle func(con net.Conn, req *http.Request) bool

// keptAnswer returns an answer to a request, with further lines in its head.
func keptAnswer(req *http.Request, lines string) string {
	body := silenceEvents[0]
	return fmt.Sprintf("HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), lines, len(body), body)
}

// readAll reads the body of a request and reports whether it is complete.
func readAll(req *http.Request) bool {
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil
}

// crossingStyles are those of endpoints whose close, which they don't announce, may cross a
// request. It is then answered with a refusal or an unknown outcome.
var crossingStyles = []string{"closes unasked", "closes when idle"}

var connStyles = map[string]connStyle{
	"keeps": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, keptAnswer(req, ""))
		return true
	},
	"says close": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, keptAnswer(req, "Connection: close\r\n"))
		return false
	},
	"says close and closes late": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, keptAnswer(req, "Connection: close\r\n"))
		time.Sleep(keptPause)
		return false
	},
	"closes unasked": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, keptAnswer(req, ""))
		return false
	},
	"closes when idle": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, keptAnswer(req, ""))
		return con.SetReadDeadline(time.Now().Add(keptPause/2)) == nil
	},
	"answers early and reads on": func(con net.Conn, req *http.Request) bool {
		fmt.Fprint(con, keptAnswer(req, ""))
		time.Sleep(keptPause / 8)
		return readAll(req)
	},
	"answers early and closes": func(con net.Conn, req *http.Request) bool {
		fmt.Fprint(con, keptAnswer(req, "Connection: close\r\n"))
		time.Sleep(keptPause / 8)
		readAll(req)
		return false
	},
	"informs first": func(con net.Conn, req *http.Request) bool {
		readAll(req)
		fmt.Fprint(con, "HTTP/1.1 103 X\r\n\r\n"+keptAnswer(req, ""))
		return true
	},
}

// serve serves a connection of an endpoint.
func (sty connStyle) serve(con net.Conn) {
	defer con.Close()
	rdr := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil || !sty(con, req) {
			return
		}
	}
}

// keptRequests returns the bytes of a caller's requests.
func keptRequests(kind string) []string {
	out := make([]string, len(keptBodies))
	for num, bdy := range keptBodies {
		head := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: k\r\n", kind, keptID(kind, num))
		text := strings.Repeat("x", bdy.size)
		if bdy.chunked {
			out[num] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
		} else {
			out[num] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		}
	}
	return out
}

// keptID returns the id of a caller's request.
func keptID(kind string, num int) string { return fmt.Sprint(kind, "-", num) }

// A callerManner writes requests, each after the answer to the one before was read, which
// answered receives. It may write parts of later requests earlier.
type callerManner func(con net.Conn, requests []string, answered <-chan struct{})

// earlyBytes is how much of the next request a caller sends before it has an answer.
const earlyBytes = 30

var callerManners = map[string]callerManner{
	"in turn": func(con net.Conn, requests []string, answered <-chan struct{}) {
		for _, text := range requests {
			fmt.Fprint(con, text)
			<-answered
		}
	},
	"after pauses": func(con net.Conn, requests []string, answered <-chan struct{}) {
		for _, text := range requests {
			time.Sleep(keptPause)
			fmt.Fprint(con, text)
			<-answered
		}
	},
	"first bytes early": func(con net.Conn, requests []string, answered <-chan struct{}) {
		sent := 0
		for num, text := range requests {
			fmt.Fprint(con, text[sent:])
			if num+1 < len(requests) {
				sent = earlyBytes
				fmt.Fprint(con, requests[num+1][:sent])
			}
			<-answered
			time.Sleep(keptPause / 8)
		}
	},
	"all at once": func(con net.Conn, requests []string, answered <-chan struct{}) {
		go fmt.Fprint(con, strings.Join(requests, ""))
		for range requests {
			<-answered
		}
	},
}

// TestKeptConnection guards against requests on a kept connection of a caller that is closed
// without an answer, or after one that doesn't say so: whatever sound endpoints do with
// their own connections, and however the caller's requests follow each other.
func TestKeptConnection(t *testing.T) {
	for style, sty := range connStyles {
		for manner, mnr := range callerManners {
			t.Run(style+", "+manner, func(t *testing.T) {
				t.Parallel()
				rly := newTestRelay(t, 0, nil)
				for _, vid := range []wick.VMID{"e0", "e1"} {
					rly.addListener("s", vid, sty.serve)
				}
				rly.adoptKinds()
				var grp sync.WaitGroup
				for kind := range kindRoutes {
					grp.Go(func() { rly.assertKept(kind, mnr, slices.Contains(crossingStyles, style)) })
				}
				grp.Wait()
			})
		}
	}
}

// adoptKinds adopts a plan with a route of each kind, whose path is the kind's name.
func (rly *testRelay) adoptKinds() {
	rly.adopt(func(pln *wick.Plan) {
		pln.Routes = nil
		for kind, rpl := range kindRoutes {
			rpl.Name, rpl.Host, rpl.PathPrefix, rpl.Timeout = wick.RouteName(kind), "h", "/"+pathOf(kind)+"/", kindRouteTimeout
			rpl.Splits = []wick.Split{{Service: "s", Weight: 1}}
			pln.Routes = append(pln.Routes, rpl)
		}
	})
}

// pathOf returns the path segment of a kind of route.
func pathOf(kind string) string { return strings.ReplaceAll(kind, " ", "-") }

// assertKept sends the requests of one caller and checks that each gets its whole answer on
// the same connection. Requests may cross the close of an endpoint's connection if crosses
// is set.
func (rly *testRelay) assertKept(kind string, mnr callerManner, crosses bool) {
	con, err := net.Dial("tcp", rly.addr)
	if err != nil {
		rly.Error(err)
		return
	}
	defer con.Close()
	if err := con.SetDeadline(time.Now().Add(4 * kindRouteTimeout)); err != nil {
		rly.Error(err)
		return
	}
	requests := keptRequests(pathOf(kind))
	answered := make(chan struct{}, len(requests))
	go mnr(con, requests, answered)
	defer close(answered)
	rdr := bufio.NewReader(con)
	for num := range requests {
		res, err := http.ReadResponse(rdr, nil)
		if err != nil {
			rly.Errorf("%s: request %d is not answered: %v", kind, num, err)
			return
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		id, want := res.Header.Get("X-Id"), keptID(pathOf(kind), num)
		whole := res.StatusCode == http.StatusOK && string(body) == silenceEvents[0] && id == want
		failed := crosses && res.StatusCode >= http.StatusInternalServerError && strings.Contains(string(body), `"executed"`)
		if err != nil || !whole && !failed {
			rly.Errorf("%s: request %d: %d %q to %q, %v", kind, num, res.StatusCode, body, id, err)
		}
		if res.Close || slices.Contains(res.Header.Values("Connection"), "close") {
			rly.Errorf("%s: the connection ends with request %d", kind, num)
			return
		}
		answered <- struct{}{}
	}
}
