package relay

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/audit"
	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
)

// recoverPanic contains a panic in one request, so that it doesn't end the requests
// of all other callers. The request may have run.
func (srv *Server) recoverPanic(ctx context.Context, rct *app.RequestContext) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		recordPanic(cause)
		rct.SetConnectionClose()
		switch out := rct.Response.GetHijackWriter().(type) {
		case nil:
			refusalOutcomeUnknown.write(rct)
		case *httpio.AbortWriter:
			out.Aborted = true
			httpio.Caller(ctx).BrokenOff(audit.Entry, "panic")
		}
		rct.Abort()
	}()
	rct.Next(ctx)
}

// recordPanic counts and logs a panic.
func recordPanic(cause any) {
	metrics.GetOrRegisterCounter("relay.panics", nil).Inc(1)
	log.WithFields(logrus.Fields{logs.FieldError: fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("relay: panic in a request")
}

// containPanic is deferred by the goroutines that work for one request next to its handler:
// a panic there would end the process, and with it the requests of all callers.
func containPanic() {
	if cause := recover(); cause != nil {
		recordPanic(cause)
	}
}
