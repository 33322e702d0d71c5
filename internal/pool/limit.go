package pool

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "pool")

// limitMemory is how long a limit counts after it was named although another answer or
// report does not name it: these may be older.
const limitMemory = time.Second

// A limiter holds the request rate that an endpoint allows all entries together.
type limiter struct {
	wick.RateLimit
	// namedAt is when the limit was last named.
	namedAt time.Time
}

// SetLimit records the limit that an answer of the assigned endpoint names.
func (asg *Assignment) SetLimit(lim wick.RateLimit, now time.Time) {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	asg.end.setLimit(lim, now)
}

// setLimit records the limit that an answer or a report names. The group's lock must be
// held.
func (end *endpoint) setLimit(lim wick.RateLimit, now time.Time) {
	lmt := &end.limit
	switch {
	case lim.Set:
		if !lmt.Set || lmt.PerSecond != lim.PerSecond {
			log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "perSecond": lim.PerSecond}).Info(logs.MsgEndpointLimit)
		}
		lmt.RateLimit, lmt.namedAt = lim, now
	case lmt.Set && now.Sub(lmt.namedAt) > limitMemory:
		log.WithField(logs.FieldEndpoint, end.bke.ID).Info(logs.MsgEndpointUnlimited)
		*lmt = limiter{}
	}
}

// Limited reports whether the assigned endpoint limits its requests.
func (asg *Assignment) Limited() bool {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return asg.end.limit.Set
}
