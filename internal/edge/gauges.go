package edge

import (
	"runtime/metrics"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// memoryBytes is the runtime metric of the process's total mapped memory.
const memoryBytes = "/memory/classes/total:bytes"

// setGauge sets a named gauge.
func setGauge(name string, val int64) { gometrics.GetOrRegisterGauge(name, nil).Update(val) }

// updateGauges sets the gauges of the entry's state. It is called for each scrape
// of the metrics.
func (edg *Edge) updateGauges() {
	now := time.Now()
	setGauge("edge.planAgeMs", ageMillis(edg.config.LastSuccess(), now))
	setGauge("edge.registryAgeMs", ageMillis(edg.backends.LastSuccess(), now))
	setGauge("edge.membersAgeMs", ageMillis(edg.members.LastSuccess(), now))
	if tbl := edg.plans.Load(); tbl != nil {
		setGauge("edge.planVersion", int64(tbl.Plan.Version)) //nolint:gosec // versions are small
	}
	held := int64(0)
	if _, ok := edg.controlFence(now); ok {
		held = 1
	}
	setGauge("edge.controlHeld", held)
	setGauge("edge.entries", int64(len(edg.roster.Alive(now, memberTimeout, false))))
	setGauge("retry.left", int64(edg.budget.Available()))
	setGauge("edge.evacuatedZones", int64(len(edg.evacuations.list())))
	edg.updatePoolGauges(now)
	edg.crashes.updateGauges()
	smp := []metrics.Sample{{Name: memoryBytes}}
	metrics.Read(smp)
	if smp[0].Value.Kind() == metrics.KindUint64 {
		setGauge("edge.memoryBytes", int64(smp[0].Value.Uint64())) //nolint:gosec // fits
	}
}

// updatePoolGauges sets the gauges of each service's endpoints.
func (edg *Edge) updatePoolGauges(now time.Time) {
	cold := make(map[wick.Service]int64)
	for _, col := range edg.pool.ColdEndpoints(now) {
		cold[col.Service]++
	}
	for svc, zones := range edg.pool.Summaries() {
		live, leaving, inFlight, limited, evacuated := 0, 0, 0, 0, 0
		for _, sum := range zones {
			live, leaving, inFlight = live+sum.Live, leaving+sum.Leaving, inFlight+sum.InFlight
			limited, evacuated = limited+sum.Limited, evacuated+sum.Evacuated
		}
		prefix := "pool." + string(svc)
		setGauge(prefix+".live", int64(live))
		setGauge(prefix+".leaving", int64(leaving))
		setGauge(prefix+".inFlight", int64(inFlight))
		setGauge(prefix+".limited", int64(limited))
		setGauge(prefix+".evacuated", int64(evacuated))
		setGauge(prefix+".cold", cold[svc])
	}
}

// ageMillis returns the time since at in ms, -1 if at is zero.
func ageMillis(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
