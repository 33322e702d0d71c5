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
	// lookBack is how long before a request's arrival events count as its
	// circumstances.
	lookBack = 15 * time.Second
	// lookAhead is the same after its end: a lost endpoint is noticed late.
	lookAhead = 2 * time.Second
	// quotaWindow is how far the events of a customer's quota are looked for.
	quotaWindow = time.Second
	// maxCircumstances bounds the circumstances that are shown.
	maxCircumstances = 20
)

// A Kind is a class of causes.
type Kind string

// Kinds of causes.
const (
	Answered       Kind = "answered"
	CallerLeft     Kind = "callerLeft"
	QuotaUsedUp    Kind = "quotaUsedUp"
	ReserveAway    Kind = "reserveAway"
	NoEndpoint     Kind = "noEndpoint"
	StoreAway      Kind = "storeAway"
	EndpointsFull  Kind = "endpointsFull"
	EndpointLost   Kind = "endpointLost"
	EndpointLeft   Kind = "endpointLeft"
	EndpointSilent Kind = "endpointSilent"
	BadReply       Kind = "badReply"
	EntryStarting  Kind = "entryStarting"
	EntryStopping  Kind = "entryStopping"
	NotAllowed     Kind = "notAllowed"
	Unfinished     Kind = "unfinished"
)

// A Finding is what the lines say of one request.
type Finding struct {
	Kind Kind
	// Text explains the cause.
	Text string
	// Own lines bear the request's id, Circumstances are other lines that
	// explain them. Both are in order of time.
	Own           []Line
	Circumstances []Line
	// Metric counts the requests that ended in the same way, "" if none does,
	// and Others those among the lines.
	Metric string
	Others int
}

// Explain finds the cause of how a request ended. The error wraps
// wick.ErrNotFound if no line bears its id.
func Explain(lines []Line, rid wick.RequestID) (*Finding, error) {
	lines = slices.Clone(lines)
	Sort(lines)
	fnd := &Finding{}
	for idx := range lines {
		if lines[idx].Request == rid {
			fnd.Own = append(fnd.Own, lines[idx])
		}
	}
	if len(fnd.Own) == 0 {
		return nil, eris.Wrapf(wick.ErrNotFound, "cause: no line of request %s; %d lines were dropped or left out", rid, dropped(lines))
	}
	last := fnd.end()
	fnd.circumstances(lines, last)
	fnd.judge(last)
	fnd.Metric = metricOf(last)
	fnd.Others = others(lines, last)
	return fnd, nil
}

// end returns the line that ends the request, or the last one.
func (fnd *Finding) end() *Line {
	for idx := len(fnd.Own) - 1; idx >= 0; idx-- {
		switch fnd.Own[idx].Message {
		case logs.MsgAnswered, logs.MsgRefused, logs.MsgFailed, logs.MsgCutOff, logs.MsgLeft:
			return &fnd.Own[idx]
		}
	}
	return &fnd.Own[len(fnd.Own)-1]
}

// circumstances collects the lines that may explain the request's own.
func (fnd *Finding) circumstances(lines []Line, last *Line) {
	from, until := fnd.Own[0].Arrived().Add(-lookBack), last.At.Add(lookAhead)
	for idx := range lines {
		lin := &lines[idx]
		if lin.Request != "" || lin.At.Before(from) || lin.At.After(until) {
			continue
		}
		if explains(lin, last) {
			fnd.Circumstances = append(fnd.Circumstances, *lin)
		}
	}
	if extra := len(fnd.Circumstances) - maxCircumstances; extra > 0 {
		fnd.Circumstances = fnd.Circumstances[extra:]
	}
}

// explains reports whether a line of no request may explain an end.
func explains(lin, last *Line) bool {
	same := lin.Process == last.Process
	switch lin.Message {
	case logs.MsgStoreLost, logs.MsgStoreBack, logs.MsgStarted, logs.MsgDraining, logs.MsgStopped, logs.MsgPlan,
		logs.MsgLinesDropped:
		return same
	case logs.MsgLeaves, logs.MsgLeavesSaid, logs.MsgGone:
		return same && slices.Contains(last.Endpoints, lin.Endpoint)
	case logs.MsgReserveMissed:
		return same && lin.Customer == last.Customer && last.At.Sub(lin.At) < quotaWindow
	case logs.MsgVersionStopped:
		return lin.Service == last.Service
	default:
		return false
	}
}

// seen returns the last circumstance with one of the messages, or nil.
func (fnd *Finding) seen(messages ...string) *Line {
	for idx := len(fnd.Circumstances) - 1; idx >= 0; idx-- {
		if slices.Contains(messages, fnd.Circumstances[idx].Message) {
			return &fnd.Circumstances[idx]
		}
	}
	return nil
}

// storeAway returns the line that says that the store was lost and not found
// again at a time, or nil.
func (fnd *Finding) storeAway(at time.Time) *Line {
	var lost *Line
	for idx := range fnd.Circumstances {
		lin := &fnd.Circumstances[idx]
		switch {
		case lin.At.After(at):
		case lin.Message == logs.MsgStoreLost:
			lost = lin
		case lin.Message == logs.MsgStoreBack:
			lost = nil
		}
	}
	return lost
}

// failedSend returns the request's last line of a send that gave no answer.
func (fnd *Finding) failedSend() *Line {
	for idx := len(fnd.Own) - 1; idx >= 0; idx-- {
		switch fnd.Own[idx].Message {
		case logs.MsgNoReply, logs.MsgBadReply, logs.MsgBrokeOff:
			return &fnd.Own[idx]
		}
	}
	return nil
}

// findf sets the cause.
func (fnd *Finding) findf(knd Kind, format string, args ...any) {
	fnd.Kind, fnd.Text = knd, fmt.Sprintf(format, args...)
}

// others counts the other requests that ended in the same way.
func others(lines []Line, last *Line) int {
	num := 0
	for idx := range lines {
		lin := &lines[idx]
		if lin.Message == last.Message && lin.Reason == last.Reason && lin.Request != last.Request {
			num++
		}
	}
	return num
}

// dropped sums the lines that the processes did not write.
func dropped(lines []Line) int {
	sum := 0
	for idx := range lines {
		sum += lines[idx].Lines + lines[idx].LeftOut
	}
	return sum
}
