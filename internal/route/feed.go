package route

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// SetVMs takes a VM list. The list lags and may be wrong: it never brings back
// an endpoint that is leaving, and an endpoint that it misses stays while its
// own load reports come.
func (tab *Table) SetVMs(vms []wick.VM, now time.Time) {
	tab.feedMu.Lock()
	defer tab.feedMu.Unlock()
	listed := make(map[wick.VMID]bool, len(vms))
	for idx := range vms {
		if vms[idx].Role == wick.RoleEndpoint {
			listed[vms[idx].ID] = true
			tab.setVM(vms[idx], now)
		}
	}
	for idx := range tab.shards {
		tab.unlist(&tab.shards[idx], listed, now)
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
			ep.closeMoving()
		}
		tab.dirty.Store(true)
		return
	}
	ep.listed = true
	if ep.state == StateGone {
		if _, ok := shd.leaving[vm.ID]; !ok {
			// An earlier list missed the VM.
			*ep = *newEndpoint(shd, vm)
			tab.dirty.Store(true)
		}
		return
	}
	if ep.fresh(now) && len(ep.report.Versions) > 0 {
		vm.Versions = ep.report.Versions
	}
	if !slices.Equal(ep.vm.Versions, vm.Versions) || ep.vm.Service != vm.Service || ep.vm.Zone != vm.Zone {
		tab.dirty.Store(true)
	}
	ep.vm = vm
}

// unlist handles what the list does not show.
func (tab *Table) unlist(shd *shard, listed map[wick.VMID]bool, now time.Time) {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	for vid, ep := range shd.eps {
		if listed[vid] {
			continue
		}
		ep.listed = false
		if ep.state != StateGone && !ep.fresh(now) {
			tab.fire(ep, trigGone)
			ep.goneSince = now
			ep.closeMoving()
			tab.dirty.Store(true)
		}
		if ep.state == StateGone && ep.own == 0 && now.Sub(ep.goneSince) > goneKept {
			delete(shd.eps, vid)
		}
	}
	for vid := range shd.leaving {
		if !listed[vid] && now.Sub(shd.lastListed[vid]) > leavingKept {
			delete(shd.leaving, vid)
			delete(shd.lastListed, vid)
		}
	}
}

// markLeaving adds an endpoint to the leaving set. The caller holds the shard.
func (tab *Table) markLeaving(shd *shard, vid wick.VMID, ntc Notice, tell bool) {
	if _, ok := shd.leaving[vid]; ok {
		return
	}
	shd.leaving[vid] = ntc
	shd.lastListed[vid] = ntc.Since
	if ep := shd.eps[vid]; ep != nil {
		tab.fire(ep, trigLeaving)
		ep.closeMoving()
		tab.dirty.Store(true)
	}
	if tell {
		tab.infoMu.Lock()
		tab.notices = append(tab.notices, ntc)
		tab.infoMu.Unlock()
	}
}

// MarkLeaving takes a leaving notice of a peer. It returns true when the notice
// is new, so that the entry forwards it.
func (tab *Table) MarkLeaving(ntc Notice, now time.Time) bool {
	shd := tab.shard(ntc.VM)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if _, ok := shd.leaving[ntc.VM]; ok {
		return false
	}
	// The time is the receiver's, since clocks of entries differ.
	ntc.Since = now
	tab.markLeaving(shd, ntc.VM, ntc, false)
	return true
}

// TakeNotices returns leaving notices that were learnt here since the last
// call. The entry sends them to its peers.
func (tab *Table) TakeNotices() []Notice {
	tab.infoMu.Lock()
	defer tab.infoMu.Unlock()
	out := tab.notices
	tab.notices = nil
	return out
}

// Leaving returns the leaving set, for a starting or reconnected peer.
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

// Report takes a load report that was asked for at sent and came at now. A
// report is as old as its own time or the question, whichever is earlier: a
// report from an endpoint's lagging cache must not count as fresh.
func (tab *Table) Report(vid wick.VMID, rep wick.LoadReport, sent, now time.Time) {
	ep := tab.find(vid)
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
		ep.ownAtReport = ep.own
		ep.ownTokens = 0
		ep.reports++
		if len(rep.Versions) > 0 && !slices.Equal(rep.Versions, ep.vm.Versions) {
			ep.vm.Versions = slices.Clone(rep.Versions)
			tab.dirty.Store(true)
		}
	}
	ep.shd.mu.Unlock()
	tab.measured(zone, now.Sub(sent)/2)
}

// measured updates the delay to a zone. The least delay counts quickly and a
// larger one slowly, since load delays reports and distance does not change.
func (tab *Table) measured(zone wick.Zone, delay time.Duration) {
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
	tab.delays[zone] = time.Duration(average(float64(old), float64(delay), weight))
}

// CacheEvents takes cache events of an endpoint in order and returns the
// sequence number to ask for next. Events that were seen are skipped.
func (tab *Table) CacheEvents(vid wick.VMID, evs []wick.CacheEvent) uint64 {
	ep := tab.find(vid)
	if ep == nil {
		return 0
	}
	seq := ep.cacheSeq
	fresh := evs[:0:0]
	for _, ev := range evs {
		if ev.Seq <= seq {
			continue
		}
		if seq > 0 && ev.Seq > seq+1 {
			// Lost events may be evictions, so that hits become less sure.
			ep.trust = max(ep.trust/2, 0.25)
		}
		seq = ev.Seq
		fresh = append(fresh, ev)
	}
	ep.cacheSeq = seq
	ep.shd.mu.Unlock()
	for _, ev := range fresh {
		tab.prefixes.set(ev.Hash, ep, ev.Stored)
	}
	return seq
}

// Tick lets time pass: ejected endpoints get another trial, pools follow
// changes, and load bands are derived. Call it about every 500 ms.
func (tab *Table) Tick(now time.Time) {
	type sums struct{ load, slots int }
	loads := make(map[bandKey]sums)
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		for _, ep := range shd.eps {
			if ep.state == StateEjected && !now.Before(ep.ejectedUntil) {
				tab.fire(ep, trigRetry)
				ep.failures = 0
			}
			if !ep.listed && ep.state != StateGone && !ep.fresh(now) {
				tab.fire(ep, trigGone)
				ep.goneSince = now
				ep.closeMoving()
				tab.dirty.Store(true)
			}
			if ep.fresh(now) && ep.report.Slots > 0 {
				key := bandKey{service: ep.vm.Service, zone: ep.vm.Zone}
				sum := loads[key]
				loads[key] = sums{load: sum.load + ep.load(), slots: sum.slots + ep.report.Slots}
			}
		}
		shd.mu.Unlock()
	}
	bands := make(map[bandKey]wick.LoadBand, len(loads))
	for key, sum := range loads {
		bands[key] = bandOf(sum.load, sum.slots)
	}
	tab.bands.Store(&bands)
	if tab.dirty.Load() {
		tab.feedMu.Lock()
		tab.rebuild()
		tab.feedMu.Unlock()
	}
}

func bandOf(load, slots int) wick.LoadBand {
	switch {
	case load*2 < slots:
		return wick.BandLow
	case load*10 < slots*9:
		return wick.BandMid
	default:
		return wick.BandHigh
	}
}
