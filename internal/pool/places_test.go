package pool

import (
	"slices"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// assertZones checks that a query is assigned endpoints of exactly these zones, each
// endpoint once.
func assertZones(t *testing.T, pl *Pool, que Query, want ...wick.Zone) {
	t.Helper()
	que.Service, que.Now = service, start
	var got []wick.Zone
	for {
		asg, err := pl.Pick(que)
		if err != nil {
			break
		}
		asg.Done(ResultCancelled, start)
		que.Exclude = append(que.Exclude, asg.Backend.ID)
		got = append(got, asg.Backend.Zone)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("zones of the assigned endpoints %v, want %v", got, want)
	}
}

// TestEvacuatedZone guards against requests to an evacuated zone: new ones, those to
// endpoints that are listed meanwhile, those that wait and runs that continue in place.
func TestEvacuatedZone(t *testing.T) {
	pl := newPool("a", "b", "c")
	waiting := pick(t, pl, Query{Service: service, Now: start, Exclude: []wick.VMID{"e1", "e2"}})
	pl.SetEvacuated([]wick.Zone{"a", "x"})
	pl.Set(backend(3, "a"), start)
	assertZones(t, pl, Query{}, "b", "c")
	if waiting.Usable(start) || !waiting.Evacuated() || waiting.Duplicate(start) != nil {
		t.Error("an assignment in the evacuated zone can still be used")
	}
	select {
	case <-waiting.Leaving:
		t.Error("the endpoints of an evacuated zone count as leaving")
	default:
	}
	pl.SetEvacuated([]wick.Zone{"a", "b", "c"})
	assertNoEndpoint(t, pl, start)
	pl.SetEvacuated(nil)
	assertZones(t, pl, Query{}, "a", "a", "b", "c")
}

// TestRegions guards against requests that leave the regions of their route or customer.
func TestRegions(t *testing.T) {
	pl := newPool("a", "b", "c", "d")
	pl.SetRegions(map[wick.Zone]wick.Region{"a": "north", "b": "north", "c": "south"})
	for name, tst := range map[string]struct {
		route, customer []wick.Region
		want            []wick.Zone
	}{
		"none":     {nil, nil, []wick.Zone{"a", "b", "c", "d"}},
		"route":    {[]wick.Region{"north"}, nil, []wick.Zone{"a", "b"}},
		"customer": {nil, []wick.Region{"south", "west"}, []wick.Zone{"c"}},
		"both":     {[]wick.Region{"north", "south"}, []wick.Region{"south"}, []wick.Zone{"c"}},
		"disjoint": {[]wick.Region{"north"}, []wick.Region{"south"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			assertZones(t, pl, Query{Regions: tst.route, CustomerRegions: tst.customer}, tst.want...)
		})
	}
}

// TestEvacuationsUnread guards against requests to an evacuated zone by an entry that has
// just started and has read the endpoints, but not the evacuations.
func TestEvacuationsUnread(t *testing.T) {
	pl := newPool("a", "b")
	pl.AwaitEvacuated()
	pl.Set(backend(2, "c"), start)
	assertNoEndpoint(t, pl, start)
	pl.SetEvacuated([]wick.Zone{"a"})
	assertZones(t, pl, Query{}, "b", "c")
}
