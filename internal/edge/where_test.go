package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// ask returns the response of an edge's WherePath to a request.
func (sit *site) ask(num int, body string) (int, []byte) {
	sit.Helper()
	res, err := http.Post("http://"+sit.edges[num].cfg.AdminAddr+WherePath, "application/json", strings.NewReader(body))
	if err != nil {
		sit.Fatal(err)
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		sit.Fatal(err)
	}
	return res.StatusCode, out
}

// TestWhere guards against questions that spend quota, count as requests or reach an
// endpoint, and against an answer that can't be read.
func TestWhere(t *testing.T) {
	sit := newSite(t, 1, wick.Quota{Rate: 1, Burst: 100})
	edg := sit.edges[0]
	cus := edg.plans.Load().CustomerNamed("c")
	// The levels are compared at one time, since they rise.
	now := time.Now().Add(time.Second)
	state := func() []any {
		return []any{edg.quotas.book.Left(cus, now), edg.quotas.book.Demand(now), edg.pool.RequestRate(now), edg.pool.Summaries(), edg.tally.Counts()}
	}
	before := state()
	status, body := sit.ask(0, `{"host":"h","path":"/","key":"k"}`)
	var ans WhereAnswer
	if err := json.Unmarshal(body, &ans); status != http.StatusOK || err != nil {
		t.Fatalf("%d %s: %v", status, body, err)
	}
	if ans.Entry != "edge0" || ans.Route != "r" || ans.Customer != "c" || ans.Quota == nil || ans.Placements[0].Choice != "i-1" {
		t.Errorf("answer %s", body)
	}
	if after := state(); !reflect.DeepEqual(after, before) {
		t.Errorf("state %+v, before the question %+v", after, before)
	}
	if status, body := sit.ask(0, `{"hosts":"h"}`); status != http.StatusBadRequest {
		t.Errorf("%d %s for an unknown field, want 400", status, body)
	}
}

// TestVersionOptions guards against an answer with endpoints of versions that requests don't
// reach during or after a version order.
func TestVersionOptions(t *testing.T) {
	for state, want := range map[wick.VersionOrderState]string{wick.OrderDone: "1 v2", wick.OrderRolledBack: "1 old", wick.OrderRunning: "0.75 old, 0.25 v2"} {
		t.Run(string(state), func(t *testing.T) {
			edg := New(Config{ID: "edge0", Store: &fake.Store{}})
			rol := &rollout{ord: wick.VersionOrder{Service: "s", Target: "v2", State: state}}
			rol.rec.Share = 0.25
			edg.rollouts.orders["s"] = rol
			edg.rollouts.updateJudge(rol)
			got := make([]string, 0, 2)
			for _, opt := range (views{edg}).VersionOptions("s") {
				name := "old"
				if opt.Choice.Only != "" {
					name = string(opt.Choice.Only)
				}
				got = append(got, fmt.Sprint(opt.Share, " ", name))
			}
			if text := strings.Join(got, ", "); text != want {
				t.Errorf("options %s, want %s", text, want)
			}
		})
	}
}
