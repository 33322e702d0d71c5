package cause

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// lookBack is how long before a request's arrival other log lines are
	// considered related to it.
	lookBack = 15 * time.Second
	// lookAhead is the same after its end: the loss of an endpoint is detected
	// with a delay.
	lookAhead = 2 * time.Second
	// quotaWindow is how long before a quota refusal an unreachable reserve may
	// have caused it.
	quotaWindow = time.Second
	// maxRelated bounds the related lines of a finding; the latest are kept.
	maxRelated = 20
)

// A Kind classifies the cause of a request's outcome.
type Kind string

// Kinds of causes. The values are printed by the command explain.
const (
	Answered           Kind = "answered"
	CallerLeft         Kind = "callerLeft"
	QuotaExhausted     Kind = "quotaUsedUp"
	ReserveUnreachable Kind = "reserveAway"
	NoEndpoint         Kind = "noEndpoint"
	StoreUnreachable   Kind = "storeAway"
	EndpointsFull      Kind = "endpointsFull"
	EndpointsLimited   Kind = "endpointsLimited"
	EndpointsPaused    Kind = "endpointsPaused"
	PromptBlocked      Kind = "promptBlocked"
	EndpointLost       Kind = "endpointLost"
	EndpointLeft       Kind = "endpointLeft"
	EndpointTimeout    Kind = "endpointSilent"
	BadReply           Kind = "badReply"
	EntryStarting      Kind = "entryStarting"
	EntryStopping      Kind = "entryStopping"
	NotAllowed         Kind = "notAllowed"
	Unfinished         Kind = "unfinished"
)

// A Finding is the diagnosis of one request from the log lines.
type Finding struct {
	Kind Kind
	// Text explains the cause.
	Text string
	// RequestLines lines contain the request's id, Related lines are others that may
	// explain its outcome. Both are sorted by time.
	RequestLines []Line
	Related      []Line
	// Metric is the counter of requests with the same outcome, "" if there is
	// none, and SameOutcome the number of other such requests in the lines.
	Metric      string
	SameOutcome int
}

// Explain diagnoses the outcome of a request. The error wraps wick.ErrNotFound
// if no line contains its id.
func Explain(lines []Line, rid wick.RequestID) (*Finding, error) {
	lines = slices.Clone(lines)
	Sort(lines)
	fnd := &Finding{}
	for idx := range lines {
		if lines[idx].Request == rid {
			fnd.RequestLines = append(fnd.RequestLines, lines[idx])
		}
	}
	if len(fnd.RequestLines) == 0 {
		return nil, eris.Wrapf(wick.ErrNotFound, "cause: no line of request %s; %d lines were dropped or left out", rid, dropped(lines))
	}
	last := fnd.end()
	fnd.collectRelated(lines, last)
	fnd.diagnose(last)
	fnd.Metric = metricOf(last)
	fnd.SameOutcome = countSameOutcome(lines, last)
	return fnd, nil
}

// end returns the line that logs the request's outcome, or its last line.
func (fnd *Finding) end() *Line {
	for idx := len(fnd.RequestLines) - 1; idx >= 0; idx-- {
		switch fnd.RequestLines[idx].Message {
		case logs.MsgAnswered, logs.MsgRefused, logs.MsgFailed, logs.MsgCutOff, logs.MsgCallerLeft:
			return &fnd.RequestLines[idx]
		}
	}
	return &fnd.RequestLines[len(fnd.RequestLines)-1]
}

// collectRelated collects the lines that may explain the request's outcome.
func (fnd *Finding) collectRelated(lines []Line, last *Line) {
	from, until := fnd.RequestLines[0].Arrived().Add(-lookBack), last.At.Add(lookAhead)
	for idx := range lines {
		lin := &lines[idx]
		if lin.Request != "" || lin.At.Before(from) || lin.At.After(until) {
			continue
		}
		if explains(lin, last) {
			fnd.Related = append(fnd.Related, *lin)
		}
	}
	if extra := len(fnd.Related) - maxRelated; extra > 0 {
		fnd.Related = fnd.Related[extra:]
	}
}

// explains reports whether a line without a request id may explain the outcome
// logged in last.
func explains(lin, last *Line) bool {
	same := lin.Process == last.Process
	switch lin.Message {
	case logs.MsgStoreLost, logs.MsgStoreRecovered, logs.MsgStarted, logs.MsgDraining, logs.MsgStopped, logs.MsgPlanAdopted,
		logs.MsgLinesDropped:
		return same
	case logs.MsgEndpointLeaving, logs.MsgEndpointLeavingReported, logs.MsgEndpointGone:
		return same && slices.Contains(last.Endpoints, lin.Endpoint)
	case logs.MsgReserveUnreachable:
		return same && lin.Customer == last.Customer && last.At.Sub(lin.At) < quotaWindow
	case logs.MsgVersionStopped:
		return lin.Service == last.Service
	default:
		return false
	}
}

// lastRelated returns the last related line with one of the messages, or nil.
func (fnd *Finding) lastRelated(messages ...string) *Line {
	for idx := len(fnd.Related) - 1; idx >= 0; idx-- {
		if slices.Contains(messages, fnd.Related[idx].Message) {
			return &fnd.Related[idx]
		}
	}
	return nil
}

// storeLost returns the line that logs the start of a store outage that still
// lasted at a time, or nil.
func (fnd *Finding) storeLost(at time.Time) *Line {
	var lost *Line
	for idx := range fnd.Related {
		lin := &fnd.Related[idx]
		switch {
		case lin.At.After(at):
		case lin.Message == logs.MsgStoreLost:
			lost = lin
		case lin.Message == logs.MsgStoreRecovered:
			lost = nil
		}
	}
	return lost
}

// failedSend returns the request's last line about a failed send, or nil.
func (fnd *Finding) failedSend() *Line {
	for idx := len(fnd.RequestLines) - 1; idx >= 0; idx-- {
		switch fnd.RequestLines[idx].Message {
		case logs.MsgNoReply, logs.MsgBadReply, logs.MsgResponseAborted:
			return &fnd.RequestLines[idx]
		}
	}
	return nil
}

// setCausef sets the kind and the text of the cause.
func (fnd *Finding) setCausef(knd Kind, format string, args ...any) {
	fnd.Kind, fnd.Text = knd, fmt.Sprintf(format, args...)
}

// countSameOutcome counts the other requests with the same outcome.
func countSameOutcome(lines []Line, last *Line) int {
	num := 0
	for idx := range lines {
		lin := &lines[idx]
		if lin.Message == last.Message && lin.Reason == last.Reason && lin.Request != last.Request {
			num++
		}
	}
	return num
}

// dropped sums the lines that were dropped by the rate limit or by sampling.
func dropped(lines []Line) int {
	sum := 0
	for idx := range lines {
		sum += lines[idx].Lines + lines[idx].LeftOut
	}
	return sum
}
