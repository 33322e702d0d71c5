package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "pool")

const (
	// limitMemory is how long a limit counts after it was named although another answer
	// or report does not name it: these may be older.
	limitMemory = time.Second
	// minLimitRate is the least rate of requests, per second, at which an endpoint is
	// asked, so that an end of its limit is noticed.
	minLimitRate = 0.1
	// limitBurst is the number of requests that one entry may save up.
	limitBurst = 1.0
	// extraLimitUsers is the number of entries that may use an endpoint whose limit is
	// below 1 a second. Each may send a burst, so more may only use higher limits.
	extraLimitUsers = 3
	// maxLimitWait bounds the wait of a request that has no bound itself.
	maxLimitWait = time.Hour
)

// A limiter keeps this entry's requests to an endpoint within its part of the rate that
// the endpoint allows all entries together.
type limiter struct {
	wick.RateLimit
	// namedAt is when the limit was last named.
	namedAt time.Time
	// share is this entry's part of the limit, from 0 to 1.
	share float64
	// tokens is the number of requests that may be sent, as of refilledAt. It is
	// negative while requests wait for their turn.
	tokens     float64
	refilledAt time.Time
}

// rate returns the requests per second that this entry may send.
func (lmt *limiter) rate() float64 { return lmt.share * max(lmt.PerSecond, minLimitRate) }

// available returns the tokens with those of the time that has passed.
func (lmt *limiter) available(now time.Time) float64 {
	if passed := now.Sub(lmt.refilledAt).Seconds(); passed > 0 {
		return min(limitBurst, lmt.tokens+passed*lmt.rate())
	}
	return lmt.tokens
}

// refill adds the tokens of the time that has passed.
func (lmt *limiter) refill(now time.Time) {
	lmt.tokens, lmt.refilledAt = lmt.available(now), later(lmt.refilledAt, now)
}

// wait returns the time until one more request may be sent. It changes nothing, so that
// Explain may call it.
func (lmt *limiter) wait(now time.Time) time.Duration {
	if !lmt.Set {
		return 0
	}
	tokens := lmt.available(now)
	if tokens >= 1 {
		return 0
	}
	secs := (1 - tokens) / lmt.rate()
	if secs > maxLimitWait.Seconds() {
		return maxLimitWait
	}
	return time.Duration(secs * float64(time.Second))
}

// take takes the token of a request.
func (lmt *limiter) take(now time.Time) {
	if lmt.Set {
		lmt.refill(now)
		lmt.tokens--
	}
}

// untake returns the token of a request that was not sent.
func (lmt *limiter) untake() {
	if lmt.Set {
		lmt.tokens = min(limitBurst, lmt.tokens+1)
	}
}

// A LimitedError reports that all endpoints of a service that a request may use are at
// their limits. It wraps wick.ErrBusy.
type LimitedError struct {
	Service wick.Service
	// RetryAfter is the time until one of them may be sent a request.
	RetryAfter time.Duration
	// Cold is set if the endpoint whose turn is next is cold. Many callers receive the same
	// RetryAfter then, the end of the cold time.
	Cold bool
}

func (err *LimitedError) Error() string {
	return fmt.Sprintf("pool: all endpoints of %s are at their limits for %v", err.Service, err.RetryAfter)
}

func (err *LimitedError) Unwrap() error { return wick.ErrBusy }

// SetLimit records the limit that an answer of the assigned endpoint names.
func (asg *Assignment) SetLimit(lim wick.RateLimit, now time.Time) {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	asg.grp.setLimit(asg.end, lim, now)
}

// Limited reports whether the assigned endpoint limits its requests.
func (asg *Assignment) Limited() bool {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return asg.end.limit.Set
}

// Unsent takes back an assignment whose request was not sent.
func (asg *Assignment) Unsent() {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	asg.end.pause.sent--
	asg.untake()
}

