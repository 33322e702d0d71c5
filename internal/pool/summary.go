package pool

import "github.com/wagtailwick/wagtailwick/pkg/wick"

// A Summary counts the endpoints of a service in a zone.
type Summary struct {
	Service wick.Service `json:"service"`
	Zone    wick.Zone    `json:"zone"`
	// Live endpoints accept new requests, Leaving ones do not.
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	// InFlight counts this entry's requests in flight.
	InFlight int `json:"inFlight"`
	// Spot counts the live endpoints that are reclaimable.
	Spot int `json:"spot"`
	// Limited counts the live endpoints that limit their requests.
	Limited int `json:"limited"`
	// Evacuated counts the live endpoints that get no requests because their zone is
	// evacuated.
	Evacuated int `json:"evacuated"`
}

// Summaries returns the counts by service and zone.
func (pl *Pool) Summaries() map[wick.Service]map[wick.Zone]Summary {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make(map[wick.Service]map[wick.Zone]Summary, len(pl.groups))
	for svc, grp := range pl.groups {
		out[svc] = grp.summary(svc)
	}
	return out
}

func (grp *group) summary(svc wick.Service) map[wick.Zone]Summary {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	out := make(map[wick.Zone]Summary)
	for _, end := range grp.eps {
		sum := out[end.bke.Zone]
		sum.Service, sum.Zone = svc, end.bke.Zone
		sum.InFlight += end.inFlight
		if end.limit.Set && !end.bke.Leaving {
			sum.Limited++
		}
		if end.evacuated && !end.bke.Leaving {
			sum.Evacuated++
		}
		switch {
		case end.bke.Leaving:
			sum.Leaving++
		case end.bke.Reclaimable:
			sum.Live, sum.Spot = sum.Live+1, sum.Spot+1
		default:
			sum.Live++
		}
		out[end.bke.Zone] = sum
	}
	return out
}
