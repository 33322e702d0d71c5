package pool

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A ColdPolicy describes the cold endpoints of a service. Its zero value is that of a
// service whose endpoints are never cold.
type ColdPolicy struct {
	// Start is how long an endpoint is cold after its start.
	Start time.Duration
	// Rate is the number of requests per second that all entries together send to a cold
	// endpoint; 0 is no limit.
	Rate float64
	// Bound is the most requests that it may receive in any second.
	Bound float64
}

// users returns the number of entries that may use one cold endpoint. Each may send a
// burst of limitBurst within the second in which all of them also send Rate. Half of the
// room is left for entries that disagree on their shares.
func (cpl ColdPolicy) users() int {
	return max(int((cpl.Bound-cpl.Rate)/(2*limitBurst)), 1)
}

// ColdShare returns the part of a cold endpoint's rate that an entry may use. rates holds
// the request rates of all entries in an order on which they agree, and num is the entry's
// position, negative if the others have not read its record yet.
func (cpl ColdPolicy) ColdShare(rates []float64, num int) float64 {
	if num < 0 {
		return 0
	}
	return share(rates, num, min(len(rates), cpl.users()))
}

// coldPolicies holds the policies of the services. Its zero value has none, and it is safe
// for concurrent use. No other lock is taken while its own is held.
type coldPolicies struct {
	mu       sync.RWMutex
	policies map[wick.Service]ColdPolicy
}

func (cps *coldPolicies) find(svc wick.Service) ColdPolicy {
	cps.mu.RLock()
	defer cps.mu.RUnlock()
	return cps.policies[svc]
}

// SetColdPolicies sets the policies of the services. Those that are missing have none. It
// applies to the endpoints that are listed already, since the registry may be read before
// the plan.
func (pl *Pool) SetColdPolicies(policies map[wick.Service]ColdPolicy, now time.Time) {
	pl.cold.mu.Lock()
	pl.cold.policies = policies
	pl.cold.mu.Unlock()
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	for _, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.all {
			grp.setCold(end, end.coldListed, now, "registry")
		}
		grp.mu.Unlock()
	}
}

// ColdPolicy returns the policy of a service.
func (pl *Pool) ColdPolicy(svc wick.Service) ColdPolicy { return pl.cold.find(svc) }

// A coldState limits the requests to a cold endpoint.
type coldState struct {
	// until is the latest end of the cold time that a record, report or failure implied.
	until time.Time
	// beganAt is when this entry found the endpoint cold. It identifies the cold time.
	beganAt time.Time
	// bucket is this entry's part of the rate. It begins empty and without a share.
	bucket limiter
}

func (end *endpoint) isCold(now time.Time) bool { return now.Before(end.cold.until) }

// isLimited reports whether the endpoint limits its requests or is cold.
func (end *endpoint) isLimited(now time.Time) bool { return end.limit.Set || end.isCold(now) }

// wait returns the time until the endpoint may be sent one more request. It is not limited to
// the rest of the cold time: requests that wait for its end would arrive all at once, and it
// may be extended meanwhile.
func (end *endpoint) wait(now time.Time) time.Duration {
	wait := end.limit.wait(now)
	if end.isCold(now) {
		wait = max(wait, end.cold.bucket.wait(now))
	}
	return wait
}

// retryAfter returns the time after which a refused request may be tried again. It is limited to
// the rest of the cold time, unlike wait.
func (end *endpoint) retryAfter(now time.Time) time.Duration {
	wait := end.limit.wait(now)
	if end.isCold(now) {
		wait = max(wait, min(end.cold.bucket.wait(now), end.cold.until.Sub(now)))
	}
	return wait
}

// maxColdTime bounds the cold time that one record or report sets, so that a faulty one can't
// limit a sound endpoint for long. Later ones extend the time. The bound is 2*ColdPolicy.Start
// where that is longer.
const maxColdTime = time.Minute

// setCold limits the requests to an endpoint until a time, if its service limits those of
// cold ones. The group's lock must be held.
func (grp *group) setCold(end *endpoint, until, now time.Time, cause string) {
	pol := grp.cold.find(end.bke.Service)
	if limit := now.Add(max(maxColdTime, 2*pol.Start)); until.After(limit) {
		until = limit
	}
	if end.removed || pol.Rate <= 0 || !until.After(now) || !until.After(end.cold.until) {
		return
	}
	if !end.isCold(now) {
		metrics.GetOrRegisterCounter("pool.coldEndpoints", nil).Inc(1)
		log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "for": until.Sub(now).String(), "cause": cause}).Info(logs.MsgEndpointCold)
		end.cold.beganAt = now
		end.cold.bucket = limiter{RateLimit: wick.RateLimit{Set: true, PerSecond: pol.Rate}, refilledAt: now}
		if !contains(grp.limited, end) {
			grp.limited = append(grp.limited, end)
		}
	}
	end.cold.until = until
}

// endCold resets the state of an endpoint whose cold time has ended, and removes it from the
// list of limited ones. The group's lock must be held.
func (grp *group) endCold(end *endpoint, now time.Time) {
	if end.cold.until.IsZero() || end.isCold(now) {
		return
	}
	end.cold = coldState{}
	if !end.limit.Set {
		grp.limited = without(grp.limited, end)
	}
}

// MarkUnreachable records that an endpoint did not answer its poll, and backs off from it until
// a time. The endpoint may be restarting, so it also counts as cold until ColdPolicy.Start after
// that time. Services without a rate for cold endpoints are not affected.
func (pl *Pool) MarkUnreachable(vid wick.VMID, until, now time.Time) {
	pl.withEndpoint(vid, func(grp *group, end *endpoint) {
		if pol := grp.cold.find(end.bke.Service); pol.Rate > 0 {
			end.backoffUntil = later(end.backoffUntil, until)
			grp.setCold(end, until.Add(pol.Start), now, "unreachable")
		}
	})
}

// MarkCold records that an endpoint's load report shows that it is cold until a time.
func (pl *Pool) MarkCold(vid wick.VMID, until, now time.Time) {
	pl.withEndpoint(vid, func(grp *group, end *endpoint) { grp.setCold(end, until, now, "report") })
}

// MarkZoneCold records that the endpoints of an availability zone may have become cold.
func (pl *Pool) MarkZoneCold(zone wick.Zone, now time.Time) {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	for _, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.byZone[zone] {
			grp.setCold(end, now.Add(grp.cold.find(end.bke.Service).Start), now, "evacuated")
		}
		grp.mu.Unlock()
	}
}

// A ColdEndpoint is an endpoint that is cold.
type ColdEndpoint struct {
	ID      wick.VMID
	Service wick.Service
}

// ColdEndpoints returns the endpoints that are cold.
func (pl *Pool) ColdEndpoints(now time.Time) []ColdEndpoint {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	var out []ColdEndpoint
	for svc, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.limited {
			if end.isCold(now) {
				out = append(out, ColdEndpoint{ID: end.bke.ID, Service: svc})
			}
		}
		grp.mu.Unlock()
	}
	return out
}

// SetColdShare sets this entry's part of a cold endpoint's rate.
func (pl *Pool) SetColdShare(vid wick.VMID, share float64, now time.Time) {
	pl.withEndpoint(vid, func(_ *group, end *endpoint) {
		end.cold.bucket.refill(now)
		end.cold.bucket.share = share
		if share <= 0 {
			// The saved tokens belong to the entries that hold the share now.
			end.cold.bucket.tokens = min(end.cold.bucket.tokens, 0)
		}
	})
}
