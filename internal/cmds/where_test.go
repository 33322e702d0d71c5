package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/edge"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/relay"
)

var whereAnswer = edge.WhereAnswer{Entry: "front-1", Zone: "a", Explanation: relay.Explanation{
	Route: "chat", Kind: "stream", Customer: "acme", Rank: 2, Quota: &relay.QuotaState{Rate: 10, Burst: 20, Cost: 5, Left: 7},
	Expected: relay.Expected{OutputTokens: 40, Source: "lengthHint", Learned: &relay.LearnedCost{Mean: 30, High: 90, Samples: 12}},
	Placements: []relay.Placement{{Service: "s", Share: 1, Explanation: pool.Explanation{Choice: "i-1", Unsampled: 3, Excluded: map[pool.Exclusion]int{pool.ExcludedPaused: 1}, Candidates: []pool.Candidate{
		{Endpoint: "i-1", Zone: "a", Availability: "available", Cost: 52, Terms: pool.Terms{Waiting: 12, Zone: 40}, Pace: 1, Load: pool.LoadReported, Running: 4},
		{Endpoint: "i-2", Zone: "b", Availability: "unavailable", Excluded: pool.ExcludedPaused, Pace: 1},
		{Endpoint: "i-3", Zone: "b", Availability: "available", Pace: 1},
	}}}},
}}

// TestWhereCommand guards against flags that describe another request, and against text that
// leaves out the choice, its cost or what excludes an endpoint.
func TestWhereCommand(t *testing.T) {
	var got relay.Ask
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if err := json.NewDecoder(req.Body).Decode(&got); err != nil || req.URL.Path != edge.WherePath {
			t.Error(req.URL, err)
		}
		_ = json.NewEncoder(wri).Encode(whereAnswer)
	}))
	defer srv.Close()
	args := []string{
		"where", "--admin", srv.Listener.Addr().String(), "--host", "h", "--path", "/p", "--customer", "acme", "--limit", "2",
		"--input", "900", "--output", "200", "--hint", "40", "--part", "a:b:800", "--part", "own:100", "--tried", "i-9", "--deadline", "2s",
	}
	run := func(more ...string) string {
		var out, errs bytes.Buffer
		if code := Main(slices.Concat(args, more), &out, &errs); code != exitOK {
			t.Fatalf("exit code %d: %s", code, errs.String())
		}
		return out.String()
	}
	text := run()
	for _, want := range []string{
		"customer acme, rank 2", "costs 5 units, 7.0 left", "40 tokens (lengthHint)", "learned from 12 requests",
		"service s, share 1.000: i-1", "reported 4 running", "waiting 12.0, zone 40.0", "excluded: paused", "1 more rows", "excluded as paused: 1", "3 other endpoints",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	const ask = `{"host":"h","path":"/p","customer":"acme","inputTokens":900,"outputTokens":200,"lengthHint":40,` +
		`"parts":[{"id":"a:b","tokens":800},{"id":"own","tokens":100}],"deadlineMillis":2000,"tried":["i-9"]}`
	if data, err := json.Marshal(got); err != nil || string(data) != ask {
		t.Errorf("asked %s, %v, want %s", data, err, ask)
	}
	var ans edge.WhereAnswer
	if err := json.Unmarshal([]byte(run("--json")), &ans); err != nil || ans.Placements[0].Choice != "i-1" {
		t.Errorf("JSON: %+v, %v", ans, err)
	}
}
