package fleet

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// servicesByDeadline returns the fleet's services ordered by the deadline of
// their move, since they share the bandwidth of the weight store. Services
// without a move come last.
func servicesByDeadline(bnd *bundle.Bundle) []bundle.FleetService {
	out := slices.Clone(bnd.Fleet.Services)
	deadline := func(svc wick.Service) time.Time {
		for idx := range bnd.Moves {
			if bnd.Moves[idx].Service == svc {
				return bnd.Moves[idx].Deadline
			}
		}
		return time.Unix(1<<40, 0)
	}
	slices.SortStableFunc(out, func(left, right bundle.FleetService) int {
		return deadline(left.Service).Compare(deadline(right.Service))
	})
	return out
}

// firstTokenTarget returns the service's target for the time to first token.
func firstTokenTarget(bnd *bundle.Bundle, name wick.Service) time.Duration {
	for idx := range bnd.Services {
		if bnd.Services[idx].Name == name {
			return bnd.Services[idx].Targets.FirstTokenMillis.Duration()
		}
	}
	return 0
}

// newInput returns a service's input from the bundle and the VM list.
func newInput(bnd *bundle.Bundle, fsv bundle.FleetService, vms []wick.VM) Input {
	inp := Input{
		Zones: bnd.Fleet.Zones, Offers: bnd.Fleet.Offers, Service: fsv,
		Classes: make(map[wick.Class]bundle.Class), Referenced: make(map[wick.ModelVersion]bool),
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
		inp.Required = append(inp.Required, svc.Active)
		// All versions that may serve stay loaded: a rollback returns to one of
		// them.
		for _, ver := range svc.Versions {
			inp.Referenced[ver] = true
		}
	}
	for idx := range bnd.Moves {
		if mov := &bnd.Moves[idx]; mov.Service == fsv.Service {
			inp.Required = append(inp.Required, mov.To)
			inp.Referenced[mov.From], inp.Referenced[mov.To] = true, true
		}
	}
	for _, vm := range vms {
		if vm.Role == wick.RoleEndpoint && vm.Service == fsv.Service {
			inp.VMs = append(inp.VMs, vm)
		}
	}
	return inp
}
