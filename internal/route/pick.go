package route

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxTries bounds the choices that are made again because the chosen endpoint
// changed in between.
const maxTries = 4

// Pick chooses an endpoint for an attempt.
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
		choice.Done(wick.VersionSample{Excused: true, At: query.Now})
	}
	if choice.Fallback == "" {
		return asg, err
	}
	return tab.pick(&query, wick.VersionChoice{Version: choice.Fallback})
}

func (tab *Table) pick(query *wick.RouteQuery, choice wick.VersionChoice) (wick.Assignment, error) {
	if choice.Version == "" {
		// An endpoint may serve several versions; only the active one counts.
		choice.Version = tab.activeVersion(query.Service)
	}
	pl := (*tab.pools.Load())[poolKey{service: query.Service, version: choice.Version}]
	if pl == nil || choice.Version != "" && tab.isStopped(query.Service, choice.Version) {
		return wick.Assignment{}, eris.Wrapf(wick.ErrNotFound, "route: no endpoint of %s %s", query.Service, choice.Version)
	}
	cho := &choosing{query: query, pl: pl, now: query.Now}
	if tab.policy.prefixes() && len(query.Input) >= wick.PrefixBlockBytes {
		cho.hashes = wick.AppendPrefixHashes(make([]uint64, 0, maxBlocks), query.Input, maxBlocks)
		cho.hits = tab.prefixes.find(cho.hashes, make([]hit, 0, 8))
	}
	for range maxTries {
		sc := tab.policy.choose(tab, cho)
		if sc.ep == nil {
			return wick.Assignment{}, eris.Wrapf(wick.ErrBusy, "route: every endpoint of %s is busy or away", query.Service)
		}
		if !query.Deadline.IsZero() && query.Now.Add(sc.first()).After(query.Deadline) {
			return wick.Assignment{}, eris.Wrapf(wick.ErrDeadline, "route: %s needs %s", query.Service, sc.first())
		}
		if asg, ok := tab.assign(cho, sc, choice); ok {
			return asg, nil
		}
		cho.tried = append(cho.tried, sc.ep)
	}
	return wick.Assignment{}, eris.Wrapf(wick.ErrBusy, "route: endpoints of %s change", query.Service)
}

// assign takes the endpoint if it is still usable.
func (tab *Table) assign(cho *choosing, sc score, choice wick.VersionChoice) (wick.Assignment, bool) {
	ep := sc.ep
	ep.shd.mu.Lock()
	usable := ep.usable(cho.now)
	_, leaving := ep.shd.leaving[ep.vid]
	holds := !usable || !leaving && ep.fresh(cho.now)
	if !usable || !holds {
		ep.shd.mu.Unlock()
		tab.checker.Check(holds, invar.NoWorkToLeaving, "endpoint %s is leaving and usable", ep.vid)
		return wick.Assignment{}, false
	}
	ep.own++
	tokens := max(cho.query.InputTokens-sc.hit, 0)
	ep.ownTokens += tokens
	vm, reports := ep.vm, ep.reports
	ep.shd.mu.Unlock()
	for _, hash := range cho.hashes {
		tab.prefixes.set(hash, ep, true)
	}
	ver := choice.Version
	if ver == "" && len(vm.Versions) > 0 {
		ver = vm.Versions[0]
	}
	att := &attempt{
		tab: tab, ep: ep, vm: vm, choice: choice, hashes: cho.hashes, hit: sc.hit, wait: sc.wait,
		tokens: tokens, reports: reports,
		start: cho.now, band: (*tab.bands.Load())[bandKey{service: vm.Service, zone: vm.Zone}],
	}
	return wick.Assignment{VM: vm, Version: ver, Done: att.done}, true
}

// An attempt is one assignment until its end.
type attempt struct {
	tab    *Table
	ep     *endpoint
	vm     wick.VM
	choice wick.VersionChoice
	hashes []uint64
	hit    wick.Tokens
	wait   time.Duration
	// tokens were added to the endpoint's own tokens after that many reports.
	tokens  wick.Tokens
	reports uint64
	start   time.Time
	band    wick.LoadBand
}

func isRefusal(err error) bool {
	return errors.Is(err, wick.ErrBusy) || errors.Is(err, wick.ErrNotExecuted)
}

// done takes the outcome of the attempt.
func (att *attempt) done(out wick.Outcome) {
	tab, ep, now := att.tab, att.ep, att.tab.clock.Now()
	out.Late = out.Late || tab.late(att.vm.Service, out)
	ep.shd.mu.Lock()
	ep.own--
	if ep.reports == att.reports {
		ep.ownTokens -= att.tokens
	}
	if errors.Is(out.Err, wick.ErrLeaving) {
		tab.markLeaving(ep.shd, ep.vid, Notice{VM: ep.vid, Since: now, Source: "refusal"}, true)
	}
	excused := tab.excused(ep, out, now)
	eject := att.settle(out, now)
	ep.shd.mu.Unlock()
	if eject {
		tab.eject(ep, now)
	}
	if out.Err == nil && out.CachedTokens*2 < att.hit {
		att.forget(out)
	}
	if att.choice.Done != nil {
		att.choice.Done(wick.VersionSample{
			VM: ep.vid, Zone: att.vm.Zone, Band: att.band, Out: out, Excused: excused, At: now,
		})
	}
}

// settle updates the endpoint with an outcome and returns true when the
// endpoint should be ejected. The caller holds the shard.
func (att *attempt) settle(out wick.Outcome, now time.Time) bool {
	tab, ep := att.tab, att.ep
	switch {
	case out.Cancelled || errors.Is(out.Err, wick.ErrLeaving) || errors.Is(out.Err, wick.ErrDeadline):
	case out.Err == nil:
		ep.failures, ep.refusals, ep.backoffUntil = 0, 0, time.Time{}
		ep.ejections = max(0, ep.ejections-1)
		tab.fire(ep, trigWorked)
		ep.learn(out, now.Sub(att.start), att.wait, att.hit)
	case isRefusal(out.Err):
		wait := min(firstBackoff<<min(ep.refusals, 5), maxBackoff)
		ep.refusals++
		ep.backoffUntil = now.Add(wait)
	case att.choice.Candidate && !errors.Is(out.Err, wick.ErrNotSent):
		// A version under evaluation answers for its failures itself.
	default:
		ep.failures++
		if ep.failures >= suspectAfter {
			tab.fire(ep, trigFailed)
		}
		return ep.failures >= ejectAfter && ep.state == StateSuspect
	}
	return false
}

// excused reports whether the outcome says nothing about the version. The
// caller holds the shard.
func (tab *Table) excused(ep *endpoint, out wick.Outcome, now time.Time) bool {
	if out.Cancelled || isRefusal(out.Err) {
		return true
	}
	if errors.Is(out.Err, wick.ErrLeaving) || errors.Is(out.Err, wick.ErrNotSent) || errors.Is(out.Err, wick.ErrDeadline) {
		return true
	}
	failed := out.Err != nil || out.Late
	return failed && (ep.state == StateLeaving || ep.state == StateGone || !ep.fresh(now))
}

// forget removes the endpoint as holder of blocks that proved to be missing.
// It recomputed them for this answer but may evict them again as soon, so that
// the index waits for a cache event or the next send.
func (att *attempt) forget(out wick.Outcome) {
	kept := 0
	if out.PromptTokens > 0 {
		kept = int(float64(len(att.hashes)) * float64(out.CachedTokens) / float64(out.PromptTokens))
	}
	for _, hash := range att.hashes[min(kept, len(att.hashes)):] {
		att.tab.prefixes.set(hash, att.ep, false)
	}
}
