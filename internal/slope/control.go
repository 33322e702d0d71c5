package slope

import (
	"context"
	"time"
)

const (
	controlEngines = 12
	controlPlains  = 1
	// signatures are measured at each number of entries.
	signatures = 5
	axisEntry  = "entries"
	axisZone   = "entries in the only zone"
	axisList   = "endpoints in the list"
	axisBytes  = "bytes/s per entry"
	axisShare  = "% of a core per entry"
	axisMemory = "MB resident per entry"
	axisCalls  = "calls/s of the site"
)

// measureEntries measures control cost and the time to force over the number
// of entries, with a fixed list of endpoints.
func (run *Run) measureEntries(ctx context.Context) error {
	for _, num := range run.Entries {
		if err := run.control(ctx, "entries", axisEntry, float64(num), plan{entries: num, endpoints: controlEngines}); err != nil {
			return err
		}
	}
	return nil
}

// measureEndpoints measures control cost over the length of the list.
func (run *Run) measureEndpoints(ctx context.Context) error {
	const entries = 2 * zones
	for _, num := range run.Endpoints {
		if err := run.control(ctx, "endpoints", axisList, float64(num), plan{entries: entries, endpoints: num}); err != nil {
			return err
		}
	}
	return nil
}

// zoneSizes are entries in one zone, beyond the 16 that a view holds of it.
var zoneSizes = []int{16, 64}

// measureZone measures what the candidates for a zone's watch receive as the
// zone grows, because all views of the zone hold them.
func (run *Run) measureZone(ctx context.Context) error {
	for _, num := range zoneSizes {
		if err := run.control(ctx, "zone", axisZone, float64(num), plan{entries: num, endpoints: controlEngines, oneZone: true}); err != nil {
			return err
		}
	}
	return nil
}

func (run *Run) control(ctx context.Context, prefix, axis string, posX float64, pln plan) error {
	pln.engines, pln.plains, pln.slots, pln.decodeTime = controlEngines, controlPlains, 8, time.Millisecond
	run.logf("%s: start at %v", prefix, posX)
	sit, err := run.startSite(ctx, pln)
	if err != nil {
		return err
	}
	defer sit.close()
	// A view of 64 members is contacted once in 21 s, and each first contact
	// in either direction has a handshake of several kilobytes. 40 s after the
	// start, 80 entries still opened 0.5 connections/s each, 55 s after it 0.3.
	settle := run.Settle
	switch {
	case pln.entries > 40:
		settle *= 6
	case pln.entries > 16:
		settle *= 3
	}
	if !pause(ctx, settle) {
		return ctx.Err()
	}
	for range run.Repeat {
		if err := run.window(ctx, sit, prefix, axis, posX); err != nil {
			return err
		}
	}
	if axis != axisEntry {
		return nil
	}
	for range signatures {
		took, err := sit.roll(ctx)
		if err != nil {
			return err
		}
		run.rep.add("entries-signature", axis, "s from signature to in force everywhere", posX, took.Seconds())
		if !pause(ctx, time.Second) {
			return ctx.Err()
		}
	}
	return nil
}

// window measures one window of time without calls of customers.
func (run *Run) window(ctx context.Context, sit *site, prefix, axis string, posX float64) error {
	calls, began := sit.store.Calls(), time.Now()
	before, err := sit.usages(ctx)
	if err != nil {
		return err
	}
	if !pause(ctx, run.Window) {
		return ctx.Err()
	}
	after, err := sit.usages(ctx)
	if err != nil {
		return err
	}
	secs := time.Since(began).Seconds()
	now := sit.store.Calls()
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
	cpu, resident, mostCPU, mostQUIC := 0.0, 0.0, 0.0, 0.0
	for idx := range after {
		share := 100 * (after[idx].cpu - before[idx].cpu) / secs
		cpu += share / float64(len(after))
		mostCPU = max(mostCPU, share)
		mostQUIC = max(mostQUIC, (after[idx].sum("peer_quic_", "")-before[idx].sum("peer_quic_", ""))/secs)
		resident += after[idx].resident / (1 << 20) / float64(len(after))
	}
	num := float64(len(after))
	for _, val := range []struct {
		name, axis string
		val        float64
	}{
		{"peer-messages", axisBytes, mean("peer_", "_bytes")},
		{"peer-quic", axisBytes, quic},
		{"peer-quic-largest", "bytes/s of the entry with most", mostQUIC},
		{"peer-handshakes", "connections opened/s per entry", mean("peer_connections", "")},
		{"reports", axisBytes, engines},
		{"report-calls", "calls/s per entry", mean("wire_engineControl_", "calls") + mean("wire_plainControl_", "calls")},
		{"list", axisBytes, list},
		{"platform", axisBytes, platform},
		{"cpu", axisShare, cpu},
		{"cpu-largest", axisShare, mostCPU},
		{"memory", axisMemory, resident},
		{"list-calls", axisCalls, mean("wire_cloud_", "calls") * num},
		{"store-reads", axisCalls, float64(now.Reads-calls.Reads) / secs},
		{"store-writes", axisCalls, float64(now.Writes-calls.Writes) / secs},
	} {
		run.rep.add(prefix+"-"+val.name, axis, val.axis, posX, val.val)
	}
	run.logf("%s %v: cpu %.2f%% (largest %.2f%%), %.0f MB, quic %.0f B/s (largest %.0f B/s), reports %.0f B/s, list %.0f B/s, platform %.0f B/s",
		prefix, posX, cpu, mostCPU, resident, quic, mostQUIC, engines, list, platform)
	return nil
}
