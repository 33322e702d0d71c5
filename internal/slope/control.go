package slope

import (
	"context"
	"time"
)

const (
	controlEngines = 12
	controlPlains  = 1
	// rollsPerSize is the number of rollouts measured at each number of entries.
	rollsPerSize = 5
	axisEntry    = "entries"
	axisZone     = "entries in the only zone"
	axisList     = "endpoints in the list"
	axisBytes    = "bytes/s per entry"
	axisShare    = "% of a core per entry"
	axisMemory   = "MB resident per entry"
	axisCalls    = "calls/s of the site"
)

// measureEntries measures control-plane cost and rollout latency as a function
// of the number of entries, with a fixed list of endpoints.
func (run *Run) measureEntries(ctx context.Context) error {
	for _, num := range run.Entries {
		if err := run.measureControl(ctx, "entries", axisEntry, float64(num), plan{entries: num, endpoints: controlEngines}); err != nil {
			return err
		}
	}
	return nil
}

// measureEndpoints measures control-plane cost as a function of the length of
// the endpoint list.
func (run *Run) measureEndpoints(ctx context.Context) error {
	const entries = 2 * zones
	for _, num := range run.Endpoints {
		if err := run.measureControl(ctx, "endpoints", axisList, float64(num), plan{entries: entries, endpoints: num}); err != nil {
			return err
		}
	}
	return nil
}

// zoneSizes are numbers of entries in one zone, at and above the 16 that a view
// contains of it.
var zoneSizes = []int{16, 64}

// measureZone measures the traffic to the candidates for a zone's watch as the
// zone grows, because every view in the zone contains them.
func (run *Run) measureZone(ctx context.Context) error {
	for _, num := range zoneSizes {
		if err := run.measureControl(ctx, "zone", axisZone, float64(num), plan{entries: num, endpoints: controlEngines, oneZone: true}); err != nil {
			return err
		}
	}
	return nil
}

func (run *Run) measureControl(ctx context.Context, prefix, axis string, posX float64, pln plan) error {
	pln.engines, pln.plains, pln.slots, pln.decodeTime = controlEngines, controlPlains, 8, time.Millisecond
	run.logf("%s: start at %v", prefix, posX)
	sit, err := run.startSite(ctx, pln)
	if err != nil {
		return err
	}
	defer sit.close()
	// Contacting all 64 members of a view takes 21 s, and each first contact in
	// either direction needs a handshake of several kilobytes. 40 s after the
	// start, 80 entries still opened 0.5 connections/s each, after 55 s 0.3.
	settle := run.Settle
	switch {
	case pln.entries > 40:
		settle *= 6
	case pln.entries > 16:
		settle *= 3
	}
	if !sleep(ctx, settle) {
		return ctx.Err()
	}
	for range run.Repeat {
		if err := run.measureWindow(ctx, sit, prefix, axis, posX); err != nil {
			return err
		}
	}
	if axis != axisEntry {
		return nil
	}
	for range rollsPerSize {
		latency, err := sit.roll(ctx)
		if err != nil {
			return err
		}
		run.rep.add("entries-signature", axis, "s from signature to in force everywhere", posX, latency.Seconds())
		if !sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	return nil
}

// measureWindow measures control-plane cost over one window without customer
// calls.
func (run *Run) measureWindow(ctx context.Context, sit *site, prefix, axis string, posX float64) error {
	callsBefore, startTime := sit.store.Calls(), time.Now()
	before, err := sit.usages(ctx)
	if err != nil {
		return err
	}
	if !sleep(ctx, run.Window) {
		return ctx.Err()
	}
	after, err := sit.usages(ctx)
	if err != nil {
		return err
	}
	secs := time.Since(startTime).Seconds()
	callsAfter := sit.store.Calls()
	mean := func(prefix, suffix string) float64 {
		total := 0.0
		for idx := range after {
			total += after[idx].sum(prefix, suffix) - before[idx].sum(prefix, suffix)
		}
		return total / secs / float64(len(after))
	}
	quic := mean("peer_quic_", "")
	engines := mean("wire_engineControl_", "sent") + mean("wire_engineControl_", "received") +
		mean("wire_plainControl_", "sent") + mean("wire_plainControl_", "received")
	platform := mean("wire_store_", "sent") + mean("wire_store_", "received")
	list := mean("wire_cloud_", "sent") + mean("wire_cloud_", "received")
	cpu, resident, maxCPU, maxQUIC := 0.0, 0.0, 0.0, 0.0
	for idx := range after {
		share := 100 * (after[idx].cpu - before[idx].cpu) / secs
		cpu += share / float64(len(after))
		maxCPU = max(maxCPU, share)
		maxQUIC = max(maxQUIC, (after[idx].sum("peer_quic_", "")-before[idx].sum("peer_quic_", ""))/secs)
		resident += after[idx].resident / (1 << 20) / float64(len(after))
	}
	num := float64(len(after))
	for _, val := range []struct {
		name, axis string
		val        float64
	}{
		{"peer-messages", axisBytes, mean("peer_", "_bytes")},
		{"peer-quic", axisBytes, quic},
		{"peer-quic-largest", "bytes/s of the entry with most", maxQUIC},
		{"peer-handshakes", "connections opened/s per entry", mean("peer_connections", "")},
		{"reports", axisBytes, engines},
		{"report-calls", "calls/s per entry", mean("wire_engineControl_", "calls") + mean("wire_plainControl_", "calls")},
		{"list", axisBytes, list},
		{"platform", axisBytes, platform},
		{"cpu", axisShare, cpu},
		{"cpu-largest", axisShare, maxCPU},
		{"memory", axisMemory, resident},
		{"list-calls", axisCalls, mean("wire_cloud_", "calls") * num},
		{"store-reads", axisCalls, float64(callsAfter.Reads-callsBefore.Reads) / secs},
		{"store-writes", axisCalls, float64(callsAfter.Writes-callsBefore.Writes) / secs},
	} {
		run.rep.add(prefix+"-"+val.name, axis, val.axis, posX, val.val)
	}
	run.logf("%s %v: cpu %.2f%% (largest %.2f%%), %.0f MB, quic %.0f B/s (largest %.0f B/s), reports %.0f B/s, list %.0f B/s, platform %.0f B/s",
		prefix, posX, cpu, maxCPU, resident, quic, maxQUIC, engines, list, platform)
	return nil
}
