package plan

import (
	"errors"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func testPlan(version wick.PlanVersion) wick.Plan {
	return wick.Plan{
		Version: version,
		Routes: []wick.RoutePlan{
			{Name: "short", Host: "h.example", PathPrefix: "/a/"},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
			{Name: "open", Host: "o.example", PathPrefix: "/", Public: true, Rank: 3},
		},
		Customers: []wick.CustomerPlan{{Name: "c", Keys: []wick.CallerKey{"k", "l"}, Rank: 1, HasRank: true}},
	}
}

// TestFind guards against requests that resolve to the wrong route or customer.
func TestFind(t *testing.T) {
	var cur Current
	if _, err := cur.Find("h.example", "/a/", "k"); !errors.Is(err, ErrNoPlan) {
		t.Errorf("without a plan: %v", err)
	}
	cur.Adopt(testPlan(1))
	for _, tst := range []struct {
		host, path string
		key        wick.CallerKey
		route      wick.RouteName
		err        error
	}{
		{"h.example", "/a/x", "k", "short", nil},
		{"H.example:80", "/a/b/x", "l", "long", nil},
		{"h.example", "/a/b", "k", "short", nil},
		{"h.example", "/b/", "k", "", ErrNoRoute},
		{"x.example", "/a/", "k", "", ErrNoRoute},
		{"h.example", "/a/", "none", "", ErrNoCustomer},
		{"h.example", "/a/", "", "", ErrNoCustomer},
		{"o.example", "/any", "", "open", nil},
	} {
		mat, err := cur.Find(tst.host, tst.path, tst.key)
		if !errors.Is(err, tst.err) {
			t.Errorf("%s%s: %v, want %v", tst.host, tst.path, err, tst.err)
		} else if err == nil && mat.Route.Name != tst.route {
			t.Errorf("%s%s: route %s, want %s", tst.host, tst.path, mat.Route.Name, tst.route)
		}
	}
}

// TestAdopt guards against a plan that is replaced by an older version.
func TestAdopt(t *testing.T) {
	var cur Current
	for _, tst := range []struct {
		version wick.PlanVersion
		want    bool
	}{{5, true}, {5, false}, {4, false}, {9, true}} {
		if got := cur.Adopt(testPlan(tst.version)); got != tst.want {
			t.Errorf("Adopt(%d) = %v", tst.version, got)
		}
	}
	if got := cur.Load().Plan.Version; got != 9 {
		t.Errorf("current version %d, want 9", got)
	}
}

// TestRank guards against a route's rank that overrides the customer's.
func TestRank(t *testing.T) {
	var cur Current
	cur.Adopt(testPlan(1))
	for key, want := range map[wick.CallerKey]wick.Rank{"k": 1, "": 3} {
		mat, err := cur.Find("o.example", "/", key)
		if err != nil || mat.Rank() != want {
			t.Errorf("key %q: rank %d, %v, want %d", key, mat.Rank(), err, want)
		}
	}
}

// TestChoose guards against traffic splits that deviate from their weights.
func TestChoose(t *testing.T) {
	rpl := wick.RoutePlan{Splits: []wick.Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	counts := make(map[wick.Service]int)
	for range 10000 {
		counts[Choose(&rpl)]++
	}
	if got := counts["new"]; got < 800 || got > 1200 {
		t.Errorf("a service of weight 10 in 100 was chosen %d times in 10,000", got)
	}
}
