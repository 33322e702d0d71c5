package edge

import (
	"time"

	"github.com/wagtailwick/wagtailwick/internal/perf"
	"github.com/wagtailwick/wagtailwick/internal/scale"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// adoptRecords adopts what the entries' records say about the endpoints.
func (edg *Edge) adoptRecords(now time.Time) {
	edg.adoptEngines(now)
	for _, rec := range edg.roster.All() {
		edg.initialCounts.restore(rec.InitialEndpoints)
	}
}

// adoptEngines sets the performance of each service's endpoints to the median of
// what the entries have observed. An entry that has just started thus begins with
// the estimate of the others.
func (edg *Edge) adoptEngines(now time.Time) {
	all := make(map[wick.Service][]perf.Engine)
	for svc, eng := range edg.pool.Engines(now) {
		all[svc] = append(all[svc], eng)
	}
	for _, rec := range edg.roster.Alive(now, memberTimeout, false) {
		if rec.ID == edg.cfg.ID {
			continue
		}
		for svc, eng := range rec.Engines {
			all[svc] = append(all[svc], eng)
		}
	}
	for svc, engs := range all {
		edg.pool.SetEngine(svc, perf.Median(engs))
	}
}

// observeLatency sets the mean work of a service's requests, their shortest latency
// objective and the slots that they occupy.
func (sca *scaler) observeLatency(svc wick.Service, sta *scale.State) {
	requests := sca.edg.pool.RequestRate(sta.Now)[svc]
	sta.Occupied = sca.edg.pool.Occupied(sta.Now)[svc]
	for _, rec := range sca.edg.roster.Alive(sta.Now, loadTimeout, false) {
		if rec.ID != sca.edg.cfg.ID {
			requests += rec.Requests[svc]
			sta.Occupied += rec.Occupied[svc]
		}
	}
	if requests > 0 && sta.Load > 0 {
		sta.MeanWork = time.Duration(sta.Load / requests * float64(time.Second))
	}
	sta.Target = shortestTarget(sca.edg.plans.Load().Plan.Routes, svc)
}

// shortestTarget returns the shortest latency objective of the routes to a service,
// 0 if they have none.
func shortestTarget(routes []wick.RoutePlan, svc wick.Service) time.Duration {
	var out time.Duration
	for idx := range routes {
		rpl := &routes[idx]
		for _, spl := range rpl.Splits {
			if spl.Service == svc && rpl.Target > 0 && (out == 0 || rpl.Target < out) {
				out = rpl.Target
			}
		}
	}
	return out
}
