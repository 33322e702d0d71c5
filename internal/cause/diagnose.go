package cause

import (
	"strings"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// diagnose determines the cause from the line that logs the outcome.
func (fnd *Finding) diagnose(last *Line) {
	switch last.Message {
	case logs.MsgAnswered:
		fnd.setCausef(Answered, "answered with %d after %d ms and %d sends", last.Status, last.Millis, last.Sends)
	case logs.MsgCallerLeft:
		fnd.setCausef(CallerLeft, "the caller closed its connection after %d ms", last.Millis)
	case logs.MsgRefused:
		fnd.diagnoseRefusal(last)
	case logs.MsgFailed, logs.MsgCutOff:
		fnd.diagnoseFailure(last)
	default:
		fnd.setCausef(Unfinished, "no line logs the outcome: %s exited or dropped lines", last.Process)
	}
}

// diagnoseRefusal determines why a request was refused before execution.
func (fnd *Finding) diagnoseRefusal(last *Line) {
	switch last.Reason {
	case logs.ReasonQuota:
		if lin := fnd.lastRelated(logs.MsgReserveUnreachable); lin != nil {
			fnd.setCausef(ReserveUnreachable, "the entry's share of the quota of %s was exhausted and the owner of its reserve was unreachable: %s",
				last.Customer, lin.Error)
			return
		}
		fnd.setCausef(QuotaExhausted, "customer %s has exhausted its quota", last.Customer)
	case logs.ReasonNoEndpoint:
		fnd.diagnoseNoEndpoint(last)
	case logs.ReasonEndpointsRefused:
		fnd.setCausef(EndpointsFull, "all endpoints tried rejected the request or were unreachable: %s", list(last.Endpoints))
	case logs.ReasonPromptBlocked:
		fnd.setCausef(PromptBlocked, "the prompt has parts that ended endpoints and are blocked")
	case logs.ReasonEndpointsLimited:
		fnd.setCausef(EndpointsLimited, "all endpoints of %s were at the limits that they name", last.Service)
	case logs.ReasonEndpointsPaused:
		fnd.setCausef(EndpointsPaused, "all endpoints of %s had asked the entry for no requests for a time", last.Service)
	case logs.ReasonNoPlan:
		fnd.setCausef(EntryStarting, "%s had not loaded a plan yet", last.Process)
	case logs.ReasonStalePlan:
		fnd.diagnoseStalePlan(last)
	case logs.ReasonDraining:
		fnd.setCausef(EntryStopping, "%s was draining", last.Process)
	case logs.ReasonExpired:
		fnd.setCausef(EndpointsFull, "the deadline expired before any endpoint executed the request")
	default:
		fnd.setCausef(NotAllowed, "the active plan does not allow the request (%s)", last.Reason)
	}
}

// diagnoseStalePlan explains the refusal of an unknown route or key while the
// plan may be stale.
func (fnd *Finding) diagnoseStalePlan(last *Line) {
	if lin := fnd.storeLost(last.At); lin != nil {
		fnd.setCausef(StoreUnreachable, "%s has been unable to read the plan since %s (%s), so the unknown route or key may be new",
			last.Process, lin.At.Format(logs.TimeFormat), lin.Error)
		return
	}
	fnd.setCausef(EntryStarting, "%s had not confirmed its plan, so the unknown route or key may be new", last.Process)
}

// diagnoseNoEndpoint explains why no endpoint was available.
func (fnd *Finding) diagnoseNoEndpoint(last *Line) {
	age := int64(0)
	for idx := range fnd.RequestLines {
		age = max(age, fnd.RequestLines[idx].RegistryAgeMillis)
	}
	if lin := fnd.storeLost(last.At); lin != nil {
		fnd.setCausef(StoreUnreachable, "no endpoint of %s was known to be live; the list of endpoints was %d ms old, because the store became unreachable at %s",
			last.Service, age, lin.At.Format(logs.TimeFormat))
		return
	}
	fnd.setCausef(NoEndpoint, "no endpoint of %s accepts requests; the list of endpoints was %d ms old", last.Service, age)
}

// diagnoseFailure determines why a request that may have been executed got no
// complete response.
func (fnd *Finding) diagnoseFailure(last *Line) {
	switch last.Reason {
	case logs.ReasonCallerLeft:
		fnd.diagnoseCallerLeft(last)
		return
	case logs.ReasonTimeout:
		fnd.setCausef(EndpointTimeout, "endpoint %s had not finished when the deadline of the request expired (%d ms)",
			list(last.Endpoints[max(len(last.Endpoints)-1, 0):]), last.Millis)
		return
	}
	end := list(last.Endpoints[max(len(last.Endpoints)-1, 0):])
	if lin := fnd.lastRelated(logs.MsgEndpointLeaving, logs.MsgEndpointLeavingReported, logs.MsgEndpointGone); lin != nil {
		fnd.setCausef(EndpointLeft, "endpoint %s left (%q at %s) while it executed the request", lin.Endpoint, lin.Message, lin.At.Format(logs.TimeFormat))
		return
	}
	snd := fnd.failedSend()
	switch {
	case snd != nil && snd.Message == logs.MsgBadReply:
		fnd.setCausef(BadReply, "endpoint %s sent a reply that is not a valid response to this request (status %d)", snd.Endpoint, snd.Status)
	case snd != nil && snd.Message == logs.MsgResponseAborted:
		fnd.setCausef(EndpointLost, "endpoint %s aborted its response after %d events: %s", snd.Endpoint, last.Events, snd.Error)
	case snd != nil:
		fnd.setCausef(EndpointLost, "the connection to endpoint %s failed before a response: %s", snd.Endpoint, snd.Error)
	default:
		fnd.setCausef(Unfinished, "no line logs the outcome of the send to endpoint %s", end)
	}
}

// diagnoseCallerLeft explains why a caller disconnected during a stream.
func (fnd *Finding) diagnoseCallerLeft(last *Line) {
	if lin := fnd.lastRelated(logs.MsgEndpointGone); lin != nil && lin.At.Before(last.At) {
		fnd.setCausef(EndpointLeft, "the caller disconnected after %d events and %d ms; endpoint %s had been gone since %s",
			last.Events, last.Millis, lin.Endpoint, lin.At.Format(logs.TimeFormat))
		return
	}
	fnd.setCausef(CallerLeft, "the caller closed its connection after %d events and %d ms", last.Events, last.Millis)
}

func list(vids []wick.VMID) string {
	names := make([]string, len(vids))
	for idx, vid := range vids {
		names[idx] = string(vid)
	}
	return strings.Join(names, ", ")
}

// metricOf returns the metric that counts requests with the outcome of a line.
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
