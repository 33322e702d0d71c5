package relay

import (
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxExtraAttempts bounds the attempts beyond a route's MaxAttempts that follow
// explicit refusals and failed connections, which executed nothing.
const maxExtraAttempts = 2

// An outcome is the result of one attempt.
type outcome int

const (
	// outcomeReply is a complete reply other than a server error.
	outcomeReply outcome = iota
	// outcomeServerError is a complete reply with a 5xx status.
	outcomeServerError
	// outcomeRefused is an explicit refusal: the request did not run.
	outcomeRefused
	// outcomeNotSent means that no byte was written to a connection.
	outcomeNotSent
	// outcomeLost is a missing, truncated or invalid reply: the request may have
	// run.
	outcomeLost
	// outcomeTimeout means that the deadline of the request has passed.
	outcomeTimeout
	// outcomeCancelled means that the caller has closed its connection.
	outcomeCancelled
)

// mayHaveRun reports whether an endpoint may have run the request.
func (otc outcome) mayHaveRun() bool { return otc != outcomeRefused && otc != outcomeNotSent }

// An action is what the relay does after an attempt.
type action int

const (
	// actDeliver forwards the endpoint's reply to the caller.
	actDeliver action = iota
	// actRetry sends the request to another endpoint.
	actRetry
	// actRefuse answers that the request did not run.
	actRefuse
	// actUnknown answers that the request may have run.
	actUnknown
	// actTimeout answers that the deadline has passed.
	actTimeout
	// actDrop closes the connection, since the caller has disconnected.
	actDrop
)

// A retryState tracks the attempts of a request.
type retryState struct {
	rpl *wick.RoutePlan
	// attempts counts all attempts, possibleRuns those that may have executed
	// the request.
	attempts, possibleRuns int
	// failed is set once an endpoint has replied with a server error.
	failed bool
	// denied is why no further attempt followed a failed one, "" as long as one did.
	denied denial
}

// A denial is the reason for which no further attempt is made, for logs.
type denial string

const (
	// deniedRoute means that the route allows no further attempt.
	deniedRoute denial = "route"
	// deniedTime means that too little of the deadline is left.
	deniedTime denial = "time"
	// deniedBudget means that the retry budget is spent.
	deniedBudget denial = "retryBudget"
)

// next records an outcome and returns the action that follows. The retry budget
// is checked last, since the check spends from it.
func (rst *retryState) next(otc outcome, budget func() bool) action {
	rst.attempts++
	if otc.mayHaveRun() {
		rst.possibleRuns++
	}
	switch otc {
	case outcomeReply:
		return actDeliver
	case outcomeCancelled:
		return actDrop
	case outcomeTimeout:
		return actTimeout
	case outcomeServerError:
		rst.failed = true
	case outcomeRefused, outcomeNotSent, outcomeLost:
	}
	if !rst.mayRetry(otc) {
		rst.denied = deniedRoute
		return rst.finalAction()
	}
	if !budget() {
		return rst.finalAction()
	}
	return actRetry
}

// mayRetry reports whether the route allows another attempt after an outcome.
func (rst *retryState) mayRetry(otc outcome) bool {
	if rst.possibleRuns > 0 && !rst.rpl.Repeatable() {
		return false
	}
	maxRuns := max(rst.rpl.MaxAttempts, 1)
	if otc.mayHaveRun() && rst.possibleRuns >= maxRuns {
		return false
	}
	return rst.possibleRuns < maxRuns && rst.attempts < maxRuns+maxExtraAttempts
}

// mayRetryAfterLoss reports whether the route would allow another attempt if the
// outcome of the current one were outcomeLost.
func (rst *retryState) mayRetryAfterLoss() bool {
	after := *rst
	after.attempts++
	after.possibleRuns++
	return after.mayRetry(outcomeLost)
}

// finalAction returns the action when no further attempt is made.
func (rst *retryState) finalAction() action {
	switch {
	case rst.failed:
		return actDeliver
	case rst.possibleRuns > 0:
		return actUnknown
	default:
		return actRefuse
	}
}

var outcomeNames = map[outcome]string{
	outcomeReply: "answer", outcomeServerError: "failure", outcomeRefused: "refused", outcomeNotSent: "unsent",
	outcomeLost: "lost", outcomeTimeout: "timeout", outcomeCancelled: "callerLeft",
}

// String returns the name used in logs.
func (otc outcome) String() string { return outcomeNames[otc] }

var actionNames = map[action]string{
	actDeliver: "deliver", actRetry: "again", actRefuse: "refuse",
	actUnknown: logs.ReasonOutcomeUnknown,
	actTimeout: logs.ReasonTimeout, actDrop: logs.ReasonCallerLeft,
}

// String returns the name used in logs.
func (act action) String() string { return actionNames[act] }
