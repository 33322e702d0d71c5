package route

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// SetVMs applies a VM list. The list is eventually consistent and may be
// incomplete: it never revives an endpoint that is leaving, and an endpoint
// that it lacks stays in use while its load reports are fresh.
func (tab *Table) SetVMs(vms []wick.VM, now time.Time) {
	tab.updateMu.Lock()
	defer tab.updateMu.Unlock()
	listed := make(map[wick.VMID]bool, len(vms))
	for idx := range vms {
		if vms[idx].Role == wick.RoleEndpoint {
			listed[vms[idx].ID] = true
			tab.setVM(vms[idx], now)
		}
	}
	for idx := range tab.shards {
		tab.markUnlisted(&tab.shards[idx], listed, now)
	}
	if tab.dirty.Load() {
		tab.rebuild()
	}
}

func (tab *Table) setVM(vm wick.VM, now time.Time) {
	shd := tab.shard(vm.ID)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if vm.State == wick.VMLeaving {
		tab.markLeaving(shd, vm.ID, Notice{VM: vm.ID, Since: now, Source: "list"}, true)
	}
	if _, ok := shd.leaving[vm.ID]; ok {
		shd.lastListed[vm.ID] = now
	}
	ep := shd.eps[vm.ID]
	if ep == nil {
		ep = newEndpoint(shd, vm)
		shd.eps[vm.ID] = ep
		if _, ok := shd.leaving[vm.ID]; ok {
			tab.fire(ep, trigLeaving)
			ep.signalEvacuation()
		}
		tab.dirty.Store(true)
		return
	}
	ep.listed = true
	if ep.state == StateGone {
		if _, ok := shd.leaving[vm.ID]; !ok {
			// An earlier list lacked the VM.
			*ep = *newEndpoint(shd, vm)
			tab.dirty.Store(true)
		}
		return
	}
	if ep.hasFreshReport(now) && len(ep.report.Versions) > 0 {
		vm.Versions = ep.report.Versions
	}
	if !slices.Equal(ep.vm.Versions, vm.Versions) || ep.vm.Service != vm.Service || ep.vm.Zone != vm.Zone {
		tab.dirty.Store(true)
	}
	ep.vm = vm
}

// markUnlisted handles endpoints that the list lacks. It marks those without a
// fresh report as gone, and removes gone endpoints and leaving notices whose
// retention has passed.
func (tab *Table) markUnlisted(shd *shard, listed map[wick.VMID]bool, now time.Time) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	for vid, ep := range shd.eps {
		if listed[vid] {
			continue
		}
		ep.listed = false
		if ep.state != StateGone && !ep.hasFreshReport(now) {
			tab.fire(ep, trigGone)
			ep.goneSince = now
			ep.signalEvacuation()
			tab.dirty.Store(true)
		}
		if ep.state == StateGone && ep.inFlight == 0 && now.Sub(ep.goneSince) > goneRetention {
			delete(shd.eps, vid)
		}
	}
	for vid := range shd.leaving {
		if !listed[vid] && now.Sub(shd.lastListed[vid]) > leavingRetention {
			delete(shd.leaving, vid)
			delete(shd.lastListed, vid)
		}
	}
}

// markLeaving adds an endpoint to the leaving set and signals evacuation. With
// announce, the notice is queued for the peers. The caller holds the shard's
// lock.
func (tab *Table) markLeaving(shd *shard, vid wick.VMID, ntc Notice, announce bool) {
	if _, ok := shd.leaving[vid]; ok {
		return
	}
	shd.leaving[vid] = ntc
	shd.lastListed[vid] = ntc.Since
	if ep := shd.eps[vid]; ep != nil {
		tab.fire(ep, trigLeaving)
		ep.signalEvacuation()
		tab.dirty.Store(true)
	}
	if announce {
		tab.infoMu.Lock()
		tab.pendingNotices = append(tab.pendingNotices, ntc)
		tab.infoMu.Unlock()
	}
}

// MarkLeaving applies a leaving notice of a peer. It returns true when the
// notice is new, so that the entry forwards it.
func (tab *Table) MarkLeaving(ntc Notice, now time.Time) bool {
	shd := tab.shard(ntc.VM)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if _, ok := shd.leaving[ntc.VM]; ok {
		return false
	}
	// Use the receiver's time: the clocks of entries are not synchronised.
	ntc.Since = now
	tab.markLeaving(shd, ntc.VM, ntc, false)
	return true
}

// PopNotices returns and clears the leaving notices that this table has raised
// since the last call. The entry sends them to its peers.
func (tab *Table) PopNotices() []Notice {
	tab.infoMu.Lock()
	defer tab.infoMu.Unlock()
	out := tab.pendingNotices
	tab.pendingNotices = nil
	return out
}

