// Package relay passes callers' HTTP requests through to endpoints. It finds
// the route and customer of a request, takes its cost from the customer's
// quota, and sends it to endpoints until one answers, within what the kind of
// the route allows.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/quota"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "relay")

// Limits of the server.
const (
	maxBody      = 8 << 20
	maxHeader    = 64 << 10
	readTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 10 * time.Second
	// defaultDeadline is for requests that name none on routes without one.
	defaultDeadline = 30 * time.Second
	// plainLines bounds the log lines a second of requests that were answered
	// in time by the first endpoint.
	plainLines = 100
)

// A Meter counts requests that began to run.
type Meter interface {
	Began(cus wick.Customer, at time.Time)
}

// Quotas spend the customers' quotas.
type Quotas interface {
	// Take spends cost units, or returns false and the time after which they
	// would be there.
	Take(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (ok bool, after time.Duration)
	// Refund gives back what a request took that did not run.
	Refund(cus *wick.CustomerPlan, cost float64)
}

// A Choice restricts the endpoints of one send to versions.
type Choice struct {
	// Only and Except are versions, or "".
	Only, Except wick.ModelVersion
	// Fallback allows the versions that Only leaves out, except Except, when
	// no endpoint is left.
	Fallback bool
	// Done must be called once with the outcome unless it is nil.
	Done func(smp wick.VersionSample)
}

// Versions choose the version of each send.
type Versions interface {
	Choose(svc wick.Service, route wick.RouteName, now time.Time) Choice
}

// A Config wires a Server. All fields must be set, but Prober may be nil.
type Config struct {
	Listener net.Listener
	// MaxConnections bounds the callers' open connections.
	MaxConnections int
	Dialect        wick.Dialect
	Plans          *plan.Current
	Pool           *pool.Pool
	Quotas         Quotas
	Versions       Versions
	Mover          wick.Mover
	Prober         wick.RunProber
	Budget         *retry.Budget
	Client         *wire.Client
	Meter          Meter
	// PlanConfirmed reports whether the plan was lately known to be the
	// newest. Otherwise an unknown route or key may be new.
	PlanConfirmed func() bool
	// RegistryAge returns how long ago the list of endpoints was confirmed, for
	// logs.
	RegistryAge func() time.Duration
}

// A Server serves callers on one listener.
type Server struct {
	cfg Config
	hrz *server.Hertz
	lis *httpio.Listener
	// draining is set when new requests are refused, closing when callers
	// are asked to use another connection.
	draining, closing atomic.Bool
	active            atomic.Int64
	// plain bounds the lines of requests that were answered in time by the
	// first endpoint.
	plain *logs.Sampler
}

// New returns a server. Serve must be called.
func New(cfg Config) *Server {
	srv := &Server{cfg: cfg, plain: logs.NewSampler(plainLines)}
	srv.lis = &httpio.Listener{
		Listener: cfg.Listener, Limit: int64(cfg.MaxConnections), ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, Refusal: func() []byte { return []byte(`{"executed":"no"}`) },
	}
	srv.hrz = server.New(
		server.WithListener(srv.lis), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeader), server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout), server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true), server.WithRedirectTrailingSlash(false),
		config.Option{F: func(opt *config.Options) {
			opt.NoDefaultServerHeader, opt.NoDefaultContentType = true, true
		}},
	)
	srv.hrz.Use(srv.serve)
	return srv
}

// Serve serves until Shutdown.
func (srv *Server) Serve() error { return eris.Wrap(srv.hrz.Run(), "relay") }

// Shutdown closes the listener and waits for open connections until ctx ends.
func (srv *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(httpio.Shutdown(ctx, srv.hrz, srv.lis), "relay")
}

// AskToLeave closes each caller's connection after its next answer.
func (srv *Server) AskToLeave() { srv.closing.Store(true) }

// Drain refuses new requests as not executed.
func (srv *Server) Drain() { srv.draining.Store(true) }

// Active returns the number of requests that are being served.
func (srv *Server) Active() int64 { return srv.active.Load() }

// A job is one caller's request.
type job struct {
	srv     *Server
	rct     *app.RequestContext
	ask     wick.Ask
	mat     plan.Match
	service wick.Service
	arrived time.Time
	// until is when the caller or the route gives up.
	until time.Time
	trl   trail
	// tried lists the endpoints that the request was sent to.
	tried []wick.VMID
	// header is a copy of the caller's end-to-end headers.
	header http.Header
	// counted is set once the request was counted as begun.
	counted bool
}

// serve answers one request.
func (srv *Server) serve(ctx context.Context, rct *app.RequestContext) {
	defer rct.Abort()
	srv.active.Add(1)
	defer srv.active.Add(-1)
	now := time.Now()
	metrics.GetOrRegisterGauge("relay.active", nil).Update(srv.active.Load())
	if srv.closing.Load() {
		rct.SetConnectionClose()
	}
	hdr := copyHeader(rct)
	jb := &job{srv: srv, rct: rct, header: hdr, ask: srv.cfg.Dialect.ReadAsk(hdr), arrived: now}
	if rfl, ok := jb.admit(ctx, now); !ok {
		jb.answerSelf(logs.MsgRefused, rfl)
		return
	}
	defer func() { jb.measure(time.Since(now)) }()
	ctx, cancel := context.WithDeadline(ctx, jb.until.Add(timeoutSlack))
	defer cancel()
	if jb.mat.Route.Kind == wick.RouteStream {
		jb.stream(ctx)
	} else {
		jb.call(ctx)
	}
}

