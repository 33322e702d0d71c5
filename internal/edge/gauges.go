package edge

import (
	"runtime/metrics"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// memoryBytes is the runtime's measure of the memory that the process holds.
const memoryBytes = "/memory/classes/total:bytes"

// gauge sets the gauge of a name.
func gauge(name string, val int64) { gometrics.GetOrRegisterGauge(name, nil).Update(val) }

// gather sets the gauges that describe the state of the entry. It is called for
// each reading of the metrics.
func (edg *Edge) gather() {
	now := time.Now()
	gauge("edge.planAgeMs", age(edg.config.Answered(), now))
	gauge("edge.registryAgeMs", age(edg.backends.Answered(), now))
	gauge("edge.membersAgeMs", age(edg.members.Answered(), now))
	if tbl := edg.plans.Load(); tbl != nil {
		gauge("edge.planVersion", int64(tbl.Plan.Version)) //nolint:gosec // versions are small
	}
	held := int64(0)
	if _, ok := edg.control(now); ok {
		held = 1
	}
	gauge("edge.controlHeld", held)
	gauge("edge.entries", int64(len(edg.roster.Alive(now, quotaMemory, false))))
	gauge("retry.left", int64(edg.budget.Left()))
	edg.gatherPool()
	smp := []metrics.Sample{{Name: memoryBytes}}
	metrics.Read(smp)
	if smp[0].Value.Kind() == metrics.KindUint64 {
		gauge("edge.memoryBytes", int64(smp[0].Value.Uint64())) //nolint:gosec // fits
	}
}

// gatherPool sets the gauges of the endpoints by service.
func (edg *Edge) gatherPool() {
	for svc, zones := range edg.pool.Summaries() {
		live, leaving, inFlight := 0, 0, 0
		for _, sum := range zones {
			live, leaving, inFlight = live+sum.Live, leaving+sum.Leaving, inFlight+sum.InFlight
		}
		prefix := "pool." + string(svc)
		gauge(prefix+".live", int64(live))
		gauge(prefix+".leaving", int64(leaving))
		gauge(prefix+".inFlight", int64(inFlight))
	}
}

// age returns the time since at in ms, -1 if at is zero.
func age(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
