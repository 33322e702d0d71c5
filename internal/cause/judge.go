package cause

import (
	"strings"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// judge finds the cause of a request's last line.
func (fnd *Finding) judge(last *Line) {
	switch last.Message {
	case logs.MsgAnswered:
		fnd.findf(Answered, "answered with %d after %d ms and %d sends", last.Status, last.Millis, last.Sends)
	case logs.MsgLeft:
		fnd.findf(CallerLeft, "the caller closed its connection after %d ms", last.Millis)
	case logs.MsgRefused:
		fnd.judgeRefusal(last)
	case logs.MsgFailed, logs.MsgCutOff:
		fnd.judgeFailure(last)
	default:
		fnd.findf(Unfinished, "no line ends the request: %s ended or dropped lines", last.Process)
	}
}

// judgeRefusal finds why a request was refused before it ran.
func (fnd *Finding) judgeRefusal(last *Line) {
	switch last.Reason {
	case logs.ReasonQuota:
		if lin := fnd.seen(logs.MsgReserveMissed); lin != nil {
			fnd.findf(ReserveAway, "the entry's part of the quota of %s was used up and the owner of its reserve did not answer: %s",
				last.Customer, lin.Error)
			return
		}
		fnd.findf(QuotaUsedUp, "customer %s has used up its quota", last.Customer)
	case logs.ReasonNoEndpoint:
		fnd.judgeNoEndpoint(last)
	case logs.ReasonEndpointsRefused:
		fnd.findf(EndpointsFull, "all endpoints that were asked refused the request or were not reached: %s", list(last.Endpoints))
	case logs.ReasonNoPlan:
		fnd.findf(EntryStarting, "%s had not read any plan yet", last.Process)
	case logs.ReasonStalePlan:
		fnd.judgeStalePlan(last)
	case logs.ReasonDraining:
		fnd.findf(EntryStopping, "%s was draining", last.Process)
	case logs.ReasonExpired:
		fnd.findf(EndpointsFull, "the time of the request was used up before any endpoint ran it")
	default:
		fnd.findf(NotAllowed, "the plan in force does not allow it (%s)", last.Reason)
	}
}

// judgeStalePlan explains the refusal of an unknown route or key.
func (fnd *Finding) judgeStalePlan(last *Line) {
	if lin := fnd.storeAway(last.At); lin != nil {
		fnd.findf(StoreAway, "%s can't read the plan since %s (%s), so the unknown route or key may be new",
			last.Process, lin.At.Format(logs.TimeFormat), lin.Error)
		return
	}
	fnd.findf(EntryStarting, "%s had not confirmed its plan, so the unknown route or key may be new", last.Process)
}

// judgeNoEndpoint explains that no endpoint could be chosen.
func (fnd *Finding) judgeNoEndpoint(last *Line) {
	age := int64(0)
	for idx := range fnd.Own {
		age = max(age, fnd.Own[idx].RegistryAgeMillis)
	}
	if lin := fnd.storeAway(last.At); lin != nil {
		fnd.findf(StoreAway, "no endpoint of %s was known to be alive; the list of endpoints was %d ms old, because the store was lost at %s",
			last.Service, age, lin.At.Format(logs.TimeFormat))
		return
	}
	fnd.findf(NoEndpoint, "no endpoint of %s takes requests; the list of endpoints was %d ms old", last.Service, age)
}

// judgeFailure finds why a request that may have run got no whole answer.
func (fnd *Finding) judgeFailure(last *Line) {
	switch last.Reason {
	case logs.ReasonCallerLeft:
		fnd.judgeCallerLeft(last)
		return
	case logs.ReasonTimeout:
		fnd.findf(EndpointSilent, "endpoint %s had not finished when the time of the request was over (%d ms)",
			list(last.Endpoints[max(len(last.Endpoints)-1, 0):]), last.Millis)
		return
	}
	end := list(last.Endpoints[max(len(last.Endpoints)-1, 0):])
	if lin := fnd.seen(logs.MsgLeaves, logs.MsgLeavesSaid, logs.MsgGone); lin != nil {
		fnd.findf(EndpointLeft, "endpoint %s left (%q at %s) while the request ran there", lin.Endpoint, lin.Message, lin.At.Format(logs.TimeFormat))
		return
	}
	snd := fnd.failedSend()
	switch {
	case snd != nil && snd.Message == logs.MsgBadReply:
		fnd.findf(BadReply, "endpoint %s sent a reply that is not a genuine answer to this request (status %d)", snd.Endpoint, snd.Status)
	case snd != nil && snd.Message == logs.MsgBrokeOff:
		fnd.findf(EndpointLost, "endpoint %s broke its answer off after %d events: %s", snd.Endpoint, last.Events, snd.Error)
	case snd != nil:
		fnd.findf(EndpointLost, "the connection to endpoint %s broke before an answer: %s", snd.Endpoint, snd.Error)
	default:
		fnd.findf(Unfinished, "no line tells how the send to endpoint %s ended", end)
	}
}

// judgeCallerLeft explains that a caller gave up in the middle of a stream.
func (fnd *Finding) judgeCallerLeft(last *Line) {
	if lin := fnd.seen(logs.MsgGone); lin != nil && lin.At.Before(last.At) {
		fnd.findf(EndpointLeft, "the caller gave up after %d events and %d ms; endpoint %s was gone since %s",
			last.Events, last.Millis, lin.Endpoint, lin.At.Format(logs.TimeFormat))
		return
	}
	fnd.findf(CallerLeft, "the caller closed its connection after %d events and %d ms", last.Events, last.Millis)
}

func list(vids []wick.VMID) string {
	names := make([]string, len(vids))
	for idx, vid := range vids {
		names[idx] = string(vid)
	}
	return strings.Join(names, ", ")
}

// metricOf returns the metric that counts requests that ended like a line.
func metricOf(last *Line) string {
	switch last.Message {
	case logs.MsgRefused, logs.MsgFailed:
		return logs.MetricRefused + last.Reason
	case logs.MsgCutOff:
		return logs.MetricCutOff + last.Reason
	default:
		return ""
	}
}
