package fleet

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// byDeadline returns the fleet's services, that with the earliest deadline of
// a move first, since they share the weight store.
func byDeadline(bnd *bundle.Bundle) []bundle.FleetService {
	out := slices.Clone(bnd.Fleet.Services)
	due := func(svc wick.Service) time.Time {
		for idx := range bnd.Moves {
			if bnd.Moves[idx].Service == svc {
				return bnd.Moves[idx].Deadline
			}
		}
		return time.Unix(1<<40, 0)
	}
	slices.SortStableFunc(out, func(left, right bundle.FleetService) int {
		return due(left.Service).Compare(due(right.Service))
	})
	return out
}

// target returns the service's target for the first token.
func target(bnd *bundle.Bundle, name wick.Service) time.Duration {
	for idx := range bnd.Services {
		if bnd.Services[idx].Name == name {
			return bnd.Services[idx].Targets.FirstTokenMillis.Duration()
		}
	}
	return 0
}

// input returns what the bundle and the list say about a service.
func input(bnd *bundle.Bundle, fsv bundle.FleetService, vms []wick.VM) Input {
	inp := Input{
		Zones: bnd.Fleet.Zones, Offers: bnd.Fleet.Offers, Service: fsv,
		Classes: make(map[wick.Class]bundle.Class), Named: make(map[wick.ModelVersion]bool),
		LoadTime: time.Duration(float64(fsv.WeightBytes) / float64(bnd.Fleet.StoreBytesPerSecond) * float64(time.Second)),
	}
	for _, cls := range bnd.Classes {
		inp.Classes[cls.Name] = cls
	}
	for idx := range bnd.Services {
		svc := &bnd.Services[idx]
		if svc.Name != fsv.Service {
			continue
		}
		inp.Active = svc.Active
		inp.Wanted = append(inp.Wanted, svc.Active)
		// All versions that may serve stay: an undo goes back to one of them.
		for _, ver := range svc.Versions {
			inp.Named[ver] = true
		}
	}
	for idx := range bnd.Moves {
		if mov := &bnd.Moves[idx]; mov.Service == fsv.Service {
			inp.Wanted = append(inp.Wanted, mov.To)
			inp.Named[mov.From], inp.Named[mov.To] = true, true
		}
	}
	for _, vm := range vms {
		if vm.Role == wick.RoleEndpoint && vm.Service == fsv.Service {
			inp.VMs = append(inp.VMs, vm)
		}
	}
	return inp
}