// setLimit records the limit that an answer or a report of an endpoint names. The group's
// lock must be held.
func (grp *group) setLimit(end *endpoint, lim wick.RateLimit, now time.Time) {
	lmt := &end.limit
	switch {
	case end.removed:
		// It is in none of the group's lists.
	case lim.Set && !lmt.Set:
		log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "perSecond": lim.PerSecond}).Info(logs.MsgEndpointLimit)
		// The entries begin at random points between two requests, so that the endpoint
		// is neither unused at first nor asked by all at once.
		if !contains(grp.limited, end) {
			grp.limited = append(grp.limited, end)
		}
		*lmt = limiter{RateLimit: lim, namedAt: now, share: lmt.share, tokens: rand.Float64(), refilledAt: now} //nolint:gosec // need not be unpredictable
	case lim.Set:
		if lmt.PerSecond != lim.PerSecond {
			log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "perSecond": lim.PerSecond}).Info(logs.MsgEndpointLimit)
		}
		lmt.refill(now)
		lmt.RateLimit, lmt.namedAt = lim, now
	case lmt.Set && now.Sub(lmt.namedAt) > limitMemory:
		log.WithField(logs.FieldEndpoint, end.bke.ID).Info(logs.MsgEndpointUnlimited)
		if !end.isCold(now) {
			grp.limited = without(grp.limited, end)
		}
		*lmt = limiter{share: lmt.share}
	}
}

// A LimitedEndpoint is an endpoint that limits its requests.
type LimitedEndpoint struct {
	ID        wick.VMID
	Service   wick.Service
	PerSecond float64
}

// LimitedEndpoints returns the endpoints that limit their requests.
func (pl *Pool) LimitedEndpoints() []LimitedEndpoint {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	var out []LimitedEndpoint
	for svc, grp := range pl.groups {
		grp.mu.Lock()
		for _, end := range grp.all {
			if end.limit.Set {
				out = append(out, LimitedEndpoint{ID: end.bke.ID, Service: svc, PerSecond: end.limit.PerSecond})
			}
		}
		grp.mu.Unlock()
	}
	return out
}

// SetLimitShare sets this entry's part of an endpoint's limit.
func (pl *Pool) SetLimitShare(vid wick.VMID, share float64, now time.Time) {
	pl.withEndpoint(vid, func(_ *group, end *endpoint) {
		end.limit.refill(now)
		end.limit.share = share
	})
}

// SetNewLimitShare sets this entry's part of the limits that endpoints will name, until
// SetLimitShare is called for them.
func (pl *Pool) SetNewLimitShare(share float64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.limitShare = share
	for _, grp := range pl.groups {
		grp.mu.Lock()
		grp.limitShare = share
		for _, end := range grp.all {
			if !end.limit.Set {
				end.limit.share = share
			}
		}
		grp.mu.Unlock()
	}
}

// LimitShare returns the part of an endpoint's limit that an entry may use. rates holds
// the request rates of all entries in an order on which they agree, and num is the
// entry's position. Only the first entries use an endpoint with a low limit, since the
// bursts of all would exceed it.
func LimitShare(rates []float64, num int, perSecond float64) float64 {
	return share(rates, num, min(len(rates), extraLimitUsers+int(min(perSecond, math.MaxInt32))))
}

// share returns the part of an entry if the first users entries divide a rate, half of it
// evenly and half by their request rates.
func share(rates []float64, num, users int) float64 {
	if num >= users {
		return 0
	}
	sum := 0.0
	for _, rate := range rates[:users] {
		sum += rate
	}
	// Half of the limit is divided evenly, so that an entry whose rate has just grown
	// gets a part.
	even := 1 / float64(users)
	if sum <= 0 {
		return even
	}
	return (even + rates[num]/sum) / 2
}

// nextTurn returns the least time until an endpoint that a query allows may be sent a
// request and whether that endpoint is cold, and false if none limits its requests.
func (grp *group) nextTurn(que *Query) (least time.Duration, cold, found bool) {
	least = maxLimitWait
	for _, end := range grp.all {
		if !end.isLimited(que.Now) || end.availability(que.Now) == unavailable || !que.matches(end) {
			continue
		}
		if wait := end.retryAfter(que.Now); !found || wait < least {
			least, cold, found = min(least, wait), end.isCold(que.Now), true
		}
	}
	return least, cold, found
}