// admit finds the route and customer and takes the quota. It returns a refusal
// and false if the request is not taken.
func (jb *job) admit(ctx context.Context, now time.Time) (refusal, bool) {
	cfg := &jb.srv.cfg
	path, _, _ := strings.Cut(string(jb.rct.Request.Header.RequestURI()), "?")
	mat, err := cfg.Plans.Find(string(jb.rct.Request.Header.Host()), path, jb.ask.Key)
	switch {
	case errors.Is(err, plan.ErrNoPlan):
		return refusalNoPlan, false
	case err != nil && !cfg.PlanConfirmed():
		return refusalStalePlan, false
	case errors.Is(err, plan.ErrNoRoute):
		return refusalNoRoute, false
	case err != nil:
		return refusalNoCustomer, false
	}
	jb.mat = mat
	jb.service = plan.Choose(mat.Route)
	jb.trl.rpl = mat.Route
	jb.until = now.Add(jb.patience())
	if jb.srv.draining.Load() {
		return refusalDraining, false
	}
	if mat.Customer != nil {
		if ok, after := cfg.Quotas.Take(ctx, mat.Customer, jb.cost(), now); !ok {
			jb.note(logs.MsgQuota, logrus.Fields{"after": after.String(), "rate": mat.Customer.Quota.Rate, "burst": mat.Customer.Quota.Burst})
			return refusalQuota.in(after), false
		}
	}
	cfg.Budget.Success()
	return refusal{}, true
}

// cost returns what the request takes from its customer's quota.
func (jb *job) cost() float64 { return quota.Cost(jb.mat.Customer.Quota, jb.ask) }

// patience returns how long the caller or the route waits.
func (jb *job) patience() time.Duration {
	out := jb.ask.Deadline
	if lim := jb.mat.Route.Timeout; lim > 0 && (out == 0 || lim < out) {
		out = lim
	}
	if out == 0 {
		out = defaultDeadline
	}
	return out
}

// refuse answers that the request did not run, and gives the quota back.
func (jb *job) refuse(rfl refusal) {
	if jb.mat.Customer != nil {
		jb.srv.cfg.Quotas.Refund(jb.mat.Customer, jb.cost())
	}
	jb.answerSelf(logs.MsgRefused, rfl)
}

// answerSelf gives the caller an answer of the relay's own.
func (jb *job) answerSelf(msg string, rfl refusal) {
	rfl.write(jb.rct)
	jb.note(msg, logrus.Fields{logs.FieldReason: rfl.reason, logs.FieldStatus: rfl.status, logs.FieldSends: jb.trl.sends})
}

// began counts the request once as begun.
func (jb *job) began(at time.Time) {
	if jb.counted || jb.mat.Customer == nil {
		return
	}
	jb.counted = true
	jb.srv.cfg.Meter.Began(jb.mat.Customer.Name, at)
}

// measure adds the request to the histograms of its kind of route.
func (jb *job) measure(took time.Duration) {
	kind := "none"
	if jb.mat.Route != nil {
		kind = string(jb.mat.Route.Kind)
	}
	metrics.GetOrRegisterTimer("relay.request."+kind, nil).Update(took)
}

// late reports whether a time is above the route's target. A route without a
// target has no late answers.
func (jb *job) late(took time.Duration) bool {
	target := jb.mat.Route.Target
	return target > 0 && took > target
}

// noteAnswered logs an answer. Of those in time and from the first endpoint
// only so many are logged.
func (jb *job) noteAnswered(late bool, fld logrus.Fields) {
	fld[logs.FieldSends], fld["late"] = jb.trl.sends, late
	if jb.trl.sends <= 1 && !late && fld[logs.FieldStatus] == http.StatusOK {
		ok, leftOut := jb.srv.plain.Allow(time.Now())
		if !ok {
			return
		}
		if leftOut > 0 {
			fld[logs.FieldLeftOut] = leftOut
		}
	}
	jb.note(logs.MsgAnswered, fld)
}

// note logs a decision on the request.
func (jb *job) note(msg string, fld logrus.Fields) {
	fld[logs.FieldRequest] = jb.ask.ID
	fld["ms"] = time.Since(jb.arrived).Milliseconds()
	if jb.mat.Route != nil {
		fld["route"], fld["plan"], fld[logs.FieldService] = jb.mat.Route.Name, jb.mat.Table.Plan.Version, jb.service
	}
	if jb.mat.Customer != nil {
		fld[logs.FieldCustomer], fld["cost"] = jb.mat.Customer.Name, jb.cost()
	}
	if len(jb.tried) > 0 {
		fld[logs.FieldEndpoints] = jb.tried
	}
	log.WithFields(fld).Info(msg)
}

// hopHeaders concern one connection only (RFC 9110, 7.6.1), or are set anew.
var hopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader returns the caller's end-to-end headers.
func copyHeader(rct *app.RequestContext) http.Header {
	hdr := make(http.Header, 16)
	var named []string
	rct.Request.Header.VisitAll(func(name, value []byte) {
		key := http.CanonicalHeaderKey(string(name))
		if key == "Connection" {
			named = append(named, strings.Split(string(value), ",")...)
		}
		hdr[key] = append(hdr[key], string(value))
	})
	dropHop(hdr, named)
	if _, ok := hdr["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		hdr["User-Agent"] = []string{""}
	}
	return hdr
}

// dropHop removes the headers of one connection.
func dropHop(hdr http.Header, named []string) {
	for _, name := range named {
		hdr.Del(strings.TrimSpace(name))
	}
	for name := range hdr {
		if slices.Contains(hopHeaders, name) {
			delete(hdr, name)
		}
	}
}
