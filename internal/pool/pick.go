package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// firstCachedShare is the share of a prompt's shared parts that the first
	// endpoint in their rendezvous order is assumed to have cached, although
	// this entry has not sent them there: other entries use the same order.
	firstCachedShare = 0.75
	// secondCachedShare is the same for the second endpoint in the order, which
	// serves the overflow of the first.
	secondCachedShare = 0.25
	// crossZoneMillis is the cost of an endpoint in another zone.
	crossZoneMillis = 40.0
	// fullSlotsMillis is the cost of an endpoint of a plain service whose slots
	// are all in use.
	fullSlotsMillis = 100.0
	// failureMillis is the cost of an endpoint with a failure rate of 1.
	failureMillis = 2000.0
	// stallMillis is the cost of an endpoint whose streams all stall. A much larger cost would
	// outweigh the prefill time that cached prompts save.
	stallMillis = 500.0
	// uncachedWeight weighs prefill time more than queueing time, because the
	// prefill of one request also delays the requests queued behind it.
	uncachedWeight = 2.0
	// maxReportAge is the age from which a load report is ignored: queues
	// change within a second.
	maxReportAge = 1500 * time.Millisecond
)

// A Query describes a request for which an endpoint is selected.
type Query struct {
	Service wick.Service
	// Model is set for requests that generate tokens.
	Model bool
	// Parts and InputTokens describe the prompt of a model request.
	Parts       []wick.PromptPart
	InputTokens wick.Tokens
	// OutputTokens is the expected number of generated tokens.
	OutputTokens wick.Tokens
	// Expected is the work that was learned from earlier requests, if it has samples.
	Expected cost.Estimate
	// TargetGap is the longest gap between events of a stream that is in time, 0 for other
	// requests.
	TargetGap time.Duration
	// Resumed is set for a request that continues an earlier answer. Its times don't
	// depend on the length of its prompt.
	Resumed bool
	// OnlyVersion is the only allowed version unless it is "", and ExceptVersions are
	// disallowed.
	OnlyVersion    wick.ModelVersion
	ExceptVersions []wick.ModelVersion
	// Regions and CustomerRegions are the only allowed regions, all if empty. Both apply.
	Regions, CustomerRegions []wick.Region
	// Exclude lists endpoints that the request was already sent to.
	Exclude []wick.VMID
	// MaxWait is how long the request may wait until an endpoint that limits its
	// requests may be sent one more.
	MaxWait time.Duration
	Now     time.Time

	// perEndpoint is the mean rate of requests to an endpoint of the service.
	perEndpoint float64
}

// matches reports whether the query allows the endpoint.
func (que *Query) matches(end *endpoint) bool {
	return que.allows(end) && !slices.Contains(que.Exclude, end.bke.ID)
}

// allows reports whether the query allows the endpoint's version and region.
func (que *Query) allows(end *endpoint) bool {
	return que.allowsRegionOf(end) && (que.OnlyVersion == "" || end.bke.Version == que.OnlyVersion) && !slices.Contains(que.ExceptVersions, end.bke.Version)
}

// allowsRegionOf reports whether the query allows the endpoint's region.
func (que *Query) allowsRegionOf(end *endpoint) bool {
	return allowsRegion(que.Regions, end.region) && allowsRegion(que.CustomerRegions, end.region)
}

// An Assignment is the assignment of an endpoint to one request.
type Assignment struct {
	Backend wick.Backend
	// Leaving is closed when the endpoint leaves.
	Leaving <-chan struct{}
	// PauseBegun is closed when a pause of the endpoint begins.
	PauseBegun <-chan struct{}
	// Band is the load band of the endpoint when it was chosen.
	Band wick.LoadBand
	// Wait is the time until the request may be sent, at most the query's MaxWait.
	Wait time.Duration

	pl      *Pool
	grp     *group
	end     *endpoint
	prefill wick.Tokens
	run     run
	job     job
	sent    sent
	once    sync.Once
	// coldSince is the coldState.beganAt of the cold time for which the request holds a
	// token, zero if it holds none. turnAt is when the request may be sent.
	coldSince, turnAt time.Time
}

