package bundle_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestFleetFaults guards against accepting a fleet section that lets the fleet
// duty start VMs without a limit, of unknown classes or for services without
// engines.
func TestFleetFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		edit func(flt *bundle.Fleet)
		want []string
	}{
		{"valid", func(*bundle.Fleet) {}, nil},
		{"no zone", func(flt *bundle.Fleet) { flt.Zones = []wick.Zone{} }, []string{"$.fleet.zones"}},
		{"repeated zone", func(flt *bundle.Fleet) { flt.Zones[1] = flt.Zones[0] }, []string{"$.fleet.zones[1]"}},
		{"no rate", func(flt *bundle.Fleet) { flt.StoreBytesPerSecond = 0 }, []string{"$.fleet.storeBytesPerSecond"}},
		{"unknown class", func(flt *bundle.Fleet) { flt.Offers[0].Class = "none" }, []string{"$.fleet.offers[0].class"}},
		{"repeated offer", func(flt *bundle.Fleet) { flt.Offers[1] = flt.Offers[0] }, []string{"$.fleet.offers[1]"}},
		{"free offer", func(flt *bundle.Fleet) { flt.Offers[0].Price = 0 }, []string{"$.fleet.offers[0].price"}},
		{"plain service", func(flt *bundle.Fleet) { flt.Services[0].Service = "orders" }, []string{"$.fleet.services[0].service"}},
		{"no maximum", func(flt *bundle.Fleet) { flt.Services[0].Min, flt.Services[0].Max = 0, 0 }, []string{"$.fleet.services[0].max"}},
		{"minimum above maximum", func(flt *bundle.Fleet) { flt.Services[0].Min = 9 }, []string{"$.fleet.services[0].min"}},
		{"negative price", func(flt *bundle.Fleet) { flt.Services[0].MaxPrice = -1 }, []string{"$.fleet.services[0].maxPrice"}},
		{"negative size", func(flt *bundle.Fleet) { flt.Services[0].WeightBytes = -1 }, []string{"$.fleet.services[0].weightBytes"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bnd := sampleBundle(2)
			bnd.Fleet = &bundle.Fleet{
				Zones: []wick.Zone{"z1", "z2"}, StoreBytesPerSecond: 1 << 30,
				Offers:   []bundle.Offer{{Class: "big", Price: 4}, {Class: "big", Reclaimable: true, Price: 1}},
				Services: []bundle.FleetService{{Service: "quotes", Min: 2, Max: 8}},
			}
			tc.edit(bnd.Fleet)
			raw, err := json.Marshal(bnd)
			if err != nil {
				t.Fatal(err)
			}
			_, err = bundle.Decode(raw)
			if tc.want == nil {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := faultPaths(t, err); !slices.Equal(got, tc.want) {
				t.Fatalf("faults at %s, want %s: %v", strings.Join(got, " "), strings.Join(tc.want, " "), err)
			}
		})
	}
}
