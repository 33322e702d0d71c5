package relay

import (
	"fmt"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func newExplainedRelay(t *testing.T) *testRelay {
	t.Helper()
	rly := newTestRelay(t, 4, func(req *http.Request, con net.Conn, _ int) {
		// The endpoint closes the connection: a reuse would be a second attempt elsewhere.
		fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", req.Header.Get("X-Id"))
	})
	rly.adopt(func(pln *wick.Plan) { pln.Customers[0].Rank, pln.Customers[0].HasRank = 2, true })
	return rly
}

// TestExplain guards against an answer for another route, customer or rank than those of the
// request, or with another endpoint than the one that the next request reaches.
func TestExplain(t *testing.T) {
	rly := newExplainedRelay(t)
	ask := Ask{Host: "h", Path: "/look/1", Key: "k"}
	t.Run("next request", func(t *testing.T) {
		rly.pool.MarkLeaving("e0", 0, time.Now())
		for num := range 6 {
			exp := rly.srv.Explain(ask, time.Now())
			if exp.Route != "look" || exp.Customer != "c" || exp.Rank != 2 || len(exp.Placements) != 1 {
				t.Fatalf("%+v", exp)
			}
			if status, body, err := rly.post(ask.Path, "X-Id", fmt.Sprint("r", num)); status != http.StatusOK {
				t.Fatal(status, body, err)
			}
			if got, want := rly.order[num], exp.Placements[0].Choice; got != want || got == "e0" {
				t.Errorf("the request reached %s, explained as %q", got, want)
			}
		}
	})
	t.Run("customer by name", func(t *testing.T) {
		now := time.Now()
		named := Ask{Host: ask.Host, Path: ask.Path, Customer: "c"}
		if got, want := rly.srv.Explain(named, now), rly.srv.Explain(ask, now); !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, by key %+v", got, want)
		}
	})
	t.Run("refused by the choice", func(t *testing.T) {
		all := ask
		all.Tried = []wick.VMID{"e1", "e2", "e3"}
		if plc := rly.srv.Explain(all, time.Now()).Placements[0]; plc.Refusal != logs.ReasonNoEndpoint || plc.RetryAfterMillis == 0 {
			t.Errorf("%+v, want a refusal for %s", plc, logs.ReasonNoEndpoint)
		}
	})
	for reason, ask := range map[string]Ask{
		logs.ReasonNoRoute: {Host: "h", Path: "/none/", Key: "k"}, logs.ReasonNoCustomer: {Host: "h", Path: "/look/", Key: "unknown"},
		logs.ReasonDraining: ask,
	} {
		t.Run(reason, func(t *testing.T) {
			rly.srv.draining.Store(reason == logs.ReasonDraining)
			if exp := rly.srv.Explain(ask, time.Now()); exp.Refusal != reason {
				t.Errorf("refusal %q, want %s", exp.Refusal, reason)
			}
		})
	}
}