// Pick assigns an endpoint to a request. The error is a *LimitedError when all endpoints
// are at their limits, a *PausedError when all are paused, and wraps wick.ErrNotFound when
// no endpoint of the service is available. The caller must call Done on the result.
func (pl *Pool) Pick(que Query) (*Assignment, error) {
	grp := pl.groupOfService(que.Service)
	if grp == nil {
		return nil, errNoService(que.Service)
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	preferred := grp.preferredFor(&que)
	que.perEndpoint = grp.requestsPerEndpoint(que.Now)
	end := grp.best(&que, preferred, pl.zone)
	if end == nil {
		return nil, grp.noneAvailable(&que)
	}
	grp.countPick(end, &que, preferred, pl.zone)
	asg := &Assignment{Backend: end.bke, Leaving: end.leaving, PauseBegun: end.pause.begun, pl: pl, grp: grp, end: end}
	asg.take(que.Now)
	asg.Band = loadBand(end)
	end.inFlight++
	end.pause.sent++
	grp.requestRate.add(1, que.Now)
	asg.addWork(que.Expected)
	if que.Model {
		asg.prefill = grp.uncached(end, &que, preferred)
		asg.run = run{model: !que.Resumed, prefill: asg.prefill, output: que.OutputTokens, pickedAt: que.Now, queued: end.queued(que.Now)}
		end.pendingPrefill += asg.prefill
		end.recordPrompt(que.Parts, que.Now)
		grp.addHolder(end, que.Parts)
		grp.modelRate.add(1, que.Now)
		grp.prefillRate.add(float64(asg.prefill), que.Now)
		grp.outputRate.add(float64(que.OutputTokens), que.Now)
		asg.addSend(&que)
	}
	return asg, nil
}

// errNoService returns the error for a service without endpoints.
func errNoService(svc wick.Service) error {
	return eris.Wrapf(wick.ErrNotFound, "pool: no endpoint of %s", svc)
}

// best returns the endpoint with the lowest cost among those with the highest
// availability. With many endpoints it compares a sample of them, and all of them only
// if none of the sample is available.
func (grp *group) best(que *Query, preferred [2]*endpoint, zone wick.Zone) *endpoint {
	var cnd candidates
	end, _ := grp.compare(que, preferred, zone, &cnd)
	return end
}

// compare returns the best endpoint and those that it was compared with. A sample is held
// by cnd.
func (grp *group) compare(que *Query, preferred [2]*endpoint, zone wick.Zone, cnd *candidates) (best *endpoint, compared []*endpoint) {
	if len(grp.all) > maxFullScan {
		*cnd = grp.sample(que, preferred, zone)
		compared = cnd.ends[:cnd.num]
		if end, avail := grp.cheapest(compared, que, preferred, zone); avail == available {
			return end, compared
		}
	}
	best, _ = grp.cheapest(grp.all, que, preferred, zone)
	return best, grp.all
}

// cheapest returns the endpoint of a list with the lowest cost among those with the
// highest availability, nil if none is available.
func (grp *group) cheapest(ends []*endpoint, que *Query, preferred [2]*endpoint, zone wick.Zone) (*endpoint, availability) {
	bestAvail := unavailable
	var best *endpoint
	var lowest float64
	for _, end := range ends {
		avail := end.availability(que.Now)
		if avail == unavailable || avail < bestAvail || end.removed || !que.matches(end) {
			continue
		}
		if end.wait(que.Now) > que.MaxWait {
			continue
		}
		terms := grp.cost(end, que, preferred, zone)
		cost := terms.total()
		if best == nil || avail > bestAvail || cost < lowest || cost == lowest && end.bke.ID < best.bke.ID {
			best, lowest, bestAvail = end, cost, avail
		}
	}
	return best, bestAvail
}

// costTerms are the parts of the estimated time until an endpoint answers, in
// milliseconds.
type costTerms struct {
	// failures, stalls, slots and memory are penalties, for failed answers, for streams that
	// stall, for the slots in use of a plain service and for insufficient memory.
	failures, stalls, slots, memory float64
	// running is the delay by running requests, waiting by queued ones, prefill by the
	// request's own prompt.
	running, waiting, prefill float64
	// turn is the time until a limited endpoint may be sent the request, zone the cost of
	// an endpoint in another zone.
	turn, zone float64
	// full is set if waiting is the time until a slot is free.
	full bool
}

func (ctm *costTerms) total() float64 {
	return ctm.failures + ctm.stalls + ctm.slots + ctm.memory + ctm.running + ctm.waiting + ctm.prefill + ctm.turn + ctm.zone
}

// cost estimates the time until an endpoint answers. The group's lock must be held.
func (grp *group) cost(end *endpoint, que *Query, preferred [2]*endpoint, zone wick.Zone) costTerms {
	ctm := costTerms{
		failures: end.failureRate * failureMillis,
		turn:     float64(end.wait(que.Now)) / float64(time.Millisecond),
	}
	if end.bke.Zone != zone {
		ctm.zone = crossZoneMillis
	}
	if !que.Model {
		ctm.slots = fullSlotsMillis * grp.weigh(end, float64(end.inFlight)) / float64(max(end.bke.Slots, 1))
		return ctm
	}
	grp.addLoadCost(&ctm, end, que)
	ctm.prefill = uncachedWeight * grp.engine.PrefillMillis(grp.uncached(end, que, preferred))
	if que.TargetGap > 0 {
		ctm.stalls = end.pace.Stalls * stallMillis
	}
	return ctm
}

// addLoadCost sets the terms of a model endpoint's cost that depend on its load: the larger one
// of this entry's own requests and of the last report with the requests sent since.
func (grp *group) addLoadCost(ctm *costTerms, end *endpoint, que *Query) {
	// all counts the requests that run or wait.
	slots := end.bke.Slots
	running, all, wait := float64(end.inFlight), float64(end.inFlight), grp.engine.PrefillMillis(end.pendingPrefill)
	if age := que.Now.Sub(end.report.At); age < maxReportAge {
		load := &end.report.Load
		reported, prefill := float64(load.Running), load.NextTokens
		if end.sends.count > 0 {
			sent := grp.herdFactor(age, que.perEndpoint)
			reported += sent * end.sends.count
			prefill += wick.Tokens(sent * end.sends.prefill)
		}
		running, all = max(running, reported), max(all, reported+float64(load.Waiting))
		// An endpoint that runs more than its slots has more of them.
		slots = max(slots, load.Running)
		wait = max(wait, grp.engine.WaitingMillis(load.Waiting)+grp.engine.PrefillMillis(prefill))
		if end.report.MemoryShort && end.lacksRoom(que) {
			ctm.memory = noRoomMillis
		}
	}
	factor := end.factor()
	ctm.running = factor * grp.engine.RunningMillis(grp.weigh(end, running))
	if slot := grp.slotMillis(end, all, slots); slot > wait {
		wait, ctm.full = slot, true
	}
	ctm.waiting = factor * wait
}

// uncached estimates the prompt tokens that an endpoint would have to prefill.
func (grp *group) uncached(end *endpoint, que *Query, preferred [2]*endpoint) wick.Tokens {
	tokens := max(que.InputTokens-end.cachedTokens(que.Parts), 0)
	shared := sharedTokens(que.Parts)
	// An endpoint that has just started has cached nothing.
	if tokens >= shared && !end.isCold(que.Now) {
		switch end {
		case preferred[0]:
			tokens -= wick.Tokens(firstCachedShare * float64(shared))
		case preferred[1]:
			tokens -= wick.Tokens(secondCachedShare * float64(shared))
		}
	}
	return tokens
}

// sharedTokens returns the tokens of all parts but the last one, which is the
// request's own.
func sharedTokens(parts []wick.PromptPart) wick.Tokens {
	var sum wick.Tokens
	for idx := 0; idx+1 < len(parts); idx++ {
		sum += parts[idx].Tokens
	}
	return sum
}

// preferredFor returns the first two endpoints for the prompt's last shared part, nil
// if it has none. All entries with the same endpoints compute the same ones.
func (grp *group) preferredFor(que *Query) [2]*endpoint {
	if len(que.Parts) < 2 {
		return [2]*endpoint{}
	}
	return grp.ring.preferred(string(que.Parts[len(que.Parts)-2].ID), func(end *endpoint) bool {
		return !end.bke.Leaving && !end.evacuated && !slices.Contains(que.ExceptVersions, end.bke.Version) && que.allowsRegionOf(end)
	})
}

// Duplicate returns a second assignment to the same endpoint, for a run that
// continues there although the endpoint is leaving. Its Leaving channel is never
// closed. It returns nil if the endpoint's availability zone is evacuated, or if the
// endpoint is cold and may not be sent a request now.
func (asg *Assignment) Duplicate(now time.Time) *Assignment {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	if asg.end.evacuated || asg.end.isCold(now) && asg.end.cold.bucket.wait(now) > 0 {
		return nil
	}
	asg.end.inFlight++
	dup := &Assignment{Backend: asg.Backend, Leaving: make(chan struct{}), Band: asg.Band, pl: asg.pl, grp: asg.grp, end: asg.end}
	dup.take(now)
	return dup
}

// LeavesAt returns when a leaving endpoint terminates, the zero time if unknown.
func (asg *Assignment) LeavesAt() time.Time {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return asg.end.leavesAt
}

// AnswerStarted records that the request's answer has begun, which ends its prefill.
func (asg *Assignment) AnswerStarted(now time.Time) {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	asg.end.pause.answered++
	asg.endPrefill()
	asg.grp.learnStart(&asg.run, now)
}

// endPrefill ends the request's part of the endpoint's pending prefill. The
// group's lock must be held.
func (asg *Assignment) endPrefill() {
	asg.end.pendingPrefill -= asg.prefill
	asg.prefill = 0
	asg.endSentPrefill()
}

// Done records the end and the result of the request. Calls after the first have
// no effect.
func (asg *Assignment) Done(res Result, now time.Time) {
	asg.once.Do(func() {
		asg.grp.mu.Lock()
		defer asg.grp.mu.Unlock()
		asg.endPrefill()
		asg.endSend()
		asg.removeWork()
		if res == ResultAnswered {
			asg.end.pause.answered++
			asg.grp.learnTokens(&asg.run, now)
		}
		asg.end.inFlight--
		if !asg.run.pickedAt.IsZero() {
			held := now.Sub(asg.run.pickedAt).Seconds()
			asg.grp.occupiedRate.add(held/float64(max(asg.end.bke.Slots, 1)), now)
		}
		asg.end.recordResult(res, now)
		if res == ResultUnreachable {
			// The endpoint may be restarting, and is cold afterwards.
			asg.grp.setCold(asg.end, asg.end.backoffUntil.Add(asg.grp.cold.find(asg.end.bke.Service).Start), now, "unreachable")
		}
	})
}