// Leaving returns the whole leaving set, to synchronise a peer that has started
// or reconnected.
func (tab *Table) Leaving() []Notice {
	var out []Notice
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ntc := range shd.leaving {
			out = append(out, ntc)
		}
		shd.mu.Unlock()
	}
	return out
}

// Report applies a load report that was requested at sent and received at now.
// The report's time is its own timestamp or sent, whichever is earlier: a stale
// report from an endpoint's cache must not count as fresh.
func (tab *Table) Report(vid wick.VMID, rep wick.LoadReport, sent, now time.Time) {
	ep := tab.findLocked(vid)
	if ep == nil {
		return
	}
	at := sent
	if !rep.At.IsZero() && rep.At.Before(sent) {
		at = rep.At
	}
	if rep.Leaving || !rep.ReclaimAt.IsZero() {
		tab.markLeaving(ep.shd, vid, Notice{VM: vid, Since: now, Source: "report"}, true)
	}
	zone := ep.vm.Zone
	if at.After(ep.reportAt) {
		ep.reportAt = at
		ep.report = rep
		ep.inFlightAtReport = ep.inFlight
		ep.unreportedPrefill = 0
		ep.reportCount++
		if len(rep.Versions) > 0 && !slices.Equal(rep.Versions, ep.vm.Versions) {
			ep.vm.Versions = slices.Clone(rep.Versions)
			tab.dirty.Store(true)
		}
	}
	ep.shd.mu.Unlock()
	tab.updateDelay(zone, now.Sub(sent)/2)
}

// updateDelay updates the estimated one-way network delay to a zone. The
// estimate follows smaller samples quickly and larger ones slowly: load delays
// reports, whereas the distance stays the same.
func (tab *Table) updateDelay(zone wick.Zone, delay time.Duration) {
	tab.infoMu.Lock()
	defer tab.infoMu.Unlock()
	old, ok := tab.delays[zone]
	weight := 0.02
	if delay < old {
		weight = 0.5
	}
	if !ok {
		weight = 1
	}
	tab.delays[zone] = time.Duration(ewma(float64(old), float64(delay), weight))
}

// CacheEvents applies cache events of an endpoint in order and returns the
// sequence number to poll from next. Events that were already applied are
// skipped.
func (tab *Table) CacheEvents(vid wick.VMID, evs []wick.CacheEvent) uint64 {
	ep := tab.findLocked(vid)
	if ep == nil {
		return 0
	}
	seq := ep.cacheSeq
	unseen := evs[:0:0]
	for _, ev := range evs {
		if ev.Seq <= seq {
			continue
		}
		if seq > 0 && ev.Seq > seq+1 {
			// Events in the gap may be evictions: lower the expected accuracy
			// of hits.
			ep.hitAccuracy = max(ep.hitAccuracy/2, 0.25)
		}
		seq = ev.Seq
		unseen = append(unseen, ev)
	}
	ep.cacheSeq = seq
	ep.shd.mu.Unlock()
	for _, ev := range unseen {
		tab.prefixes.set(ev.Hash, ep, ev.Stored)
	}
	return seq
}

// Tick does the periodic work: it ends ejections, marks unlisted endpoints
// without a fresh report as gone, updates the load bands and rebuilds the pools
// after changes. Call it about every 500 ms.
func (tab *Table) Tick(now time.Time) {
	type zoneLoad struct{ load, slots int }
	zoneLoads := make(map[bandKey]zoneLoad)
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			if ep.state == StateEjected && !now.Before(ep.ejectedUntil) {
				tab.fire(ep, trigEjectionExpired)
				ep.failures = 0
			}
			if !ep.listed && ep.state != StateGone && !ep.hasFreshReport(now) {
				tab.fire(ep, trigGone)
				ep.goneSince = now
				ep.signalEvacuation()
				tab.dirty.Store(true)
			}
			if ep.hasFreshReport(now) && ep.report.Slots > 0 {
				key := bandKey{service: ep.vm.Service, zone: ep.vm.Zone}
				sum := zoneLoads[key]
				zoneLoads[key] = zoneLoad{load: sum.load + ep.load(), slots: sum.slots + ep.report.Slots}
			}
		}
		shd.mu.Unlock()
	}
	bands := make(map[bandKey]wick.LoadBand, len(zoneLoads))
	for key, sum := range zoneLoads {
		bands[key] = loadBand(sum.load, sum.slots)
	}
	tab.bands.Store(&bands)
	if tab.dirty.Load() {
		tab.updateMu.Lock()
		tab.rebuild()
		tab.updateMu.Unlock()
	}
}

func loadBand(load, slots int) wick.LoadBand {
	switch {
	case load*2 < slots:
		return wick.BandLow
	case load*10 < slots*9:
		return wick.BandMid
	default:
		return wick.BandHigh
	}
}
