package route

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxSelections bounds the selections per pick. A selection is repeated when the
// chosen endpoint has become unusable before its assignment.
const maxSelections = 4

// Pick assigns an endpoint to an attempt.
func (tab *Table) Pick(query wick.RouteQuery) (wick.Assignment, error) {
	if tab.versions == nil || query.Version != "" {
		return tab.pick(&query, wick.VersionChoice{Version: query.Version})
	}
	choice := tab.versions.Choose(query)
	asg, err := tab.pick(&query, choice)
	if err == nil {
		return asg, nil
	}
	if choice.Done != nil {
		choice.Done(wick.VersionSample{Excluded: true, At: query.Now})
	}
	if choice.Fallback == "" {
		return asg, err
	}
	return tab.pick(&query, wick.VersionChoice{Version: choice.Fallback})
}

func (tab *Table) pick(query *wick.RouteQuery, choice wick.VersionChoice) (wick.Assignment, error) {
	if choice.Version == "" {
		// An endpoint may serve several versions; use the active one.
		choice.Version = tab.activeVersion(query.Service)
	}
	pl := (*tab.pools.Load())[poolKey{service: query.Service, version: choice.Version}]
	if pl == nil || choice.Version != "" && tab.isStopped(query.Service, choice.Version) {
		return wick.Assignment{}, eris.Wrapf(wick.ErrNotFound, "route: no endpoint of %s %s", query.Service, choice.Version)
	}
	sel := &selection{query: query, pl: pl, now: query.Now}
	if tab.policy.usesPrefixes() && len(query.Input) >= wick.PrefixBlockBytes {
		sel.hashes = wick.AppendPrefixHashes(make([]uint64, 0, maxBlocks), query.Input, maxBlocks)
		sel.hits = tab.prefixes.lookup(sel.hashes, make([]hit, 0, 8))
	}
	for range maxSelections {
		sc := tab.policy.choose(tab, sel)
		if sc.ep == nil {
			return wick.Assignment{}, eris.Wrapf(wick.ErrBusy, "route: all endpoints of %s are at their limit or unavailable", query.Service)
		}
		if !query.Deadline.IsZero() && query.Now.Add(sc.timeToFirstToken()).After(query.Deadline) {
			return wick.Assignment{}, eris.Wrapf(wick.ErrDeadline, "route: the first token of %s is predicted after %s, past the deadline", query.Service, sc.timeToFirstToken())
		}
		if asg, ok := tab.assign(sel, sc, choice); ok {
			return asg, nil
		}
		sel.rejected = append(sel.rejected, sc.ep)
	}
	return wick.Assignment{}, eris.Wrapf(wick.ErrBusy, "route: endpoints of %s kept changing during selection", query.Service)
}

// assign reserves the endpoint for the attempt if it is still usable.
func (tab *Table) assign(sel *selection, sc score, choice wick.VersionChoice) (wick.Assignment, bool) {
	ep := sc.ep
	ep.shd.mu.Lock()
	usable := ep.usable(sel.now)
	_, leaving := ep.shd.leaving[ep.vid]
	invariantHolds := !usable || !leaving && ep.hasFreshReport(sel.now)
	if !usable || !invariantHolds {
		ep.shd.mu.Unlock()
		tab.checker.Check(invariantHolds, invar.NoWorkToLeaving, "endpoint %s is usable while it is leaving or without a fresh report", ep.vid)
		return wick.Assignment{}, false
	}
	ep.inFlight++
	prefill := max(sel.query.InputTokens-sc.hit, 0)
	ep.unreportedPrefill += prefill
	vm, reportCount := ep.vm, ep.reportCount
	ep.shd.mu.Unlock()
	for _, hash := range sel.hashes {
		tab.prefixes.set(hash, ep, true)
	}
	ver := choice.Version
	if ver == "" && len(vm.Versions) > 0 {
		ver = vm.Versions[0]
	}
	att := &attempt{
		tab: tab, ep: ep, vm: vm, choice: choice, hashes: sel.hashes, expectedHit: sc.hit, expectedWait: sc.wait,
		prefillTokens: prefill, reportCount: reportCount,
		start: sel.now, band: (*tab.bands.Load())[bandKey{service: vm.Service, zone: vm.Zone}],
	}
	return wick.Assignment{VM: vm, Version: ver, Done: att.done}, true
}

