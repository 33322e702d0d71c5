package relay

import (
	"math"
	"net"
	"net/http"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/cost"
)

// TestLearnsWork guards against estimates from answers of unknown full length: streams
// that are cut, whose caller has the beginning already, or events that only keep the connection
// open; and against plain answers that are not learned.
func TestLearnsWork(t *testing.T) {
	const (
		requests = 12
		whole    = "id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	)
	predict := func(t *testing.T, run script, path string, crq cost.Request, hdr ...string) cost.Estimate {
		t.Helper()
		rly := newTestRelay(t, 1, run)
		for range requests {
			_, _, _ = rly.post(path, hdr...)
		}
		return rly.srv.cfg.Costs.Predict(crq)
	}
	reply200 := func(req *http.Request, con net.Conn, _ int) { reply(con, req, http.StatusOK, whole) }
	stream := cost.Request{Service: "s", Route: "say", Customer: "c", Part: "p", Model: true}
	if est := predict(t, reply200, "/say/1", stream, "X-Model", "1"); est.Samples < requests-2 || math.Round(est.Output) != 3 {
		t.Errorf("%+v from streams of 3 events", est)
	}
	if est := predict(t, reply200, "/say/1", stream, "X-Model", "1", "X-Last", "1"); est.Samples != 0 {
		t.Errorf("%+v from streams whose beginning the caller had", est)
	}
	cut := func(req *http.Request, con net.Conn, _ int) {
		_, _ = con.Write([]byte("HTTP/1.1 200 X\r\nX-Id: " + req.Header.Get("X-Id") + "\r\nX-Seal: s\r\nContent-Length: 900\r\n\r\n" + whole))
	}
	if est := predict(t, cut, "/say/1", stream, "X-Model", "1"); est.Samples != 0 {
		t.Errorf("%+v from streams that were cut", est)
	}
	plain := cost.Request{Service: "s", Route: "look", Customer: "c"}
	if est := predict(t, reply200, "/look/1", plain); est.Samples < requests-2 || est.Output <= 0 {
		t.Errorf("%+v from plain answers", est)
	}
}
