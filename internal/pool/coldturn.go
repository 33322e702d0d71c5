package pool

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxTokenAge is how long a request's token for a cold endpoint remains valid after its turn. A
// request that is sent later, because its run was moved or the process was suspended, needs
// another token, since this entry's share of the rate may belong to other entries by then.
const maxTokenAge = 250 * time.Millisecond

// take takes the tokens of a request to the assigned endpoint and sets the time at which
// it may be sent. The group's lock must be held.
func (asg *Assignment) take(now time.Time) {
	end := asg.end
	asg.Wait = end.wait(now)
	end.limit.take(now)
	if end.isCold(now) {
		end.cold.bucket.take(now)
		asg.coldSince, asg.turnAt = end.cold.beganAt, now.Add(asg.Wait)
	}
}

// untake returns the tokens of a request that was not sent. The group's lock must be held.
func (asg *Assignment) untake() {
	asg.end.limit.untake()
	if asg.holdsToken() {
		asg.end.cold.bucket.untake()
	}
}

// holdsToken reports whether the request holds a token of the endpoint's present cold time.
func (asg *Assignment) holdsToken() bool {
	return !asg.coldSince.IsZero() && asg.coldSince.Equal(asg.end.cold.beganAt)
}

// Sendable reports whether the request may still be sent to the endpoint that it was assigned
// earlier. It returns false if the endpoint is paused, its availability zone is evacuated, or
// it is cold and the request can't get a token for it.
func (asg *Assignment) Sendable(now time.Time) bool {
	asg.grp.mu.Lock()
	defer asg.grp.mu.Unlock()
	return !asg.end.pause.active(now) && !asg.end.evacuated && asg.hasTurn(now)
}

// hasTurn reports whether the request holds a token for the endpoint if that is cold, or
// can take one now. The group's lock must be held.
func (asg *Assignment) hasTurn(now time.Time) bool {
	end := asg.end
	held := asg.holdsToken() && end.cold.bucket.share > 0
	if !end.isCold(now) || held && now.Sub(asg.turnAt) < maxTokenAge {
		return true
	}
	asg.coldSince = time.Time{}
	if end.cold.bucket.wait(now) > 0 {
		metrics.GetOrRegisterCounter("pool.coldLapsed", nil).Inc(1)
		return false
	}
	end.cold.bucket.take(now)
	asg.coldSince, asg.turnAt = end.cold.beganAt, now
	return true
}