// An attempt tracks an assignment until its outcome is reported.
type attempt struct {
	tab          *Table
	ep           *endpoint
	vm           wick.VM
	choice       wick.VersionChoice
	hashes       []uint64
	expectedHit  wick.Tokens
	expectedWait time.Duration
	// prefillTokens were added to the endpoint's unreportedPrefill. They are
	// subtracted at the end unless a report has reset it, which changes the
	// endpoint's reportCount.
	prefillTokens wick.Tokens
	reportCount   uint64
	start         time.Time
	band          wick.LoadBand
}

func isRefusal(err error) bool {
	return errors.Is(err, wick.ErrBusy) || errors.Is(err, wick.ErrNotExecuted)
}

// done records the outcome of the attempt.
func (att *attempt) done(out wick.Outcome) {
	tab, ep, now := att.tab, att.ep, att.tab.clock.Now()
	out.Late = out.Late || tab.late(att.vm.Service, out)
	ep.shd.mu.Lock()
	ep.inFlight--
	if ep.reportCount == att.reportCount {
		ep.unreportedPrefill -= att.prefillTokens
	}
	if errors.Is(out.Err, wick.ErrLeaving) {
		tab.markLeaving(ep.shd, ep.vid, Notice{VM: ep.vid, Since: now, Source: "refusal"}, true)
	}
	excused := tab.excused(ep, out, now)
	eject := att.updateHealth(out, now)
	ep.shd.mu.Unlock()
	if eject {
		tab.eject(ep, now)
	}
	if out.Err == nil && out.CachedTokens*2 < att.expectedHit {
		att.removeMissedBlocks(out)
	}
	if att.choice.Done != nil {
		att.choice.Done(wick.VersionSample{
			VM: ep.vid, Zone: att.vm.Zone, Band: att.band, Out: out, Excluded: excused, At: now,
		})
	}
}

// updateHealth updates the endpoint's failure counts, backoff and estimates from
// an outcome. It returns true when the endpoint should be ejected. The caller
// holds the shard's lock.
func (att *attempt) updateHealth(out wick.Outcome, now time.Time) bool {
	tab, ep := att.tab, att.ep
	switch {
	case out.Cancelled || errors.Is(out.Err, wick.ErrLeaving) || errors.Is(out.Err, wick.ErrDeadline):
	case out.Err == nil:
		ep.failures, ep.refusals, ep.backoffUntil = 0, 0, time.Time{}
		ep.ejections = max(0, ep.ejections-1)
		tab.fire(ep, trigSucceeded)
		ep.updateEstimates(out, now.Sub(att.start), att.expectedWait, att.expectedHit)
	case isRefusal(out.Err):
		backoff := min(minBackoff<<min(ep.refusals, 5), maxBackoff)
		ep.refusals++
		ep.backoffUntil = now.Add(backoff)
	case att.choice.Candidate && !errors.Is(out.Err, wick.ErrNotSent):
		// Failures of a version under evaluation count against the version and
		// not against the endpoint.
	default:
		ep.failures++
		if ep.failures >= suspectThreshold {
			tab.fire(ep, trigFailed)
		}
		return ep.failures >= ejectThreshold && ep.state == StateSuspect
	}
	return false
}

// excused reports whether the outcome is no evidence about the version. The
// caller holds the shard's lock.
func (tab *Table) excused(ep *endpoint, out wick.Outcome, now time.Time) bool {
	if out.Cancelled || isRefusal(out.Err) {
		return true
	}
	if errors.Is(out.Err, wick.ErrLeaving) || errors.Is(out.Err, wick.ErrNotSent) || errors.Is(out.Err, wick.ErrDeadline) {
		return true
	}
	failed := out.Err != nil || out.Late
	return failed && (ep.state == StateLeaving || ep.state == StateGone || !ep.hasFreshReport(now))
}

// removeMissedBlocks removes the endpoint as holder of blocks that were cache
// misses. The endpoint has recomputed them for this answer but may evict them
// again just as soon, so the index adds them only on a cache event or the next
// assignment.
func (att *attempt) removeMissedBlocks(out wick.Outcome) {
	cachedBlocks := 0
	if out.PromptTokens > 0 {
		cachedBlocks = int(float64(len(att.hashes)) * float64(out.CachedTokens) / float64(out.PromptTokens))
	}
	for _, hash := range att.hashes[min(cachedBlocks, len(att.hashes)):] {
		att.tab.prefixes.set(hash, att.ep, false)
	}
}
