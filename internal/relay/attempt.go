package relay

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An attempt is one dispatch of a request to one endpoint.
type attempt struct {
	req    *request
	tgt    *target
	sentAt time.Time
	rep    *wire.Reply
	note   wick.ReplyMeta
	// firstEventAt is when the first event was received, zero before.
	firstEventAt time.Time
	// received counts the events that were received.
	received int
	// survived is set once the endpoint is known to have survived the prompt, incomplete
	// if its connection ended before its answer did.
	survived, incomplete bool
	// silent is set if the watchdog ended the attempt.
	silent bool
	// stopped is set if this entry has stopped the run for its move: the loss of its
	// reply shows nothing of the endpoint, its version or the prompt.
	stopped bool
	// progressAt is when the last part of the answer was received, or else when
	// the request was sent.
	progressAt time.Time
	// wdg cancels the attempt when its endpoint stalls; nil if the attempt is
	// not watched.
	wdg *watchdog
}

// markProgress records that a part of the answer was received.
func (att *attempt) markProgress() {
	att.progressAt = time.Now()
	att.wdg.markReceived(att.progressAt)
}

// recordIncomplete logs an attempt without a complete reply, with its cause. For a model
// request it logs the prompt's parts and how far the answer had got, since an endpoint
// that fails because of a request fails on its prompt.
func (att *attempt) recordIncomplete(msg string, otc outcome, err error) {
	if otc == outcomeCancelled {
		return
	}
	att.incomplete, att.silent = true, errors.Is(err, errEndpointSilent)
	fld := logrus.Fields{
		logs.FieldEnding: otc.String(), logs.FieldEndpoint: att.tgt.Backend.ID, "address": att.tgt.Backend.Address,
		logs.FieldError: err.Error(), "sentMs": time.Since(att.sentAt).Milliseconds(),
	}
	if parts := att.req.params.Parts; len(parts) > 0 {
		fld["parts"] = partIDs(parts)
		fld["received"] = att.received
		if !att.firstEventAt.IsZero() {
			fld["firstEventAgoMs"] = time.Since(att.firstEventAt).Milliseconds()
		}
	}
	att.req.logEvent(msg, fld)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 32

// partIDs returns the ids of a prompt's parts in order, those of the last ones if there are
// more than maxLoggedParts.
func partIDs(parts []wick.PromptPart) []wick.PartID {
	parts = parts[max(len(parts)-maxLoggedParts, 0):]
	out := make([]wick.PartID, len(parts))
	for idx := range parts {
		out[idx] = parts[idx].ID
	}
	return out
}

// close closes the reply and reports the outcome to the pool and the version
// choice.
func (att *attempt) close(otc outcome) {
	if att.rep != nil {
		att.rep.Close()
	}
	if att.stopped && otc == outcomeLost {
		otc = outcomeCancelled
	}
	att.reportCrash(otc)
	now := time.Now()
	att.recordTime(otc, now)
	att.tgt.Done(att.poolResult(otc, now), now)
	if att.tgt.choice.Done != nil {
		att.tgt.choice.Done(att.versionSample(otc, now))
	}
}

// versionSample returns the attempt's outcome as a sample for the endpoint's
// version.
func (att *attempt) versionSample(otc outcome, now time.Time) wick.VersionSample {
	smp := wick.VersionSample{
		VM: att.tgt.Backend.ID, Zone: att.tgt.Backend.Zone, Band: att.tgt.Band, At: now,
		Excluded: otc == outcomeNotSent || otc == outcomeRefused,
	}
	if !att.firstEventAt.IsZero() {
		smp.Out.FirstToken = att.firstEventAt.Sub(att.sentAt)
	} else {
		smp.Out.FirstToken = now.Sub(att.sentAt)
	}
	smp.Out.Late = att.req.late(smp.Out.FirstToken)
	smp.Out.Pace = att.pace(otc, now)
	smp.Out.Cancelled = otc == outcomeCancelled
	switch otc {
	case outcomeServerError, outcomeTimeout:
		smp.Out.Err = errEndpointFailed
	case outcomeLost:
		smp.Out.Err = wick.ErrUnknownOutcome
	default:
	}
	return smp
}

// minPaceEvents is the number of events of a stream from which its pace is known.
const minPaceEvents = 4

// pace returns the mean time between the events of a complete stream, or the time to a
// complete answer of another route; 0 if there was none.
func (att *attempt) pace(otc outcome, now time.Time) time.Duration {
	switch {
	case otc != outcomeReply:
		return 0
	case att.req.match.Route.Kind != wick.RouteStream:
		return now.Sub(att.sentAt)
	case att.received < minPaceEvents:
		return 0
	default:
		return now.Sub(att.firstEventAt) / time.Duration(att.received-1)
	}
}

var errEndpointFailed = errors.New("relay: the endpoint failed or timed out")

// poolResult returns the outcome for the pool. An attempt that its caller or the
// deadline ended counts against the endpoint if it had stalled.
func (att *attempt) poolResult(otc outcome, now time.Time) pool.Result {
	if res := poolResult(otc); res != pool.ResultCancelled || att.stopped || now.Sub(att.progressAt) < att.req.stallTime() {
		return res
	}
	return pool.ResultStalled
}

// minStallTime is the least time without progress after which an attempt has
// stalled. Sound endpoints that preempt a request or process long prompts pause for
// less than that.
const minStallTime = time.Second

// stallTime returns the time without progress after which an attempt has stalled.
func (req *request) stallTime() time.Duration {
	return max(minStallTime, 2*req.match.Route.Target)
}

func poolResult(otc outcome) pool.Result {
	switch otc {
	case outcomeReply:
		return pool.ResultAnswered
	case outcomeServerError:
		return pool.ResultFailed
	case outcomeRefused:
		return pool.ResultRefused
	case outcomeNotSent:
		return pool.ResultUnreachable
	case outcomeTimeout, outcomeCancelled:
		return pool.ResultCancelled
	default:
		return pool.ResultIncomplete
	}
}
