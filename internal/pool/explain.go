package pool

import (
	"cmp"
	"slices"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An Exclusion is the reason for which an endpoint may not be sent a request, "" if it may.
type Exclusion string

// Reasons of exclusion, in the order in which they are checked.
const (
	ExcludedLeaving   Exclusion = "leaving"
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedGone is that of an endpoint that was reported as removed.
	ExcludedGone   Exclusion = "gone"
	ExcludedPaused Exclusion = "paused"
	// ExcludedUnlisted is that of an endpoint that the registry has not listed again in
	// time after an outage of the store.
	ExcludedUnlisted Exclusion = "unlisted"
	ExcludedRegion   Exclusion = "region"
	ExcludedVersion  Exclusion = "version"
	// ExcludedTried is that of an endpoint in Query.Exclude.
	ExcludedTried Exclusion = "tried"
	// ExcludedCold and ExcludedLimited are those of endpoints whose requests would have to
	// wait for longer than Query.MaxWait.
	ExcludedCold    Exclusion = "cold"
	ExcludedLimited Exclusion = "limited"
)

// maxListed bounds the endpoints that an explanation lists for each reason of exclusion, and
// with them the time for which it holds the lock of a large service.
const maxListed = 20

// An Explanation describes the choice of an endpoint for a query at a time: the endpoints that
// were compared, their costs and the reasons of exclusion.
type Explanation struct {
	// Choice is the endpoint that the query is assigned, "" if there is none.
	Choice wick.VMID `json:"choice,omitempty"`
	// Err is the error of Pick if there is no choice.
	Err error `json:"-"`
	// Candidates are the endpoints that were compared, in the order in which they are
	// preferred, then those that are excluded, at most maxListed for each reason.
	Candidates []Candidate `json:"candidates"`
	// Excluded counts all endpoints that are excluded.
	Excluded map[Exclusion]int `json:"excluded,omitempty"`
	// Unsampled is the number of the endpoints that might be sent the request, but were
	// not in the sample. Another sample may lead to another choice.
	Unsampled int `json:"unsampled,omitempty"`
	// PrefillRate, in tokens per ms, and StepMillis are the performance of the service's
	// engines by which the times are estimated, 0 while it is unknown and a prior applies.
	PrefillRate float64 `json:"prefillRate,omitempty"`
	StepMillis  float64 `json:"stepMillis,omitempty"`
}

// A Candidate is an endpoint of a query's service.
type Candidate struct {
	Endpoint wick.VMID         `json:"endpoint"`
	Zone     wick.Zone         `json:"zone"`
	Region   wick.Region       `json:"region,omitempty"`
	Version  wick.ModelVersion `json:"version,omitempty"`
	// Excluded is why the endpoint may not be sent the request.
	Excluded Exclusion `json:"excluded,omitempty"`
	// Availability is "available", "backoff", "grace" or "unavailable". The endpoints of a
	// lower availability are only chosen if there are none of a higher one.
	Availability string `json:"availability"`
	// Cost is the sum of the terms, in milliseconds.
	Cost  float64 `json:"cost"`
	Terms Terms   `json:"terms"`
	// Load is the source of the load in the terms.
	Load LoadSource `json:"load"`
	// InFlight counts this entry's requests, Running and Waiting those of the last report.
	InFlight int `json:"inFlight"`
	Running  int `json:"running,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	// Pace is the endpoint's time as a multiple of that of the median endpoint.
	Pace float64 `json:"pace"`
	// Prefill is the estimated number of prompt tokens that are not cached there.
	Prefill wick.Tokens `json:"prefillTokens,omitempty"`
	// ColdMillis is how much longer the endpoint is cold.
	ColdMillis int64 `json:"coldMillis,omitempty"`
	// WaitMillis is the time until the endpoint may be sent the request.
	WaitMillis int64 `json:"waitMillis,omitempty"`

	avail availability
}

// A LoadSource is the source of an estimate of an endpoint's load.
type LoadSource string

// Sources of a load.
const (
	// LoadReported is a report that is young enough, together with this entry's requests.
	LoadReported LoadSource = "report"
	// LoadOwn is this entry's requests alone.
	LoadOwn LoadSource = "own"
)

// Terms are the parts of an endpoint's cost in milliseconds, as in costTerms.
type Terms struct {
	Failures float64 `json:"failures,omitempty"`
	Stalls   float64 `json:"stalls,omitempty"`
	Slots    float64 `json:"slots,omitempty"`
	Memory   float64 `json:"memory,omitempty"`
	Running  float64 `json:"running,omitempty"`
	Waiting  float64 `json:"waiting,omitempty"`
	Prefill  float64 `json:"prefill,omitempty"`
	Turn     float64 `json:"turn,omitempty"`
	Zone     float64 `json:"zone,omitempty"`
}

func (ctm *costTerms) export() Terms {
	return Terms{
		Failures: ctm.failures, Stalls: ctm.stalls, Slots: ctm.slots, Memory: ctm.memory, Running: ctm.running,
		Waiting: ctm.waiting, Prefill: ctm.prefill, Turn: ctm.turn, Zone: ctm.zone,
	}
}

var availabilityNames = map[availability]string{
	unavailable: "unavailable", availableInGrace: "grace", availableInBackoff: "backoff", available: "available",
}

// Explain returns the choice that Pick would make for a query, without changing any state.
func (pl *Pool) Explain(que Query) Explanation {
	grp := pl.groupOfService(que.Service)
	if grp == nil {
		return Explanation{Err: errNoService(que.Service)}
	}
	out := grp.explain(&que, pl.zone)
	slices.SortFunc(out.Candidates, compareCandidates)
	return out
}

// explain is Pool.Explain with the candidates in no particular order.
func (grp *group) explain(que *Query, zone wick.Zone) Explanation {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	que.perEndpoint = grp.requestsPerEndpoint(que.Now)
	preferred := grp.preferredFor(que)
	var cnd candidates
	best, compared := grp.compare(que, preferred, zone, &cnd)
	out := Explanation{Excluded: make(map[Exclusion]int), PrefillRate: grp.engine.PrefillRate, StepMillis: grp.engine.StepMillis}
	if best == nil {
		out.Err = grp.noneAvailable(que)
	} else {
		out.Choice = best.bke.ID
	}
	inSample := make(map[*endpoint]bool, len(compared))
	for _, end := range compared {
		inSample[end] = true
	}
	for _, end := range grp.all {
		excl := end.exclusion(que)
		if excl == "" && !inSample[end] {
			out.Unsampled++
			continue
		}
		if excl != "" {
			out.Excluded[excl]++
		}
		if excl == "" || out.Excluded[excl] <= maxListed {
			out.Candidates = append(out.Candidates, grp.candidate(end, que, preferred, zone, excl))
		}
	}
	return out
}

// compareCandidates orders candidates as cheapest does, and those that are excluded last.
func compareCandidates(one, two Candidate) int {
	if one.Excluded != two.Excluded && (one.Excluded == "" || two.Excluded == "") {
		return cmp.Compare(one.Excluded, two.Excluded)
	}
	return cmp.Or(cmp.Compare(two.avail, one.avail), cmp.Compare(one.Cost, two.Cost), cmp.Compare(one.Endpoint, two.Endpoint))
}

// candidate describes an endpoint. The group's lock must be held.
func (grp *group) candidate(end *endpoint, que *Query, preferred [2]*endpoint, zone wick.Zone, excl Exclusion) Candidate {
	terms := grp.cost(end, que, preferred, zone)
	out := Candidate{
		Endpoint: end.bke.ID, Zone: end.bke.Zone, Region: end.region, Version: end.bke.Version,
		Excluded: excl, Cost: terms.total(), Terms: terms.export(), Load: LoadOwn, InFlight: end.inFlight,
		WaitMillis: end.wait(que.Now).Milliseconds(), avail: end.availability(que.Now),
	}
	out.Availability = availabilityNames[out.avail]
	out.Pace = end.factor()
	if que.Model {
		out.Prefill = grp.uncached(end, que, preferred)
	}
	if que.Now.Sub(end.report.At) < maxReportAge {
		out.Running, out.Waiting = end.report.Load.Running, end.report.Load.Waiting
		if que.Model {
			out.Load = LoadReported
		}
	}
	if end.isCold(que.Now) {
		out.ColdMillis = end.cold.until.Sub(que.Now).Milliseconds()
	}
	return out
}

// exclusion returns why the endpoint may not be sent the request of a query, as cheapest
// decides it.
func (end *endpoint) exclusion(que *Query) Exclusion {
	switch {
	case end.bke.Leaving:
		return ExcludedLeaving
	case end.evacuated:
		return ExcludedEvacuated
	case que.Now.Before(end.goneUntil):
		return ExcludedGone
	case end.pause.active(que.Now):
		return ExcludedPaused
	case end.availability(que.Now) == unavailable:
		return ExcludedUnlisted
	case !que.allowsRegionOf(end):
		return ExcludedRegion
	case !que.allows(end):
		return ExcludedVersion
	case !que.matches(end):
		return ExcludedTried
	case end.limit.wait(que.Now) > que.MaxWait:
		return ExcludedLimited
	case end.wait(que.Now) > que.MaxWait:
		return ExcludedCold
	default:
		return ""
	}
}
