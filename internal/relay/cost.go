package relay

import (
	"math"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// generatedInterval is the number of events between two reports of a stream's progress to the
// pool, each of which takes the lock of the service's endpoints.
const generatedInterval = 16

// costRequest describes the request for the estimates of its work.
func (req *request) costRequest() cost.Request {
	out := cost.Request{
		Service: req.service, Route: req.match.Route.Name, Model: len(req.params.Parts) > 0,
		Max: req.params.OutputTokens, Hint: req.params.LengthHint,
	}
	if req.match.Customer != nil {
		out.Customer = req.match.Customer.Name
	}
	if out.Model {
		out.Part = req.params.Parts[0].ID
	}
	return out
}

// predict estimates the work of the request, and counts whether it was learned.
func (req *request) predict() {
	req.expected = req.srv.cfg.Costs.Predict(req.costRequest())
	source := "declared"
	if req.expected.Samples > 0 {
		source = "learned"
	}
	metrics.GetOrRegisterCounter("relay.work."+source, nil).Inc(1)
}

// expectedOutput returns the number of tokens that will probably be generated: the learned one
// if there are samples, otherwise that which the caller declared.
func (req *request) expectedOutput() wick.Tokens {
	if req.expected.Samples == 0 {
		return req.params.ExpectedOutput()
	}
	return wick.Tokens(max(math.Round(req.expected.Output), 1))
}

// recordStream records the length of a complete stream for later estimates. Streams that resume
// after an earlier event are excluded, since their full length is unknown.
func (fwd *forwarder) recordStream() {
	req := fwd.req
	if crq := req.costRequest(); crq.Model && req.params.LastEventID == "" {
		req.srv.cfg.Costs.Record(crq, float64(fwd.progressCount), time.Now())
	}
}

// recordTime records the service time of a complete answer of a plain endpoint for later
// estimates.
func (att *attempt) recordTime(otc outcome, now time.Time) {
	if otc != outcomeReply || att.rep.Status >= http.StatusMultipleChoices {
		return
	}
	if crq := att.req.costRequest(); !crq.Model {
		att.req.srv.cfg.Costs.Record(crq, float64(now.Sub(att.sentAt))/float64(time.Millisecond), now)
	}
}

// addWork adds the predicted work to the fields of a log line.
func (req *request) addWork(fld logrus.Fields) {
	fld["work"], fld["workHigh"], fld["workSamples"] = math.Round(req.expected.Output), math.Round(req.expected.High), req.expected.Samples
	if hint := req.params.LengthHint; hint > 0 {
		fld["hint"] = hint
	}
}

// noteGenerated reports the estimated number of tokens generated so far to the pool.
func (att *attempt) noteGenerated() {
	att.tgt.Generated(float64(att.received) * att.req.expected.PerEvent)
}
