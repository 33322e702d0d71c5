package relay

import (
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// moreSends bounds the sends beyond a route's attempts that follow explicit
// refusals and failed connections, which ran nothing.
const moreSends = 2

// An ending is how one send to an endpoint ended.
type ending int

const (
	// endAnswer is a complete answer that reports no failure of the endpoint.
	endAnswer ending = iota
	// endFailure is a complete answer that reports the endpoint's failure.
	endFailure
	// endRefused is an explicit refusal: the request did not run.
	endRefused
	// endUnsent means that no byte was handed to a connection.
	endUnsent
	// endLost is no answer or an incomplete one: the request may have run.
	endLost
	// endTimeout means that the time of the request is used up.
	endTimeout
	// endGone means that the caller has closed its connection.
	endGone
)

// mayHaveRun reports whether an endpoint may have run the request.
func (edg ending) mayHaveRun() bool { return edg != endRefused && edg != endUnsent }

// An action is what follows an ending.
type action int

const (
	// actDeliver gives the endpoint's answer to the caller.
	actDeliver action = iota
	// actAgain sends the request to another endpoint.
	actAgain
	// actRefuse tells the caller that the request did not run.
	actRefuse
	// actUnknown tells the caller that the request may have run.
	actUnknown
	// actTimeout tells the caller that the time was used up.
	actTimeout
	// actDrop ends without an answer: the caller has gone.
	actDrop
)

// A trail is what is known of a request's sends.
type trail struct {
	rpl *wick.RoutePlan
	// sends counts all sends, ran those that may have run.
	sends, ran int
	// failed is set once an endpoint has answered with a failure.
	failed bool
}

// next records an ending and tells what follows. Whether a retry is allowed
// by the budget is asked last, since asking spends.
func (trl *trail) next(edg ending, budget func() bool) action {
	trl.sends++
	if edg.mayHaveRun() {
		trl.ran++
	}
	switch edg {
	case endAnswer:
		return actDeliver
	case endGone:
		return actDrop
	case endTimeout:
		return actTimeout
	case endFailure:
		trl.failed = true
	case endRefused, endUnsent, endLost:
	}
	if trl.mayRepeat(edg) && budget() {
		return actAgain
	}
	return trl.end()
}

// mayRepeat reports whether the request may be sent once more.
func (trl *trail) mayRepeat(edg ending) bool {
	if trl.ran > 0 && !trl.rpl.Repeatable() {
		return false
	}
	attempts := max(trl.rpl.MaxAttempts, 1)
	if edg.mayHaveRun() && trl.ran >= attempts {
		return false
	}
	return trl.ran < attempts && trl.sends < attempts+moreSends
}

// mayRepeatAfterLoss reports whether the request may be sent once more if the
// send that is running is lost.
func (trl *trail) mayRepeatAfterLoss() bool {
	return trl.rpl.Repeatable() && trl.ran+1 < max(trl.rpl.MaxAttempts, 1)
}

// end tells what the caller gets when no send follows.
func (trl *trail) end() action {
	switch {
	case trl.failed:
		return actDeliver
	case trl.ran > 0:
		return actUnknown
	default:
		return actRefuse
	}
}

var endingNames = map[ending]string{
	endAnswer: "answer", endFailure: "failure", endRefused: "refused", endUnsent: "unsent",
	endLost: "lost", endTimeout: "timeout", endGone: "callerLeft",
}

// String returns the name for logs.
func (edg ending) String() string { return endingNames[edg] }

var actionNames = map[action]string{
	actDeliver: "deliver", actAgain: "again", actRefuse: "refuse",
	actUnknown: logs.ReasonOutcomeUnknown,
	actTimeout: logs.ReasonTimeout, actDrop: logs.ReasonCallerLeft,
}

// String returns the name for logs.
func (act action) String() string { return actionNames[act] }
