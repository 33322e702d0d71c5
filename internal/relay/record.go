package relay

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
)

// recordLatency adds the request to the timer of its kind of route.
func (req *request) recordLatency(took time.Duration) {
	kind := "none"
	if req.match.Route != nil {
		kind = string(req.match.Route.Kind)
	}
	metrics.GetOrRegisterTimer("relay.request."+kind, nil).Update(took)
}

// late reports whether a latency exceeds the route's target. On a route without
// a target it never does.
func (req *request) late(took time.Duration) bool {
	target := req.match.Route.Target
	return target > 0 && took > target
}

// logAnswered logs an answered request. Requests that the first endpoint
// answered in time with status 200 are sampled.
func (req *request) logAnswered(late bool, fld logrus.Fields) {
	fld[logs.FieldSends], fld["late"] = req.retries.attempts, late
	req.addWork(fld)
	if req.retries.attempts <= 1 && !late && fld[logs.FieldStatus] == http.StatusOK {
		ok, leftOut := req.srv.routineLogs.Allow(time.Now())
		if !ok {
			return
		}
		if leftOut > 0 {
			fld[logs.FieldSuppressed] = leftOut
		}
	}
	req.logEvent(logs.MsgAnswered, fld)
}

// logEvent logs a message with the fields that describe the request.
func (req *request) logEvent(msg string, fld logrus.Fields) {
	fld[logs.FieldRequest] = req.params.ID
	fld["ms"] = time.Since(req.arrived).Milliseconds()
	if req.match.Route != nil {
		fld["route"], fld["plan"], fld[logs.FieldService] = req.match.Route.Name, req.match.Table.Plan.Version, req.service
	}
	if req.match.Customer != nil {
		fld[logs.FieldCustomer], fld["cost"] = req.match.Customer.Name, req.cost()
	}
	if len(req.tried) > 0 {
		fld[logs.FieldEndpoints] = req.tried
	}
	log.WithFields(fld).Info(msg)
}
